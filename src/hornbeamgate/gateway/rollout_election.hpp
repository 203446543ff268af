#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/time.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace hornbeamgate::gateway {

/// Membership in the rollout group, from which the store selects the rollout leader.
struct RolloutMembership {
    FencingToken generation;
    bool isLeader = false;
};

/// What a daemon tells the others about its rollout leadership.
struct LeadershipReport {
    bool isLeader = false;
    FencingToken generation; ///< of the current leadership; 0 if unknown
    std::uint64_t resignations = 0; ///< number of times the daemon gave up leadership
    FencingToken resignedGeneration; ///< of the leadership that it gave up last; 0 if unknown

    bool operator==(const LeadershipReport&) const = default;
};

/// Decides when this daemon joins and leaves the group in the store whose leader issues the weights orders.
///
/// Every join or leave may change the leader, so only the leader stays a member. Daemons that no longer hear from a leader
/// try to take over one after the other. A resignation lets them try immediately, unless a newer leadership than the
/// resigned one has been seen: a daemon that was frozen as leader finds its leadership expired long after others have
/// replaced it.
///
/// Designed for leaders that are killed, frozen, cut off or restarted in turn with all other daemons.
class RolloutElection {
public:
    /// A leader reports several times a second; without a report for this long, this daemon tries to take over.
    static constexpr std::chrono::milliseconds kLeaderTimeout { 1500 };
    /// Delay between the takeover attempts of two daemons; a new leader's report arrives within it.
    static constexpr std::chrono::milliseconds kJoinStagger { 400 };
    /// Some calls to the store get no response; the interval allows three consecutive failures within the membership TTL.
    static constexpr std::chrono::milliseconds kRenewalInterval { 400 };

    enum class Action {
        None,
        Renew, ///< join the group, or renew the membership
        Leave,
    };
    struct Decision {
        Action action = Action::None;
        std::optional<MonotonicTime> nextUpdate; ///< none if this daemon never becomes leader again
    };
    struct Situation {
        bool isConfirmed = false; ///< this daemon's leadership is confirmed
        bool isDraining = false;
        std::size_t rank = 0; ///< number of daemons that should try to take over earlier
    };

    explicit RolloutElection(MonotonicTime start)
        : m_leaderLastSeen(start)
    {
    }

    Decision update(const Situation& situation, MonotonicTime now);
    /// Handles the response to a renewal. Returns false if this daemon has left the group since.
    bool onRenewed(const RolloutMembership& membership);
    /// Called when the order record shows that this host was the last leader, so that it need not wait for another one to
    /// report. Its membership may not have expired yet.
    void onOwnRecordFound(MonotonicTime now) { m_leaderLastSeen = now - kLeaderTimeout; }
    /// Gives up leadership for good. Returns what to do in the group.
    Action resign();

    /// Handles a report of another daemon. Returns true if `update` should be called immediately.
    bool onPeerReport(Incarnation peer, const LeadershipReport& report, MonotonicTime now);
    LeadershipReport report() const;

    bool isLeader() const { return m_isLeader; }

private:
    Action leave();
    void giveUp();

    bool m_isMember = false;
    bool m_isLeader = false;
    bool m_hasResigned = false;
    FencingToken m_generation; ///< of this daemon's last leadership
    FencingToken m_resignedGeneration;
    std::uint64_t m_resignations = 0;
    FencingToken m_newestGeneration; ///< of all leaderships seen
    std::map<Incarnation, std::uint64_t> m_peerResignations; ///< last reported counts
    MonotonicTime m_leaderLastSeen;
};

} // namespace hornbeamgate::gateway
