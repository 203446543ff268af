#include "hornbeamgate/runtime/net/http_connection_pool.hpp"

#include <algorithm>

namespace hornbeamgate::gateway {

namespace {

    /// Maximum number of idle connections per peer; above the usual number of concurrent requests that one daemon sends
    /// to a peer.
    constexpr std::size_t kMaxIdlePerPeer = 16;
    /// Initial trusted idle time; servers rarely have a shorter idle timeout.
    constexpr std::chrono::milliseconds kInitialTrustedIdleTime { 5000 };

} // namespace

std::optional<HttpConnection> HttpConnectionPool::take(const SocketAddress& peer, MonotonicTime now, std::span<const ConnectionNumber> excluded)
{
    const auto found = m_peers.find(peer.text());
    if (found == m_peers.end())
        return std::nullopt;
    auto& idle = found->second.idle;
    std::erase_if(idle, [&](const Idle& entry) {
        return now >= entry.expiresAt || now - entry.since > found->second.trustedIdleTime || !entry.connection.stream->hasNoInput();
    });
    // The peer is least likely to have closed the most recently used connection.
    const auto isUsable = [excluded](const Idle& entry) { return std::find(excluded.begin(), excluded.end(), entry.connection.number) == excluded.end(); };
    const auto newest = std::find_if(idle.rbegin(), idle.rend(), isUsable);
    if (newest == idle.rend())
        return std::nullopt;
    auto connection = std::move(newest->connection);
    m_lastIdleTime = now - newest->since;
    idle.erase(std::next(newest).base());
    ++m_reused;
    return connection;
}

void HttpConnectionPool::put(const SocketAddress& peer, HttpConnection connection, MonotonicTime expiresAt, MonotonicTime now)
{
    auto& idle = peerAt(peer).idle;
    if (idle.size() >= kMaxIdlePerPeer)
        idle.pop_front();
    connection.stream->pauseReading(false);
    const auto* raw = connection.stream.get();
    // Removed at once, since a request may take the connection before the next iteration of the main loop.
    const auto drop = [this, key = peer.text(), raw] { remove(key, raw); };
    connection.stream->setHandlers({ {}, [drop](std::string_view) { drop(); }, [drop](StreamEnd, const std::string&) { drop(); } });
    idle.push_back({ std::move(connection), now, expiresAt });
}

void HttpConnectionPool::recordFailedReuse(const SocketAddress& peer, Duration idleTime)
{
    auto& trusted = peerAt(peer).trustedIdleTime;
    trusted = std::min(trusted, idleTime / 2);
}

HttpConnectionPool::Peer& HttpConnectionPool::peerAt(const SocketAddress& address)
{
    return m_peers.try_emplace(address.text(), Peer { {}, kInitialTrustedIdleTime }).first->second;
}

void HttpConnectionPool::remove(const std::string& peer, const TcpStream* stream)
{
    const auto found = m_peers.find(peer);
    if (found != m_peers.end())
        std::erase_if(found->second.idle, [stream](const Idle& entry) { return entry.connection.stream.get() == stream; });
}

} // namespace hornbeamgate::gateway
