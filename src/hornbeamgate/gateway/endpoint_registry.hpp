#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/socket_address.hpp"
#include "hornbeamgate/base/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hornbeamgate::gateway {

/// Directory entry of an endpoint, as registered by the endpoint.
struct EndpointEntry {
    EndpointId id;
    Incarnation incarnation; ///< start time of the process as a Unix time in milliseconds
    std::uint64_t sequence = 0; ///< number of this entry within the incarnation; 0 if not stated
    ServiceId service;
    std::string version; ///< of the software; empty if not stated
    SocketAddress address;
    DataCenterId dataCenter;
    int slots = 1; ///< number of requests that it runs concurrently
    bool isLeaving = false;
    std::map<ModelId, WeightsVersion> weights;
};

/// Endpoints listed in the directory, with a grace period after a directory outage.
///
/// During an outage entries expire although their endpoints are running. An entry that is withdrawn within
/// `kReregistrationGrace` of the directory's recovery stays in use until the grace period ends, so that endpoints have
/// time to register again.
class EndpointRegistry {
public:
    /// Endpoints whose entries expired during an outage register again within two seconds of its end.
    static constexpr std::chrono::milliseconds kReregistrationGrace { 2200 };
    /// Removed endpoints are remembered for longer than a copy of the directory is old.
    static constexpr std::chrono::minutes kRemovedRetention { 10 };

    /// Returns whether `entry` is older than what is known of its endpoint, or not newer than the last entry before the
    /// endpoint's removal. A directory that has come back from an older copy lists such entries.
    bool isOutdated(const EndpointEntry& entry) const;

    /// Adds or replaces the entry of an endpoint. An outdated entry is ignored.
    void put(EndpointEntry entry);

    /// Handles the withdrawal of an entry. Returns true if the endpoint was removed immediately.
    bool withdraw(const EndpointId& id, MonotonicTime now);

    /// Starts the grace period after the directory has become available again.
    void directoryRecovered(MonotonicTime now) { m_graceEnd = now + kReregistrationGrace; }

    /// Replaces all entries with a complete listing. Entries missing from it are withdrawn.
    void replaceAll(std::vector<EndpointEntry> entries, MonotonicTime now);

    /// Removes withdrawn entries whose grace period has passed and returns their IDs.
    std::vector<EndpointId> expire(MonotonicTime now);

    /// Records the weights version stated in a response, which is more recent than the directory entry.
    void recordWeights(const EndpointId& id, const ModelId& model, WeightsVersion version);

    const EndpointEntry* find(const EndpointId& id) const;
    const std::map<EndpointId, EndpointEntry>& entries() const { return m_entries; }

private:
    std::map<EndpointId, EndpointEntry> m_entries;
    /// Last entry of an endpoint that was removed.
    struct Removed {
        Incarnation incarnation;
        std::uint64_t sequence = 0;
        MonotonicTime forgetAt {};
    };

    void remove(const EndpointId& id, MonotonicTime now);

    std::map<EndpointId, MonotonicTime> m_withdrawn; ///< time of removal unless the endpoint registers again
    std::map<EndpointId, Removed> m_removed;
    MonotonicTime m_graceEnd {};
};

} // namespace hornbeamgate::gateway
