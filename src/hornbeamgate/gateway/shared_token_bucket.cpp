#include "hornbeamgate/gateway/shared_token_bucket.hpp"

#include <algorithm>

namespace hornbeamgate::gateway {

SharedTokenBucket::SharedTokenBucket(double unitsPerSecond, double burst, MonotonicTime now)
    : m_unitsPerSecond(unitsPerSecond)
    , m_burst(burst)
    , m_advancedTo(now)
{
}

void SharedTokenBucket::setLimits(double unitsPerSecond, double burst, MonotonicTime now)
{
    advance(now);
    m_unitsPerSecond = unitsPerSecond;
    m_burst = burst;
    m_level = std::min(m_level, m_burst);
}

void SharedTokenBucket::setFleet(std::size_t heard, std::size_t known, MonotonicTime now)
{
    advance(now);
    m_heardShare = known == 0 ? 1.0 : std::min(1.0, static_cast<double>(heard) / static_cast<double>(known));
}

bool SharedTokenBucket::draw(double units, MonotonicTime now)
{
    advance(now);
    if (m_level <= 0)
        return false;
    m_level -= units;
    return true;
}

void SharedTokenBucket::chargeRemote(double units, MonotonicTime now)
{
    advance(now);
    m_level -= units;
}

MonotonicTime SharedTokenBucket::nextDraw(MonotonicTime now)
{
    advance(now);
    const double rate = m_unitsPerSecond * m_heardShare;
    if (m_level > 0 || rate <= 0)
        return now;
    return now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(-m_level / rate));
}

double SharedTokenBucket::level(MonotonicTime now)
{
    advance(now);
    return m_level;
}

void SharedTokenBucket::advance(MonotonicTime now)
{
    if (now <= m_advancedTo)
        return;
    const double seconds = std::chrono::duration<double>(now - m_advancedTo).count();
    m_level = std::min(m_burst, m_level + m_unitsPerSecond * m_heardShare * seconds);
    m_advancedTo = now;
}

} // namespace hornbeamgate::gateway
