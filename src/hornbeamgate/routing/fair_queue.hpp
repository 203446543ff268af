#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/result.hpp"
#include "hornbeamgate/base/time.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamgate {

/// Caller-assigned identifier of a queued item. Unique within one queue.
using QueueTicket = StrongNumber<struct QueueTicketTag>;

/// Queued request.
struct FairQueueItem {
    QueueTicket ticket;
    WorkspaceId workspace;
    std::uint32_t weight = 1; ///< relative share of service among workspaces of the same priority
    std::uint32_t priority = 0; ///< items with a higher priority are served first
    Duration cost {}; ///< expected service time
    MonotonicTime startDeadline; ///< latest useful start of service
};

/// Settings of a fair queue.
struct FairQueueOptions {
    std::size_t maxItems = 256;
    Duration maxCost = std::chrono::seconds(10); ///< total service time of all waiting items
};

struct FairQueueOptionsError {
    std::string detail;
};

enum class QueueRefusal {
    Full, ///< the queue is full and too few items can be displaced to make room
    DeadlineUnreachable, ///< the items ahead take longer than the item's deadline allows
    InvalidItem, ///< zero weight, negative cost or a ticket that is already queued
};

/// Result of a successful push. Displaced items were removed from the queue without having run.
struct QueuePushed {
    std::vector<QueueTicket> displaced;
};

/// Start-time fair queue across workspaces. Backlogged workspaces of equal priority are served in proportion to their weights,
/// so a workspace that sends more only delays its own items. When the queue is full, the most recent item of the workspace with
/// the largest queued cost per weight is displaced, starting at the lowest priority.
class FairQueue {
public:
    static Result<FairQueue, FairQueueOptionsError> create(FairQueueOptions options);

    /// Adds an item. `serverFreeAt` is the time at which the item in service is expected to finish.
    Result<QueuePushed, QueueRefusal> push(const FairQueueItem& item, MonotonicTime serverFreeAt, MonotonicTime now);

    /// Removes and returns the next item. Items past their deadline are skipped and left for `removeExpired`.
    std::optional<FairQueueItem> pop(MonotonicTime now);

    /// Removes and returns the items whose start deadline has passed.
    std::vector<FairQueueItem> removeExpired(MonotonicTime now);

    /// Removes an item; returns false if it is not queued.
    bool remove(QueueTicket ticket);

    /// Returns the total service time of the items that would be served before a new item of this workspace.
    Duration costAhead(const WorkspaceId& workspace, std::uint32_t priority) const;

    /// Returns the total service time of all waiting items.
    Duration queuedCost() const { return m_queuedCost; }
    std::size_t size() const { return m_items.size(); }

    /// Returns the number and cost of waiting items per workspace for diagnostics.
    nlohmann::json dump() const;

private:
    /// Position in the service order. Virtual times are in seconds of service per unit of weight.
    struct Position {
        std::uint32_t priority = 0;
        double startTag = 0;
        std::uint64_t arrival = 0;

        bool operator<(const Position& other) const;
    };
    struct Flow {
        double finishTag = 0;
        std::size_t items = 0;
        Duration cost {};
        std::uint32_t weight = 1;

        double weightedCost() const;
    };
    struct Level {
        double virtualTime = 0;
        std::size_t items = 0;
        std::map<WorkspaceId, Flow> flows;
    };
    using Items = std::map<Position, FairQueueItem>;

    explicit FairQueue(FairQueueOptions options);

    double startTagFor(const WorkspaceId& workspace, std::uint32_t priority) const;
    Duration costBefore(std::uint32_t priority, double startTag) const;
    bool overflows(const FairQueueItem& item) const;
    /// Removes the items that must be displaced for `item` to fit and returns their tickets; returns nullopt and changes nothing
    /// if `item` must be refused.
    std::optional<std::vector<QueueTicket>> makeRoomFor(const FairQueueItem& item);
    Items::iterator findDisplaceable(const FairQueueItem& item);
    Items::iterator latestItemOf(const WorkspaceId& workspace, std::uint32_t priority);
    double weightedCostWith(const FairQueueItem& item) const;
    void insert(const FairQueueItem& item);
    FairQueueItem erase(Items::iterator position);

    FairQueueOptions m_options;
    Items m_items;
    std::map<QueueTicket, Position> m_positions;
    std::map<std::uint32_t, Level> m_levels;
    Duration m_queuedCost {};
    std::uint64_t m_arrivals = 0;
};

} // namespace hornbeamgate
