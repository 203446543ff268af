#include "hornbeamgate/gateway/workspace_rate_limiter.hpp"

namespace hornbeamgate::gateway {

void WorkspaceRateLimiter::setLimits(const std::vector<WorkspaceRule>& workspaces, MonotonicTime now)
{
    std::map<WorkspaceId, SharedTokenBucket> rates;
    for (const auto& workspace : workspaces) {
        if (workspace.unitsPerSecond <= 0)
            continue;
        const auto known = m_rates.find(workspace.id);
        auto rate = known != m_rates.end() ? known->second : SharedTokenBucket(workspace.unitsPerSecond, workspace.burst, now);
        rate.setLimits(workspace.unitsPerSecond, workspace.burst, now);
        rate.setFleet(m_heard, m_known, now);
        rates.emplace(workspace.id, rate);
    }
    m_rates = std::move(rates);
}

void WorkspaceRateLimiter::setFleet(std::size_t heard, std::size_t known, MonotonicTime now)
{
    m_heard = heard;
    m_known = known;
    for (auto& [workspace, rate] : m_rates)
        rate.setFleet(heard, known, now);
}

bool WorkspaceRateLimiter::draw(const WorkspaceId& workspace, std::int64_t units, MonotonicTime now)
{
    const auto found = m_rates.find(workspace);
    if (found == m_rates.end())
        return true;
    if (!found->second.draw(static_cast<double>(units), now))
        return false;
    m_drawn[workspace] += units;
    return true;
}

void WorkspaceRateLimiter::refund(const WorkspaceId& workspace, std::int64_t units, MonotonicTime now)
{
    const auto found = m_rates.find(workspace);
    if (found == m_rates.end())
        return;
    found->second.chargeRemote(-static_cast<double>(units), now);
    m_drawn[workspace] -= units;
}

MonotonicTime WorkspaceRateLimiter::nextDraw(const WorkspaceId& workspace, MonotonicTime now)
{
    const auto found = m_rates.find(workspace);
    return found == m_rates.end() ? now : found->second.nextDraw(now);
}

void WorkspaceRateLimiter::peerReported(const HostId& peer, Incarnation incarnation, const DrawnUnits& drawn, MonotonicTime now)
{
    auto& known = m_peers[peer];
    const bool isFirst = known.incarnation != incarnation;
    if (isFirst)
        known = { incarnation, {} };
    for (const auto& [workspace, units] : drawn) {
        auto& base = known.drawn[workspace];
        const auto found = m_rates.find(workspace);
        if (!isFirst && found != m_rates.end())
            found->second.chargeRemote(static_cast<double>(units - base), now);
        base = units;
    }
}

} // namespace hornbeamgate::gateway
