#include "hornbeamgate/gateway/prompt_line.hpp"

#include <algorithm>

namespace hornbeamgate::gateway {

namespace {

    /// Time over which the rate of departures is taken; a few prompts are read meanwhile.
    constexpr std::chrono::milliseconds kRateWindow { 2000 };

} // namespace

Duration PromptLine::expectedWait(MonotonicTime now) const
{
    if (m_deadlines.empty() || now < m_busySince + kRateWindow)
        return {};
    const auto departed = std::count_if(m_departures.begin(), m_departures.end(), [now](MonotonicTime at) { return now < at + kRateWindow; });
    return kRateWindow * static_cast<std::int64_t>(m_deadlines.size()) / std::max<std::int64_t>(1, departed);
}

void PromptLine::add(Number number, MonotonicTime deadline, MonotonicTime now)
{
    if (m_deadlines.empty())
        m_busySince = now;
    m_deadlines.emplace(deadline, number);
}

void PromptLine::depart(Number number, MonotonicTime now)
{
    remove(number);
    while (!m_departures.empty() && m_departures.front() + kRateWindow <= now)
        m_departures.pop_front();
    m_departures.push_back(now);
}

void PromptLine::remove(Number number)
{
    std::erase_if(m_deadlines, [number](const auto& entry) { return entry.second == number; });
}

std::vector<PromptLine::Number> PromptLine::inOrder() const
{
    std::vector<Number> numbers;
    for (const auto& [deadline, number] : m_deadlines)
        numbers.push_back(number);
    return numbers;
}

std::vector<PromptLine::Number> PromptLine::takeExpired(MonotonicTime now)
{
    std::vector<Number> expired;
    while (!m_deadlines.empty() && m_deadlines.begin()->first < now + kLeastTime) {
        expired.push_back(m_deadlines.begin()->second);
        m_deadlines.erase(m_deadlines.begin());
    }
    return expired;
}

} // namespace hornbeamgate::gateway
