#pragma once

#include "hornbeamgate/base/time.hpp"
#include "hornbeamgate/membership/member_table.hpp"
#include "hornbeamgate/membership/neighbor_link.hpp"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hornbeamgate {

/// Source of uniformly distributed 64-bit numbers.
using RandomSource = std::function<std::uint64_t()>;

/// Options of a Membership.
struct MembershipOptions {
    Member self; ///< with a fresh incarnation, larger than that of the host's last process
    unsigned rings = 3; ///< members that each member probes in its data centre
    std::size_t bridges = 2; ///< members of a data centre that speak with another one
    Duration probeInterval = std::chrono::seconds(1);
    Duration bridgeInterval = std::chrono::seconds(2);
    Duration answerTimeout = std::chrono::milliseconds(500);
    Duration updateInterval = std::chrono::milliseconds(200); ///< between messages with news to one neighbor
    Duration suspicionTimeout = std::chrono::seconds(3); ///< from then on an unrefuted suspect is dead
    Duration recentContactWindow = std::chrono::milliseconds(1500); ///< how long having heard a member speaks for it
    Duration maxJoinDelay = std::chrono::seconds(2); ///< a starting member waits a random part of this
    Duration joinInterval = std::chrono::milliseconds(500); ///< between joins that one member serves
    Duration rejoinInterval = std::chrono::seconds(5); ///< between tries of listed hosts that are not members
    Duration deadRetention = std::chrono::seconds(120);
    Duration heartbeatInterval = std::chrono::seconds(2);
    Duration heartbeatTimeout = std::chrono::seconds(12); ///< from then on a data centre without a beat is unreachable
    Duration loadInterval = std::chrono::seconds(30); ///< between announcements of the load
    std::size_t maxUpdateBytes = 1000; ///< of the updates in one message
    std::size_t updateBytesPerSecond = 3'500; ///< of updates sent to all neighbors together
    Duration updateBurst = std::chrono::seconds(2); ///< for how long unused allowance is saved up
};

struct MembershipOptionsError {
    std::string detail;
};

/// Host as the platform lists it.
struct ListedHost {
    HostId host;
    std::string address;
    DataCenterId dataCenter;
    bool leaving = false;
};

/// The platform's list was read; it may lag and lack hosts for a while.
struct HostListRead {
    std::vector<ListedHost> hosts;
};

/// A request of another member; it must be answered under `exchange`.
struct MembershipRequestReceived {
    std::uint64_t exchange = 0;
    MembershipMessage message;
};

/// The answer to the request that was sent under `exchange`.
struct MembershipAnswerReceived {
    std::uint64_t exchange = 0;
    MembershipMessage message;
};

/// The request sent under `exchange` failed; whether it arrived is unknown.
struct MembershipExchangeFailed {
    std::uint64_t exchange = 0;
};

/// The own endpoint's load, in 1/255 of its capacity.
struct LoadMeasured {
    std::uint8_t load = 0;
};

/// This process begins to leave: it finishes its work and wants no new work.
struct LeaveRequested {
};

/// The time of nextDeadline() was reached.
struct MembershipTimerExpired {
};

using MembershipEvent = std::variant<HostListRead, MembershipRequestReceived, MembershipAnswerReceived,
    MembershipExchangeFailed, LoadMeasured, LeaveRequested, MembershipTimerExpired>;

/// Action: send `message` to `address` and report the answer or the failure under `exchange`.
struct SendMembershipRequest {
    std::uint64_t exchange = 0;
    std::string address;
    MembershipMessage message;
};

/// Action: answer the request that was received under `exchange`.
struct AnswerMembershipRequest {
    std::uint64_t exchange = 0;
    MembershipMessage message;
};

/// Action: tell the other parts of this process what became of a member.
struct MemberChanged {
    Member member;
};

/// Action: a data centre can or cannot be reached from here.
struct DataCenterReachabilityChanged {
    DataCenterId dataCenter;
    bool reachable = true;
};

using MembershipAction
    = std::variant<SendMembershipRequest, AnswerMembershipRequest, MemberChanged, DataCenterReachabilityChanged>;

/// Finds out which members are alive, leaving, restarted or dead.
///
/// Only members of the same data centre judge each other: each probes its successors on a few rings, and suspects one
/// that neither answers nor was heard by its other observers. The suspect refutes, or is dead after a timeout. News
/// flows along the probes and their answers, each piece once over each link. Few members of each data centre speak with
/// another one; from outside, a data centre is reachable as a whole or not at all.
class Membership {
public:
    static Result<Membership, MembershipOptionsError> create(MembershipOptions options, RandomSource random);

    std::vector<MembershipAction> handle(const MembershipEvent& event, MonotonicTime now);
    std::optional<MonotonicTime> nextDeadline() const;

    /// Whether `host` may get new work: alive, not leaving by its own word or the platform's, in reach.
    bool usable(const HostId& host) const;
    const Member* find(const HostId& host) const { return m_table.find(host); }
    const MemberTable& members() const { return m_table; }
    bool joined() const { return m_joined; }
    nlohmann::json dump() const;

private:
    enum class Purpose : std::uint8_t {
        Probe,
        IndirectProbe,
        Bridge,
        Join,
        Rejoin,
    };

    struct Exchange {
        Purpose purpose = Purpose::Probe;
        HostId target;
        DataCenterId dataCenter; ///< of a bridge
        HostId subject; ///< of a vouch
        MonotonicTime answerDeadline;
        std::uint64_t upToChange = 0;
    };

    /// A successor that this member probes.
    struct Probe {
        MonotonicTime nextAt;
        MonotonicTime earliestUpdateAt;
        unsigned misses = 0;
        bool outstanding = false;
        unsigned indirectProbesOutstanding = 0;
        bool heardRecently = false;
    };

    struct Bridge {
        MonotonicTime nextAt;
        MonotonicTime earliestUpdateAt;
        HostId target; ///< of the last exchange
        bool failed = false;
    };

    struct DataCenter {
        std::uint64_t heartbeat = 0;
        std::uint64_t changed = 0; ///< change number of the beat
        MonotonicTime unreachableAt;
        bool reachable = true;
    };

    Membership(MembershipOptions options, RandomSource random);

    void on(const HostListRead& event);
    void on(const MembershipRequestReceived& event);
    void on(const MembershipAnswerReceived& event);
    void on(const MembershipExchangeFailed& event);
    void on(const LoadMeasured& event);
    void on(const LeaveRequested& event);
    void on(const MembershipTimerExpired& event);

    // News, in membership.cpp
    void start();
    void resetAfterPause();
    void applyMessage(const MembershipMessage& message);
    void applyUpdate(const MemberUpdate& update, const HostId& source);
    void applyHeartbeat(const DataCenterHeartbeat& heartbeat);
    void refute(const MemberStatus& claimed);
    void announceSelf();
    void handleMemberChange(const Member& member);
    void suspect(const HostId& host);
    NeighborLink& linkTo(const MembershipMessage& message);
    void compareStates(NeighborLink& link, const MembershipMessage& message);
    MembershipMessage compose(const HostId& receiver);
    bool updateBudgetAvailable() const;
    void chargeUpdateBudget(const std::vector<MemberUpdate>& updates);
    EchoPolicy echoPolicyFor(const HostId& receiver) const;
    Duration jitter(Duration whole);

    // Exchanges and deadlines, in membership_probes.cpp
    void runDeadlines();
    void expireExchanges();
    void failExchange(const Exchange& exchange);
    void handleMissedProbe(const HostId& target);
    bool hearsOtherMembers(const HostId& subject) const;
    void finishIndirectProbe(const HostId& subject, bool heardRecently);
    void expireSuspicions();
    void removeExpiredDeadMembers();
    void heartbeat();
    void checkReachability();
    void refreshTopology();
    void join();
    void handleJoinAnswer(const MembershipAnswerReceived& event);
    void completeJoin();
    void probe();
    void bridge();
    void rejoin();
    std::optional<HostId> bridgeTarget(const DataCenterId& other, std::size_t rank, bool failed);
    std::vector<HostId> listedHosts(const std::function<bool(const ListedHost&)>& wanted) const;
    std::optional<HostId> pickRandom(const std::vector<HostId>& hosts);
    bool hasPendingUpdates(const HostId& host) const;
    void send(Exchange exchange, bool joining = false);
    std::string addressOf(const HostId& host) const;
    void rotateCursors();
    void removeStaleLinks();

    MembershipOptions m_options;
    RandomSource m_random;
    MemberTable m_table;
    Member m_self;
    MemberState m_ownState = MemberState::Alive;
    std::map<HostId, ListedHost> m_listed;
    std::map<HostId, NeighborLink> m_links;
    std::map<HostId, MonotonicTime> m_recentContactUntil; // for how long each member can be vouched for
    std::map<std::uint64_t, Exchange> m_exchanges;
    std::uint64_t m_lastExchange = 0;
    std::map<HostId, Probe> m_probes;
    std::map<DataCenterId, Bridge> m_bridges;
    std::map<DataCenterId, DataCenter> m_dataCenters;
    std::map<HostId, MonotonicTime> m_suspicions; // when each suspect is dead
    std::map<HostId, MonotonicTime> m_deadRetainedUntil; // when each dead member is forgotten
    bool m_started = false;
    bool m_joined = false;
    bool m_topologyStale = true;
    MonotonicTime m_joinAt;
    bool m_joinOutstanding = false;
    HostId m_joinPeer; // that sends this member all others
    MonotonicTime m_nextJoinAllowedAt;
    MonotonicTime m_rejoinAt;
    MonotonicTime m_nextHeartbeatAt;
    MonotonicTime m_loadAt;
    std::uint8_t m_load = 0;
    MonotonicTime m_updateBudgetUsedUntil; // time that the news sent so far takes at the allowed rate
    MonotonicTime m_pauseDetectionDeadline; // an event after this time shows that the process was paused
    MonotonicTime m_rotateAt;
    std::uint64_t m_recentCursor = 0; // changes before it are older than one rotation
    std::uint64_t m_nextRecentCursor = 0;
    MonotonicTime m_now; // of the event being handled
    std::vector<MembershipAction> m_actions;
};

} // namespace hornbeamgate
