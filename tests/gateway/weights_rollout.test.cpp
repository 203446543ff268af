#include "hornbeamgate/gateway/weights_rollout.hpp"

#include "gateway/time_support.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace hornbeamgate::gateway::testing;
using namespace std::chrono_literals;

namespace {

const ModelId kModel("m");
constexpr std::chrono::milliseconds kLease { 3000 };
constexpr std::chrono::milliseconds kBound { 10000 };
/// Lease and the time that an order may take to its engine.
constexpr std::chrono::milliseconds kTakeoverDelay { 3500 };

EndpointRegistry registryOf(std::size_t engines, std::uint64_t version = 1)
{
    EndpointRegistry registry;
    for (std::size_t i = 0; i < engines; ++i) {
        EndpointEntry entry;
        entry.id = EndpointId("e" + std::to_string(100 + i));
        entry.weights[kModel] = WeightsVersion(version);
        registry.put(entry);
    }
    return registry;
}

WeightsRollout leaderSince(MonotonicTime now)
{
    WeightsRollout rollout(kLease, kBound);
    rollout.confirm(FencingToken(7), now + 1h, now);
    return rollout;
}

} // namespace

TEST_CASE("a new holder waits out the lease of the one before [weights]")
{
    const auto registry = registryOf(6);
    auto rollout = leaderSince(at(0ms));
    rollout.setTarget(kModel, WeightsVersion(2), at(0ms));
    CHECK(rollout.takeDue(registry, at(kTakeoverDelay - 1ms)).empty());
    const auto due = rollout.takeDue(registry, at(kTakeoverDelay));
    REQUIRE(due.size() == 2);
    CHECK(due.front() == WeightsOrder { EndpointId("e100"), kModel, WeightsVersion(2), FencingToken(7) });
}

TEST_CASE("a holder whose membership is not confirmed in time stops by itself, and waits when it comes back [weights]")
{
    const auto registry = registryOf(6);
    WeightsRollout rollout(kLease, kBound);
    rollout.setTarget(kModel, WeightsVersion(2), at(0ms));
    rollout.confirm(FencingToken(1), at(5s), at(0ms));
    CHECK(rollout.mayOrder(EndpointId("e100"), at(4s)));
    CHECK_FALSE(rollout.mayOrder(EndpointId("e100"), at(5s)));
    rollout.confirm(FencingToken(3), at(20s), at(6s));
    CHECK(rollout.takeDue(registry, at(9s)).empty());
    CHECK_FALSE(rollout.takeDue(registry, at(9500ms)).empty());
}

TEST_CASE("a holder that lapsed and comes back in the same generation goes on at once [weights]")
{
    const auto registry = registryOf(6);
    WeightsRollout rollout(kLease, kBound);
    rollout.setTarget(kModel, WeightsVersion(2), at(0ms));
    rollout.confirm(FencingToken(7), at(5s), at(0ms));
    rollout.resignIfExpired(at(5s));
    CHECK_FALSE(rollout.mayOrder(EndpointId("e100"), at(5s)));
    rollout.confirm(FencingToken(7), at(9s), at(6s));
    CHECK(rollout.mayOrder(EndpointId("e100"), at(6s)));
    rollout.resignIfExpired(at(9s));
    rollout.confirm(FencingToken(8), at(20s), at(10s));
    CHECK_FALSE(rollout.mayOrder(EndpointId("e100"), at(10s)));
}

TEST_CASE("after a resignation only the engines that were ordered lately wait [weights]")
{
    const auto registry = registryOf(6);
    WeightsRollout rollout(kLease, kBound);
    rollout.setTarget(kModel, WeightsVersion(2), at(0ms));
    rollout.leaderResigned({ { EndpointId("e100"), 500ms } }, at(1s));
    rollout.confirm(FencingToken(4), at(1h), at(1200ms));
    CHECK_FALSE(rollout.mayOrder(EndpointId("e100"), at(1200ms)));
    CHECK(rollout.mayOrder(EndpointId("e101"), at(1200ms)));
    CHECK(rollout.mayOrder(EndpointId("e100"), at(500ms) + kTakeoverDelay));
}

TEST_CASE("a resignation tells nothing once another daemon held the duty, or after a while [weights]")
{
    WeightsRollout overtaken(kLease, kBound);
    overtaken.leaderResigned({}, at(0ms));
    overtaken.otherLeaderSeen();
    overtaken.confirm(FencingToken(4), at(1h), at(100ms));
    CHECK_FALSE(overtaken.mayOrder(EndpointId("e"), at(200ms)));
    WeightsRollout late(kLease, kBound);
    late.leaderResigned({}, at(0ms));
    late.confirm(FencingToken(4), at(1h), at(2s));
    CHECK_FALSE(late.mayOrder(EndpointId("e"), at(2100ms)));
}

TEST_CASE("no two holders order one engine within a lease, however the duty goes round [weights]")
{
    // Each daemon holds the duty for a while and resigns, lapses, or keeps it; the next one hears of a resignation or not.
    const auto registry = registryOf(6);
    for (const bool isHeard : { true, false }) {
        std::map<EndpointId, MonotonicTime> lastOrder;
        std::vector<RecentOrder> reportedOrders;
        auto now = at(0ms);
        for (int holder = 0; holder < 12; ++holder) {
            WeightsRollout rollout(kLease, kBound);
            rollout.setTarget(kModel, WeightsVersion(2), now);
            if (isHeard && holder > 0)
                rollout.leaderResigned(reportedOrders, now);
            rollout.confirm(FencingToken(static_cast<std::uint64_t>(holder)), now + 1h, now);
            std::set<EndpointId> ordered;
            const auto end = now + std::chrono::milliseconds(700 + 950 * (holder % 5));
            for (; now < end; now += 50ms) {
                for (const auto& order : rollout.takeDue(registry, now)) {
                    const auto last = lastOrder.find(order.endpoint);
                    if (last != lastOrder.end() && !ordered.contains(order.endpoint))
                        REQUIRE(now - last->second >= kLease);
                    ordered.insert(order.endpoint);
                    lastOrder[order.endpoint] = now;
                    rollout.orderSent(order.endpoint, now);
                    rollout.finishOrder(order.endpoint, false, now);
                }
            }
            reportedOrders = rollout.recentOrders(now);
            for (const auto& [endpoint, sentAt] : lastOrder) {
                const bool isReported = std::any_of(reportedOrders.begin(), reportedOrders.end(), [&endpoint = endpoint](const auto& order) { return order.endpoint == endpoint; });
                if (!isReported && now - sentAt < kTakeoverDelay)
                    reportedOrders.push_back({ endpoint, std::chrono::floor<std::chrono::milliseconds>(now - sentAt) });
            }
        }
        CHECK_FALSE(lastOrder.empty());
    }
}

TEST_CASE("engines with the oldest weights load first while targets change faster than all load [weights]")
{
    // A new version every four seconds, and engines that take two seconds each: none may stay more than the bound behind.
    auto registry = registryOf(18);
    auto rollout = leaderSince(at(-10s));
    std::map<EndpointId, MonotonicTime> loadEnds;
    std::uint64_t newest = 1;
    std::map<std::uint64_t, MonotonicTime> targetSetAt;
    for (auto now = at(0ms); now < at(40s); now += 50ms) {
        if ((now - at(0ms)) % 4s == 0s) {
            rollout.setTarget(kModel, WeightsVersion(++newest), now);
            targetSetAt[newest] = now;
        }
        for (const auto& order : rollout.takeDue(registry, now))
            loadEnds[order.endpoint] = now + 2s;
        for (auto load = loadEnds.begin(); load != loadEnds.end();) {
            if (load->second > now) {
                ++load;
                continue;
            }
            registry.recordWeights(load->first, kModel, WeightsVersion(newest));
            rollout.finishOrder(load->first, true, now);
            load = loadEnds.erase(load);
        }
        for (const auto& [id, entry] : registry.entries()) {
            for (const auto& [version, time] : targetSetAt)
                REQUIRE((entry.weights.at(kModel) >= WeightsVersion(version) || now - time < kBound));
        }
    }
}

TEST_CASE("an engine that is gone does not take a place in each turn [weights]")
{
    const auto registry = registryOf(3);
    auto rollout = leaderSince(at(-10s));
    rollout.setTarget(kModel, WeightsVersion(2), at(0ms));
    int attempts = 0;
    for (auto now = at(0ms); now < at(10s); now += 50ms) {
        for (const auto& order : rollout.takeDue(registry, now)) {
            attempts += order.endpoint == EndpointId("e100") ? 1 : 0;
            rollout.finishOrder(order.endpoint, false, now);
        }
    }
    CHECK(attempts <= 8);
}

TEST_CASE("weights count as overdue shortly before the bound, for the time in an engine's queue [weights]")
{
    WeightsRollout rollout(kLease, kBound);
    rollout.setTarget(kModel, WeightsVersion(2), at(0ms));
    rollout.setTarget(kModel, WeightsVersion(3), at(4s));
    CHECK(rollout.oldestAllowed(kModel, at(7900ms)) == WeightsVersion());
    CHECK(rollout.oldestAllowed(kModel, at(8s)) == WeightsVersion(2));
    CHECK(rollout.oldestAllowed(kModel, at(12s)) == WeightsVersion(3));
    CHECK(rollout.oldestAllowed(ModelId("other"), at(12s)) == WeightsVersion());
}
