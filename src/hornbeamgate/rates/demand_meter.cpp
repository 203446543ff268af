#include "hornbeamgate/rates/demand_meter.hpp"

#include <cmath>

namespace hornbeamgate {

namespace {

    constexpr std::chrono::duration<double> kTimeConstant = std::chrono::seconds(2);

} // namespace

double DemandMeter::decayUntil(MonotonicTime now) const
{
    const std::chrono::duration<double> elapsed = now - m_updatedAt;
    return std::exp(-elapsed.count() / kTimeConstant.count());
}

void DemandMeter::add(const Amounts& amount, MonotonicTime now)
{
    const double decay = decayUntil(now);
    m_requests = m_requests * decay + static_cast<double>(amount.requests);
    m_tokens = m_tokens * decay + static_cast<double>(amount.tokens);
    m_updatedAt = now;
}

Amounts DemandMeter::expectedWithin(Duration horizon, MonotonicTime now) const
{
    const std::chrono::duration<double> span(horizon);
    const double factor = decayUntil(now) * span.count() / kTimeConstant.count();
    return { static_cast<std::int64_t>(m_requests * factor), static_cast<std::int64_t>(m_tokens * factor) };
}

} // namespace hornbeamgate
