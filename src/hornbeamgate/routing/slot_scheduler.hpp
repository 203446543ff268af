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

/// Run that an entry daemon asks the agent to start.
struct RunOffered {
    QueueTicket ticket;
    WorkspaceId workspace;
    std::uint32_t weight = 1;
    std::uint32_t priority = 0;
    std::uint64_t tokens = 0; ///< estimate of prompt and generated tokens
    MonotonicTime startDeadline;
};

/// A started run is over, or a waiting one is no longer wanted.
struct RunEnded {
    QueueTicket ticket;
};

/// The deadline given by nextDeadline() passed.
struct SchedulerTimerExpired {
};

using SchedulerEvent = std::variant<RunOffered, RunEnded, SchedulerTimerExpired>;

/// Action: start the run on the engine; it takes a slot until RunEnded.
struct StartOfferedRun {
    QueueTicket ticket;
    Duration waited {};
};

/// Action: refuse the run; it has not run and never will.
struct RefuseOfferedRun {
    QueueTicket ticket;
    QueueRefusal reason = QueueRefusal::Full;
};

using SchedulerAction = std::variant<StartOfferedRun, RefuseOfferedRun>;

struct SlotSchedulerOptions {
    std::uint32_t slots = 16; ///< runs on the engine at the same time
    FairQueueOptions queue;
    Duration timePerToken = std::chrono::microseconds(100); ///< slot time of one token, until runs were observed
    double smoothingFactor = 0.1; ///< weight of the latest run in the learned time per token
};

/// Shares the slots of one engine between workspaces: a run starts at once while slots are free, waits fairly otherwise,
/// and is refused before any work when it cannot start in time.
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
