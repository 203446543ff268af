#pragma once

#include "hornbeamgate/base/time.hpp"

#include <cstddef>

namespace hornbeamgate::gateway {

/// One daemon's view of a token bucket shared by all daemons.
///
/// Every daemon keeps a replica of the whole bucket. It charges its own requests immediately and those of other daemons
/// when they are reported. Unreported draws can make the level negative; the deficit is refilled before the next request
/// is admitted. Daemons that are not heard are assumed to use their share, so the parts of a partitioned fleet together
/// stay within the limit.
///
/// Designed for a workspace that sends several times its rate, distributed unevenly over the daemons, while daemons start,
/// stop and lose contact with each other.
class SharedTokenBucket {
public:
    /// Creates an empty bucket, because a starting daemon does not know what was drawn before.
    SharedTokenBucket(double unitsPerSecond, double burst, MonotonicTime now);

    /// Changes the limits. The level is capped at the new burst.
    void setLimits(double unitsPerSecond, double burst, MonotonicTime now);

    /// Sets the numbers of daemons that are heard and that are known to run. Both include this daemon.
    void setFleet(std::size_t heard, std::size_t known, MonotonicTime now);

    /// Draws `units`. Returns false and draws nothing if the level is not above zero.
    bool draw(double units, MonotonicTime now);

    /// Charges units that are drawn whatever the level, such as those that another daemon reported.
    void charge(double units, MonotonicTime now);

    /// Returns the earliest time at which a draw can succeed if there are no other draws until then.
    MonotonicTime nextDraw(MonotonicTime now) const;

    /// Returns the earliest time at which the level is above `wanted` if there are no draws until then.
    MonotonicTime timeOfLevel(double wanted, MonotonicTime now) const;

    double level(MonotonicTime now) const;
    double rate() const { return m_unitsPerSecond; }

private:
    void refill(MonotonicTime now);

    double m_unitsPerSecond;
    double m_burst;
    double m_reachableShare = 1;
    double m_level = 0;
    MonotonicTime m_refilledAt;
};

} // namespace hornbeamgate::gateway
