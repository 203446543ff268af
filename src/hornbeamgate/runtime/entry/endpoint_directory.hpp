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

/// Where an agent can be reached.
struct AgentLocation {
    HostId host;
    SocketAddress link;
    DataCenterId dataCenter;

    bool operator==(const AgentLocation&) const = default;
};

/// Endpoint of the rules together with its agent's place and what the agent last told.
struct DirectoryEntry {
    EndpointId endpoint;
    HostId host;
    ServiceId service; ///< empty for an engine
    std::optional<AgentLocation> place; ///< nothing while the host is not known
    std::optional<EndpointStatus> status; ///< nothing until the agent told something

    bool acceptsRequests() const;
};

/// Endpoints that the rules name, where their agents are, and their state.
class EndpointDirectory {
public:
    /// Called after an endpoint's state changed; `before` is its state up to then.
    using ChangeHandler = std::function<void(const DirectoryEntry& now, const std::optional<EndpointStatus>& before)>;

    explicit EndpointDirectory(ChangeHandler onChanged);

    void setRules(const RuleSet& rules);
    void setAgentLocations(const std::vector<AgentLocation>& places);
    void setStatus(const EndpointStatus& status);
    /// The agent of the endpoint does not answer any more.
    void setUnreachable(const EndpointId& endpoint);

    const DirectoryEntry* find(const EndpointId& endpoint) const;
    const std::map<EndpointId, DirectoryEntry>& entries() const { return m_entries; }

    /// Endpoints of `service` that take work, the best for `key` first. Equal keys get the same order on every host.
    std::vector<EndpointId> serviceEndpoints(const ServiceId& service, std::uint64_t key) const;

    nlohmann::json dump() const;

private:
    void updateAgentLocation(DirectoryEntry& entry);

    ChangeHandler m_onChanged;
    std::map<EndpointId, DirectoryEntry> m_entries;
    std::map<HostId, AgentLocation> m_agentLocations;
};

} // namespace hornbeamgate
