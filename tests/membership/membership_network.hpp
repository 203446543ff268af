#pragma once

#include "hornbeamgate/membership/membership.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace hornbeamgate::test {

/// Fault injected into the protocol to verify that the consistency check detects it.
enum class MembershipFault : std::uint8_t {
    None,
    RefutationLost,
    UpdatesNotForwarded,
    FailuresHidden,
    IncarnationReused,
    LeaveNotAnnounced,
};

/// Traffic counters of one node.
struct Traffic {
    std::uint64_t messages = 0;
    std::uint64_t bytesOut = 0;
    std::uint64_t bytesIn = 0;
};

/// Simulated network on a manual clock: members exchange encoded messages with delays, losses and partitions.
class MembershipNetwork {
public:
    using Time = MonotonicTime;

    explicit MembershipNetwork(std::uint32_t seed, MembershipFault fault = MembershipFault::None);
    MembershipNetwork(const MembershipNetwork&) = delete;
    MembershipNetwork& operator=(const MembershipNetwork&) = delete;

    /// Adds a host in `dataCenter` of `region`; call start() to run it.
    std::size_t add(const std::string& dataCenter, int region, MemberRole role = MemberRole::Agent);
    void start(std::size_t node);
    void crash(std::size_t node);
    void pause(std::size_t node);
    void resume(std::size_t node);
    void leave(std::size_t node);
    void measureLoad(std::size_t node, std::uint8_t load);
    void readHostList(std::size_t node, unsigned missingPercent = 0);
    void setLoss(unsigned percent) { m_lossPercent = percent; }
    void partition(int regionA, int regionB) { m_partitions.insert(std::minmax(regionA, regionB)); }
    /// Drops all messages between two hosts; each still reaches all others.
    void blockHosts(std::size_t a, std::size_t b) { m_blockedHosts.insert(std::minmax(a, b)); }
    void healPartitions() { m_partitions.clear(); }
    void run(Duration time);

    std::size_t size() const { return m_nodes.size(); }
    bool isRunning(std::size_t node) const { return m_nodes[node].membership.has_value(); }
    bool paused(std::size_t node) const { return m_nodes[node].paused; }
    const Membership& at(std::size_t node) const { return *m_nodes[node].membership; }
    const HostId& host(std::size_t node) const { return m_nodes[node].host; }
    const Traffic& traffic(std::size_t node) const { return m_nodes[node].traffic; }
    std::uint64_t regionLinkBytes() const { return m_regionLinkBytes; }
    Time now() const { return m_now; }

    /// Describes the first difference between the view of a running node and the actual state, if there is one.
    std::optional<std::string> inconsistency() const;
    /// Whether any running node other than `node` considers it usable.
    bool usableAnywhere(std::size_t node) const;

    /// Called for each MemberChanged action of a node.
    std::function<void(std::size_t node, const Member&)> onMemberChanged;

private:
    struct Node {
        HostId host;
        std::string dataCenter;
        int region = 0;
        MemberRole role = MemberRole::Agent;
        std::uint64_t incarnation = 0;
        std::uint64_t previousIncarnation = 0;
        std::optional<Membership> membership;
        bool paused = false;
        bool leaving = false;
        std::vector<MembershipEvent> deferredEvents;
        MonotonicTime wakeAt;
        Traffic traffic;
    };

    bool hasLiveObserver(const std::string& dataCenter) const;
    void handle(std::size_t node, const MembershipEvent& event);
    void scheduleWake(std::size_t node);
    void dispatch(std::size_t node, const SendMembershipRequest& request);
    void dispatch(std::size_t node, const AnswerMembershipRequest& answer);
    void transmit(std::size_t from, std::size_t to, const MembershipMessage& message,
        std::function<void(const MembershipMessage&)> deliver);
    MembershipMessage injectFault(const MembershipMessage& message) const;
    void at(MonotonicTime time, std::function<void()> action) { m_queue.emplace(time, std::move(action)); }
    std::uint32_t random(std::uint32_t below) { return static_cast<std::uint32_t>(m_random() % below); }

    MembershipFault m_fault;
    std::mt19937_64 m_random;
    std::vector<Node> m_nodes;
    std::map<std::string, std::size_t> m_byAddress;
    std::map<std::uint64_t, std::pair<std::size_t, std::uint64_t>> m_pendingExchanges; // receiver's exchange to sender's
    std::uint64_t m_lastExchange = 0;
    std::multimap<MonotonicTime, std::function<void()>> m_queue;
    unsigned m_lossPercent = 0;
    std::set<std::pair<int, int>> m_partitions;
    std::set<std::pair<std::size_t, std::size_t>> m_blockedHosts;
    std::uint64_t m_regionLinkBytes = 0;
    MonotonicTime m_now { std::chrono::hours(1) };
};

} // namespace hornbeamgate::test
