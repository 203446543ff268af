#include "hornbeamgate/observability/line_budget.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate;
using namespace std::chrono_literals;

TEST_CASE("a flood of successes leaves room for what went wrong, and the rest is counted [observability]")
{
    LineBudget budget;
    const MonotonicTime start = MonotonicTime() + 1h;
    int routine = 0;
    for (int i = 0; i < 10'000; ++i)
        routine += budget.takeLine(true, start) ? 1 : 0;
    CHECK(routine == LineBudget::kLinesPerSecond / 2);
    int failures = 0;
    for (int i = 0; i < 10'000; ++i)
        failures += budget.takeLine(false, start) ? 1 : 0;
    CHECK(failures == LineBudget::kLinesPerSecond / 2);
    CHECK(budget.takeDropped() == 20'000 - LineBudget::kLinesPerSecond);
    CHECK(budget.takeDropped() == 0);
    CHECK(budget.takeLine(true, start + 1s));
}
