#pragma once

#include "hornbeamgate/runtime/glib_support.hpp"

namespace hornbeamgate::testing {

/// Upper bound for waiting on an expected event; reached only if the code under test hangs.
constexpr std::chrono::seconds kHangLimit { 20 };

/// Runs the main loop until `done` returns true. Returns false if that takes longer than kHangLimit.
template <typename Predicate>
bool runUntil(Predicate done)
{
    bool expired = false;
    Timer limit([&] { expired = true; });
    limit.set(MonotonicClock::now() + kHangLimit);
    while (!done() && !expired)
        g_main_context_iteration(nullptr, TRUE);
    return !expired;
}

/// Runs the main loop for `time`.
inline void runFor(std::chrono::milliseconds time)
{
    bool expired = false;
    Timer end([&] { expired = true; });
    end.set(MonotonicClock::now() + time);
    while (!expired)
        g_main_context_iteration(nullptr, TRUE);
}

} // namespace hornbeamgate::testing
