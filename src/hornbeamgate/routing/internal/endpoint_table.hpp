#pragma once

#include "hornbeamgate/routing/internal/block_location_table.hpp"
#include "hornbeamgate/routing/router.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace hornbeamgate::internal {

/// Request placed by this daemon that has not produced its first piece yet.
struct PendingPrefill {
    RequestId request;
    MonotonicTime placedAt;
    Duration work {};
};

/// Routing state of one endpoint.
struct EndpointState {
    EndpointId id;
    Incarnation incarnation;
    CacheEpoch epoch = 0;
    std::size_t path = 0; ///< index into RouterOptions::paths
    std::vector<ServedModel> models;
    bool live = false;
    bool leaving = false;
    MonotonicTime readySince;
    MonotonicTime avoidUntil;
    std::uint32_t running = 0;
    Duration queuedWork {};
    MonotonicTime reportedAt;
    std::vector<PendingPrefill> waiting;
    std::uint32_t ownInFlight = 0;

    bool takesRequests() const { return live && !leaving; }
};

/// Table of endpoints, indexed by slot and by served model. Slots stay valid for the lifetime of the table.
class EndpointTable {
public:
    explicit EndpointTable(std::vector<DataCenterPath> paths);

    void up(const EndpointUp& event);
    void down(const EndpointDown& event);
    void leaving(const EndpointLeaving& event);
    void report(const LoadReported& event);

    /// Returns the slot of the endpoint if it is live with exactly this incarnation.
    std::optional<EndpointSlot> find(const EndpointId& endpoint, Incarnation incarnation) const;
    std::optional<EndpointSlot> find(const EndpointId& endpoint) const;

    EndpointState& operator[](EndpointSlot slot) { return m_states[slot]; }
    const EndpointState& operator[](EndpointSlot slot) const { return m_states[slot]; }
    const std::vector<EndpointState>& states() const { return m_states; }

    /// Returns the slots of the endpoints that accept requests for `model` in exactly this weights version.
    const std::vector<EndpointSlot>& servers(const ServedModel& model);

    const DataCenterPath& pathOf(const EndpointState& state) const { return m_paths[state.path]; }

    std::size_t stateBytes() const;

private:
    EndpointSlot slotFor(const EndpointId& endpoint);
    std::optional<std::size_t> pathTo(const DataCenterId& dataCenter) const;
    void invalidateCache(EndpointState& state);
    static void clearPendingWork(EndpointState& state);
    void rebuildServers();

    std::vector<DataCenterPath> m_paths;
    std::vector<EndpointState> m_states;
    std::unordered_map<EndpointId, EndpointSlot> m_slots;
    std::map<std::pair<ModelId, WeightsVersion>, std::vector<EndpointSlot>> m_servers;
    bool m_serversStale = false;
    CacheEpoch m_lastEpoch = 0;
};

/// Estimates the queued prefill time at the endpoint: the last reported value less the time elapsed since, plus the placements
/// that this daemon made after the report.
Duration estimateQueueDelay(const EndpointState& state, MonotonicTime now);

} // namespace hornbeamgate::internal
