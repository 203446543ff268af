#pragma once

#include "hornbeamgate/routing/fair_queue.hpp"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace hornbeamgate {

/// An entry daemon asks the agent to start a run.
struct RunOffered {
    QueueTicket ticket;
    WorkspaceId workspace;
    std::uint32_t weight = 1;
    std::uint32_t priority = 0;
    std::uint64_t tokens = 0; ///< estimated number of prompt and generated tokens
    MonotonicTime startDeadline;
};

/// A started run ended, or a waiting run was cancelled.
struct RunEnded {
    QueueTicket ticket;
};

/// The deadline returned by nextDeadline() has passed.
struct SchedulerTimerExpired {
};

using SchedulerEvent = std::variant<RunOffered, RunEnded, SchedulerTimerExpired>;

/// Action: start the run on the engine. It occupies a slot until RunEnded.
struct StartOfferedRun {
    QueueTicket ticket;
    Duration waited {};
};

/// Action: refuse the run, which has not been started.
struct RefuseOfferedRun {
    QueueTicket ticket;
    QueueRefusal reason = QueueRefusal::Full;
};

using SchedulerAction = std::variant<StartOfferedRun, RefuseOfferedRun>;

struct SlotSchedulerOptions {
    std::uint32_t slots = 16; ///< maximum number of concurrent runs on the engine
    FairQueueOptions queue;
    Duration timePerToken = std::chrono::microseconds(100); ///< initial estimate of the slot time per token
    double smoothingFactor = 0.1; ///< weight of the latest run in the moving average of the time per token
};

/// Schedules runs of several workspaces on the slots of one engine. A run starts immediately if a slot is free, otherwise waits in
/// a fair queue. It is refused before any work is done if it cannot start in time.
class SlotScheduler {
public:
    static Result<SlotScheduler, FairQueueOptionsError> create(const SlotSchedulerOptions& options);

    std::vector<SchedulerAction> handle(const SchedulerEvent& event, MonotonicTime now);
    std::optional<MonotonicTime> nextDeadline() const;

    std::size_t running() const { return m_running.size(); }
    std::size_t waiting() const { return m_queue.size(); }
    nlohmann::json dump() const;

private:
    struct Running {
        MonotonicTime startedAt;
        std::uint64_t tokens = 0;
    };
    struct Waiting {
        MonotonicTime offeredAt;
        MonotonicTime startDeadline;
        std::uint64_t tokens = 0;
    };
    using Actions = std::vector<SchedulerAction>;

    SlotScheduler(const SlotSchedulerOptions& options, FairQueue queue);

    void on(const RunOffered& event, MonotonicTime now, Actions& actions);
    void on(const RunEnded& event, MonotonicTime now, Actions& actions);
    void on(const SchedulerTimerExpired& event, MonotonicTime now, Actions& actions);

    void fillSlots(MonotonicTime now, Actions& actions);
    void refuseExpired(MonotonicTime now, Actions& actions);
    void removeWaiting(QueueTicket ticket);
    void updateTimePerToken(const Running& ended, MonotonicTime now);
    MonotonicTime slotFreeAt(MonotonicTime now) const;
    Duration slotTime(std::uint64_t tokens) const;

    SlotSchedulerOptions m_options;
    FairQueue m_queue;
    Duration m_timePerToken;
    std::unordered_map<QueueTicket, Running> m_running;
    std::unordered_map<QueueTicket, Waiting> m_waiting;
    std::set<std::pair<MonotonicTime, QueueTicket>> m_deadlines; ///< of the waiting runs
};

} // namespace hornbeamgate
