#include "hornbeamgate/runtime/entry/run_attempt.hpp"

namespace hornbeamgate {

RunAttempt::RunAttempt(AttemptNumber number, std::unique_ptr<LinkStream> stream, EventHandler onEvent)
    : m_number(number)
    , m_stream(std::move(stream))
    , m_onEvent(std::move(onEvent))
{
    m_stream->setObserver(this);
}

void RunAttempt::send(const RunOrder& order)
{
    m_stream->send(encodeRunOrder(order));
    m_stream->finish();
}

void RunAttempt::messageReceived(BytesView message)
{
    auto decoded = decodeRunMessage(message);
    if (!decoded) {
        m_stream->consume(message.size());
        decoded = RunMessage(RunFailed { RunError::EndpointFailed, false, decoded.error().detail });
    }
    m_ended = !std::holds_alternative<RunAccepted>(*decoded) && !std::holds_alternative<RunPiece>(*decoded);
    m_onEvent(AttemptMessage { m_number, std::move(*decoded) }, message.size());
}

void RunAttempt::streamFinished()
{
    if (!m_ended)
        m_onEvent(AttemptConnectionLost { m_number, true }, 0);
}

void RunAttempt::streamFailed(const LinkError& error)
{
    if (!m_ended)
        m_onEvent(AttemptConnectionLost { m_number, error.sent }, 0);
}

} // namespace hornbeamgate
