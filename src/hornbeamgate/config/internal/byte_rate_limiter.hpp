#pragma once

#include "hornbeamgate/base/time.hpp"

#include <algorithm>

namespace hornbeamgate::internal {

/// Limits the bytes sent to `bytesPerSecond` on average and to `burstBytes` in one burst.
class ByteRateLimiter {
public:
    ByteRateLimiter(double bytesPerSecond, double burstBytes)
        : m_bytesPerSecond(bytesPerSecond)
        , m_burstBytes(burstBytes)
    {
    }

    /// Consumes `bytes` and returns true if the limit allows it now; otherwise leaves the limiter unchanged.
    bool tryConsume(std::size_t bytes, MonotonicTime now)
    {
        const auto fullAgainAt = std::max(m_fullAgainAt, now) + timeFor(static_cast<double>(bytes));
        if (fullAgainAt - now > timeFor(m_burstBytes))
            return false;
        m_fullAgainAt = fullAgainAt;
        return true;
    }

private:
    Duration timeFor(double bytes) const
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(bytes / m_bytesPerSecond));
    }

    double m_bytesPerSecond;
    double m_burstBytes;
    MonotonicTime m_fullAgainAt = MonotonicTime {};
};

} // namespace hornbeamgate::internal
