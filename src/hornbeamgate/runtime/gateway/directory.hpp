#pragma once

#include "hornbeamgate/base/result.hpp"
#include "hornbeamgate/gateway/directory_replica.hpp"
#include "hornbeamgate/gateway/endpoint_registry.hpp"
#include "hornbeamgate/gateway/fleet_config.hpp"
#include "hornbeamgate/gateway/weights_rollout.hpp"
#include "hornbeamgate/runtime/net/http_message.hpp"

#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace hornbeamgate::gateway {

/// Newest weights that operators named for a model.
struct WeightsTarget {
    ModelId model;
    WeightsVersion version;
};

/// Another daemon of this fleet.
struct DaemonEntry {
    HostId host;
    Incarnation incarnation;
    SocketAddress peers; ///< where it takes messages of other daemons
};

/// A record that cannot be used, and why.
struct RecordFault {
    std::string detail;
};

using DirectoryItem = std::variant<FleetConfig, WeightsTarget, EndpointEntry, DaemonEntry>;

/// Why the directory gave no result.
struct DirectoryFault {
    std::string detail;
    bool isHistoryLost = false; ///< the records asked for are gone; a listing has all that counts
};

/// Complete listing of a topic, or what changed in it.
struct DirectoryPage {
    std::vector<DirectoryRecord> records;
    LogOffset next; ///< where to follow on
};

/// Membership in the group that shares duties.
struct DutyGrant {
    FencingToken generation;
    bool isHolder = false;
};

/// Client of the store that keeps what must outlast the daemons. Calls report once, never before they return, and not
/// at all after the client is destroyed.
class Directory {
public:
    template <typename T>
    using Report = std::function<void(Result<T, DirectoryFault>)>;

    virtual ~Directory() = default;

    virtual void list(DirectoryTopic topic, Report<DirectoryPage> report) = 0;
    /// Records from `from` on. Waits up to `wait` for the first one.
    virtual void follow(DirectoryTopic topic, LogOffset from, std::chrono::milliseconds wait, Report<DirectoryPage> report) = 0;
    /// Registers this daemon, or withdraws it when `isLeaving`.
    virtual void announce(const DaemonEntry& entry, bool isLeaving, Report<LogOffset> report) = 0;
    /// Joins or stays in the group that shares duties; a member not heard for `lifetime` loses them.
    virtual void holdDuty(const HostId& member, std::chrono::milliseconds lifetime, Report<DutyGrant> report) = 0;
    /// Leaves the group, whose duties go to the other members at once.
    virtual void leaveDuty(const HostId& member, Report<bool> report) = 0;
    /// Reads a record's value, which is not empty.
    virtual Result<DirectoryItem, RecordFault> decode(DirectoryTopic topic, const DirectoryRecord& record) const = 0;
};

/// State that an engine reports of itself.
struct EngineReport {
    std::map<ModelId, WeightsVersion> weights;
    bool isBusy = false; ///< an order is being carried out
    std::uint64_t ordersTaken = 0;
};

enum class OrderAnswer {
    Accepted,
    AlreadyHolds,
    Conflict, ///< another order is in progress, or the engine took one that we do not know of
    Rejected,
};

/// How weights orders are spelled where the daemon runs.
class EngineControl {
public:
    virtual ~EngineControl() = default;
    virtual HttpRequestHead encodeReportQuery(const EndpointEntry& engine) const = 0;
    virtual Result<EngineReport, RecordFault> decodeReport(int status, std::string_view body) const = 0;
    /// Head and body of an order that holds only if the engine has taken `ordersTaken` orders.
    virtual std::pair<HttpRequestHead, std::string> encodeOrder(const EndpointEntry& engine, const WeightsOrder& order, const HostId& holder, std::uint64_t ordersTaken) const = 0;
    virtual OrderAnswer decodeOrderAnswer(int status) const = 0;
};

} // namespace hornbeamgate::gateway
