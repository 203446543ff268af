#pragma once

#include "hornbeamgate/config/config_replica.hpp"

#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <vector>

namespace hornbeamgate::bench {

/// How the replicas of a fleet are driven.
struct FleetOptions {
    std::size_t daemons = 0;
    std::size_t logReaders = 0; ///< the first ones; all others cannot read the log
    ConfigReplicaOptions replica;
    Duration delay = std::chrono::milliseconds(30); ///< of every message one way
};

/// Real replicas on one log in memory under a manual clock. Counts messages and octets, and tells how many messages in
/// a row a change took to reach each daemon.
class Fleet {
public:
    Fleet(FleetOptions options, std::uint64_t seed);

    void runFor(Duration time);

    /// Appends a change that touches one line.
    void publish();

    /// Time since publish() at which the last daemon had the change in force, or nothing while one has not.
    std::optional<Duration> spreadTime() const;

    /// Most messages in a row that the last change took.
    int mostHops() const;

    std::size_t sentBytes() const { return m_sentBytes; }
    std::size_t sentMessages() const { return m_sentMessages; }
    std::size_t checkpoints() const { return m_checkpoints; }

private:
    struct Node {
        std::optional<ConfigReplica> replica;
        MonotonicTime wakeAt;
        MonotonicTime changedAt;
        int hops = 0;
    };
    struct ParkedRead {
        std::size_t node;
        LogOffset from;
        MonotonicTime began;
        std::uint64_t number;
    };
    struct Scheduled {
        MonotonicTime at;
        std::uint64_t number;
        std::function<void()> run;

        bool operator<(const Scheduled& other) const { return std::tie(other.at, other.number) < std::tie(at, number); }
    };

    void schedule(Duration after, std::function<void()> run);
    void deliver(std::size_t node, const ConfigEvent& event, int hops);
    void wake(std::size_t node);
    void read(std::size_t node, const ReadConfigLog& read);
    void answerRead(const ParkedRead& read);
    void append(Bytes data);
    void ask(std::size_t node, const SendConfigRequest& question);

    FleetOptions m_options;
    std::mt19937_64 m_random;
    MonotonicTime m_now { std::chrono::hours(1) };
    MonotonicTime m_publishedAt;
    std::vector<Node> m_nodes;
    std::vector<ParkedRead> m_parked;
    std::priority_queue<Scheduled> m_queue;
    std::uint64_t m_lastNumber = 0;
    std::vector<LogRecord> m_log;
    AcceptedConfig m_config;
    std::size_t m_sentBytes = 0;
    std::size_t m_sentMessages = 0;
    std::size_t m_checkpoints = 0;
};

} // namespace hornbeamgate::bench
