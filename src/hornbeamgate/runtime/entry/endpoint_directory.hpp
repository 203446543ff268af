#pragma once

#include "hornbeamgate/config/rule_set.hpp"
#include "hornbeamgate/settings/settings_reader.hpp"
#include "hornbeamgate/streams/endpoint_status.hpp"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace hornbeamgate {

/// Link address and data centre of an agent.
struct AgentLocation {
    HostId host;
    SocketAddress link;
    DataCenterId dataCenter;

    bool operator==(const AgentLocation&) const = default;
};

/// Configured endpoint with its agent's location and latest reported status.
struct DirectoryEntry {
    EndpointId endpoint;
    HostId host;
    ServiceId service; ///< empty for an engine
    std::optional<AgentLocation> place; ///< nullopt until the host appears in the host list
    std::optional<EndpointStatus> status; ///< nullopt until the agent has reported

    bool acceptsRequests() const;
};

/// Tracks the location and status of all configured endpoints.
class EndpointDirectory {
public:
    /// Called after the status of an endpoint was updated; `before` is the previous status.
    using ChangeHandler = std::function<void(const DirectoryEntry& now, const std::optional<EndpointStatus>& before)>;

    explicit EndpointDirectory(ChangeHandler onChanged);

    void setRules(const RuleSet& rules);
    void setAgentLocations(const std::vector<AgentLocation>& places);
    void setStatus(const EndpointStatus& status);
    /// Marks an endpoint as down because its agent does not respond.
    void setUnreachable(const EndpointId& endpoint);

    const DirectoryEntry* find(const EndpointId& endpoint) const;
    const std::map<EndpointId, DirectoryEntry>& entries() const { return m_entries; }

    /// Returns the endpoints of `service` that accept requests, ordered by rendezvous hashing of `key`, so that every host
    /// prefers the same endpoint for a key.
    std::vector<EndpointId> serviceEndpoints(const ServiceId& service, std::uint64_t key) const;

    nlohmann::json dump() const;

private:
    void updateAgentLocation(DirectoryEntry& entry);

    ChangeHandler m_onChanged;
    std::map<EndpointId, DirectoryEntry> m_entries;
    std::map<HostId, AgentLocation> m_agentLocations;
};

} // namespace hornbeamgate
