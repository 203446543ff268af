#pragma once

#include "hornbeamgate/gateway/fleet_config.hpp"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hornbeamgate::gateway {

/// Look-ups in one version of the configuration. Immutable; a new version makes a new table.
class RouteTable {
public:
    explicit RouteTable(FleetConfig config);

    const FleetConfig& config() const { return m_config; }

    /// Route with the longest prefix of `path` at `authority`, or null.
    const RouteRule* findRoute(std::string_view authority, std::string_view path) const;

    /// Workspace that holds `secret`, or null.
    const WorkspaceRule* findWorkspace(std::string_view secret) const;

    /// Service for a request, drawn by the route's weights; the same `requestHash` gives the same service.
    static const ServiceId& chooseService(const RouteRule& route, std::uint64_t requestHash);

private:
    FleetConfig m_config;
    std::unordered_map<std::string, std::vector<std::size_t>> m_routesByAuthority; ///< longest prefix first
    std::unordered_map<std::string, std::size_t> m_workspaceByKey;
};

} // namespace hornbeamgate::gateway
