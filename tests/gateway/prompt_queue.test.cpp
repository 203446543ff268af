#include "hornbeamgate/gateway/prompt_queue.hpp"

#include "gateway/time_support.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <optional>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace hornbeamgate::gateway::testing;
using namespace std::chrono_literals;

using Numbers = std::vector<PromptQueue::Number>;

TEST_CASE("requests are ordered by deadline and removed when too little time is left [queue]")
{
    PromptQueue queue;
    queue.add(1, at(8s), at(0ms));
    queue.add(2, at(4s), at(0ms));
    queue.add(3, at(8s), at(0ms));
    CHECK(queue.byDeadline() == Numbers { 2, 1, 3 });
    CHECK(queue.takeExpired(at(3s)).empty());
    CHECK(queue.takeExpired(at(3001ms)) == Numbers { 2 });
    queue.remove(1);
    CHECK(queue.byDeadline() == Numbers { 3 });
}

TEST_CASE("the expected wait is the queue length divided by the recent dispatch rate [queue]")
{
    PromptQueue queue;
    CHECK(queue.expectedWait(at(0ms)) == 0ms);
    for (PromptQueue::Number number = 1; number <= 12; ++number)
        queue.add(number, at(20s), at(0ms));
    // The dispatch rate is initially unknown.
    CHECK(queue.expectedWait(at(1s)) == 0ms);
    for (PromptQueue::Number number = 1; number <= 4; ++number)
        queue.dispatch(number, at(500ms * static_cast<int>(number)));
    CHECK(queue.expectedWait(at(2400ms)) == 4s);
    CHECK(queue.expectedWait(at(10s)) == 16s);
}

namespace {

struct Outcome {
    int shortInTime = 0;
    int longAnswered = 0;
};

/// Simulates an engine with an empty cache after a change of weights, which prefills 38 tokens per millisecond in order of
/// arrival. A long prompt of 17,000 tokens arrives every 400 ms and takes 447 ms; a short one of 380 tokens arrives every
/// 25 ms and takes 10 ms.
Outcome simulateColdEngine(bool hasQueue)
{
    constexpr auto kReading = 447ms;
    constexpr auto kShortReading = 10ms;
    constexpr auto kMaxBacklog = 150ms;
    constexpr auto kObjective = 500ms;
    constexpr auto kTimeForLong = 8000ms;
    PromptQueue queue;
    Outcome outcome;
    MonotonicTime engineFree = at(0ms);
    const auto read = [&](MonotonicTime now, Duration time) {
        engineFree = std::max(engineFree, now) + time;
        return engineFree;
    };
    std::vector<MonotonicTime> deadlines;
    for (auto now = at(0ms); now < at(30s); now += 5ms) {
        const auto since = now - at(0ms);
        if (since % 400ms == 0ms) {
            deadlines.push_back(now + kTimeForLong);
            if (hasQueue)
                queue.add(deadlines.size() - 1, deadlines.back(), now);
            else
                outcome.longAnswered += read(now, kReading) <= deadlines.back() ? 1 : 0;
        }
        queue.takeExpired(now);
        if (const auto waiting = queue.byDeadline(); !waiting.empty() && engineFree <= now + kMaxBacklog) {
            queue.dispatch(waiting.front(), now);
            outcome.longAnswered += read(now, kReading) <= deadlines[waiting.front()] ? 1 : 0;
        }
        if (since % 25ms == 0ms)
            outcome.shortInTime += read(now, kShortReading) <= now + kObjective ? 1 : 0;
    }
    return outcome;
}

} // namespace

TEST_CASE("short requests bypass long prompts that must all be recomputed [queue]")
{
    const auto without = simulateColdEngine(false);
    const auto with = simulateColdEngine(true);
    MESSAGE("short requests in time: ", with.shortInTime, " of 1200, ", without.shortInTime, " without the queue; long prompts answered: ", with.longAnswered, " and ", without.longAnswered, " of 75");
    CHECK(with.shortInTime > 2 * without.shortInTime);
    CHECK(with.longAnswered >= without.longAnswered);
}
