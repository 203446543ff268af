#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/socket_address.hpp"
#include "hornbeamgate/base/time.hpp"

#include <map>
#include <optional>
#include <vector>

namespace hornbeamgate::gateway {

/// Other daemons, and which of them are heard.
///
/// A daemon that falls silent still counts as running for a while, because it may be cut off and go on serving. One
/// that was never heard counts only briefly: its registration may be left over from a host that is gone.
class PeerTable {
public:
    /// Reports come several times a second, so this is well over the loss of a few.
    static constexpr std::chrono::milliseconds kHeardTimeout { 1500 };
    /// Longer than a partition usually lasts.
    static constexpr std::chrono::milliseconds kRunningTimeout { 12000 };
    /// A daemon that runs is heard within a second of its registration.
    static constexpr std::chrono::milliseconds kNeverHeardTimeout { 4000 };

    void add(const HostId& host, const SocketAddress& address, Incarnation incarnation, MonotonicTime now);
    void remove(const HostId& host) { m_peers.erase(host); }
    /// Notes a report. False when the host is not registered.
    bool heard(const HostId& host, bool isLeaving, MonotonicTime now);

    std::size_t heardCount(MonotonicTime now) const;
    /// Daemons that are heard, started after `incarnation` and stay. While daemons are restarted in turn, these are the
    /// ones that have had their turn.
    std::size_t heardStartedAfter(Incarnation incarnation, MonotonicTime now) const;
    /// Daemons that may be running, heard ones included.
    std::size_t runningCount(MonotonicTime now) const;
    std::vector<SocketAddress> addresses() const;
    const SocketAddress* addressOf(const HostId& host) const;

private:
    struct Peer {
        bool isHeard(MonotonicTime now) const { return heardAt && now < *heardAt + kHeardTimeout; }

        SocketAddress address;
        Incarnation incarnation;
        MonotonicTime addedAt;
        bool isLeaving = false;
        std::optional<MonotonicTime> heardAt;
    };

    std::map<HostId, Peer> m_peers;
};

} // namespace hornbeamgate::gateway
