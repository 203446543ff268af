#pragma once

#include "hornbeamgate/runtime/net/tcp_stream.hpp"

#include <cstdint>
#include <list>
#include <map>

namespace hornbeamgate::gateway {

/// Idle HTTP connections by peer address.
///
/// A peer may forget idle connections earlier than it says. A connection that breaks on reuse shortens the idle time
/// that is trusted at that peer.
class HttpConnectionPool {
public:
    /// Idle connection, as long as none was idle for longer than the peer is trusted to keep it; else null.
    std::unique_ptr<TcpStream> take(const SocketAddress& peer, MonotonicTime now);

    /// Keeps a connection with no exchange in progress until `expiresAt`.
    void put(const SocketAddress& peer, std::unique_ptr<TcpStream> stream, MonotonicTime expiresAt, MonotonicTime now);

    /// A connection broke on reuse after it had been idle for `idleTime`.
    void recordFailedReuse(const SocketAddress& peer, Duration idleTime);

    /// Time for which the stream taken last from `peer` had been idle.
    Duration lastIdleTime() const { return m_lastIdleTime; }

    std::uint64_t opened() const { return m_opened; }
    std::uint64_t reused() const { return m_reused; }
    void recordOpened() { ++m_opened; }

private:
    struct Idle {
        std::unique_ptr<TcpStream> stream;
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
    Liveness m_liveness;
};

} // namespace hornbeamgate::gateway
