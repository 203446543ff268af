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

/// Options of the membership protocol.
struct MembershipOptions {
    Member self; ///< its incarnation must exceed that of the host's previous process
    unsigned rings = 3; ///< number of members of the same data centre that each member probes
    std::size_t bridges = 2; ///< members per data centre that exchange messages with another data centre
    Duration probeInterval = std::chrono::seconds(1);
    Duration bridgeInterval = std::chrono::seconds(2);
    Duration answerTimeout = std::chrono::milliseconds(500);
    Duration updateInterval = std::chrono::milliseconds(200); ///< minimum, between updates to one neighbor
    Duration suspicionTimeout = std::chrono::seconds(3); ///< a suspect that has not refuted by then is declared dead
    Duration recentContactWindow = std::chrono::milliseconds(1500); ///< a message proves its sender alive for this
    Duration maxJoinDelay = std::chrono::seconds(2); ///< a starting member joins after a random delay up to this
    Duration joinInterval = std::chrono::milliseconds(500); ///< minimum time between joins that one member serves
    Duration rejoinInterval = std::chrono::seconds(5); ///< average, between contacts to listed non-members
    Duration deadRetention = std::chrono::seconds(120);
    Duration heartbeatInterval = std::chrono::seconds(2);
    Duration heartbeatTimeout = std::chrono::seconds(12); ///< until a silent data centre is unreachable
    Duration loadInterval = std::chrono::seconds(30); ///< minimum time between load announcements
    std::size_t maxUpdateBytes = 1000; ///< limit for the updates in one message
    std::size_t updateBytesPerSecond = 3'500; ///< rate limit for updates, shared by all neighbors
    Duration updateBurst = std::chrono::seconds(2); ///< unused update budget accumulates for up to this time
};

struct MembershipOptionsError {
    std::string detail;
};

/// Entry of the platform's host list.
struct ListedHost {
    HostId host;
    std::string address;
    DataCenterId dataCenter;
    bool leaving = false;
};

/// The platform's host list was read. It is eventually consistent: it may be stale and temporarily omit hosts.
struct HostListRead {
    std::vector<ListedHost> hosts;
};

/// A request was received from another member; its answer must carry the same `exchange`.
struct MembershipRequestReceived {
    std::uint64_t exchange = 0;
    MembershipMessage message;
};

/// The answer to the request `exchange` was received.
struct MembershipAnswerReceived {
    std::uint64_t exchange = 0;
    MembershipMessage message;
};

/// The request `exchange` failed; it is unknown whether the receiver processed it.
struct MembershipExchangeFailed {
    std::uint64_t exchange = 0;
};

/// Load of the local endpoint, in units of 1/255 of its capacity.
struct LoadMeasured {
    std::uint8_t load = 0;
};

/// This process is shutting down: it completes its current work and must receive no new work.
struct LeaveRequested {
};

/// The time of nextDeadline() was reached.
struct MembershipTimerExpired {
};

using MembershipEvent = std::variant<HostListRead, MembershipRequestReceived, MembershipAnswerReceived,
    MembershipExchangeFailed, LoadMeasured, LeaveRequested, MembershipTimerExpired>;

/// Action: send `message` to `address` and report the answer or failure with the same `exchange`.
struct SendMembershipRequest {
    std::uint64_t exchange = 0;
    std::string address;
    MembershipMessage message;
};

/// Action: answer the received request `exchange`.
struct AnswerMembershipRequest {
    std::uint64_t exchange = 0;
    MembershipMessage message;
};

/// Action: notify the other components of this process of a member's new status.
struct MemberChanged {
    Member member;
};

/// Action: a data centre became reachable or unreachable from this process.
struct DataCenterReachabilityChanged {
    DataCenterId dataCenter;
    bool reachable = true;
};

using MembershipAction
    = std::variant<SendMembershipRequest, AnswerMembershipRequest, MemberChanged, DataCenterReachabilityChanged>;

/// Membership protocol with failure detection, modelled as a state machine without I/O.
///
/// Failure detection is local to a data centre. Each member probes its successors on a few hash rings and suspects a
/// member that neither answers nor has been in recent contact with its other observers. A suspect that does not refute
/// the suspicion before a timeout is declared dead. Updates are piggybacked on probes and their answers, and each
/// update is sent once over each link. A few members of each data centre exchange messages with each other data centre;
/// a remote data centre is reachable or unreachable as a whole.
class Membership {
public:
    static Result<Membership, MembershipOptionsError> create(MembershipOptions options, RandomSource random);

    std::vector<MembershipAction> handle(const MembershipEvent& event, MonotonicTime now);
    std::optional<MonotonicTime> nextDeadline() const;

    /// Whether `host` may receive new work: it is alive, neither it nor the platform reports that it is leaving, and
    /// its data centre is reachable.
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
        DataCenterId dataCenter; ///< remote data centre of a bridge exchange
        HostId subject; ///< member that an indirect probe asks about
        MonotonicTime answerDeadline;
        std::uint64_t upToChange = 0;
    };

    /// Probe state of a ring successor.
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
        HostId target; ///< receiver of the last message
        bool failed = false;
    };

    struct DataCenter {
        std::uint64_t heartbeat = 0;
        std::uint64_t changed = 0; ///< change number of the last heartbeat
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

    // Update dissemination, in membership.cpp
    void start();
    void resetAfterPause();
    void applyMessage(const MembershipMessage& message);
    void applyUpdate(const MemberUpdate& update, const HostId& source);
    void applyHeartbeat(const DataCenterHeartbeat& heartbeat);
    void refute(const MemberStatus& claimed);
    void announceSelf();
    void handleMemberChange(const Member& member);
    void suspect(const HostId& host);
    NeighborLink& linkFor(const MembershipMessage& message);
    void compareStates(NeighborLink& link, const MembershipMessage& message);
    MembershipMessage composeMessage(const HostId& receiver);
    bool updateBudgetAvailable() const;
    void chargeUpdateBudget(const std::vector<MemberUpdate>& updates);
    EchoPolicy echoPolicyFor(const HostId& receiver) const;
    Duration jitter(Duration maximum);

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
    std::map<HostId, MonotonicTime> m_recentContactUntil; // end of each member's recentContactWindow
    std::map<std::uint64_t, Exchange> m_exchanges;
    std::uint64_t m_lastExchange = 0;
    std::map<HostId, Probe> m_probes;
    std::map<DataCenterId, Bridge> m_bridges;
    std::map<DataCenterId, DataCenter> m_dataCenters;
    std::map<HostId, MonotonicTime> m_suspicions; // when each suspect is declared dead
    std::map<HostId, MonotonicTime> m_deadRetainedUntil; // when each dead member is removed from the table
    bool m_started = false;
    bool m_joined = false;
    bool m_topologyStale = true;
    MonotonicTime m_joinAt;
    bool m_joinOutstanding = false;
    HostId m_joinPeer; // member that sends the whole table during the join
    MonotonicTime m_nextJoinAllowedAt;
    MonotonicTime m_rejoinAt;
    MonotonicTime m_nextHeartbeatAt;
    MonotonicTime m_loadAt;
    std::uint8_t m_load = 0;
    MonotonicTime m_updateBudgetUsedUntil; // when the rate limit covers the updates sent so far
    MonotonicTime m_pauseDetectionDeadline; // an event at or after this time indicates that the process was paused
    MonotonicTime m_rotateAt;
    std::uint64_t m_recentCursor = 0; // initial cursor of new links; older changes precede the last rotation
    std::uint64_t m_nextRecentCursor = 0;
    MonotonicTime m_now; // time of the current event
    std::vector<MembershipAction> m_actions;
};

} // namespace hornbeamgate
