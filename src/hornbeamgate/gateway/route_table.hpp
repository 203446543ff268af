#pragma once

#include "hornbeamgate/gateway/cache_domains.hpp"
#include "hornbeamgate/gateway/fleet_config.hpp"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hornbeamgate::gateway {

/// Lookup table for one configuration version. Immutable; each new version is given a new table.
class RouteTable {
public:
    explicit RouteTable(FleetConfig config);

    const FleetConfig& config() const { return m_config; }
    const CacheDomains& cacheDomains() const { return m_cacheDomains; }

    /// Returns the route at `authority` with the longest matching prefix of `path`, or null.
    const RouteRule* findRoute(std::string_view authority, std::string_view path) const;

    /// Returns the workspace with the API key `secret`, or null.
    const WorkspaceRule* findWorkspace(std::string_view secret) const;

    /// Selects a service according to the route's weights. The same `requestHash` always selects the same service.
    static const ServiceId& chooseService(const RouteRule& route, std::uint64_t requestHash);

private:
    FleetConfig m_config;
    CacheDomains m_cacheDomains;
    std::unordered_map<std::string, std::vector<std::size_t>> m_routesByAuthority; ///< longest prefix first
    std::unordered_map<std::string, std::size_t> m_workspaceByKey;
};

} // namespace hornbeamgate::gateway
