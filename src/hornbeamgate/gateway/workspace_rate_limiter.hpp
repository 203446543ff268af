#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/gateway/fleet_config.hpp"
#include "hornbeamgate/gateway/shared_token_bucket.hpp"

#include <map>

namespace hornbeamgate::gateway {

/// Units that a daemon has drawn for each workspace since it started.
using DrawnUnits = std::map<WorkspaceId, std::int64_t>;

/// Enforces the rate limits of all workspaces on one daemon of the fleet.
class WorkspaceRateLimiter {
public:
    void setLimits(const std::vector<WorkspaceRule>& workspaces, MonotonicTime now);
    void setFleet(std::size_t heard, std::size_t known, MonotonicTime now);

    /// Draws units from the workspace's bucket. Returns true if the workspace has no limit.
    bool draw(const WorkspaceId& workspace, std::int64_t units, MonotonicTime now);
    /// Returns the units of a request that certainly was not executed.
    void refund(const WorkspaceId& workspace, std::int64_t units, MonotonicTime now);
    MonotonicTime nextDraw(const WorkspaceId& workspace, MonotonicTime now);

    const DrawnUnits& drawn() const { return m_drawn; }
    /// Charges the units that another daemon drew since its last report. The first report after its start only sets the
    /// baseline.
    void peerReported(const HostId& peer, Incarnation incarnation, const DrawnUnits& drawn, MonotonicTime now);

private:
    struct Peer {
        Incarnation incarnation;
        DrawnUnits drawn;
    };

    std::map<WorkspaceId, SharedTokenBucket> m_buckets;
    DrawnUnits m_drawn;
    std::map<HostId, Peer> m_peers;
    std::size_t m_heard = 1;
    std::size_t m_known = 1;
};

} // namespace hornbeamgate::gateway
