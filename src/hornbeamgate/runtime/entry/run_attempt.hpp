#pragma once

#include "hornbeamgate/runtime/link/link_stream.hpp"
#include "hornbeamgate/streams/run_message.hpp"
#include "hornbeamgate/streams/run_order.hpp"
#include "hornbeamgate/streams/stream_relay.hpp"

#include <functional>
#include <memory>

namespace hornbeamgate {

/// Link stream of one attempt to an agent. Destroying it cancels the run at the agent unless the run has ended.
class RunAttempt : private LinkStreamObserver {
public:
    using EventHandler = std::function<void(const RelayEvent& event, std::size_t messageBytes)>;

    RunAttempt(AttemptNumber number, std::unique_ptr<LinkStream> stream, EventHandler onEvent);

    void send(const RunOrder& order);
    /// Returns flow-control credit: the agent may send `bytes` more bytes.
    void consume(std::size_t bytes) { m_stream->consume(bytes); }

private:
    void messageReceived(BytesView message) override;
    void streamFinished() override;
    void streamFailed(const LinkError& error) override;

    AttemptNumber m_number;
    std::unique_ptr<LinkStream> m_stream;
    EventHandler m_onEvent;
    bool m_ended = false; ///< the run's final message was received
};

} // namespace hornbeamgate
