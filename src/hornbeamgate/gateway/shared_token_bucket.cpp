#include "hornbeamgate/gateway/shared_token_bucket.hpp"

#include <algorithm>

namespace hornbeamgate::gateway {

SharedTokenBucket::SharedTokenBucket(double unitsPerSecond, double burst, MonotonicTime now)
    : m_unitsPerSecond(unitsPerSecond)
    , m_burst(burst)
    , m_refilledAt(now)
{
}

void SharedTokenBucket::setLimits(double unitsPerSecond, double burst, MonotonicTime now)
{
    refill(now);
    m_unitsPerSecond = unitsPerSecond;
    m_burst = burst;
    m_level = std::min(m_level, m_burst);
}

void SharedTokenBucket::setFleet(std::size_t heard, std::size_t known, MonotonicTime now)
{
    refill(now);
    m_reachableShare = known == 0 ? 1.0 : std::min(1.0, static_cast<double>(heard) / static_cast<double>(known));
}

bool SharedTokenBucket::draw(double units, MonotonicTime now)
{
    refill(now);
    if (m_level <= 0)
        return false;
    m_level -= units;
    return true;
}

void SharedTokenBucket::charge(double units, MonotonicTime now)
{
    refill(now);
    m_level -= units;
}

MonotonicTime SharedTokenBucket::nextDraw(MonotonicTime now) const
{
    return timeOfLevel(0, now);
}

MonotonicTime SharedTokenBucket::timeOfLevel(double wanted, MonotonicTime now) const
{
    const double missing = wanted - level(now);
    const double rate = m_unitsPerSecond * m_reachableShare;
    if (missing < 0 || rate <= 0)
        return now;
    return now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(missing / rate));
}

double SharedTokenBucket::level(MonotonicTime now) const
{
    if (now <= m_refilledAt)
        return m_level;
    const double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
    return std::min(m_burst, m_level + m_unitsPerSecond * m_reachableShare * seconds);
}

void SharedTokenBucket::refill(MonotonicTime now)
{
    m_level = level(now);
    m_refilledAt = std::max(m_refilledAt, now);
}

} // namespace hornbeamgate::gateway
