#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/socket_address.hpp"
#include "hornbeamgate/base/time.hpp"

#include <map>
#include <optional>
#include <vector>

namespace hornbeamgate::gateway {

/// Table of the other daemons and of the last time each of them was heard.
///
/// A daemon that stops reporting counts as running for some time, because it may be partitioned and still serve requests.
/// A daemon that was never heard counts only briefly, because its registration may be left over from a removed host.
class PeerTable {
public:
    /// Reports are sent several times a second, so this tolerates the loss of several reports.
    static constexpr std::chrono::milliseconds kHeardTimeout { 1500 };
    /// Longer than a typical network partition.
    static constexpr std::chrono::milliseconds kRunningTimeout { 12000 };
    /// A running daemon is heard within a second of its registration.
    static constexpr std::chrono::milliseconds kNeverHeardTimeout { 4000 };

    void add(const HostId& host, const SocketAddress& address, Incarnation incarnation, MonotonicTime now);
    void remove(const HostId& host) { m_peers.erase(host); }
    /// Records a report. Returns false if the host is not registered.
    bool heard(const HostId& host, bool isLeaving, MonotonicTime now);

    /// Returns whether `host` was heard recently and is not leaving.
    bool isRunningAndHeard(const HostId& host, MonotonicTime now) const;
    std::size_t heardCount(MonotonicTime now) const;
    /// Returns the number of heard daemons that started after `incarnation` and are not leaving. During a rolling restart
    /// these are the daemons that have already been restarted.
    std::size_t heardStartedAfter(Incarnation incarnation, MonotonicTime now) const;
    /// Returns the number of daemons that may be running, including those that are heard.
    std::size_t runningCount(MonotonicTime now) const;
    /// Returns the daemons that may be running, sorted.
    std::vector<HostId> running(MonotonicTime now) const;
    std::vector<SocketAddress> addresses() const;
    const SocketAddress* addressOf(const HostId& host) const;

private:
    struct Peer {
        bool isHeard(MonotonicTime now) const { return heardAt && now < *heardAt + kHeardTimeout; }
        bool mayBeRunning(MonotonicTime now) const { return now < (heardAt ? *heardAt + kRunningTimeout : addedAt + kNeverHeardTimeout); }

        SocketAddress address;
        Incarnation incarnation;
        MonotonicTime addedAt;
        bool isLeaving = false;
        std::optional<MonotonicTime> heardAt;
    };

    std::map<HostId, Peer> m_peers;
};

} // namespace hornbeamgate::gateway
