#include "hornbeamgate/gateway/retry_allowance.hpp"

#include <algorithm>

namespace hornbeamgate::gateway {

namespace {

    /// Part of the bound that is used, since arrivals are counted at the endpoint, later than they are sent.
    constexpr double kUsedPart = 0.8;

} // namespace

void RetryAllowance::noteRequest(MonotonicTime now)
{
    forgetOld(m_requests, now);
    m_requests.push_back(now);
}

bool RetryAllowance::takeRepeat(std::size_t daemons, MonotonicTime now)
{
    forgetOld(m_requests, now);
    forgetOld(m_repeats, now);
    const double slack = m_limits.slack / static_cast<double>(std::max<std::size_t>(1, daemons));
    const double bound = kUsedPart * (m_limits.ratio * static_cast<double>(m_requests.size()) + slack);
    if (static_cast<double>(m_repeats.size() + 1) > bound)
        return false;
    m_repeats.push_back(now);
    return true;
}

void RetryAllowance::forgetOld(Times& times, MonotonicTime now) const
{
    while (!times.empty() && times.front() + m_limits.window <= now)
        times.pop_front();
}

} // namespace hornbeamgate::gateway
