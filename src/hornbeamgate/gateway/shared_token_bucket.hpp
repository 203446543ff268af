#pragma once

#include "hornbeamgate/base/time.hpp"

#include <cstddef>

namespace hornbeamgate::gateway {

/// One daemon's view of a token bucket that all daemons draw from.
///
/// Every daemon keeps the whole bucket: it charges its own requests at once and those of others when they report them.
/// The level may become negative by what others took unseen; it is paid back before the next request passes. Daemons
/// that are not heard are taken to use their share, so the parts of a split fleet stay within the limit together.
///
/// Load it answers: a workspace at several times its rate, spread unevenly over the daemons, while daemons start, stop
/// and lose each other.
class SharedTokenBucket {
public:
    /// Starts empty: a daemon that starts does not know what was drawn before.
    SharedTokenBucket(double unitsPerSecond, double burst, MonotonicTime now);

    /// Changes the limits. A burst that shrinks takes the level with it.
    void setLimits(double unitsPerSecond, double burst, MonotonicTime now);

    /// Sets how many of the daemons known to run are heard, this one included in both.
    void setFleet(std::size_t heard, std::size_t known, MonotonicTime now);

    /// Draws `units`, or nothing when the level is not above zero.
    bool draw(double units, MonotonicTime now);

    /// Charges what another daemon reports to have drawn.
    void chargeRemote(double units, MonotonicTime now);

    /// Time from which a draw can succeed, if nobody draws meanwhile.
    MonotonicTime nextDraw(MonotonicTime now);

    double level(MonotonicTime now);

private:
    void refill(MonotonicTime now);

    double m_unitsPerSecond;
    double m_burst;
    double m_reachableShare = 1;
    double m_level = 0;
    MonotonicTime m_refilledAt;
};

} // namespace hornbeamgate::gateway
