#include "hornbeamgate/runtime/gateway/waiting_prompts.hpp"

namespace hornbeamgate::gateway {

namespace {

    /// Between two tries; a few round trips to an engine, and far below the time for reading a long prompt.
    constexpr std::chrono::milliseconds kTryInterval { 20 };
    /// Requests in a row that find no room before the others wait for the next try. Their prompts have different homes.
    constexpr int kMostFailedTries = 8;

} // namespace

WaitingPrompts::WaitingPrompts()
    : m_timer([this] { tick(); })
{
}

PromptQueue::Number WaitingPrompts::add(MonotonicTime deadline, Waiter waiter)
{
    const auto now = MonotonicClock::now();
    if (m_waiters.empty())
        m_timer.set(now + kTryInterval);
    const auto number = ++m_lastNumber;
    m_line.add(number, deadline, now);
    m_waiters.emplace(number, std::move(waiter));
    return number;
}

void WaitingPrompts::dispatch(PromptQueue::Number number)
{
    m_line.dispatch(number, MonotonicClock::now());
    m_waiters.erase(number);
}

void WaitingPrompts::remove(PromptQueue::Number number)
{
    m_line.remove(number);
    m_waiters.erase(number);
}

void WaitingPrompts::giveUpAll()
{
    for (const auto number : m_line.byDeadline())
        giveUp(number);
}

void WaitingPrompts::tick()
{
    for (const auto number : m_line.takeExpired(MonotonicClock::now()))
        giveUp(number);
    int failed = 0;
    for (const auto number : m_line.byDeadline()) {
        const auto waiter = m_waiters.find(number);
        if (waiter == m_waiters.end())
            continue;
        // The request removes itself when it leaves the line, so its functions are kept until then.
        const auto tryAgain = waiter->second.tryAgain;
        if (!tryAgain() && ++failed >= kMostFailedTries)
            break;
    }
    if (!m_waiters.empty())
        m_timer.set(MonotonicClock::now() + kTryInterval);
}

void WaitingPrompts::giveUp(PromptQueue::Number number)
{
    const auto waiter = m_waiters.find(number);
    if (waiter == m_waiters.end())
        return;
    const auto giveUp = waiter->second.giveUp;
    remove(number);
    giveUp();
}

} // namespace hornbeamgate::gateway
