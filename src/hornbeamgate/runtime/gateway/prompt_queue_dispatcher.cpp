#include "hornbeamgate/runtime/gateway/prompt_queue_dispatcher.hpp"

#include <algorithm>

namespace hornbeamgate::gateway {

namespace {

    /// Interval between dispatch attempts: a few round trips to an engine, and far below the time to process a long prompt.
    constexpr std::chrono::milliseconds kRetryInterval { 20 };
    /// Failed attempts after which the remaining requests that wait for the same reason are left until the next interval. More
    /// than one is tried, since their prompts may be cached on different engines.
    constexpr int kMaxFailedAttempts = 8;

} // namespace

void PromptQueueDispatcher::Ticket::dispatch()
{
    if (auto* dispatcher = std::exchange(m_dispatcher, nullptr))
        dispatcher->dispatch(m_number);
}

void PromptQueueDispatcher::Ticket::release()
{
    if (auto* dispatcher = std::exchange(m_dispatcher, nullptr))
        dispatcher->remove(m_number);
}

PromptQueueDispatcher::PromptQueueDispatcher()
    : m_timer([this] { retryQueued(); })
{
}

PromptQueueDispatcher::Ticket PromptQueueDispatcher::add(MonotonicTime deadline, Waiter waiter)
{
    const auto now = MonotonicClock::now();
    if (m_waiters.empty())
        m_timer.set(now + kRetryInterval);
    const auto number = ++m_lastNumber;
    m_queue.add(number, deadline, now);
    m_waiters.emplace(number, std::move(waiter));
    return { *this, number };
}

bool PromptQueueDispatcher::hasWaiters(Reason reason) const
{
    return std::any_of(m_waiters.begin(), m_waiters.end(), [reason](const auto& entry) { return entry.second.reason == reason; });
}

void PromptQueueDispatcher::dispatch(PromptQueue::Number number)
{
    if (m_waiters.erase(number) > 0)
        m_queue.dispatch(number, MonotonicClock::now());
}

void PromptQueueDispatcher::remove(PromptQueue::Number number)
{
    m_queue.remove(number);
    m_waiters.erase(number);
}

void PromptQueueDispatcher::refuseAll()
{
    for (const auto number : m_queue.byDeadline())
        refuse(number);
}

void PromptQueueDispatcher::retryQueued()
{
    for (const auto number : m_queue.takeExpired(MonotonicClock::now()))
        refuse(number);
    std::map<Reason, int> failed;
    for (const auto number : m_queue.byDeadline()) {
        const auto waiter = m_waiters.find(number);
        if (waiter == m_waiters.end())
            continue;
        // The call may remove the waiter from the map, so its callback is copied first.
        const auto reason = waiter->second.reason;
        const auto tryAgain = waiter->second.tryAgain;
        if (failed[reason] < kMaxFailedAttempts && !tryAgain())
            ++failed[reason];
    }
    if (!m_waiters.empty())
        m_timer.set(MonotonicClock::now() + kRetryInterval);
}

void PromptQueueDispatcher::refuse(PromptQueue::Number number)
{
    const auto waiter = m_waiters.find(number);
    if (waiter == m_waiters.end())
        return;
    const auto refuse = waiter->second.refuse;
    remove(number);
    refuse();
}

} // namespace hornbeamgate::gateway
