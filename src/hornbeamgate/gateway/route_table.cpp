#include "hornbeamgate/gateway/route_table.hpp"

#include <algorithm>

namespace hornbeamgate::gateway {

RouteTable::RouteTable(FleetConfig config)
    : m_config(std::move(config))
    , m_cacheDomains(m_config.workspaces)
{
    for (std::size_t i = 0; i < m_config.routes.size(); ++i)
        m_routesByAuthority[m_config.routes[i].authority].push_back(i);
    for (auto& [authority, routes] : m_routesByAuthority) {
        std::stable_sort(routes.begin(), routes.end(), [this](std::size_t left, std::size_t right) {
            return m_config.routes[left].pathPrefix.size() > m_config.routes[right].pathPrefix.size();
        });
    }
    for (std::size_t i = 0; i < m_config.workspaces.size(); ++i) {
        for (const auto& key : m_config.workspaces[i].keys)
            m_workspaceByKey.emplace(key, i);
    }
}

const RouteRule* RouteTable::findRoute(std::string_view authority, std::string_view path) const
{
    const auto found = m_routesByAuthority.find(std::string(authority));
    if (found == m_routesByAuthority.end())
        return nullptr;
    for (const auto index : found->second) {
        if (path.starts_with(m_config.routes[index].pathPrefix))
            return &m_config.routes[index];
    }
    return nullptr;
}

const WorkspaceRule* RouteTable::findWorkspace(std::string_view secret) const
{
    const auto found = m_workspaceByKey.find(std::string(secret));
    return found == m_workspaceByKey.end() ? nullptr : &m_config.workspaces[found->second];
}

const ServiceId& RouteTable::chooseService(const RouteRule& route, std::uint64_t requestHash)
{
    std::uint64_t total = 0;
    for (const auto& share : route.services)
        total += share.weight;
    auto left = total > 0 ? requestHash % total : 0;
    for (const auto& share : route.services) {
        if (left < share.weight)
            return share.service;
        left -= share.weight;
    }
    return route.services.back().service;
}

} // namespace hornbeamgate::gateway
