#pragma once

#include "hornbeamgate/base/bytes.hpp"
#include "hornbeamgate/runtime/link/link_error.hpp"
#include "hornbeamgate/runtime/link/link_session.hpp"

#include <vector>

namespace hornbeamgate {

class LinkConnection;

/// Receives the events of one stream. Any function may destroy the stream.
class LinkStreamObserver {
public:
    virtual ~LinkStreamObserver() = default;
    virtual void messageReceived(BytesView message) = 0;
    virtual void streamFinished() = 0;
    virtual void streamFailed(const LinkError& error) = 0;
    /// Called once after `notifyWhenDrained`, when the queue is empty.
    virtual void streamDrained() { }
};

/// Message stream to another process. Destroying it resets the stream unless both sides have finished sending.
class LinkStream {
public:
    LinkStream(LinkConnection& connection, LinkStreamId id);
    ~LinkStream();
    LinkStream(const LinkStream&) = delete;
    LinkStream& operator=(const LinkStream&) = delete;

    void setObserver(LinkStreamObserver* observer) { m_observer = observer; }
    void send(BytesView message);
    void finish();
    void consume(std::size_t bytes);
    std::size_t unsentBytes() const;
    void notifyWhenDrained();
    std::string peer() const;

private:
    friend class LinkConnection;

    LinkConnection* m_connection; ///< null once the stream has ended
    LinkStreamId m_id; ///< 0 until the connection is established
    LinkStreamObserver* m_observer = nullptr;
    std::string m_path;
    std::vector<Bytes> m_pending; ///< messages queued until the connection is established
    bool m_finishing = false;
    bool m_remoteDone = false;
};

} // namespace hornbeamgate
