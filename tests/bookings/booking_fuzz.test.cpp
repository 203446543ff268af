#include "bookings/booking_simulation.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <ostream>
#include <random>

using namespace hornbeamgate;
using namespace hornbeamgate::test;

namespace hornbeamgate::test {

void showValue(const SimulationStep& step, std::ostream& stream)
{
    stream << step.kind << ' ' << step.target << ' ' << step.choice;
}

} // namespace hornbeamgate::test

namespace {

constexpr int kSteps = 400;

std::optional<std::string> findViolation(InjectedBookingBug bug, const std::vector<SimulationStep>& steps, bool doesLogReturn = false)
{
    BookingSimulation simulation(bug, doesLogReturn);
    for (const auto& step : steps)
        simulation.apply(step);
    if (bug == InjectedBookingBug::None)
        simulation.recoverAndCheckProgress();
    return simulation.violation();
}

rc::Gen<std::vector<SimulationStep>> arbitrarySteps()
{
    const auto number = rc::gen::resize(100, rc::gen::inRange<std::uint32_t>(0, 1'000'000));
    const auto step = rc::gen::construct<SimulationStep>(number, number, number);
    return rc::gen::container<std::vector<SimulationStep>>(kSteps, step);
}

std::vector<SimulationStep> generateSteps(std::uint32_t seed)
{
    std::mt19937 generator(seed);
    std::vector<SimulationStep> steps(kSteps);
    for (auto& step : steps)
        step = { static_cast<std::uint32_t>(generator()), static_cast<std::uint32_t>(generator()),
            static_cast<std::uint32_t>(generator()) };
    return steps;
}

} // namespace

TEST_CASE("random fault sequences never execute a booking twice or report a wrong outcome [bookings]")
{
    CHECK(rc::check("bookings", [] {
        const auto steps = *arbitrarySteps();
        const auto violation = findViolation(InjectedBookingBug::None, steps);
        if (violation)
            RC_FAIL(*violation);
    }));
}

TEST_CASE("1000 seeded fault sequences violate no invariant [bookings]")
{
    constexpr std::uint32_t kRuns = 1'000;
    std::size_t bookingsRun = 0;
    for (std::uint32_t seed = 0; seed < kRuns; ++seed) {
        CAPTURE(seed);
        BookingSimulation simulation(InjectedBookingBug::None);
        for (const auto& step : generateSteps(seed))
            simulation.apply(step);
        simulation.recoverAndCheckProgress();
        REQUIRE(simulation.violation().value_or("") == "");
        bookingsRun += simulation.runs();
    }
    MESSAGE("steps: ", kRuns * kSteps, ", bookings run: ", bookingsRun);
    CHECK(bookingsRun > kRuns);
}

TEST_CASE("bookings run at most once when the log comes back from older copies [bookings]")
{
    constexpr std::uint32_t kRuns = 1'000;
    std::size_t bookingsRun = 0;
    int detectedRuns = 0;
    for (std::uint32_t seed = 0; seed < kRuns; ++seed) {
        CAPTURE(seed);
        BookingSimulation simulation(InjectedBookingBug::None, true);
        for (const auto& step : generateSteps(seed))
            simulation.apply(step);
        simulation.recoverAndCheckProgress();
        REQUIRE(simulation.violation().value_or("") == "");
        bookingsRun += simulation.runs();
        detectedRuns += findViolation(InjectedBookingBug::EraIgnored, generateSteps(seed), true) == "a booking ran twice" ? 1 : 0;
    }
    MESSAGE("bookings run: ", bookingsRun, ", twice without eras in ", detectedRuns, " of ", kRuns, " runs");
    CHECK(bookingsRun > kRuns);
    CHECK(detectedRuns > 0);
}

TEST_CASE("the simulation detects each injected bug [bookings]")
{
    struct Case {
        std::string name;
        InjectedBookingBug bug;
        std::string expected;
    };
    const Case cases[] = {
        { "key position ignored", InjectedBookingBug::KeyPositionIgnored, "a booking ran twice" },
        { "unknown outcome released", InjectedBookingBug::UnknownOutcomeReleased, "a booking ran twice" },
        { "claims time out", InjectedBookingBug::ClaimsExpire, "a booking ran twice" },
        { "writer id reused after restart", InjectedBookingBug::WriterIdReusedAfterRestart, "a booking ran twice" },
        { "call before the intent is read back", InjectedBookingBug::CallsBeforeReading, "a booking ran twice" },
        { "fingerprint ignored", InjectedBookingBug::FingerprintIgnored, "a request received the result of a different request" },
        { "not run reported after the call", InjectedBookingBug::ReportsNotRunAfterCall, "an executed request was answered as not run" },
    };
    constexpr std::uint32_t kRuns = 200;
    for (const auto& variant : cases) {
        CAPTURE(variant.name);
        int detectedRuns = 0;
        for (std::uint32_t seed = 0; seed < kRuns; ++seed)
            detectedRuns += findViolation(variant.bug, generateSteps(seed)).value_or("") == variant.expected ? 1 : 0;
        MESSAGE(variant.name, " detected in ", detectedRuns, " of ", kRuns, " runs");
        CHECK(detectedRuns > 0);
    }
}
