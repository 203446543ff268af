#pragma once

#include "hornbeamgate/base/time.hpp"

namespace hornbeamgate::gateway::testing {

/// Returns a point on a simulated clock.
inline MonotonicTime at(std::chrono::milliseconds time)
{
    constexpr std::chrono::hours kStart { 1 };
    return MonotonicTime() + kStart + time;
}

} // namespace hornbeamgate::gateway::testing
