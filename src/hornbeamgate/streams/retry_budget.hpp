#pragma once

#include <cstdint>

namespace hornbeamgate {

/// Bounds retries to a share of the requests. Every daemon keeps to its own share, so the whole fleet does without
/// talking, and an overload is never multiplied by its own retries.
class RetryBudget {
public:
    /// Each request earns `retriesPerRequest` retries; at most `most` are saved up.
    explicit RetryBudget(double retriesPerRequest = 0.1, double maxAvailable = 10);

    void creditRequest();

    /// Takes one retry; false when none is left.
    bool tryConsumeRetry();

    double available() const { return m_available; }

private:
    double m_retriesPerRequest;
    double m_maxAvailable;
    double m_available;
};

} // namespace hornbeamgate
