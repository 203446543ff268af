#include "hornbeamgate/gateway/peer_table.hpp"

#include <algorithm>

namespace hornbeamgate::gateway {

void PeerTable::add(const HostId& host, const SocketAddress& address, Incarnation incarnation, MonotonicTime now)
{
    auto [found, isNew] = m_peers.try_emplace(host, Peer { address, incarnation, now, false, {} });
    if (!isNew && incarnation >= found->second.incarnation) {
        found->second.address = address;
        found->second.incarnation = incarnation;
    }
}

bool PeerTable::heard(const HostId& host, bool isLeaving, MonotonicTime now)
{
    const auto found = m_peers.find(host);
    if (found == m_peers.end())
        return false;
    found->second.heardAt = now;
    found->second.isLeaving = isLeaving;
    return true;
}

bool PeerTable::isRunningAndHeard(const HostId& host, MonotonicTime now) const
{
    const auto found = m_peers.find(host);
    return found != m_peers.end() && found->second.isHeard(now) && !found->second.isLeaving;
}

std::size_t PeerTable::heardCount(MonotonicTime now) const
{
    return static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), [now](const auto& entry) { return entry.second.isHeard(now); }));
}

std::size_t PeerTable::heardStartedAfter(Incarnation incarnation, MonotonicTime now) const
{
    return static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& entry) {
        return entry.second.isHeard(now) && !entry.second.isLeaving && entry.second.incarnation > incarnation;
    }));
}

std::size_t PeerTable::runningCount(MonotonicTime now) const
{
    return static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), [now](const auto& entry) { return entry.second.mayBeRunning(now); }));
}

std::vector<HostId> PeerTable::running(MonotonicTime now) const
{
    std::vector<HostId> hosts;
    for (const auto& [host, peer] : m_peers) {
        if (peer.mayBeRunning(now))
            hosts.push_back(host);
    }
    return hosts;
}

std::vector<SocketAddress> PeerTable::addresses() const
{
    std::vector<SocketAddress> addresses;
    for (const auto& [host, peer] : m_peers)
        addresses.push_back(peer.address);
    return addresses;
}

const SocketAddress* PeerTable::addressOf(const HostId& host) const
{
    const auto found = m_peers.find(host);
    return found == m_peers.end() ? nullptr : &found->second.address;
}

} // namespace hornbeamgate::gateway
