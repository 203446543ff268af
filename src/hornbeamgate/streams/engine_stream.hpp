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

/// Number of one HTTP call to the engine about a run; later calls have larger numbers.
using EngineCallNumber = StrongNumber<struct EngineCallTag>;

/// The engine's answer began.
struct EngineResponseStarted {
    EngineCallNumber call;
    std::uint16_t status = 0;
    std::uint32_t cachedBlocks = 0;
    WeightsVersion weights; ///< 0 when the engine did not say
};

/// The engine sent one event of the stream.
struct EngineEvent {
    EngineCallNumber call;
    SseEvent event;
};

/// The call ended or broke before the last event. `sent` tells whether any octet may have reached the engine.
struct EngineCallEnded {
    EngineCallNumber call;
    bool sent = true;
};

/// The entry daemon no longer wants the run.
struct RunCancelled {
};

/// Reading from the engine stopped because the entry daemon takes no more; silence is expected until ReadingResumed.
struct ReadingPaused {
};

struct ReadingResumed {
};

struct EngineTimerExpired {
};

using EngineStreamEvent = std::variant<EngineResponseStarted, EngineEvent, EngineCallEnded, RunCancelled, ReadingPaused, ReadingResumed, EngineTimerExpired>;

/// Action: start the run at the engine.
struct StartRun {
    EngineCallNumber call;
};

/// Action: read the run's stream from event `from` on, on a new connection.
struct ResumeRun {
    EngineCallNumber call;
    std::uint64_t from = 0;
};

/// Action: end the run at the engine.
struct CancelRun {
};

/// Action: send the message to the entry daemon. After RunCompleted or RunFailed nothing follows.
struct SendRunMessage {
    RunMessage message;
};

using EngineStreamAction = std::variant<StartRun, ResumeRun, CancelRun, SendRunMessage>;

struct EngineStreamOptions {
    std::uint64_t resumeFrom = 0; ///< 0 starts a new run
    WeightsVersion weights; ///< version that the engine must have used
    Incarnation engine; ///< reported to the entry daemon
    Duration firstEventTimeout {};
    Duration eventTimeout {};
    std::uint32_t maxResumes = 3;
};

/// Follows one run on the engine beside an agent: numbers its pieces without gaps, resumes after breaks and silence, and
/// reports one end.
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
    bool m_runMayExist; ///< the engine may know the run
    bool m_acceptedSent = false;
    bool m_resuming = false; ///< the current call reads a run that was started before
    bool m_paused = false;
    bool m_finished = false;
    std::optional<MonotonicTime> m_deadline;
};

} // namespace hornbeamgate
