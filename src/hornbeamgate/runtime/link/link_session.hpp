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

/// Receives what happens on one connection. No call may destroy the session; post that to the main loop instead.
class LinkSessionObserver {
public:
    virtual ~LinkSessionObserver() = default;

    /// Server only: the other process opened a stream to `path`.
    virtual void streamOpened(LinkStreamId stream, std::string_view path, const HostId& from) = 0;
    virtual void messageReceived(LinkStreamId stream, BytesView message) = 0;
    /// The other side sent its last message on the stream.
    virtual void streamFinished(LinkStreamId stream) = 0;
    /// The stream is gone before both sides had finished.
    virtual void streamFailed(LinkStreamId stream, const LinkError& error) = 0;
    /// Everything queued on a stream that asked for this notice was handed to the connection.
    virtual void streamDrained(LinkStreamId stream) = 0;
    /// Any octets came from the other side, answers to pings included.
    virtual void bytesReceived() = 0;
    /// The connection is gone. Streams that were open have failed before.
    virtual void sessionClosed(const LinkError& error) = 0;
};

/// Octets that went through a session, with framing.
struct LinkTraffic {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

/// One HTTP/2 connection between two processes of the system. Every stream carries messages: octets behind a 4-byte
/// length. Flow control is per stream: the receiver gives credit back with `consume`.
class LinkSession {
public:
    static std::unique_ptr<LinkSession> create(GObjectPtr<GSocketConnection> connection, LinkRole role, LinkSessionObserver& observer);
    ~LinkSession();
    LinkSession(const LinkSession&) = delete;
    LinkSession& operator=(const LinkSession&) = delete;

    /// Client only. Opens a stream to `path` in the name of the host `from`; the connection may fail it later.
    LinkStreamId openStream(std::string_view path, const HostId& from);
    void sendMessage(LinkStreamId stream, BytesView message);
    /// Declares the last message sent.
    void finishStream(LinkStreamId stream);
    void resetStream(LinkStreamId stream);
    /// Gives `bytes` of credit back to the sender, after messages of that size were dealt with.
    void consume(LinkStreamId stream, std::size_t bytes);
    /// Octets queued for the stream that the other side has not given credit for.
    std::size_t unsentBytes(LinkStreamId stream) const;
    /// Asks for one `streamDrained` when nothing is queued any more.
    void notifyWhenDrained(LinkStreamId stream);

    void ping();
    /// Asks the other side to open no more streams.
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
