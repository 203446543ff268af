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

/// Number by which the owner of a queue recognises an item. Unique within one queue.
using QueueTicket = StrongNumber<struct QueueTicketTag>;

/// Request that waits for its turn.
struct FairQueueItem {
    QueueTicket ticket;
    WorkspaceId workspace;
    std::uint32_t weight = 1; ///< share of the service relative to other workspaces of the same priority
    std::uint32_t priority = 0; ///< items of a larger priority are served first
    Duration cost {}; ///< service time that the item is expected to take
    MonotonicTime startDeadline; ///< the item is of no use when its service starts later
};

/// Settings of a fair queue.
struct FairQueueOptions {
    std::size_t maxItems = 256;
    Duration maxCost = std::chrono::seconds(10); ///< service time of all waiting items together
};

struct FairQueueOptionsError {
    std::string detail;
};

enum class QueueRefusal {
    Full, ///< the queue is full and the item's workspace has the largest share of it
    DeadlineUnreachable, ///< the items ahead take longer than the item can wait
    InvalidItem, ///< weight zero, negative cost or a ticket that is already waiting
};

/// Outcome of a successful push. The displaced items have not run and never will.
struct QueuePushed {
    std::vector<QueueTicket> displaced;
};

/// Start-time fair queue between workspaces. Workspaces of equal priority that always have items waiting are served in
/// proportion to their weights; one that sends more only makes its own items wait. When the queue is full, the workspace
/// that holds most of it in relation to its weight gives up its latest item.
class FairQueue {
public:
    static Result<FairQueue, FairQueueOptionsError> create(FairQueueOptions options);

    /// Adds an item. `serverFreeAt` is when the item now in service is expected to finish.
    Result<QueuePushed, QueueRefusal> push(const FairQueueItem& item, MonotonicTime serverFreeAt, MonotonicTime now);

    /// Takes the next item out. Items past their deadline are skipped and stay for `removeExpired`.
    std::optional<FairQueueItem> pop(MonotonicTime now);

    /// Takes out the items whose start deadline has passed.
    std::vector<FairQueueItem> removeExpired(MonotonicTime now);

    /// Takes one item out; false when it is not waiting.
    bool remove(QueueTicket ticket);

    /// Service time of the items that would be served before a new item of this workspace.
    Duration costAhead(const WorkspaceId& workspace, std::uint32_t priority) const;

    /// Service time of all waiting items.
    Duration queuedCost() const { return m_queuedCost; }
    std::size_t size() const { return m_items.size(); }

    /// Waiting items and cost by workspace, for the dump on request.
    nlohmann::json dump() const;

private:
    /// Position in the service order; virtual times are seconds of service per unit of weight.
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
    /// Items that must go so that `item` fits, or nothing when `item` itself is the one to refuse.
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
