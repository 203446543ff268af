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

/// Whether a request may be sent to an endpoint a second time.
enum class RetrySafety : std::uint8_t {
    Retryable, ///< model runs and idempotent services
    Deduplicated, ///< bookings with an idempotency key; the agents run it at most once
    Never, ///< non-idempotent calls without a key
};

/// Number of one try to run a request; later tries have larger numbers.
using AttemptNumber = StrongNumber<struct AttemptTag>;

/// The agent's message about the run arrived on the attempt's stream.
struct AttemptMessage {
    AttemptNumber attempt;
    RunMessage message;
};

/// The attempt's stream broke. `sent` tells whether any byte of the order may have left this process.
struct AttemptConnectionLost {
    AttemptNumber attempt;
    bool sent = true;
};

/// There is no endpoint for the attempt; nothing was sent.
struct AttemptUnroutable {
    AttemptNumber attempt;
    RunError error = RunError::NoEndpoint;
    std::string detail;
};

/// The caller closed its connection.
struct CallerDisconnected {
};

/// The workspace's key was withdrawn while the request ran.
struct KeyRevoked {
};

/// The caller takes no more octets for now, so silence of the endpoint is expected until CallerWritable.
struct CallerWriteBlocked {
};

struct CallerWritable {
};

/// The deadline given by nextDeadline() passed.
struct RelayTimerExpired {
};

using RelayEvent = std::variant<AttemptMessage, AttemptConnectionLost, AttemptUnroutable, CallerDisconnected, KeyRevoked, CallerWriteBlocked, CallerWritable, RelayTimerExpired>;

enum class AttemptTarget : std::uint8_t {
    SameEndpoint, ///< the endpoint of the attempt before, and the same engine incarnation
    NextEndpoint, ///< the next best endpoint
};

/// Action: send the order to an endpoint, asking for pieces from `resumeFrom` on.
struct OpenAttempt {
    AttemptNumber attempt;
    AttemptTarget target = AttemptTarget::NextEndpoint;
    std::uint64_t resumeFrom = 0;
    Incarnation engine; ///< required incarnation; 0 accepts any
};

/// Action: cancel the attempt at its agent.
struct CancelAttempt {
    AttemptNumber attempt;
};

/// Action: pass the next piece on to the caller.
struct ForwardPiece {
    std::string data;
};

/// Action: tell the caller that the stream is complete.
struct CompleteResponse {
};

/// Action: pass a service's whole answer on to the caller.
struct ForwardServiceResponse {
    ServiceResponse answer;
};

/// Action: end the request with an error that cannot be taken for a whole answer.
struct FailResponse {
    RunFailed failure;
};

using RelayAction = std::variant<OpenAttempt, CancelAttempt, ForwardPiece, CompleteResponse, ForwardServiceResponse, FailResponse>;

struct RelayOptions {
    RetrySafety safety = RetrySafety::Retryable;
    Duration firstPieceTimeout {};
    Duration pieceTimeout {};
    std::uint32_t maxAttempts = 4; ///< first try, retries and resumes together
};

/// Carries one request from its first attempt to its single end. Pieces reach the caller complete, in order and once;
/// messages of attempts that were given up are ignored; the last action is exactly one of CompleteResponse, ForwardServiceResponse
/// and FailResponse, except after CallerDisconnected, when there is none.
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
    void on(const KeyRevoked& event, RetryBudget& budget, MonotonicTime now, Actions& actions);
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
    Incarnation m_engine; ///< incarnation that produced the delivered pieces
    bool m_accepted = false; ///< the current attempt's run was accepted, so its engine is known
    bool m_mayHaveRun = false; ///< an attempt was sent whose refusal is not certain
    bool m_callerBlocked = false; ///< the caller takes no more octets for now
    bool m_finished = false;
    std::optional<MonotonicTime> m_deadline;
};

} // namespace hornbeamgate
