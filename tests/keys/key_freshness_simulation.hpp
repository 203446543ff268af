#pragma once

#include "config/fake_log.hpp"
#include "hornbeamgate/config/config_replica.hpp"
#include "hornbeamgate/keys/key_freshness.hpp"

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace hornbeamgate::test {

/// Bug that is injected into the freshness check to verify that the simulation detects it.
enum class InjectedKeyBug {
    None,
    IsolationCountsAsOutage, ///< reports from the daemon's own data centre are sufficient
    PeerReportsIgnored, ///< reports of peers are not processed, so every outage rejects requests
    PeerReportNeverExpires, ///< reports of peers do not expire
};

/// Simulates six daemons in three data centres and two regions, with the log in the first region. At random, daemons
/// are isolated, regions are partitioned and the log is unavailable, each for a few seconds to a minute. Keys are
/// withdrawn while the log is available. Messages take one tick.
class KeyFreshnessSimulation {
public:
    explicit KeyFreshnessSimulation(std::uint64_t seed, InjectedKeyBug bug = InjectedKeyBug::None);

    /// Advances the simulation by one tick. Returns a description of the violated invariant, if any.
    std::optional<std::string> tick();

    std::size_t withdrawals() const { return m_withdrawals.size(); }
    std::size_t refusals() const { return m_refusals; }

private:
    struct Node {
        std::optional<ConfigReplica> replica;
        std::optional<KeyFreshness> freshness;
        std::optional<ConfigLogRead> pendingRead; ///< only `began` is valid until the read completes
        ReadConfigLog read;
        MonotonicTime readUntil;
        std::optional<ConfigPeerReport> lastReport;
    };
    struct Withdrawal {
        ConfigVersion version;
        std::optional<MonotonicTime> appliedAt; ///< when a daemon that can reach the log's region first applied it
    };
    struct Message {
        std::size_t from;
        std::size_t to;
        ConfigEvent event;
    };

    void startNode(std::size_t index);
    void changeFaults();
    void withdrawKey();
    void completeReads();
    void deliverMessages();
    void perform(std::size_t node, const std::vector<ConfigAction>& actions);
    bool canCommunicate(std::size_t from, std::size_t to) const;
    bool canReadLog(std::size_t node) const;
    std::optional<std::string> check();

    std::mt19937_64 m_random;
    InjectedKeyBug m_bug;
    MonotonicTime m_now { std::chrono::hours(1) };
    FakeLog m_log;
    AcceptedConfig m_config;
    std::vector<Node> m_nodes;
    std::vector<Message> m_messages;
    std::optional<std::size_t> m_isolated;
    bool m_isSplit = false;
    MonotonicTime m_faultsUntil;
    MonotonicTime m_fullyConnectedSince; ///< end of the last isolation or partition
    std::vector<Withdrawal> m_withdrawals;
    std::size_t m_refusals = 0;
};

} // namespace hornbeamgate::test
