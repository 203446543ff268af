#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/socket_address.hpp"
#include "hornbeamgate/base/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hornbeamgate::gateway {

/// What an endpoint says of itself in the directory.
struct EndpointEntry {
    EndpointId id;
    Incarnation incarnation; ///< start of the process, as a Unix time in milliseconds
    ServiceId service;
    SocketAddress address;
    DataCenterId dataCenter;
    int slots = 1; ///< requests that it runs at once
    bool isLeaving = false;
    std::map<ModelId, WeightsVersion> weights;
};

/// Endpoints that the directory names, and how the end of a directory outage changes that.
///
/// An outage lets entries lapse although their endpoints live. An entry that is withdrawn within `kReregistrationGrace` of the
/// directory's return stays in use until the grace ends, so that endpoints have time to register again.
class EndpointRegistry {
public:
    /// Directory entries that lapsed in an outage are back within two seconds of its end.
    static constexpr std::chrono::milliseconds kReregistrationGrace { 2200 };

    /// Puts the newest entry of an endpoint in force. An entry of an older incarnation is ignored.
    void put(EndpointEntry entry);

    /// Handles the withdrawal of an entry. Returns true when the endpoint left the roster now.
    bool withdraw(const EndpointId& id, MonotonicTime now);

    /// Notes that the directory answers again after it had been silent.
    void directoryRecovered(MonotonicTime now) { m_graceEnd = now + kReregistrationGrace; }

    /// Replaces all entries by a complete listing. Those that are missing are withdrawn.
    void replaceAll(std::vector<EndpointEntry> entries, MonotonicTime now);

    /// Drops withdrawn entries whose grace has passed; returns their names.
    std::vector<EndpointId> expire(MonotonicTime now);

    /// Notes weights that an answer of the endpoint names, which is newer than its entry.
    void recordWeights(const EndpointId& id, const ModelId& model, WeightsVersion version);

    const EndpointEntry* find(const EndpointId& id) const;
    const std::map<EndpointId, EndpointEntry>& entries() const { return m_entries; }

private:
    std::map<EndpointId, EndpointEntry> m_entries;
    std::map<EndpointId, MonotonicTime> m_withdrawn; ///< to be dropped then, unless registered again
    MonotonicTime m_graceEnd {};
};

} // namespace hornbeamgate::gateway
