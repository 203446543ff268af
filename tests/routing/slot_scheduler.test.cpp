#include "hornbeamgate/routing/slot_scheduler.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

using namespace hornbeamgate;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr MonotonicTime kStart {};

SlotScheduler makeScheduler(std::uint32_t slots, std::size_t maxItems = 256)
{
    SlotSchedulerOptions options;
    options.slots = slots;
    options.queue.maxItems = maxItems;
    return SlotScheduler::create(options).value();
}

RunOffered offer(std::uint64_t ticket, const char* workspace, MonotonicTime deadline = kStart + seconds(60))
{
    return { QueueTicket(ticket), WorkspaceId(workspace), 1, 0, 100, deadline };
}

std::vector<std::uint64_t> started(const std::vector<SchedulerAction>& actions)
{
    std::vector<std::uint64_t> tickets;
    for (const auto& action : actions) {
        if (const auto* start = std::get_if<StartOfferedRun>(&action))
            tickets.push_back(start->ticket.value());
    }
    return tickets;
}

} // namespace

TEST_CASE("runs start while slots are free and a new workspace is served before a backlogged one [routing][scheduler]")
{
    auto scheduler = makeScheduler(1);
    CHECK(started(scheduler.handle(offer(1, "flood"), kStart)) == std::vector<std::uint64_t> { 1 });
    for (std::uint64_t ticket = 2; ticket < 20; ++ticket)
        CHECK(scheduler.handle(offer(ticket, "flood"), kStart).empty());
    CHECK(scheduler.handle(offer(50, "quiet"), kStart).empty());
    const auto next = started(scheduler.handle(RunEnded { QueueTicket(1) }, kStart + milliseconds(10)));
    CHECK(next == std::vector<std::uint64_t> { 2 });
    CHECK(started(scheduler.handle(RunEnded { QueueTicket(2) }, kStart + milliseconds(20))) == std::vector<std::uint64_t> { 50 });
}

TEST_CASE("a run whose deadline passes in the queue is refused by the timer [routing][scheduler]")
{
    auto scheduler = makeScheduler(1);
    scheduler.handle(offer(1, "a"), kStart);
    scheduler.handle(offer(2, "b", kStart + seconds(1)), kStart);
    REQUIRE(scheduler.nextDeadline() == kStart + seconds(1));
    const auto actions = scheduler.handle(SchedulerTimerExpired {}, kStart + seconds(1) + milliseconds(1));
    REQUIRE(actions.size() == 1);
    CHECK(std::get<RefuseOfferedRun>(actions[0]).reason == QueueRefusal::DeadlineUnreachable);
    CHECK_FALSE(scheduler.nextDeadline());
}

TEST_CASE("cancelling a waiting run frees no slot [routing][scheduler]")
{
    auto scheduler = makeScheduler(1);
    scheduler.handle(offer(1, "a"), kStart);
    scheduler.handle(offer(2, "b"), kStart);
    CHECK(scheduler.handle(RunEnded { QueueTicket(2) }, kStart).empty());
    CHECK(scheduler.running() == 1);
    CHECK(scheduler.waiting() == 0);
    CHECK_FALSE(SlotScheduler::create({ 0, {}, {}, 0.1 }));
}

TEST_CASE("every offered run is started or refused at most once and the number of slots is never exceeded [routing][scheduler][fuzz]")
{
    enum class RunState { Waiting,
        Running,
        Over };
    CHECK(rc::check([](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& steps) {
        constexpr std::uint32_t kSlots = 3;
        auto scheduler = makeScheduler(kSlots, 5);
        std::map<std::uint64_t, RunState> runs;
        std::uint64_t lastTicket = 0;
        auto now = kStart;
        const auto apply = [&](const std::vector<SchedulerAction>& actions) {
            for (const auto& action : actions) {
                const auto* start = std::get_if<StartOfferedRun>(&action);
                const auto ticket = start ? start->ticket.value() : std::get<RefuseOfferedRun>(action).ticket.value();
                RC_ASSERT(runs.at(ticket) == RunState::Waiting);
                runs.at(ticket) = start ? RunState::Running : RunState::Over;
            }
            const auto count = [&](RunState state) { return std::count_if(runs.begin(), runs.end(), [&](const auto& run) { return run.second == state; }); };
            RC_ASSERT(count(RunState::Running) == static_cast<std::ptrdiff_t>(scheduler.running()));
            RC_ASSERT(count(RunState::Waiting) == static_cast<std::ptrdiff_t>(scheduler.waiting()));
            RC_ASSERT(scheduler.running() <= kSlots);
            RC_ASSERT(scheduler.waiting() == 0 || scheduler.running() == kSlots);
        };
        for (const auto& [choice, argument] : steps) {
            now += milliseconds(argument);
            if (choice % 3 == 0 && !runs.empty()) {
                auto run = runs.begin();
                std::advance(run, argument % runs.size());
                run->second = RunState::Over;
                apply(scheduler.handle(RunEnded { QueueTicket(run->first) }, now));
            } else if (choice % 3 == 1) {
                apply(scheduler.handle(SchedulerTimerExpired {}, now));
            } else {
                runs[++lastTicket] = RunState::Waiting;
                apply(scheduler.handle(offer(lastTicket, argument % 2 ? "a" : "b", now + milliseconds(choice * 4)), now));
            }
        }
    }));
}
