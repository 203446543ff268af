#pragma once

#include "hornbeamgate/base/time.hpp"
#include "hornbeamgate/streams/run_message.hpp"
#include "hornbeamgate/streams/sse_parser.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hornbeamgate {

/// Sequence number of an HTTP call to the engine for a run. Increases with every call, so events of earlier calls can be
/// ignored.
using EngineCallNumber = StrongNumber<struct EngineCallTag>;

/// Event: the response head of the engine was received.
struct EngineResponseStarted {
    EngineCallNumber call;
    std::uint16_t status = 0;
    std::uint32_t cachedBlocks = 0;
    WeightsVersion weights; ///< 0 if the engine did not report it
};

/// Event: the engine sent one server-sent event of the stream.
struct EngineEvent {
    EngineCallNumber call;
    SseEvent event;
};

/// Event: the call ended or failed before the last server-sent event. `sent` is true if any byte may have reached the
/// engine.
struct EngineCallEnded {
    EngineCallNumber call;
    bool sent = true;
};

/// Event: the entry daemon cancelled the run.
struct RunCancelled {
};

/// Event: backpressure from the entry daemon paused reading from the engine. The event timeout is disabled until
/// ReadingResumed.
struct ReadingPaused {
};

/// Event: reading from the engine continues.
struct ReadingResumed {
};

/// Event: the deadline returned by nextDeadline() has passed.
struct EngineTimerExpired {
};

using EngineStreamEvent = std::variant<EngineResponseStarted, EngineEvent, EngineCallEnded, RunCancelled, ReadingPaused, ReadingResumed, EngineTimerExpired>;

/// Action: start the run on the engine.
struct StartRun {
    EngineCallNumber call;
};

/// Action: open a new connection and read the stream of the run, starting with event `from`.
struct ResumeRun {
    EngineCallNumber call;
    std::uint64_t from = 0;
};

/// Action: cancel the run on the engine.
struct CancelRun {
};

/// Action: send the message to the entry daemon. RunCompleted or RunFailed is the last message.
struct SendRunMessage {
    RunMessage message;
};

using EngineStreamAction = std::variant<StartRun, ResumeRun, CancelRun, SendRunMessage>;

struct EngineStreamOptions {
    std::uint64_t resumeFrom = 0; ///< 0 starts a new run
    WeightsVersion weights; ///< weights version that the engine must serve
    Incarnation engine; ///< engine incarnation, reported to the entry daemon
    Duration firstEventTimeout {};
    Duration eventTimeout {};
    std::uint32_t maxResumes = 3;
};

/// State machine for one run on the engine of an agent. It numbers the pieces consecutively, resumes the stream after a
/// connection failure, a missing event or a timeout, and reports the end of the run exactly once. Performs no I/O: it
/// turns events into actions.
class EngineStream {
public:
    explicit EngineStream(const EngineStreamOptions& options);

    std::vector<EngineStreamAction> start(MonotonicTime now);
    std::vector<EngineStreamAction> handle(const EngineStreamEvent& event, MonotonicTime now);

    std::optional<MonotonicTime> nextDeadline() const { return m_deadline; }
    bool isFinished() const { return m_finished; }

private:
    using Actions = std::vector<EngineStreamAction>;

    void on(const EngineResponseStarted& event, MonotonicTime now, Actions& actions);
    void on(const EngineEvent& event, MonotonicTime now, Actions& actions);
    void on(const EngineCallEnded& event, MonotonicTime now, Actions& actions);
    void on(const RunCancelled& event, MonotonicTime now, Actions& actions);
    void on(const ReadingPaused& event, MonotonicTime now, Actions& actions);
    void on(const ReadingResumed& event, MonotonicTime now, Actions& actions);
    void on(const EngineTimerExpired& event, MonotonicTime now, Actions& actions);

    void onAccepted(const EngineResponseStarted& event, Actions& actions);
    void onRefused(std::uint16_t status, MonotonicTime now, Actions& actions);
    void resume(std::string_view cause, MonotonicTime now, Actions& actions);
    void fail(RunError error, bool notRun, std::string detail, Actions& actions);
    void end();

    EngineStreamOptions m_options;
    EngineCallNumber m_call;
    std::uint64_t m_nextIndex;
    std::uint32_t m_resumeCount = 0;
    bool m_runMayExist; ///< a run may exist on the engine, so a failure is not reported as `notRun`
    bool m_acceptedSent = false;
    bool m_resuming = false; ///< the current call resumes a run instead of starting one
    bool m_paused = false;
    bool m_finished = false;
    std::optional<MonotonicTime> m_deadline;
};

} // namespace hornbeamgate
