#pragma once

#include "hornbeamgate/base/time.hpp"

namespace hornbeamgate::standins {

/// Rate limit of a stand-in. A rate of 0 sets no limit.
class TokenBucket {
public:
    TokenBucket(double perSecond, double burst)
        : m_perSecond(perSecond)
        , m_burst(burst)
        , m_available(burst)
    {
    }

    /// Takes one token if there is one at `now`.
    bool take(MonotonicTime now);

private:
    double m_perSecond;
    double m_burst;
    double m_available;
    MonotonicTime m_filledAt;
};

} // namespace hornbeamgate::standins
