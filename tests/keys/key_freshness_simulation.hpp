#pragma once

#include "config/fake_log.hpp"
#include "hornbeamgate/config/config_replica.hpp"
#include "hornbeamgate/keys/key_freshness.hpp"

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace hornbeamgate::test {

/// Deliberate fault in the freshness rule, which the oracle has to catch.
enum class InjectedKeyBug {
    None,
    IsolationCountsAsOutage, ///< the own data centre's word is enough
    PeerReportsIgnored, ///< no witness is believed
    PeerReportNeverExpires, ///< an old word of a peer counts for ever
};

/// Six daemons in three data centres and two regions; the log stands in the first region. Daemons are cut off, regions
/// split and the log goes down for seconds to a minute at random; keys are withdrawn throughout. Messages take one tick.
class KeyFreshnessSimulation {
public:
    explicit KeyFreshnessSimulation(std::uint64_t seed, InjectedKeyBug bug = InjectedKeyBug::None);

    /// Advances by one tick; returns what went wrong, if anything.
    std::optional<std::string> tick();

    std::size_t withdrawals() const { return m_withdrawals.size(); }
    std::size_t refusals() const { return m_refusals; }

private:
    struct Node {
        std::optional<ConfigReplica> replica;
        std::optional<KeyFreshness> freshness;
        std::optional<ConfigLogRead> pendingRead; ///< `began` only; the result comes when it ends
        ReadConfigLog read;
        MonotonicTime readUntil;
        std::optional<ConfigPeerReport> lastReport;
    };
    struct Withdrawal {
        ConfigVersion version;
        std::optional<MonotonicTime> appliedAt; ///< when a daemon on the log's side of any split first had it in force
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
    MonotonicTime m_fullyConnectedSince; ///< since when no daemon is cut off from another
    std::vector<Withdrawal> m_withdrawals;
    std::size_t m_refusals = 0;
};

} // namespace hornbeamgate::test
