#pragma once

#include "hornbeamgate/base/bytes.hpp"
#include "hornbeamgate/base/result.hpp"
#include "hornbeamgate/gateway/directory_replica.hpp"
#include "hornbeamgate/gateway/endpoint_registry.hpp"
#include "hornbeamgate/gateway/fleet_config.hpp"
#include "hornbeamgate/gateway/rollout_election.hpp"
#include "hornbeamgate/gateway/version_rollout.hpp"
#include "hornbeamgate/gateway/weights_rollout.hpp"
#include "hornbeamgate/runtime/net/http_message.hpp"

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hornbeamgate::gateway {

/// Newest weights version that operators requested for a model.
struct WeightsTarget {
    ModelId model;
    WeightsVersion version;
};

/// Registration of a gateway daemon.
struct DaemonEntry {
    HostId host;
    Incarnation incarnation;
    SocketAddress peers; ///< receives messages from other daemons
};

/// Describes why a record could not be decoded.
struct RecordError {
    std::string detail;
};

using DirectoryItem = std::variant<FleetConfig, WeightsTarget, EndpointEntry, DaemonEntry, RolloutOrder, RolloutStatus>;

/// Describes why a directory call failed.
struct DirectoryError {
    std::string detail;
    bool isLogTruncated = false; ///< the requested records are no longer retained; a new listing contains the current state
};

/// A complete listing of a topic, or a batch of changes to it.
struct DirectoryPage {
    std::vector<DirectoryRecord> records;
    LogOffset next; ///< offset at which to continue watching
};

/// What a daemon observed, as it is kept for daemons that start later.
struct StoredObservations {
    HostId host;
    Bytes observations;
};

/// Client of the store that holds state which must outlive the daemons. Each call invokes its callback once,
/// after the call has returned, unless the client is destroyed first.
class Directory {
public:
    template <typename T>
    using Callback = std::function<void(Result<T, DirectoryError>)>;

    virtual ~Directory() = default;

    /// Fails if the store is silent for `timeout`.
    virtual void list(DirectoryTopic topic, Duration timeout, Callback<DirectoryPage> callback) = 0;
    /// Reads records starting at `from`. The store waits up to `wait` for the first one. Fails if it is silent for `timeout`
    /// beyond that.
    virtual void watch(DirectoryTopic topic, LogOffset from, Duration wait, Duration timeout, Callback<DirectoryPage> callback) = 0;
    /// Registers this daemon, or removes its registration when `isLeaving` is true.
    virtual void registerDaemon(const DaemonEntry& entry, bool isLeaving, Callback<LogOffset> callback) = 0;
    /// Joins the rollout group or renews the membership; a member that does not renew within `lifetime` is removed.
    virtual void renewRolloutMembership(const HostId& member, std::chrono::milliseconds lifetime, Callback<RolloutMembership> callback) = 0;
    /// Leaves the rollout group; the leader is selected among the remaining members immediately.
    virtual void leaveRolloutGroup(const HostId& member, Callback<bool> callback) = 0;
    /// Reads the newest order record of the rollout leaders.
    virtual void readOrderRecord(Callback<OrderRecordPosition> callback) = 0;
    /// Appends an order record if the records end at `at`, and returns their new end. After an error the record may have
    /// been appended, or may be appended later.
    virtual void appendOrderRecord(const OrderRecord& record, LogOffset at, Callback<LogOffset> callback) = 0;
    /// Reads the observations of all hosts.
    virtual void readObservations(Callback<std::vector<StoredObservations>> callback) = 0;
    /// Replaces the observations of `host`; empty ones remove them.
    virtual void saveObservations(const HostId& host, const Bytes& observations, Callback<LogOffset> callback) = 0;
    /// Reads the newest record of every key of the status topic, and its end.
    virtual void readStatusEnd(Callback<DirectoryPage> callback) = 0;
    /// Appends the state of a rollout if the status topic ends at `at`, and returns its new end. After an error the record
    /// may have been appended, or may be appended later while the topic still ends at `at`.
    virtual void appendStatus(const RolloutStatus& status, LogOffset at, Callback<LogOffset> callback) = 0;
    /// Returns the service whose rollout is ordered by operators' records of `key`, if they order rollouts.
    virtual std::optional<ServiceId> findRolloutService(const std::string& key) const = 0;
    /// Decodes the value of a record. The value must be present.
    virtual Result<DirectoryItem, RecordError> decode(DirectoryTopic topic, const DirectoryRecord& record) const = 0;
};

/// State reported by an engine.
struct EngineReport {
    std::map<ModelId, WeightsVersion> weights;
    bool isBusy = false; ///< an order is in progress
    std::uint64_t acceptedOrderCount = 0;
};

enum class OrderOutcome {
    Accepted,
    AlreadyLoaded,
    Conflict, ///< another order is in progress, or the engine accepted an order that this daemon does not know of
    Rejected,
};

/// Deployment-specific encoding of engine state queries and weights orders.
class EngineControl {
public:
    virtual ~EngineControl() = default;
    virtual HttpRequestHead encodeReportQuery(const EndpointEntry& engine) const = 0;
    virtual Result<EngineReport, RecordError> decodeReport(int status, std::string_view body) const = 0;
    /// Returns the head and body of an order that is valid only if the engine has accepted `acceptedOrderCount` orders.
    virtual std::pair<HttpRequestHead, std::string> encodeOrder(const EndpointEntry& engine, const WeightsOrder& order, const HostId& leader, std::uint64_t acceptedOrderCount) const = 0;
    virtual OrderOutcome decodeOrderResponse(int status) const = 0;
};

} // namespace hornbeamgate::gateway
