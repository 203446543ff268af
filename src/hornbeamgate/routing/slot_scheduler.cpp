#include "hornbeamgate/routing/slot_scheduler.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hornbeamgate {

Result<SlotScheduler, FairQueueOptionsError> SlotScheduler::create(const SlotSchedulerOptions& options)
{
    if (options.slots == 0)
        return failure(FairQueueOptionsError { "an engine needs at least one slot" });
    auto queue = FairQueue::create(options.queue);
    if (!queue)
        return failure(queue.error());
    return SlotScheduler(options, std::move(*queue));
}

SlotScheduler::SlotScheduler(const SlotSchedulerOptions& options, FairQueue queue)
    : m_options(options)
    , m_queue(std::move(queue))
    , m_timePerToken(options.timePerToken)
{
}

std::vector<SchedulerAction> SlotScheduler::handle(const SchedulerEvent& event, MonotonicTime now)
{
    Actions actions;
    std::visit([&](const auto& alternative) { on(alternative, now, actions); }, event);
    refuseExpired(now, actions);
    fillSlots(now, actions);
    return actions;
}

std::optional<MonotonicTime> SlotScheduler::nextDeadline() const
{
    if (m_deadlines.empty())
        return std::nullopt;
    return m_deadlines.begin()->first;
}

void SlotScheduler::on(const RunOffered& event, MonotonicTime now, Actions& actions)
{
    refuseExpired(now, actions);
    FairQueueItem item;
    item.ticket = event.ticket;
    item.workspace = event.workspace;
    item.weight = event.weight;
    item.priority = event.priority;
    item.cost = slotTime(event.tokens) / m_options.slots;
    item.startDeadline = event.startDeadline;
    const auto pushed = m_queue.push(item, slotFreeAt(now), now);
    if (!pushed) {
        actions.push_back(RefuseOfferedRun { event.ticket, pushed.error() });
        return;
    }
    m_waiting[event.ticket] = { now, event.startDeadline, event.tokens };
    m_deadlines.insert({ event.startDeadline, event.ticket });
    for (const auto displaced : pushed->displaced) {
        removeWaiting(displaced);
        actions.push_back(RefuseOfferedRun { displaced, QueueRefusal::Full });
    }
}

void SlotScheduler::on(const RunEnded& event, MonotonicTime now, Actions&)
{
    if (m_queue.remove(event.ticket)) {
        removeWaiting(event.ticket);
        return;
    }
    const auto running = m_running.find(event.ticket);
    if (running == m_running.end())
        return;
    updateTimePerToken(running->second, now);
    m_running.erase(running);
}

void SlotScheduler::on(const SchedulerTimerExpired&, MonotonicTime, Actions&)
{
}

void SlotScheduler::fillSlots(MonotonicTime now, Actions& actions)
{
    while (m_running.size() < m_options.slots) {
        const auto item = m_queue.pop(now);
        if (!item)
            return;
        const auto waiting = m_waiting.at(item->ticket);
        m_running[item->ticket] = { now, waiting.tokens };
        removeWaiting(item->ticket);
        actions.push_back(StartOfferedRun { item->ticket, now - waiting.offeredAt });
    }
}

void SlotScheduler::refuseExpired(MonotonicTime now, Actions& actions)
{
    for (const auto& item : m_queue.removeExpired(now)) {
        removeWaiting(item.ticket);
        actions.push_back(RefuseOfferedRun { item.ticket, QueueRefusal::DeadlineUnreachable });
    }
}

void SlotScheduler::removeWaiting(QueueTicket ticket)
{
    const auto waiting = m_waiting.find(ticket);
    if (waiting == m_waiting.end())
        return;
    m_deadlines.erase({ waiting->second.startDeadline, ticket });
    m_waiting.erase(waiting);
}

void SlotScheduler::updateTimePerToken(const Running& ended, MonotonicTime now)
{
    const auto tokens = static_cast<double>(std::max<std::uint64_t>(1, ended.tokens));
    const auto seen = static_cast<double>((now - ended.startedAt).count()) / tokens;
    const auto known = static_cast<double>(m_timePerToken.count());
    m_timePerToken = Duration(static_cast<Duration::rep>(known + m_options.smoothingFactor * (seen - known)));
}

MonotonicTime SlotScheduler::slotFreeAt(MonotonicTime now) const
{
    if (m_running.size() < m_options.slots)
        return now;
    auto first = MonotonicTime::max();
    for (const auto& [ticket, run] : m_running)
        first = std::min(first, run.startedAt + slotTime(run.tokens));
    return std::max(first, now);
}

Duration SlotScheduler::slotTime(std::uint64_t tokens) const
{
    return m_timePerToken * static_cast<Duration::rep>(std::max<std::uint64_t>(1, tokens));
}

nlohmann::json SlotScheduler::dump() const
{
    return {
        { "slots", m_options.slots },
        { "running", m_running.size() },
        { "time_per_token_us", std::chrono::duration_cast<std::chrono::microseconds>(m_timePerToken).count() },
        { "queue", m_queue.dump() },
    };
}

} // namespace hornbeamgate
