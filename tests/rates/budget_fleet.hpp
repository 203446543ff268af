#pragma once

#include "hornbeamgate/rates/budget_borrower.hpp"
#include "hornbeamgate/rates/budget_lender.hpp"

#include <functional>
#include <queue>
#include <random>
#include <set>

namespace hornbeamgate::testing {

/// True time since the start of a simulation, independent of the nodes' clocks.
using TrueTime = std::chrono::nanoseconds;

/// Faults injected into the network between hosts.
struct NetworkFaults {
    double dropped = 0; ///< fraction of messages that are lost
    double duplicated = 0;
    TrueTime extraDelay {}; ///< maximum random delay added to a message
};

/// Deliberate defects, injected by altering the claim records that the state machines read.
enum class InjectedDefect {
    None,
    FullBurstOnRestart,
    EarlyTakeover,
    ClaimDeadlineIgnored,
};

struct FleetOptions {
    std::size_t hostsPerRegion = 2;
    ShareLayout layout;
    BudgetTiming timing;
    double clockDrift = 0; ///< maximum rate error of the nodes' clocks, as a fraction
    TrueTime sameRegionDelay = std::chrono::microseconds(1500);
    TrueTime crossRegionDelay = std::chrono::milliseconds(30);
    TrueTime logPoll = std::chrono::milliseconds(100);
    std::uint64_t seed = 1;
    InjectedDefect injectedDefect = InjectedDefect::None;
};

/// Admission of one request as observed by the caller.
struct Admission {
    TrueTime at;
    WorkspaceId workspace;
    std::size_t node = 0;
    Amounts charged; ///< the reservation; once settled, the tokens used if fewer
    bool settled = false;
};

struct TrafficCounters {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t crossRegionMessages = 0;
    std::uint64_t crossRegionBytes = 0;
    std::uint64_t appends = 0;
};

/// Budget state machines of several entry daemons on drifting clocks, connected by a fake network and a fake log.
class BudgetFleet {
public:
    explicit BudgetFleet(FleetOptions options);

    void setRules(const std::vector<WorkspaceRule>& rules);
    void runUntil(TrueTime until);
    void runFor(TrueTime span) { runUntil(m_now + span); }

    RequestId spend(std::size_t node, const WorkspaceId& workspace, const Amounts& need);
    void settle(RequestId request, std::int64_t usedTokens);

    void pause(std::size_t node, TrueTime span);
    void crash(std::size_t node); ///< ends the process and discards its state
    void start(std::size_t node); ///< starts a new process on the same address
    void leave(std::size_t node);
    bool isUp(std::size_t node) const { return m_nodes[node].lender.has_value(); }
    const BudgetLender& lender(std::size_t node) const { return *m_nodes[node].lender; }
    const BudgetBorrower& borrower(std::size_t node) const { return *m_nodes[node].borrower; }

    void trimLog() { m_logFirst = m_log.size(); }
    std::size_t nodeCount() const { return m_nodes.size(); }
    TrueTime now() const { return m_now; }

    NetworkFaults faults;
    bool partitioned = false; ///< regions cannot reach each other
    bool logDown = false;
    double lostAppendReplies = 0; ///< fraction of appends whose outcome is unknown to the writer
    std::map<RequestId, Admission> admissions;
    std::map<RequestId, RefusalReason> refusals;
    TrafficCounters traffic;

private:
    struct Node {
        HostId host;
        RegionId region;
        std::uint64_t epoch = 0;
        TrueTime bootedAt {};
        double drift = 0;
        TrueTime pausedUntil {};
        TrueTime wakeAt = TrueTime::max();
        bool hasReadLog = false;
        std::optional<BudgetLender> lender;
        std::optional<BudgetBorrower> borrower;
    };
    struct Event {
        TrueTime at;
        std::uint64_t order;
        std::size_t node;
        std::function<void()> run;
        bool operator<(const Event& other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
    };

    MonotonicTime localClock(const Node& node) const;
    TrueTime trueTimeOf(const Node& node, MonotonicTime local) const;
    void schedule(TrueTime at, std::size_t node, std::function<void()> run);
    void handle(std::size_t node, const LenderEvent& event);
    void handle(std::size_t node, const BorrowerEvent& event);
    void execute(std::size_t node, const SendLoanMessage& action, bool fromLender);
    void execute(std::size_t node, const SendLoanReply& action);
    void execute(std::size_t node, const AppendRecord& action);
    void send(std::size_t from, const HostId& to, const LoanMessage& message);
    void deliver(std::size_t node, const Bytes& bytes);
    void deliverReply(std::size_t node, const LoanReply& reply);
    Bytes alteredRecord(std::size_t node, std::size_t offset) const;
    void pollLog(std::size_t node);
    void scheduleWake(std::size_t node);
    void wake(std::size_t node);
    std::size_t nodeOf(const HostId& host) const;
    bool chance(double fraction);

    FleetOptions m_options;
    std::mt19937_64 m_random;
    std::vector<Node> m_nodes;
    std::map<HostId, std::size_t> m_byHost;
    std::vector<WorkspaceRule> m_rules;
    std::vector<Bytes> m_log;
    std::size_t m_logFirst = 0;
    std::priority_queue<Event> m_events;
    std::uint64_t m_eventOrder = 0;
    std::uint64_t m_nextRequest = 1;
    std::map<RequestId, Admission> m_waiting;
    std::set<std::uint64_t> m_transfers; // sequence numbers of requests sent by lenders
    TrueTime m_now {};
};

/// Returns the largest excess of `amounts` over burst and rate in any time window. It is at most about zero if the limit
/// was respected.
double maxLimitExcess(const std::vector<std::pair<TrueTime, double>>& amounts, const RateLimit& limit);

/// Returns the largest excess of the requests and tokens admitted for `rule`.
double maxLimitExcess(const BudgetFleet& fleet, const WorkspaceRule& rule);

} // namespace hornbeamgate::testing
