#include "runtime/loop_support.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate;
using hornbeamgate::testing::runUntil;

TEST_CASE("a timer with a past deadline fires, however long ago the deadline was [runtime][timer]")
{
    const auto now = MonotonicClock::now();
    for (const auto deadline : { MonotonicTime::min(), MonotonicTime(), now - std::chrono::seconds(1), now }) {
        bool fired = false;
        Timer timer([&] { fired = true; });
        timer.set(deadline);
        CHECK(runUntil([&] { return fired; }));
    }
}

TEST_CASE("a timer with the maximum deadline does not fire [runtime][timer]")
{
    bool late = false;
    bool fired = false;
    Timer never([&] { late = true; });
    never.set(MonotonicTime::max());
    Timer timer([&] { fired = true; });
    timer.set(MonotonicClock::now() + std::chrono::milliseconds(20));
    REQUIRE(runUntil([&] { return fired; }));
    CHECK_FALSE(late);
}
