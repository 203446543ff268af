#pragma once

#include "hornbeamgate/gateway/fleet_config.hpp"

#include <string>
#include <unordered_set>
#include <vector>

namespace hornbeamgate::gateway {

/// Cache domains of the workspaces of one configuration. Requests find cached blocks only in their own domain.
///
/// An isolated workspace has a domain of its own. All others share one domain, which is another one for each set of
/// isolated workspaces: blocks that a workspace made before it was isolated stay behind in the domain that it shared then.
/// The domains follow from the configuration alone, so that all daemons use the same ones without exchanging messages.
class CacheDomains {
public:
    explicit CacheDomains(const std::vector<WorkspaceRule>& workspaces);

    /// Returns the domain of a workspace's requests. A workspace that the configuration does not have counts as isolated.
    std::string domainOf(const WorkspaceId& workspace) const;

    /// Returns the domain of the workspaces that are not isolated and of requests without a workspace. Empty if no workspace
    /// is isolated.
    const std::string& shared() const { return m_shared; }

    std::size_t isolatedCount() const { return m_isolatedCount; }

private:
    std::unordered_set<WorkspaceId> m_sharingWorkspaces;
    std::size_t m_isolatedCount = 0;
    std::string m_shared;
};

/// Returns the domain of those blocks of `domain` that certain weights computed. Different pairs give different domains, and
/// none gives a domain without weights.
std::string domainOfWeights(const std::string& domain, WeightsVersion weights);

} // namespace hornbeamgate::gateway
