#pragma once

#include "hornbeamgate/base/time.hpp"

#include <cstddef>
#include <deque>

namespace hornbeamgate::gateway {

/// Bounds on repeated sends to one service, over all daemons.
struct RetryLimits {
    double ratio = 0.1; ///< repeats for each request
    double slack = 0; ///< repeats in a window beyond the ratio, over all daemons
    Duration window {};
};

/// One daemon's part of the repeats that a service may get.
///
/// A daemon repeats at most `ratio` of its own requests of the last window plus its equal part of the slack, so the
/// sum over the daemons keeps the bound without any message.
///
/// Load it answers: an endpoint that fails a large share of its requests, while callers repeat on their own.
class ServiceRetryBudget {
public:
    explicit ServiceRetryBudget(const RetryLimits& limits)
        : m_limits(limits)
    {
    }

    void recordRequest(MonotonicTime now);

    /// Takes one repeat, or nothing when the window's bound is reached. `daemons` share the slack.
    bool tryTakeRetry(std::size_t daemons, MonotonicTime now);

private:
    using Times = std::deque<MonotonicTime>;
    void dropExpired(Times& times, MonotonicTime now) const;

    RetryLimits m_limits;
    Times m_requests;
    Times m_retries;
};

} // namespace hornbeamgate::gateway
