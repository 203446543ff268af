#pragma once

#include "hornbeamgate/base/bytes.hpp"
#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/time.hpp"
#include "hornbeamgate/runtime/glib_support.hpp"
#include "hornbeamgate/runtime/link/link_error.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace hornbeamgate {

using LinkStreamId = std::int32_t;

enum class LinkRole : std::uint8_t { Client,
    Server };

/// Receives the events of one connection. None of the functions may destroy the session; post the destruction to the
/// main loop instead.
class LinkSessionObserver {
public:
    virtual ~LinkSessionObserver() = default;

    /// Server only: the peer opened a stream to `path`.
    virtual void streamOpened(LinkStreamId stream, std::string_view path, const HostId& from) = 0;
    virtual void messageReceived(LinkStreamId stream, BytesView message) = 0;
    /// The peer finished sending on the stream.
    virtual void streamFinished(LinkStreamId stream) = 0;
    /// The stream ended before both sides had finished sending.
    virtual void streamFailed(LinkStreamId stream, const LinkError& error) = 0;
    /// All data queued on the stream was passed to the connection, after a call of `notifyWhenDrained`.
    virtual void streamDrained(LinkStreamId stream) = 0;
    /// The peer sent any data, including ping replies.
    virtual void bytesReceived() = 0;
    /// The connection ended. The failure of open streams was reported before.
    virtual void sessionClosed(const LinkError& error) = 0;
};

/// Number of bytes sent and received by a session, including framing.
struct LinkTraffic {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

/// One HTTP/2 connection between two processes of the system. Every stream carries messages with a 4-byte length prefix.
/// Flow control is per stream: the receiver returns credit with `consume`.
class LinkSession {
public:
    static std::unique_ptr<LinkSession> create(GObjectPtr<GSocketConnection> connection, LinkRole role, LinkSessionObserver& observer);
    ~LinkSession();
    LinkSession(const LinkSession&) = delete;
    LinkSession& operator=(const LinkSession&) = delete;

    /// Client only. Opens a stream to `path` as the host `from`. The stream may still fail later.
    LinkStreamId openStream(std::string_view path, const HostId& from);
    void sendMessage(LinkStreamId stream, BytesView message);
    /// Ends the sending side of the stream.
    void finishStream(LinkStreamId stream);
    void resetStream(LinkStreamId stream);
    /// Returns `bytes` of flow control credit to the sender, after messages of that size were processed.
    void consume(LinkStreamId stream, std::size_t bytes);
    /// Number of bytes queued on the stream, for instance because the peer has not granted credit.
    std::size_t unsentBytes(LinkStreamId stream) const;
    /// Requests one call of `streamDrained` once the queue of the stream is empty.
    void notifyWhenDrained(LinkStreamId stream);

    void ping();
    /// Asks the peer not to open further streams.
    void announceShutdown();
    void close(const LinkError& error);
    bool closed() const;

    LinkTraffic traffic() const;
    std::string peer() const;

private:
    struct State;
    explicit LinkSession(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

} // namespace hornbeamgate
