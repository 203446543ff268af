#include "hornbeamgate/observability/line_budget.hpp"

#include <utility>

namespace hornbeamgate {

bool LineBudget::takeLine(bool isRoutine, MonotonicTime now)
{
    constexpr std::chrono::seconds kWindow { 1 };
    if (now >= m_windowEnd) {
        m_windowEnd = now + kWindow;
        m_lines = 0;
    }
    const int bound = isRoutine ? kLinesPerSecond / 2 : kLinesPerSecond;
    if (m_lines >= bound) {
        ++m_dropped;
        return false;
    }
    ++m_lines;
    return true;
}

std::uint64_t LineBudget::takeDropped()
{
    return std::exchange(m_dropped, 0);
}

} // namespace hornbeamgate
