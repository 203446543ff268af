#include "hornbeamgate/streams/engine_stream.hpp"

namespace hornbeamgate {

namespace {

    constexpr std::string_view kDoneMarker = "[DONE]";

    constexpr std::uint16_t kOk = 200;
    constexpr std::uint16_t kBadRequest = 400;
    constexpr std::uint16_t kNotFound = 404;
    constexpr std::uint16_t kConflict = 409;
    constexpr std::uint16_t kTooManyRequests = 429;
    constexpr std::uint16_t kUnavailable = 503;

} // namespace

EngineStream::EngineStream(const EngineStreamOptions& options)
    : m_options(options)
    , m_nextIndex(options.resumeFrom)
    , m_runMayExist(options.resumeFrom > 0)
{
}

std::vector<EngineStreamAction> EngineStream::start(MonotonicTime now)
{
    Actions actions;
    m_call = m_call.next();
    m_resuming = m_nextIndex > 0;
    m_deadline = now + m_options.firstEventTimeout;
    if (m_resuming)
        actions.push_back(ResumeRun { m_call, m_nextIndex });
    else
        actions.push_back(StartRun { m_call });
    return actions;
}

std::vector<EngineStreamAction> EngineStream::handle(const EngineStreamEvent& event, MonotonicTime now)
{
    Actions actions;
    if (m_finished)
        return actions;
    std::visit([&](const auto& alternative) { on(alternative, now, actions); }, event);
    return actions;
}

void EngineStream::on(const EngineResponseStarted& event, MonotonicTime now, Actions& actions)
{
    if (event.call != m_call)
        return;
    if (event.status == kOk)
        onAccepted(event, actions);
    else
        onRefused(event.status, now, actions);
}

void EngineStream::onAccepted(const EngineResponseStarted& event, Actions& actions)
{
    m_runMayExist = true;
    const bool sameWeights = event.weights == WeightsVersion() || event.weights == m_options.weights;
    if (!sameWeights) {
        actions.push_back(CancelRun {});
        fail(RunError::EngineChanged, false, "the engine runs other weights", actions);
        return;
    }
    if (m_acceptedSent)
        return;
    m_acceptedSent = true;
    actions.push_back(SendRunMessage { RunAccepted { m_options.engine, event.cachedBlocks, 0, 0 } });
}

void EngineStream::onRefused(std::uint16_t status, MonotonicTime now, Actions& actions)
{
    const auto detail = "the engine answered " + std::to_string(status);
    if (m_resuming) {
        const auto error = status == kNotFound ? RunError::RunUnknown : RunError::EndpointFailed;
        fail(error, false, detail, actions);
        return;
    }
    switch (status) {
    case kConflict:
        m_runMayExist = true;
        resume("the engine knows the run already", now, actions);
        return;
    case kBadRequest:
        fail(RunError::BadRequest, true, detail, actions);
        return;
    case kNotFound:
        fail(RunError::UnknownModel, true, detail, actions);
        return;
    case kTooManyRequests:
    case kUnavailable:
        fail(RunError::QueueFull, true, detail, actions);
        return;
    default:
        fail(RunError::EndpointFailed, false, detail, actions);
    }
}

void EngineStream::on(const EngineEvent& event, MonotonicTime now, Actions& actions)
{
    if (event.call != m_call)
        return;
    const auto id = event.event.id.value_or(m_nextIndex);
    if (id < m_nextIndex)
        return;
    if (id > m_nextIndex) {
        resume("an event is missing", now, actions);
        return;
    }
    if (event.event.data == kDoneMarker) {
        actions.push_back(SendRunMessage { RunCompleted { m_nextIndex } });
        end();
        return;
    }
    actions.push_back(SendRunMessage { RunPiece { m_nextIndex, event.event.data } });
    ++m_nextIndex;
    if (!m_paused)
        m_deadline = now + m_options.eventTimeout;
}

void EngineStream::on(const EngineCallEnded& event, MonotonicTime now, Actions& actions)
{
    if (event.call != m_call)
        return;
    if (!event.sent && !m_runMayExist) {
        fail(RunError::EndpointFailed, true, "the engine could not be reached", actions);
        return;
    }
    m_runMayExist = true;
    resume("the connection to the engine broke", now, actions);
}

void EngineStream::on(const RunCancelled&, MonotonicTime, Actions& actions)
{
    actions.push_back(CancelRun {});
    end();
}

void EngineStream::on(const ReadingPaused&, MonotonicTime, Actions&)
{
    m_paused = true;
    m_deadline.reset();
}

void EngineStream::on(const ReadingResumed&, MonotonicTime now, Actions&)
{
    m_paused = false;
    m_deadline = now + m_options.eventTimeout;
}

void EngineStream::on(const EngineTimerExpired&, MonotonicTime now, Actions& actions)
{
    if (!m_deadline || now < *m_deadline)
        return;
    m_runMayExist = true;
    resume("the engine fell silent", now, actions);
}

void EngineStream::resume(std::string_view cause, MonotonicTime now, Actions& actions)
{
    if (m_resumeCount == m_options.maxResumes) {
        actions.push_back(CancelRun {});
        fail(RunError::StreamInterrupted, false, std::string(cause), actions);
        return;
    }
    ++m_resumeCount;
    m_call = m_call.next();
    m_resuming = true;
    m_deadline = now + m_options.eventTimeout;
    actions.push_back(ResumeRun { m_call, m_nextIndex });
}

void EngineStream::fail(RunError error, bool notRun, std::string detail, Actions& actions)
{
    actions.push_back(SendRunMessage { RunFailed { error, notRun && !m_runMayExist, std::move(detail) } });
    end();
}

void EngineStream::end()
{
    m_finished = true;
    m_deadline.reset();
}

} // namespace hornbeamgate
