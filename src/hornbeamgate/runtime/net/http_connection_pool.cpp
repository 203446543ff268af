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

std::unique_ptr<TcpStream> HttpConnectionPool::take(const SocketAddress& peer, MonotonicTime now)
{
    const auto found = m_peers.find(peer.text());
    if (found == m_peers.end())
        return nullptr;
    auto& idle = found->second.idle;
    std::erase_if(idle, [&](const Idle& entry) {
        return now >= entry.expiresAt || now - entry.since > found->second.trustedIdleTime || !entry.stream->hasNoInput();
    });
    if (idle.empty())
        return nullptr;
    // The peer is least likely to have closed the most recently used connection.
    auto stream = std::move(idle.back().stream);
    m_lastIdleTime = now - idle.back().since;
    idle.pop_back();
    ++m_reused;
    return stream;
}

void HttpConnectionPool::put(const SocketAddress& peer, std::unique_ptr<TcpStream> stream, MonotonicTime expiresAt, MonotonicTime now)
{
    auto& idle = peerAt(peer).idle;
    if (idle.size() >= kMaxIdlePerPeer)
        idle.pop_front();
    const auto* raw = stream.get();
    // Removed at once, since a request may take the connection before the next iteration of the main loop.
    const auto drop = [this, key = peer.text(), raw] { remove(key, raw); };
    stream->setHandlers({ {}, [drop](std::string_view) { drop(); }, [drop](StreamEnd, const std::string&) { drop(); } });
    idle.push_back({ std::move(stream), now, expiresAt });
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
        std::erase_if(found->second.idle, [stream](const Idle& entry) { return entry.stream.get() == stream; });
}

} // namespace hornbeamgate::gateway
