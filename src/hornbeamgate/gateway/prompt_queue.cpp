#include "hornbeamgate/gateway/prompt_queue.hpp"

#include <algorithm>

namespace hornbeamgate::gateway {

namespace {

    /// Window for measuring the dispatch rate; several prompts are prefilled within it.
    constexpr std::chrono::milliseconds kRateWindow { 2000 };
    /// A prompt may wait for at least one in this many parts of its objective.
    constexpr int kMinQueueShare = 4;
    /// Prompts that an engine reads until the answer: the one that another daemon sent at the same time, and its own.
    constexpr int kPromptsBeforeAnswer = 2;

} // namespace

MonotonicTime PromptQueue::usefulDeadline(MonotonicTime arrived, Duration objective, Duration prefillTime, MonotonicTime deadline)
{
    const auto latestStart = arrived + std::max<Duration>(objective / kMinQueueShare, objective - kPromptsBeforeAnswer * prefillTime);
    return std::min(deadline, latestStart + kMinTimeLeft);
}

Duration PromptQueue::expectedWait(MonotonicTime now) const
{
    if (m_deadlines.empty() || now < m_nonEmptySince + kRateWindow)
        return {};
    const auto dispatched = std::count_if(m_dispatches.begin(), m_dispatches.end(), [now](MonotonicTime at) { return now < at + kRateWindow; });
    return kRateWindow * static_cast<std::int64_t>(m_deadlines.size()) / std::max<std::int64_t>(1, dispatched);
}

void PromptQueue::add(Number number, MonotonicTime deadline, MonotonicTime now)
{
    if (m_deadlines.empty())
        m_nonEmptySince = now;
    m_deadlines.emplace(deadline, number);
}

void PromptQueue::dispatch(Number number, MonotonicTime now)
{
    remove(number);
    while (!m_dispatches.empty() && m_dispatches.front() + kRateWindow <= now)
        m_dispatches.pop_front();
    m_dispatches.push_back(now);
}

void PromptQueue::remove(Number number)
{
    std::erase_if(m_deadlines, [number](const auto& entry) { return entry.second == number; });
}

std::vector<PromptQueue::Number> PromptQueue::byDeadline() const
{
    std::vector<Number> numbers;
    for (const auto& [deadline, number] : m_deadlines)
        numbers.push_back(number);
    return numbers;
}

std::vector<PromptQueue::Number> PromptQueue::takeExpired(MonotonicTime now)
{
    std::vector<Number> expired;
    while (!m_deadlines.empty() && m_deadlines.begin()->first < now + kMinTimeLeft) {
        expired.push_back(m_deadlines.begin()->second);
        m_deadlines.erase(m_deadlines.begin());
    }
    return expired;
}

} // namespace hornbeamgate::gateway
