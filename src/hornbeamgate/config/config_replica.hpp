#pragma once

#include "hornbeamgate/base/result.hpp"
#include "hornbeamgate/config/config_events.hpp"
#include "hornbeamgate/config/config_state_machine.hpp"
#include "hornbeamgate/config/internal/byte_rate_limiter.hpp"

#include <map>
#include <random>

namespace hornbeamgate {

/// Settings of a replica.
struct ConfigReplicaOptions {
    DataCenterId dataCenter;
    Duration retention = std::chrono::hours(24); ///< for how long the log surely keeps a record
    Duration readWait = std::chrono::milliseconds(1500); ///< for how long the log may hold back an empty answer
    Duration exchangePeriod = std::chrono::seconds(2); ///< between rounds of questions while confirmed; half of it otherwise
    Duration confirmedFor = std::chrono::milliseconds(3500); ///< age from which a confirmation no longer counts
    double exchangeBytesPerSecond = 2048; ///< average for steps and snapshots sent to peers
    double exchangeBurstBytes = 1024.0 * 1024.0;
    std::size_t pushFanout = 3; ///< peers told of a change at once
};

/// Reason why options were refused.
struct ConfigOptionsError {
    std::string detail;
};

/// One daemon's copy of the accepted configuration. Follows the log, writes checkpoints in turn with the other daemons
/// and exchanges with randomly chosen peers, so that a daemon that cannot read the log learns what was accepted, too.
class ConfigReplica {
public:
    /// `random` spreads timers and chooses peers.
    static Result<ConfigReplica, ConfigOptionsError> create(ConfigReplicaOptions options, std::mt19937_64 random);

    /// Takes one event. ConfigPeersKnown should come before the first ConfigTimerExpired.
    std::vector<ConfigAction> handle(const ConfigEvent& event, MonotonicTime now);

    /// When to call handle(ConfigTimerExpired {}, now) next; at once after creation.
    MonotonicTime nextDeadline() const;

    const AcceptedConfig& accepted() const { return m_stateMachine.accepted(); }

    /// Rules in force. Empty until a first configuration was accepted.
    const RuleSet& rules() const { return m_rules; }

    /// When this daemon last knew that nothing newer was accepted.
    std::optional<MonotonicTime> confirmedAt() const { return m_confirmedAt; }

    /// Whether records were trimmed before they were read and no checkpoint was found since.
    bool isAwaitingCheckpoint() const { return m_stateMachine.isAwaitingCheckpoint(); }

private:
    struct PendingRequest {
        HostId to;
        MonotonicTime sentAt;
        MonotonicTime expiresAt;
    };

    ConfigReplica(ConfigReplicaOptions options, std::mt19937_64 random);

    void on(const ConfigTimerExpired&, MonotonicTime now);
    void on(const ConfigLogRead& event, MonotonicTime now);
    void on(const ConfigPeersKnown& event, MonotonicTime now);
    void on(const ConfigRequestReceived& event, MonotonicTime now);
    void on(const ConfigResponseReceived& event, MonotonicTime now);
    void on(const ConfigRequestFailed& event, MonotonicTime now);
    void on(const AppendSucceeded&, MonotonicTime) { }
    void on(const AppendRefused&, MonotonicTime) { }
    void on(const AppendOutcomeUnknown&, MonotonicTime) { }

    void startRead();
    void scheduleRead(const ConfigLogRead& event, const ReplayProgress& progress, MonotonicTime now);
    void scheduleCheckpoint(const ReplayProgress& progress, MonotonicTime now);
    void writeCheckpoint(MonotonicTime now);
    void reportProgress(const ReplayProgress& progress);
    void startRound(MonotonicTime now);
    std::vector<HostId> choosePeers(bool isConfirmed);
    void sendRequest(const HostId& peer, std::vector<AcceptedStep> steps, MonotonicTime now);
    void mergeMessage(const ConfigMessage& message, MonotonicTime now);
    void applyChange(ConfigVersion before, MonotonicTime now);
    void pushChange(ConfigVersion before, MonotonicTime now);
    void confirm(MonotonicTime at);
    bool isConfirmed(MonotonicTime now) const;
    ConfigMessage makeResponse(const ConfigDigest& requester, MonotonicTime now);
    ConfigDigest digest(MonotonicTime now) const;
    void report(ConfigFault fault, std::string detail);
    Duration checkpointJitter();
    Duration randomDuration(Duration low, Duration high);

    ConfigReplicaOptions m_options;
    std::mt19937_64 m_random;
    ConfigStateMachine m_stateMachine;
    RuleSet m_rules;
    std::vector<ConfigPeer> m_peers;
    std::map<ExchangeTicket, PendingRequest> m_pendingRequests;
    ExchangeTicket m_lastTicket;
    AppendTicket m_lastAppend;
    internal::ByteRateLimiter m_exchangeLimiter;
    std::optional<MonotonicTime> m_confirmedAt;
    std::optional<MonotonicTime> m_readDue = MonotonicTime {}; ///< nothing while a read is under way
    std::optional<MonotonicTime> m_checkpointDue;
    MonotonicTime m_roundDue = MonotonicTime {};
    bool m_isStarted = false;
    bool m_mayWait = false; ///< whether the log may hold the answer to the next read back
    std::vector<ConfigAction> m_actions;
};

} // namespace hornbeamgate
