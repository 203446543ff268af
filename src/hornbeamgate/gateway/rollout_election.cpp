#include "hornbeamgate/gateway/rollout_election.hpp"

#include <algorithm>
#include <utility>

namespace hornbeamgate::gateway {

RolloutElection::Decision RolloutElection::update(const Situation& situation, MonotonicTime now)
{
    if (m_isLeader && !situation.isConfirmed) {
        giveUp();
        // Another daemon may have become leader since the confirmation expired; its report will arrive if so.
        m_leaderLastSeen = now;
    }
    // A leader remains leader while it drains, but a draining daemon does not become leader. A member that merely stops
    // renewing would keep the others from becoming leader until its membership expires.
    if (m_hasResigned || (situation.isDraining && !m_isLeader))
        return { leave(), std::nullopt };
    const auto joinAt = m_leaderLastSeen + kLeaderTimeout + kJoinStagger * static_cast<std::int64_t>(situation.rank);
    if (!m_isLeader && now < joinAt)
        return { leave(), std::min(joinAt, now + kRenewalInterval) };
    m_isMember = true;
    return { Action::Renew, now + kRenewalInterval };
}

bool RolloutElection::onRenewed(const RolloutMembership& membership)
{
    if (!m_isMember)
        return false;
    m_isLeader = membership.isLeader;
    if (m_isLeader) {
        m_generation = membership.generation;
        m_newestGeneration = std::max(m_newestGeneration, m_generation);
    }
    return true;
}

RolloutElection::Action RolloutElection::resign()
{
    m_hasResigned = true;
    if (m_isLeader)
        giveUp();
    return leave();
}

bool RolloutElection::onPeerReport(Incarnation peer, const LeadershipReport& report, MonotonicTime now)
{
    if (report.isLeader) {
        m_leaderLastSeen = now;
        m_newestGeneration = std::max(m_newestGeneration, report.generation);
    }
    const auto [known, isFirst] = m_peerResignations.try_emplace(peer, report.resignations);
    if (isFirst || report.resignations <= known->second)
        return false;
    known->second = report.resignations;
    const bool isReplaced = report.resignedGeneration != FencingToken() && report.resignedGeneration < m_newestGeneration;
    if (isReplaced)
        return false;
    m_leaderLastSeen = now - kLeaderTimeout;
    return true;
}

LeadershipReport RolloutElection::report() const
{
    return { m_isLeader, m_isLeader ? m_generation : FencingToken(), m_resignations, m_resignedGeneration };
}

RolloutElection::Action RolloutElection::leave()
{
    return std::exchange(m_isMember, false) ? Action::Leave : Action::None;
}

void RolloutElection::giveUp()
{
    m_isLeader = false;
    ++m_resignations;
    m_resignedGeneration = m_generation;
}

} // namespace hornbeamgate::gateway
