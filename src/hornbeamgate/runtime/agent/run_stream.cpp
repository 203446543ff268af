#include "hornbeamgate/runtime/agent/run_stream.hpp"

namespace hornbeamgate {

namespace {

    bool endsRun(const RunMessage& message)
    {
        return !std::holds_alternative<RunAccepted>(message) && !std::holds_alternative<RunPiece>(message);
    }

} // namespace

RunStream::RunStream(std::unique_ptr<LinkStream> stream, RunDispatcher& dispatcher)
    : m_stream(std::move(stream))
    , m_dispatcher(&dispatcher)
{
    m_stream->setObserver(this);
}

void RunStream::sendMessage(const RunMessage& message)
{
    if (m_ended)
        return;
    m_stream->send(encodeRunMessage(message));
    if (!endsRun(message))
        return;
    m_ended = true;
    m_stream->finish();
    m_dispatcher->streamDone(*this);
}

void RunStream::messageReceived(BytesView message)
{
    m_stream->consume(message.size());
    if (std::exchange(m_orderReceived, true))
        return;
    const auto order = decodeRunOrder(message);
    if (order)
        m_dispatcher->handleOrder(*this, *order);
    else
        sendMessage(RunFailed { RunError::BadRequest, true, order.error().detail });
}

void RunStream::streamDrained()
{
    m_dispatcher->streamDrained(*this);
}

void RunStream::streamFinished()
{
    if (!m_orderReceived)
        sendMessage(RunFailed { RunError::BadRequest, true, "no run order" });
}

void RunStream::streamFailed(const LinkError& error)
{
    if (error.code == LinkErrorCode::StreamReset)
        m_dispatcher->streamCancelled(*this);
    else
        m_dispatcher->streamLost(*this);
}

} // namespace hornbeamgate
