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

/// Deliberate fault in one mechanism, which the oracle has to catch.
enum class Mutation {
    None,
    CheckpointUsesOwnOffset, ///< a paused writer's checkpoint hides changes accepted meanwhile
    UnknownAppendTreatedAsRefused, ///< a lost answer is taken for a refusal
    RetryUsesNewId, ///< a retry cannot be recognised
    ReadTimestampedAtCompletion, ///< a late answer of the log looks fresh
    PeerAgeIgnored, ///< a peer's old confirmation looks fresh
    TrimIgnored, ///< a reader goes on behind a gap as if nothing had stood there
};

/// Several replicas and operators on one log with random interleavings, lost answers, trims, pauses, restarts and
/// outages. An oracle judges the whole history in a few lines; every step is checked against it.
class ConfigSimulation {
public:
    explicit ConfigSimulation(std::uint64_t seed, Mutation mutation = Mutation::None);

    /// Carries out one step chosen by `choice`; returns what went wrong, if anything.
    std::optional<std::string> step(std::uint32_t choice);

    /// Ends all faults, lets everything settle and checks that all replicas agree and all publishers know.
    std::optional<std::string> converge();

    std::size_t acceptedChanges() const { return m_accepted.size(); }

private:
    struct Node {
        HostId id;
        std::optional<ConfigReplica> replica;
        ConfigVersion highest; ///< since the last restart
        bool isPartitioned = false; ///< from the log
        Incarnation incarnation; ///< answers to an earlier one are lost
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
    /// Work that a process or the network has not done yet.
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
    bool m_hasPeers; ///< whether the replicas exchange with each other
    MonotonicTime m_now { std::chrono::hours(1) };
    FakeLog m_log;
    std::vector<Node> m_nodes;
    std::vector<Operator> m_operators;
    std::deque<PendingWork> m_pending;
    bool m_injectsFaults = true;
    std::uint64_t m_lastId = 0;

    std::size_t m_evaluatedRecords = 0;
    std::vector<AcceptedEntry> m_accepted; ///< entry i made version i + 1
    RuleDocument m_document;
    std::vector<ProposalId> m_seenIds;
};

} // namespace hornbeamgate::test
