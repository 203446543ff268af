#pragma once

#include "fake_log.hpp"
#include "hornbeamgate/config/config_publisher.hpp"
#include "hornbeamgate/config/config_replica.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace hornbeamgate::test {

/// Defect injected into one mechanism to verify that the oracle detects it.
enum class Mutation {
    None,
    CheckpointUsesOwnOffset, ///< a delayed checkpoint hides changes that were accepted in the meantime
    UnknownAppendTreatedAsRefused, ///< a lost response is handled as a rejection
    RetryUsesNewId, ///< a retry cannot be matched with the earlier attempt
    ReadTimestampedAtCompletion, ///< a delayed response of the log counts as up to date
    PeerAgeIgnored, ///< an old confirmation of a peer counts as recent
    TrimIgnored, ///< a reader continues after trimmed records as if there were no gap
};

/// Simulates several replicas and operators that share one log, with random interleaving, lost responses, trimming,
/// pauses, restarts and outages. After every step, the state is checked against a simple oracle that evaluates the
/// complete history of the log.
class ConfigSimulation {
public:
    explicit ConfigSimulation(std::uint64_t seed, Mutation mutation = Mutation::None);

    /// Performs the step selected by `choice`. Returns a description of the violated invariant, if any.
    std::optional<std::string> step(std::uint32_t choice);

    /// Stops injecting faults, runs until the system converges, and checks that all replicas agree and that every
    /// publisher has an outcome.
    std::optional<std::string> converge();

    std::size_t acceptedChanges() const { return m_accepted.size(); }

private:
    struct Node {
        HostId id;
        std::optional<ConfigReplica> replica;
        ConfigVersion highest; ///< highest version seen since the last restart
        bool isPartitioned = false; ///< whether the node cannot reach the log
        Incarnation incarnation; ///< responses to an earlier incarnation are dropped
    };
    struct Operator {
        ProposalId id;
        std::unique_ptr<ConfigPublisher> publisher;
        bool isChecked = false;
    };
    struct AcceptedEntry {
        ProposalId id;
        RuleDocument document;
        MonotonicTime appendedAt;
    };
    /// Operation of a process or of the network that has not been performed yet.
    using PendingWork = std::function<void()>;

    std::optional<std::string> check();
    std::optional<std::string> checkNode(Node& node) const;
    std::optional<std::string> checkOutcome(const ProposalId& id, const PublishOutcome& outcome) const;
    void evaluateNewRecords();
    void startNode(std::size_t index);
    void deliver(std::size_t node, Incarnation incarnation, const ConfigEvent& event);
    void startOperator(std::uint32_t choice);
    void fireTimers();
    void perform(std::size_t node, std::vector<ConfigAction> actions);
    void performOperator(std::size_t index, std::vector<ConfigAction> actions);
    void readLog(const ReadConfigLog& read, bool isPartitioned, const std::function<void(ConfigEvent)>& deliver);
    void append(AppendRecord record, const std::function<void(ConfigEvent)>& deliver);
    void sendToPeer(std::size_t from, const SendConfigRequest& outgoing);
    void runPending(std::uint32_t choice);
    std::uint32_t random(std::uint32_t bound);

    std::mt19937_64 m_random;
    Mutation m_mutation;
    bool m_hasPeers; ///< whether the replicas exchange messages with each other
    MonotonicTime m_now { std::chrono::hours(1) };
    FakeLog m_log;
    std::vector<Node> m_nodes;
    std::vector<Operator> m_operators;
    std::deque<PendingWork> m_pending;
    bool m_injectsFaults = true;
    std::uint64_t m_lastId = 0;

    std::size_t m_evaluatedRecords = 0;
    std::vector<AcceptedEntry> m_accepted; ///< entry i created version i + 1
    RuleDocument m_document;
    std::vector<ProposalId> m_seenIds;
};

} // namespace hornbeamgate::test
