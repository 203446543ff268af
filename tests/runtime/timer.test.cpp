#include "runtime/loop_support.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate;
using hornbeamgate::testing::runFor;
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

TEST_CASE("a timer that is cleared while it is due does not fire [runtime][timer]")
{
    // GLib collects all due sources before it dispatches the first, so each callback clears a timer that is already collected.
    int fired = 0;
    std::unique_ptr<Timer> first;
    std::unique_ptr<Timer> second;
    first = std::make_unique<Timer>([&] { ++fired; second->clear(); });
    second = std::make_unique<Timer>([&] { ++fired; first->clear(); });
    first->set(MonotonicClock::now());
    second->set(MonotonicClock::now());
    runFor(std::chrono::milliseconds(50));
    CHECK(fired == 1);
}

TEST_CASE("a timer that is set again while it is due fires once, at its new deadline [runtime][timer]")
{
    constexpr std::chrono::milliseconds kDelay { 300 };
    std::vector<MonotonicTime> fired;
    const auto deadline = MonotonicClock::now() + kDelay;
    Timer moved([&] { fired.push_back(MonotonicClock::now()); });
    Timer before([&] { moved.set(deadline); });
    Timer after([&] { moved.set(deadline); });
    before.set(MonotonicClock::now());
    moved.set(MonotonicClock::now());
    after.set(MonotonicClock::now());
    runFor(2 * kDelay);
    REQUIRE(fired.size() == 1);
    CHECK(fired.front() >= deadline);
}
