#include "hornbeamgate/routing/fair_queue.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>

using namespace hornbeamgate;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const MonotonicTime kNow = MonotonicTime(seconds(100));

FairQueueItem item(std::uint64_t ticket, const std::string& workspace, std::uint32_t weight = 1, std::uint32_t priority = 0,
    Duration cost = milliseconds(10), Duration timeout = seconds(1000))
{
    return { QueueTicket(ticket), WorkspaceId(workspace), weight, priority, cost, kNow + timeout };
}

FairQueue makeQueue(std::size_t items = 1000, Duration cost = seconds(100))
{
    return FairQueue::create({ items, cost }).value();
}

/// Queue without fairness, to verify that the checks below detect it.
class FifoQueue {
public:
    void push(const FairQueueItem& added) { m_items.push_back(added); }
    std::optional<FairQueueItem> pop()
    {
        if (m_items.empty())
            return std::nullopt;
        auto next = m_items.front();
        m_items.pop_front();
        return next;
    }

private:
    std::deque<FairQueueItem> m_items;
};

class FairQueueAdapter {
public:
    void push(const FairQueueItem& added) { CHECK(m_queue.push(added, kNow, kNow)); }
    std::optional<FairQueueItem> pop() { return m_queue.pop(kNow); }

private:
    FairQueue m_queue = makeQueue();
};

/// Returns the largest difference in service per weight between two workspaces while both are backlogged, divided by the bound of
/// start-time fair queueing (the sum of the largest item of each by its weight). At most 1 for a fair queue.
template <typename Queue>
double unfairness(std::uint32_t weightA, std::uint32_t weightB, const std::vector<std::uint32_t>& costs)
{
    Queue queue;
    std::map<WorkspaceId, std::size_t> waiting;
    std::map<WorkspaceId, double> served;
    std::uint64_t ticket = 0;
    for (const auto& [name, weight] : { std::pair("a", weightA), std::pair("b", weightB) }) {
        for (const auto cost : costs) {
            queue.push(item(++ticket, name, weight, 0, milliseconds(1 + cost % 50)));
            ++waiting[WorkspaceId(name)];
        }
    }
    const double bound = 50.0 / weightA + 50.0 / weightB;
    double worst = 0;
    while (auto next = queue.pop()) {
        served[next->workspace] += std::chrono::duration<double, std::milli>(next->cost).count() / next->weight;
        if (--waiting[next->workspace] == 0)
            break;
        worst = std::max(worst, std::abs(served[WorkspaceId("a")] - served[WorkspaceId("b")]) / bound);
    }
    return worst;
}

} // namespace

TEST_CASE("invalid options and invalid items are rejected [routing]")
{
    CHECK_FALSE(FairQueue::create({ 0, seconds(1) }));
    CHECK_FALSE(FairQueue::create({ 1, seconds(0) }));
    auto queue = makeQueue();
    CHECK(queue.push(item(1, "a"), kNow, kNow));
    CHECK(queue.push(item(1, "a"), kNow, kNow).error() == QueueRefusal::InvalidItem);
    CHECK(queue.push(item(2, "a", 0), kNow, kNow).error() == QueueRefusal::InvalidItem);
    CHECK(queue.push(item(3, "a", 1, 0, milliseconds(-1)), kNow, kNow).error() == QueueRefusal::InvalidItem);
}

TEST_CASE("backlogged workspaces are served by weight within the bound of their largest items [routing]")
{
    CHECK(rc::check([] {
        const auto weightA = *rc::gen::inRange<std::uint32_t>(1, 9);
        const auto weightB = *rc::gen::inRange<std::uint32_t>(1, 9);
        const auto costs = *rc::gen::container<std::vector<std::uint32_t>>(60, rc::gen::arbitrary<std::uint32_t>());
        RC_ASSERT(unfairness<FairQueueAdapter>(weightA, weightB, costs) <= 1);
    }));
    const std::vector<std::uint32_t> costs(60, 40);
    CHECK(unfairness<FairQueueAdapter>(1, 1, costs) <= 1);
    CHECK(unfairness<FifoQueue>(1, 1, costs) > 1);
}

TEST_CASE("the first item of a workspace is served next regardless of the backlog of another workspace [routing]")
{
    auto queue = makeQueue();
    for (std::uint64_t ticket = 1; ticket <= 100; ++ticket)
        CHECK(queue.push(item(ticket, "flood"), kNow, kNow));
    CHECK(queue.pop(kNow));
    CHECK(queue.costAhead(WorkspaceId("small"), 0) == Duration::zero());
    CHECK(queue.push(item(200, "small"), kNow, kNow));
    CHECK(queue.pop(kNow)->workspace == WorkspaceId("small"));
}

TEST_CASE("items with a higher priority are served first [routing]")
{
    auto queue = makeQueue();
    CHECK(queue.push(item(1, "a", 9, 0), kNow, kNow));
    CHECK(queue.push(item(2, "b", 1, 5), kNow, kNow));
    CHECK(queue.pop(kNow)->ticket == QueueTicket(2));
    CHECK(queue.pop(kNow)->ticket == QueueTicket(1));
}

TEST_CASE("a full queue displaces items of the workspace with the largest share only [routing]")
{
    auto queue = makeQueue(10);
    for (std::uint64_t ticket = 1; ticket <= 10; ++ticket)
        CHECK(queue.push(item(ticket, ticket <= 8 ? "flood" : "small"), kNow, kNow));
    CHECK(queue.push(item(11, "flood"), kNow, kNow).error() == QueueRefusal::Full);
    const auto pushed = queue.push(item(12, "other"), kNow, kNow);
    REQUIRE(pushed);
    CHECK(pushed->displaced == std::vector { QueueTicket(8) });
    CHECK(queue.push(item(13, "urgent", 1, 1), kNow, kNow)->displaced == std::vector { QueueTicket(7) });
    CHECK(queue.size() == 10);
}

TEST_CASE("a refused item displaces nothing [routing]")
{
    auto queue = makeQueue(10, milliseconds(100));
    CHECK(queue.push(item(1, "a", 1, 0, milliseconds(60)), kNow, kNow));
    CHECK(queue.push(item(2, "b", 1, 0, milliseconds(40)), kNow, kNow));
    CHECK(queue.push(item(3, "c", 1, 0, milliseconds(90)), kNow, kNow).error() == QueueRefusal::Full);
    CHECK(queue.push(item(4, "c", 1, 0, milliseconds(101)), kNow, kNow).error() == QueueRefusal::Full);
    CHECK(queue.push(item(5, "c", 1, 0, milliseconds(50)), kNow, kNow)->displaced == std::vector { QueueTicket(1) });
}

TEST_CASE("an item that cannot start in time is refused immediately [routing]")
{
    auto queue = makeQueue();
    for (std::uint64_t ticket = 1; ticket <= 10; ++ticket)
        CHECK(queue.push(item(ticket, "a"), kNow, kNow));
    CHECK(queue.push(item(20, "a", 1, 0, milliseconds(10), milliseconds(99)), kNow, kNow).error() == QueueRefusal::DeadlineUnreachable);
    CHECK(queue.push(item(21, "b", 1, 0, milliseconds(10), milliseconds(99)), kNow, kNow));
    const auto late = item(22, "c", 1, 0, milliseconds(10), milliseconds(50));
    CHECK(queue.push(late, kNow + milliseconds(60), kNow).error() == QueueRefusal::DeadlineUnreachable);
}

TEST_CASE("items past their deadline are never served and are returned by removeExpired [routing]")
{
    auto queue = makeQueue();
    CHECK(queue.push(item(1, "a", 1, 0, milliseconds(10), milliseconds(5)), kNow, kNow));
    CHECK(queue.push(item(2, "a"), kNow, kNow));
    const auto later = kNow + milliseconds(6);
    CHECK(queue.pop(later)->ticket == QueueTicket(2));
    CHECK_FALSE(queue.pop(later));
    CHECK(queue.removeExpired(later).size() == 1);
    CHECK(queue.size() == 0);
    CHECK(queue.queuedCost() == Duration::zero());
}

TEST_CASE("no sequence of operations loses or duplicates an item or exceeds the limits [routing]")
{
    CHECK(rc::check([] {
        auto queue = makeQueue(12, milliseconds(400));
        std::set<QueueTicket> waiting;
        auto now = kNow;
        std::uint64_t ticket = 0;
        const auto codes = *rc::gen::container<std::vector<std::uint32_t>>(200, rc::gen::inRange<std::uint32_t>(0, 1U << 20));
        for (const auto code : codes) {
            now += milliseconds(code / 64 % 20);
            if (code % 4 == 0) {
                if (const auto next = queue.pop(now)) {
                    RC_ASSERT(waiting.erase(next->ticket) == 1);
                    RC_ASSERT(next->startDeadline >= now);
                }
            } else if (code % 16 == 1) {
                for (const auto& expired : queue.removeExpired(now))
                    RC_ASSERT(waiting.erase(expired.ticket) == 1);
            } else if (code % 16 == 2) {
                const QueueTicket any(1 + code / 16 % (ticket + 1));
                RC_ASSERT(queue.remove(any) == (waiting.erase(any) == 1));
            } else {
                auto added = item(++ticket, std::string(1, static_cast<char>('a' + code / 16 % 4)), 1 + code / 128 % 3, code / 512 % 2,
                    milliseconds(code / 1024 % 60), (now - kNow) + milliseconds(code / 32 % 500));
                if (const auto pushed = queue.push(added, now, now)) {
                    RC_ASSERT(waiting.insert(added.ticket).second);
                    for (const auto displaced : pushed->displaced)
                        RC_ASSERT(waiting.erase(displaced) == 1);
                }
            }
            RC_ASSERT(queue.size() == waiting.size());
            RC_ASSERT(queue.size() <= 12U);
            RC_ASSERT(queue.queuedCost() <= milliseconds(400));
        }
        while (const auto next = queue.pop(kNow))
            RC_ASSERT(waiting.erase(next->ticket) == 1);
        RC_ASSERT(waiting.empty());
        RC_ASSERT(queue.dump()["workspaces"].empty());
    }));
}
