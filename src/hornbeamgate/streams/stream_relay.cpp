#include "hornbeamgate/streams/stream_relay.hpp"

namespace hornbeamgate {

namespace {

    /// Returns true if a retry would fail with the same error.
    bool isFinalError(RunError error)
    {
        switch (error) {
        case RunError::BadRequest:
        case RunError::OutcomeUnknown:
        case RunError::InProgress:
        case RunError::KeyReused:
        case RunError::KeyTooOld:
            return true;
        default:
            return false;
        }
    }

} // namespace

StreamRelay::StreamRelay(const RelayOptions& options)
    : m_options(options)
{
}

std::vector<RelayAction> StreamRelay::start(MonotonicTime now)
{
    Actions actions;
    startAttempt(AttemptTarget::NextEndpoint, now, actions);
    return actions;
}

std::vector<RelayAction> StreamRelay::handle(const RelayEvent& event, RetryBudget& budget, MonotonicTime now)
{
    Actions actions;
    if (m_finished)
        return actions;
    std::visit([&](const auto& alternative) { on(alternative, budget, now, actions); }, event);
    return actions;
}

std::optional<MonotonicTime> StreamRelay::nextDeadline() const
{
    return m_deadline;
}

void StreamRelay::on(const AttemptMessage& event, RetryBudget& budget, MonotonicTime now, Actions& actions)
{
    if (event.attempt != m_attempt)
        return;
    std::visit([&](const auto& message) { onMessage(message, budget, now, actions); }, event.message);
}

void StreamRelay::on(const AttemptConnectionLost& event, RetryBudget& budget, MonotonicTime now, Actions& actions)
{
    if (event.attempt != m_attempt)
        return;
    if (event.sent)
        m_mayHaveRun = true;
    const bool notRun = !m_mayHaveRun;
    retryOrFail({ notRun ? RunError::NoEndpoint : RunError::StreamInterrupted, notRun, "connection to the agent was lost" },
        budget, now, actions);
}

void StreamRelay::on(const AttemptUnroutable& event, RetryBudget&, MonotonicTime, Actions& actions)
{
    if (event.attempt == m_attempt)
        fail({ event.error, true, event.detail }, actions);
}

void StreamRelay::on(const CallerDisconnected&, RetryBudget&, MonotonicTime, Actions& actions)
{
    actions.push_back(CancelAttempt { m_attempt });
    end();
}

void StreamRelay::on(const KeyWithdrawn&, RetryBudget&, MonotonicTime, Actions& actions)
{
    actions.push_back(CancelAttempt { m_attempt });
    fail({ RunError::KeyRefused, false, "the key was withdrawn" }, actions);
}

void StreamRelay::on(const CallerWriteBlocked&, RetryBudget&, MonotonicTime, Actions&)
{
    m_callerBlocked = true;
    m_deadline.reset();
}

void StreamRelay::on(const CallerWritable&, RetryBudget&, MonotonicTime now, Actions&)
{
    m_callerBlocked = false;
    m_deadline = now + m_options.pieceTimeout;
}

void StreamRelay::on(const RelayTimerExpired&, RetryBudget& budget, MonotonicTime now, Actions& actions)
{
    if (!m_deadline || now < *m_deadline)
        return;
    m_mayHaveRun = true;
    actions.push_back(CancelAttempt { m_attempt });
    retryOrFail({ RunError::EndpointFailed, false, "no answer before the deadline" }, budget, now, actions);
}

void StreamRelay::onMessage(const RunAccepted& message, RetryBudget&, MonotonicTime, Actions& actions)
{
    m_mayHaveRun = true;
    if (m_nextPieceIndex > 0 && message.engine != m_engine) {
        actions.push_back(CancelAttempt { m_attempt });
        fail({ RunError::EngineChanged, false, "the engine was restarted" }, actions);
        return;
    }
    m_accepted = true;
    m_engine = message.engine;
}

void StreamRelay::onMessage(const RunPiece& message, RetryBudget& budget, MonotonicTime now, Actions& actions)
{
    m_mayHaveRun = true;
    if (message.index < m_nextPieceIndex)
        return;
    // Without RunAccepted the incarnation of the engine is unknown. The stream could not be resumed after forwarding
    // this piece, because another engine may generate a different response.
    if (message.index > m_nextPieceIndex || !m_accepted) {
        actions.push_back(CancelAttempt { m_attempt });
        retryOrFail({ RunError::StreamInterrupted, false, "a piece is missing" }, budget, now, actions);
        return;
    }
    ++m_nextPieceIndex;
    if (!m_callerBlocked)
        m_deadline = now + m_options.pieceTimeout;
    actions.push_back(ForwardPiece { message.data });
}

void StreamRelay::onMessage(const RunCompleted& message, RetryBudget& budget, MonotonicTime now, Actions& actions)
{
    if (message.count != m_nextPieceIndex) {
        retryOrFail({ RunError::StreamInterrupted, false, "the stream ended early" }, budget, now, actions);
        return;
    }
    actions.push_back(CompleteResponse {});
    end();
}

void StreamRelay::onMessage(const ServiceResponse& message, RetryBudget&, MonotonicTime, Actions& actions)
{
    actions.push_back(ForwardServiceResponse { message });
    end();
}

void StreamRelay::onMessage(const RunFailed& message, RetryBudget& budget, MonotonicTime now, Actions& actions)
{
    if (!message.notRun)
        m_mayHaveRun = true;
    // The agent has already tried to resume the stream on its engine before it reports a failure, so another attempt
    // would not help.
    if (m_nextPieceIndex > 0)
        fail(message, actions);
    else
        retryOrFail(message, budget, now, actions);
}

void StreamRelay::retryOrFail(const RunFailed& cause, RetryBudget& budget, MonotonicTime now, Actions& actions)
{
    const bool mayRepeat = m_options.safety != RetrySafety::Never || !m_mayHaveRun;
    const bool attemptsLeft = m_attemptCount < m_options.maxAttempts;
    if (!mayRepeat || isFinalError(cause.error) || !attemptsLeft) {
        fail(cause, actions);
        return;
    }
    // After the first forwarded piece, only the same engine process can continue the response. Resuming reads an
    // existing run and adds no load, so it does not consume the retry budget.
    if (m_nextPieceIndex > 0)
        startAttempt(AttemptTarget::SameEndpoint, now, actions);
    else if (budget.tryConsumeRetry())
        startAttempt(AttemptTarget::NextEndpoint, now, actions);
    else
        fail(cause, actions);
}

void StreamRelay::startAttempt(AttemptTarget target, MonotonicTime now, Actions& actions)
{
    m_attempt = m_attempt.next();
    m_accepted = false;
    ++m_attemptCount;
    const bool started = m_nextPieceIndex > 0;
    m_deadline = now + (started ? m_options.pieceTimeout : m_options.firstPieceTimeout);
    actions.push_back(OpenAttempt { m_attempt, target, m_nextPieceIndex, started ? m_engine : Incarnation() });
}

void StreamRelay::fail(const RunFailed& failure, Actions& actions)
{
    RunFailed reported = failure;
    reported.notRun = failure.notRun && !m_mayHaveRun;
    const bool outcomeUnknown = m_mayHaveRun && m_options.safety != RetrySafety::Retryable;
    if (outcomeUnknown && !isFinalError(failure.error))
        reported.error = RunError::OutcomeUnknown;
    actions.push_back(FailResponse { reported });
    end();
}

void StreamRelay::end()
{
    m_finished = true;
    m_deadline.reset();
}

} // namespace hornbeamgate
