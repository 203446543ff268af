#pragma once

#include "hornbeamgate/base/time.hpp"
#include "hornbeamgate/streams/retry_budget.hpp"
#include "hornbeamgate/streams/run_message.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hornbeamgate {

/// Specifies whether a request may be sent to an endpoint more than once.
enum class RetrySafety : std::uint8_t {
    Retryable, ///< model runs and idempotent services
    Deduplicated, ///< bookings with an idempotency key, which the agents execute at most once
    Never, ///< non-idempotent calls without an idempotency key
};

/// Sequence number of an attempt to run a request. Increases with every attempt.
using AttemptNumber = StrongNumber<struct AttemptTag>;

/// Event: a message from the agent arrived on the stream of the attempt.
struct AttemptMessage {
    AttemptNumber attempt;
    RunMessage message;
};

/// Event: the connection of the attempt failed. `sent` is true if any byte of the run order may have left this process.
struct AttemptConnectionLost {
    AttemptNumber attempt;
    bool sent = true;
};

/// Event: no endpoint is available for the attempt; nothing was sent.
struct AttemptUnroutable {
    AttemptNumber attempt;
    RunError error = RunError::NoEndpoint;
    std::string detail;
};

/// Event: the caller closed its connection.
struct CallerDisconnected {
};

/// Event: the API key of the workspace was withdrawn while the request was running.
struct KeyWithdrawn {
};

/// Event: the connection to the caller accepts no more data because the caller reads too slowly. The piece timeout is
/// disabled until CallerWritable.
struct CallerWriteBlocked {
};

/// Event: the connection to the caller accepts data again.
struct CallerWritable {
};

/// Event: the deadline returned by nextDeadline() has passed.
struct RelayTimerExpired {
};

using RelayEvent = std::variant<AttemptMessage, AttemptConnectionLost, AttemptUnroutable, CallerDisconnected, KeyWithdrawn, CallerWriteBlocked, CallerWritable, RelayTimerExpired>;

enum class AttemptTarget : std::uint8_t {
    SameEndpoint, ///< the endpoint of the previous attempt, with the same engine incarnation
    NextEndpoint, ///< the next best endpoint according to the router
};

/// Action: send the run order to an endpoint and request the pieces from `resumeFrom` on.
struct OpenAttempt {
    AttemptNumber attempt;
    AttemptTarget target = AttemptTarget::NextEndpoint;
    std::uint64_t resumeFrom = 0;
    Incarnation engine; ///< required incarnation; 0 accepts any
};

/// Action: cancel the attempt on its agent.
struct CancelAttempt {
    AttemptNumber attempt;
};

/// Action: forward the next piece to the caller.
struct ForwardPiece {
    std::string data;
};

/// Action: end the stream to the caller as complete.
struct CompleteResponse {
};

/// Action: forward the complete response of a service to the caller.
struct ForwardServiceResponse {
    ServiceResponse answer;
};

/// Action: end the request with an error that the caller cannot mistake for a complete response.
struct FailResponse {
    RunFailed failure;
};

using RelayAction = std::variant<OpenAttempt, CancelAttempt, ForwardPiece, CompleteResponse, ForwardServiceResponse, FailResponse>;

struct RelayOptions {
    RetrySafety safety = RetrySafety::Retryable;
    Duration firstPieceTimeout {};
    Duration pieceTimeout {};
    std::uint32_t maxAttempts = 4; ///< total of first attempt, retries and resumes
};

/// State machine that runs one request, including retries and resumes. Performs no I/O: it turns events into actions.
/// Pieces are forwarded in order, without gaps or duplicates. Messages of abandoned attempts are ignored. The last action
/// is exactly one of CompleteResponse, ForwardServiceResponse and FailResponse; after CallerDisconnected there is none.
class StreamRelay {
public:
    explicit StreamRelay(const RelayOptions& options);

    std::vector<RelayAction> start(MonotonicTime now);
    std::vector<RelayAction> handle(const RelayEvent& event, RetryBudget& budget, MonotonicTime now);

    std::optional<MonotonicTime> nextDeadline() const;
    bool isFinished() const { return m_finished; }
    std::uint64_t forwardedPieces() const { return m_nextPieceIndex; }
    AttemptNumber currentAttempt() const { return m_attempt; }

private:
    using Actions = std::vector<RelayAction>;

    void on(const AttemptMessage& event, RetryBudget& budget, MonotonicTime now, Actions& actions);
    void on(const AttemptConnectionLost& event, RetryBudget& budget, MonotonicTime now, Actions& actions);
    void on(const AttemptUnroutable& event, RetryBudget& budget, MonotonicTime now, Actions& actions);
    void on(const CallerDisconnected& event, RetryBudget& budget, MonotonicTime now, Actions& actions);
    void on(const KeyWithdrawn& event, RetryBudget& budget, MonotonicTime now, Actions& actions);
    void on(const CallerWriteBlocked& event, RetryBudget& budget, MonotonicTime now, Actions& actions);
    void on(const CallerWritable& event, RetryBudget& budget, MonotonicTime now, Actions& actions);
    void on(const RelayTimerExpired& event, RetryBudget& budget, MonotonicTime now, Actions& actions);

    void onMessage(const RunAccepted& message, RetryBudget& budget, MonotonicTime now, Actions& actions);
    void onMessage(const RunPiece& message, RetryBudget& budget, MonotonicTime now, Actions& actions);
    void onMessage(const RunCompleted& message, RetryBudget& budget, MonotonicTime now, Actions& actions);
    void onMessage(const ServiceResponse& message, RetryBudget& budget, MonotonicTime now, Actions& actions);
    void onMessage(const RunFailed& message, RetryBudget& budget, MonotonicTime now, Actions& actions);

    void retryOrFail(const RunFailed& cause, RetryBudget& budget, MonotonicTime now, Actions& actions);
    void startAttempt(AttemptTarget target, MonotonicTime now, Actions& actions);
    void fail(const RunFailed& failure, Actions& actions);
    void end();

    RelayOptions m_options;
    AttemptNumber m_attempt;
    std::uint32_t m_attemptCount = 0;
    std::uint64_t m_nextPieceIndex = 0;
    Incarnation m_engine; ///< engine incarnation that generated the forwarded pieces
    bool m_accepted = false; ///< RunAccepted was received for the current attempt, so `m_engine` is its engine
    bool m_mayHaveRun = false; ///< some attempt may have been executed: it was sent and not certainly refused
    bool m_callerBlocked = false; ///< writing to the caller is blocked; the piece timeout is disabled
    bool m_finished = false;
    std::optional<MonotonicTime> m_deadline;
};

} // namespace hornbeamgate
