#include "hornbeamgate/gateway/cache_domains.hpp"

#include "hornbeamgate/base/digest.hpp"

#include <algorithm>
#include <array>

namespace hornbeamgate::gateway {

namespace {

    // The prefixes keep a workspace from having the name of a shared domain, or of one of some weights, which begins with a digit.
    constexpr std::string_view kIsolatedPrefix = "workspace/";
    constexpr std::string_view kSharedPrefix = "shared/";
    constexpr std::size_t kDigestBytes = 16;

} // namespace

CacheDomains::CacheDomains(const std::vector<WorkspaceRule>& workspaces)
{
    std::vector<std::string_view> isolated;
    for (const auto& workspace : workspaces) {
        if (workspace.isIsolated)
            isolated.push_back(workspace.id.value());
        else
            m_sharingWorkspaces.insert(workspace.id);
    }
    m_isolatedCount = isolated.size();
    if (isolated.empty())
        return;
    std::sort(isolated.begin(), isolated.end());
    std::array<std::uint8_t, kDigestBytes> digest {};
    hashParts(isolated, digest);
    m_shared = std::string(kSharedPrefix) + toHex(digest);
}

std::string CacheDomains::domainOf(const WorkspaceId& workspace) const
{
    if (m_sharingWorkspaces.contains(workspace))
        return m_shared;
    return std::string(kIsolatedPrefix) + workspace.value();
}

std::string domainOfWeights(const std::string& domain, WeightsVersion weights)
{
    return std::to_string(weights.value()) + '/' + domain;
}

} // namespace hornbeamgate::gateway
