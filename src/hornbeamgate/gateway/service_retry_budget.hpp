#pragma once

#include "hornbeamgate/base/time.hpp"

#include <cstddef>
#include <deque>

namespace hornbeamgate::gateway {

/// Limits on retries to one service, across all daemons.
struct RetryLimits {
    double ratio = 0.1; ///< retries per request
    double slack = 0; ///< additional retries per window, across all daemons
    Duration window {};
};

/// One daemon's share of the retry budget of a service.
///
/// A daemon retries at most `ratio` of its own requests in the last window plus an equal share of the slack. The sum over
/// all daemons therefore stays within the limits without coordination.
///
/// Designed for an endpoint that fails a large share of its requests while callers also retry.
class ServiceRetryBudget {
public:
    explicit ServiceRetryBudget(const RetryLimits& limits)
        : m_limits(limits)
    {
    }

    void recordRequest(MonotonicTime now);

    /// Consumes one retry. Returns false if the budget of the window is exhausted. The slack is divided by `daemons`.
    bool tryTakeRetry(std::size_t daemons, MonotonicTime now);

private:
    using Times = std::deque<MonotonicTime>;
    void dropExpired(Times& times, MonotonicTime now) const;

    RetryLimits m_limits;
    Times m_requests;
    Times m_retries;
};

} // namespace hornbeamgate::gateway
