#include "hornbeamgate/gateway/standstill_detector.hpp"

#include "gateway/time_support.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate::gateway;
using namespace hornbeamgate::gateway::testing;
using namespace std::chrono_literals;

TEST_CASE("a late timer shows a standstill, before and after it fires [standstill]")
{
    StandstillDetector detector;
    CHECK_FALSE(detector.mayReadBacklog(at(0ms)));
    detector.timerFired(at(0ms), at(200ms));
    CHECK_FALSE(detector.mayReadBacklog(at(450ms)));
    CHECK(detector.mayReadBacklog(at(4200ms)));
    detector.timerFired(at(4200ms), at(4400ms));
    CHECK(detector.mayReadBacklog(at(4300ms)));
}

TEST_CASE("a standstill is over after the backlog is read, although the timer fires more often [standstill]")
{
    StandstillDetector detector;
    detector.timerFired(at(0ms), at(200ms));
    detector.timerFired(at(4200ms), at(4400ms));
    detector.timerFired(at(4400ms), at(4600ms));
    CHECK_FALSE(detector.mayReadBacklog(at(4550ms)));
}
