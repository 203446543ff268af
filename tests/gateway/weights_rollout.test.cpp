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
/// Lease plus the time for an order to reach its engine.
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

TEST_CASE("a new leader waits until the lease of the previous leader has expired [weights]")
{
    const auto registry = registryOf(6);
    auto rollout = leaderSince(at(0ms));
    rollout.setTarget(kModel, WeightsVersion(2), at(0ms));
    CHECK(rollout.takeDue(registry, at(kTakeoverDelay - 1ms)).empty());
    const auto due = rollout.takeDue(registry, at(kTakeoverDelay));
    REQUIRE(due.size() == 2);
    CHECK(due.front() == WeightsOrder { EndpointId("e100"), kModel, WeightsVersion(2), FencingToken(7) });
}

TEST_CASE("a leader whose membership is not confirmed in time stops, and waits for the lease when it returns [weights]")
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

TEST_CASE("an expired leader that returns in the same generation continues immediately [weights]")
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

TEST_CASE("after a resignation only engines with recent orders must wait [weights]")
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

TEST_CASE("a resignation is ignored after another leader was seen or after the handover window [weights]")
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

TEST_CASE("no two leaders send orders to one engine within a lease [weights]")
{
    // Twelve daemons become leader in turn, for varying times. Each either receives the resignation of the previous leader
    // with its recent orders, or must wait for the lease.
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

TEST_CASE("engines with the oldest weights load first if targets change faster than all engines can load [weights]")
{
    // A new version is set every 4 s and each load takes 2 s. No engine may lag behind by more than the bound.
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

TEST_CASE("an unavailable engine does not occupy a load slot on every attempt [weights]")
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

TEST_CASE("weights become overdue before the bound by the maximum queue time of an engine [weights]")
{
    WeightsRollout rollout(kLease, kBound);
    rollout.setTarget(kModel, WeightsVersion(2), at(0ms));
    rollout.setTarget(kModel, WeightsVersion(3), at(4s));
    CHECK(rollout.oldestAllowed(kModel, at(7900ms)) == WeightsVersion());
    CHECK(rollout.oldestAllowed(kModel, at(8s)) == WeightsVersion(2));
    CHECK(rollout.oldestAllowed(kModel, at(12s)) == WeightsVersion(3));
    CHECK(rollout.oldestAllowed(ModelId("other"), at(12s)) == WeightsVersion());
}
