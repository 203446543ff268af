#pragma once

#include "hornbeamgate/runtime/agent/engine_run.hpp"
#include "hornbeamgate/runtime/link/link_stream.hpp"
#include "hornbeamgate/streams/run_order.hpp"

#include <memory>
#include <optional>

namespace hornbeamgate {

class RunStream;

/// Executes or rejects run orders and is notified of the events of their streams.
class RunDispatcher {
public:
    virtual ~RunDispatcher() = default;
    /// Called when the order arrived. The implementation answers through `stream`, immediately or later.
    virtual void handleOrder(RunStream& stream, const RunOrder& order) = 0;
    /// Called when the send queue of the stream is empty, so that a paused run may continue.
    virtual void streamDrained(RunStream& stream) = 0;
    /// Called when the entry daemon reset the stream to cancel the run.
    virtual void streamCancelled(RunStream& stream) = 0;
    /// Called when the connection was lost; the entry daemon may reconnect and resume the run.
    virtual void streamLost(RunStream& stream) = 0;
    /// Called after the final message was queued for sending.
    virtual void streamDone(RunStream& stream) = 0;
};

/// Server side of one `/run` stream: receives the run order and sends run messages.
class RunStream : public RunSink, private LinkStreamObserver {
public:
    RunStream(std::unique_ptr<LinkStream> stream, RunDispatcher& dispatcher);

    /// Sends a message. RunCompleted, ServiceResponse and RunFailed end the stream; later messages are dropped.
    void sendMessage(const RunMessage& message) override;
    std::size_t unsentBytes() const { return m_stream->unsentBytes(); }
    void notifyWhenDrained() { m_stream->notifyWhenDrained(); }
    bool ended() const { return m_ended; }

private:
    void messageReceived(BytesView message) override;
    void streamFinished() override;
    void streamFailed(const LinkError& error) override;
    void streamDrained() override;

    std::unique_ptr<LinkStream> m_stream;
    RunDispatcher* m_dispatcher;
    bool m_orderReceived = false;
    bool m_ended = false; ///< the final message was sent
};

} // namespace hornbeamgate
