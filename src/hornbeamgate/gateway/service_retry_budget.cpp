#include "hornbeamgate/gateway/service_retry_budget.hpp"

#include <algorithm>

namespace hornbeamgate::gateway {

namespace {

    /// Fraction of the bound that is used. The margin is needed because arrivals are counted at the endpoint, later than
    /// they are sent.
    constexpr double kUsableShare = 0.8;

} // namespace

void ServiceRetryBudget::recordRequest(MonotonicTime now)
{
    dropExpired(m_requests, now);
    m_requests.push_back(now);
}

bool ServiceRetryBudget::tryTakeRetry(std::size_t daemons, MonotonicTime now)
{
    dropExpired(m_requests, now);
    dropExpired(m_retries, now);
    const double slack = m_limits.slack / static_cast<double>(std::max<std::size_t>(1, daemons));
    const double bound = kUsableShare * (m_limits.ratio * static_cast<double>(m_requests.size()) + slack);
    if (static_cast<double>(m_retries.size() + 1) > bound)
        return false;
    m_retries.push_back(now);
    return true;
}

void ServiceRetryBudget::dropExpired(Times& times, MonotonicTime now) const
{
    while (!times.empty() && times.front() + m_limits.window <= now)
        times.pop_front();
}

} // namespace hornbeamgate::gateway
