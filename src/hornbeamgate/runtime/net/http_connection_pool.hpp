#pragma once

#include "hornbeamgate/base/strong_id.hpp"
#include "hornbeamgate/runtime/net/tcp_stream.hpp"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <span>

namespace hornbeamgate::gateway {

/// Number of a connection, unique within its pool.
using ConnectionNumber = StrongNumber<struct ConnectionNumberTag>;

/// Connection that belongs to an exchange or lies idle in a pool.
struct HttpConnection {
    std::unique_ptr<TcpStream> stream;
    ConnectionNumber number;
};

/// Pool of idle HTTP connections, keyed by peer address.
///
/// A peer may close idle connections earlier than it announces. When a connection breaks on reuse, the idle time up to
/// which connections to that peer are reused is shortened.
class HttpConnectionPool {
public:
    /// Removes an idle connection from the pool and returns it, if there is one that is not among `excluded`. Expired
    /// connections and those idle for longer than the trusted idle time of the peer are discarded first.
    std::optional<HttpConnection> take(const SocketAddress& peer, MonotonicTime now, std::span<const ConnectionNumber> excluded = {});

    /// Adds a connection with no exchange in progress, and reads on if its last exchange paused reading. It is not reused
    /// after `expiresAt`.
    void put(const SocketAddress& peer, HttpConnection connection, MonotonicTime expiresAt, MonotonicTime now);

    /// Records that a connection broke on reuse after being idle for `idleTime`, which limits later reuse to half of it.
    void recordFailedReuse(const SocketAddress& peer, Duration idleTime);

    /// Idle time of the connection that `take` returned last.
    Duration lastIdleTime() const { return m_lastIdleTime; }

    std::uint64_t opened() const { return m_opened; }
    std::uint64_t reused() const { return m_reused; }
    /// Number of responses that belonged to no pending request, such as late second copies.
    std::uint64_t skippedResponses() const { return m_skippedResponses; }
    void recordSkippedResponse() { ++m_skippedResponses; }
    /// Counts a new connection and returns its number.
    ConnectionNumber recordOpened() { return ConnectionNumber(++m_opened); }

private:
    struct Idle {
        HttpConnection connection;
        MonotonicTime since;
        MonotonicTime expiresAt;
    };
    struct Peer {
        std::list<Idle> idle;
        Duration trustedIdleTime;
    };

    Peer& peerAt(const SocketAddress& address);
    void remove(const std::string& peer, const TcpStream* stream);

    std::map<std::string, Peer> m_peers;
    Duration m_lastIdleTime {};
    std::uint64_t m_opened = 0;
    std::uint64_t m_reused = 0;
    std::uint64_t m_skippedResponses = 0;
};

} // namespace hornbeamgate::gateway
