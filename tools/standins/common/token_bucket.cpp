#include "common/token_bucket.hpp"

#include <algorithm>

namespace hornbeamgate::standins {

bool TokenBucket::take(MonotonicTime now)
{
    if (m_perSecond <= 0)
        return true;
    const std::chrono::duration<double> elapsed = now - m_filledAt;
    m_available = std::min(m_burst, m_available + elapsed.count() * m_perSecond);
    m_filledAt = now;
    if (m_available < 1)
        return false;
    m_available -= 1;
    return true;
}

} // namespace hornbeamgate::standins
