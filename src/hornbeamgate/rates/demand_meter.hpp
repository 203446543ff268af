#pragma once

#include "hornbeamgate/base/time.hpp"
#include "hornbeamgate/rates/amounts.hpp"

namespace hornbeamgate {

/// Exponentially weighted moving average of the requested amounts per second.
class DemandMeter {
public:
    void add(const Amounts& amount, MonotonicTime now);

    /// Returns the amounts expected to be requested within `horizon`, in whole units.
    Amounts expectedWithin(Duration horizon, MonotonicTime now) const;

private:
    double decayUntil(MonotonicTime now) const;

    double m_requests = 0;
    double m_tokens = 0;
    MonotonicTime m_updatedAt;
};

} // namespace hornbeamgate
