#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/gateway/fleet_config.hpp"
#include "hornbeamgate/gateway/shared_token_bucket.hpp"

#include <map>

namespace hornbeamgate::gateway {

/// Units that a daemon drew for each workspace since it started.
using DrawnUnits = std::map<WorkspaceId, std::int64_t>;

/// Rates of all workspaces, as one daemon of the fleet sees them.
class WorkspaceRateLimiter {
public:
    void setLimits(const std::vector<WorkspaceRule>& workspaces, MonotonicTime now);
    void setFleet(std::size_t heard, std::size_t known, MonotonicTime now);

    /// Draws from the workspace's rate; true also where it has none.
    bool draw(const WorkspaceId& workspace, std::int64_t units, MonotonicTime now);
    /// Gives back what a request drew that certainly did not run.
    void refund(const WorkspaceId& workspace, std::int64_t units, MonotonicTime now);
    MonotonicTime nextDraw(const WorkspaceId& workspace, MonotonicTime now);

    const DrawnUnits& drawn() const { return m_drawn; }
    /// Charges what another daemon drew since its last report. The first report of a start only sets the base.
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
