#pragma once

#include "hornbeamgate/runtime/agent/engine_run.hpp"
#include "hornbeamgate/runtime/link/link_stream.hpp"
#include "hornbeamgate/streams/run_order.hpp"

#include <memory>
#include <optional>

namespace hornbeamgate {

class RunStream;

/// Decides what becomes of an order and hears of the end of each stream.
class RunDispatcher {
public:
    virtual ~RunDispatcher() = default;
    /// The order arrived; answer it through the stream now or later.
    virtual void handleOrder(RunStream& stream, const RunOrder& order) = 0;
    /// The entry daemon took everything that was queued, so a paused run may go on.
    virtual void streamDrained(RunStream& stream) = 0;
    /// The entry daemon reset the stream: it no longer wants the run.
    virtual void streamCancelled(RunStream& stream) = 0;
    /// The connection broke; the entry daemon may come back for the run.
    virtual void streamLost(RunStream& stream) = 0;
    /// Both sides are done.
    virtual void streamDone(RunStream& stream) = 0;
};

/// Server side of one `/run` stream: takes the order in and sends messages out.
class RunStream : public RunSink, private LinkStreamObserver {
public:
    RunStream(std::unique_ptr<LinkStream> stream, RunDispatcher& dispatcher);

    /// Sends a message; RunCompleted, ServiceAnswer and RunFailed end the stream.
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
    bool m_ended = false; ///< the last message was sent
};

} // namespace hornbeamgate
