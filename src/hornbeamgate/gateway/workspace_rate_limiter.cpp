#include "hornbeamgate/gateway/workspace_rate_limiter.hpp"

namespace hornbeamgate::gateway {

void WorkspaceRateLimiter::setLimits(const std::vector<WorkspaceRule>& workspaces, MonotonicTime now)
{
    std::map<WorkspaceId, SharedTokenBucket> buckets;
    for (const auto& workspace : workspaces) {
        if (workspace.unitsPerSecond <= 0)
            continue;
        const auto known = m_buckets.find(workspace.id);
        auto bucket = known != m_buckets.end() ? known->second : SharedTokenBucket(workspace.unitsPerSecond, workspace.burst, now);
        bucket.setLimits(workspace.unitsPerSecond, workspace.burst, now);
        bucket.setFleet(m_heard, m_known, now);
        buckets.emplace(workspace.id, bucket);
    }
    m_buckets = std::move(buckets);
}

void WorkspaceRateLimiter::setFleet(std::size_t heard, std::size_t known, MonotonicTime now)
{
    m_heard = heard;
    m_known = known;
    for (auto& [workspace, bucket] : m_buckets)
        bucket.setFleet(heard, known, now);
}

bool WorkspaceRateLimiter::draw(const WorkspaceId& workspace, std::int64_t units, MonotonicTime now)
{
    const auto found = m_buckets.find(workspace);
    if (found == m_buckets.end())
        return true;
    if (!found->second.draw(static_cast<double>(units), now))
        return false;
    m_drawn[workspace] += units;
    return true;
}

void WorkspaceRateLimiter::refund(const WorkspaceId& workspace, std::int64_t units, MonotonicTime now)
{
    const auto found = m_buckets.find(workspace);
    if (found == m_buckets.end())
        return;
    found->second.charge(-static_cast<double>(units), now);
    m_drawn[workspace] -= units;
}

MonotonicTime WorkspaceRateLimiter::nextDraw(const WorkspaceId& workspace, MonotonicTime now)
{
    const auto found = m_buckets.find(workspace);
    return found == m_buckets.end() ? now : found->second.nextDraw(now);
}

void WorkspaceRateLimiter::peerReported(const HostId& peer, Incarnation incarnation, const DrawnUnits& drawn, MonotonicTime now)
{
    auto& known = m_peers[peer];
    const bool isFirst = known.incarnation != incarnation;
    if (isFirst)
        known = { incarnation, {} };
    for (const auto& [workspace, units] : drawn) {
        auto& base = known.drawn[workspace];
        const auto found = m_buckets.find(workspace);
        if (!isFirst && found != m_buckets.end())
            found->second.charge(static_cast<double>(units - base), now);
        base = units;
    }
}

} // namespace hornbeamgate::gateway
