#pragma once

#include <cstdint>

namespace hornbeamgate {

/// Limits retries to a fraction of the requests, so that retries cannot amplify an overload. Each daemon applies the limit
/// to its own requests, which bounds the whole fleet without coordination.
class RetryBudget {
public:
    /// Each request adds `retriesPerRequest` retries to the budget, up to `maxAvailable`. The budget starts full.
    explicit RetryBudget(double retriesPerRequest = 0.1, double maxAvailable = 10);

    /// Adds the share of one new request.
    void creditRequest();

    /// Consumes one retry; returns false if less than one is available.
    bool tryConsumeRetry();

    /// Number of retries available, including a fraction.
    double available() const { return m_available; }

private:
    double m_retriesPerRequest;
    double m_maxAvailable;
    double m_available;
};

} // namespace hornbeamgate
