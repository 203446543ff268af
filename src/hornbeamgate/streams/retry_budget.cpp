#include "hornbeamgate/streams/retry_budget.hpp"

#include <algorithm>

namespace hornbeamgate {

RetryBudget::RetryBudget(double retriesPerRequest, double maxAvailable)
    : m_retriesPerRequest(retriesPerRequest)
    , m_maxAvailable(maxAvailable)
    , m_available(maxAvailable)
{
}

void RetryBudget::creditRequest()
{
    m_available = std::min(m_maxAvailable, m_available + m_retriesPerRequest);
}

bool RetryBudget::tryConsumeRetry()
{
    if (m_available < 1)
        return false;
    m_available -= 1;
    return true;
}

} // namespace hornbeamgate
