#pragma once

#include "hornbeamgate/base/result.hpp"
#include "hornbeamgate/config/config_events.hpp"
#include "hornbeamgate/config/config_state_machine.hpp"
#include "hornbeamgate/config/internal/byte_rate_limiter.hpp"

#include <map>
#include <random>

namespace hornbeamgate {

/// Options of a ConfigReplica.
struct ConfigReplicaOptions {
    DataCenterId dataCenter;
    Duration retention = std::chrono::hours(24); ///< minimum time for which the log keeps a record
    Duration bound = std::chrono::seconds(4); ///< maximum time from the acceptance of a change until it is in force
    Duration readWait = std::chrono::milliseconds(1500); ///< maximum time for which the log may delay an empty response
    Duration exchangePeriod = std::chrono::seconds(2); ///< between rounds of requests while confirmed; halved otherwise
    Duration confirmedFor = std::chrono::milliseconds(3500); ///< maximum age at which a confirmation is still valid
    double exchangeBytesPerSecond = 2048; ///< average rate for steps and snapshots sent to peers
    double exchangeBurstBytes = 1024.0 * 1024.0;
    std::size_t pushFanout = 3; ///< number of peers that are notified of a change immediately
};

/// Describes why options are invalid.
struct ConfigOptionsError {
    std::string detail;
};

/// A daemon's replica of the accepted configuration. It follows the log, shares the writing of checkpoints with the
/// other daemons, and exchanges changes with randomly chosen peers so that daemons that cannot read the log are updated
/// as well.
class ConfigReplica {
public:
    /// `random` is used for timer jitter and for choosing peers.
    static Result<ConfigReplica, ConfigOptionsError> create(ConfigReplicaOptions options, std::mt19937_64 random);

    /// Handles one event. ConfigPeersKnown should be delivered before the first ConfigTimerExpired.
    std::vector<ConfigAction> handle(const ConfigEvent& event, MonotonicTime now);

    /// Time at which to call handle(ConfigTimerExpired {}, now) next; immediately after creation.
    MonotonicTime nextDeadline() const;

    const AcceptedConfig& accepted() const { return m_stateMachine.accepted(); }

    /// Active rules. Empty until a first configuration has been accepted.
    const RuleSet& rules() const { return m_rules; }

    /// Most recent time at which this daemon's version was known to be the newest accepted one.
    std::optional<MonotonicTime> confirmedAt() const { return m_confirmedAt; }

    /// Whether records were trimmed before they were read and no usable checkpoint has been found since.
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
    /// Lets a new era of the log begin with this daemon's version, once the others have had time to tell it of newer ones.
    void scheduleOpening(const ConfigLogRead& event, const ReplayProgress& progress, MonotonicTime now);
    void writeOpening(MonotonicTime now);
    void appendCheckpoint();
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
    std::optional<MonotonicTime> m_readDue = MonotonicTime {}; ///< empty while a read is in progress
    std::optional<MonotonicTime> m_checkpointDue;
    std::optional<MonotonicTime> m_openingDue; ///< set while the log's era has no checkpoint
    MonotonicTime m_roundDue = MonotonicTime {};
    bool m_isStarted = false;
    bool m_mayWait = false; ///< whether the log may delay the response to the next read
    int m_lostReads = 0; ///< in a row
    std::vector<ConfigAction> m_actions;
};

} // namespace hornbeamgate
