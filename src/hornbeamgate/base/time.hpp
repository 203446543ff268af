#pragma once

#include <chrono>

namespace hornbeamgate {

/// Clock for deadlines. Decision code never reads it; callers pass `now` in.
using MonotonicClock = std::chrono::steady_clock;

/// Point on the monotonic clock of one process; meaningless in any other process.
using MonotonicTime = MonotonicClock::time_point;

/// Span on the monotonic clock.
using Duration = MonotonicClock::duration;

/// Calendar time in UTC, for log lines and records that people read. Never used for deadlines.
using WallTime = std::chrono::system_clock::time_point;

} // namespace hornbeamgate
