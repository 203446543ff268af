#include "hornbeamgate/gateway/weights_duty.hpp"

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
constexpr std::chrono::milliseconds kWaitOut { 3500 };

EndpointRoster rosterOf(std::size_t engines, std::uint64_t version = 1)
{
    EndpointRoster roster;
    for (std::size_t i = 0; i < engines; ++i) {
        EndpointEntry entry;
        entry.id = EndpointId("e" + std::to_string(100 + i));
        entry.weights[kModel] = WeightsVersion(version);
        roster.put(entry);
    }
    return roster;
}

WeightsDuty holderSince(MonotonicTime now)
{
    WeightsDuty duty(kLease, kBound);
    duty.confirm(FencingToken(7), now + 1h, now);
    return duty;
}

} // namespace

TEST_CASE("a new holder waits out the lease of the one before [weights]")
{
    const auto roster = rosterOf(6);
    auto duty = holderSince(at(0ms));
    duty.setTarget(kModel, WeightsVersion(2), at(0ms));
    CHECK(duty.takeDue(roster, at(kWaitOut - 1ms)).empty());
    const auto due = duty.takeDue(roster, at(kWaitOut));
    REQUIRE(due.size() == 2);
    CHECK(due.front() == WeightsOrder { EndpointId("e100"), kModel, WeightsVersion(2), FencingToken(7) });
}

TEST_CASE("a holder whose membership is not confirmed in time stops by itself, and waits when it comes back [weights]")
{
    const auto roster = rosterOf(6);
    WeightsDuty duty(kLease, kBound);
    duty.setTarget(kModel, WeightsVersion(2), at(0ms));
    duty.confirm(FencingToken(1), at(5s), at(0ms));
    CHECK(duty.mayOrder(EndpointId("e100"), at(4s)));
    CHECK_FALSE(duty.mayOrder(EndpointId("e100"), at(5s)));
    duty.confirm(FencingToken(3), at(20s), at(6s));
    CHECK(duty.takeDue(roster, at(9s)).empty());
    CHECK_FALSE(duty.takeDue(roster, at(9500ms)).empty());
}

TEST_CASE("a holder that lapsed and comes back in the same generation goes on at once [weights]")
{
    const auto roster = rosterOf(6);
    WeightsDuty duty(kLease, kBound);
    duty.setTarget(kModel, WeightsVersion(2), at(0ms));
    duty.confirm(FencingToken(7), at(5s), at(0ms));
    duty.checkLapse(at(5s));
    CHECK_FALSE(duty.mayOrder(EndpointId("e100"), at(5s)));
    duty.confirm(FencingToken(7), at(9s), at(6s));
    CHECK(duty.mayOrder(EndpointId("e100"), at(6s)));
    duty.checkLapse(at(9s));
    duty.confirm(FencingToken(8), at(20s), at(10s));
    CHECK_FALSE(duty.mayOrder(EndpointId("e100"), at(10s)));
}

TEST_CASE("after a resignation only the engines that were ordered lately wait [weights]")
{
    const auto roster = rosterOf(6);
    WeightsDuty duty(kLease, kBound);
    duty.setTarget(kModel, WeightsVersion(2), at(0ms));
    duty.holderResigned({ { EndpointId("e100"), 500ms } }, at(1s));
    duty.confirm(FencingToken(4), at(1h), at(1200ms));
    CHECK_FALSE(duty.mayOrder(EndpointId("e100"), at(1200ms)));
    CHECK(duty.mayOrder(EndpointId("e101"), at(1200ms)));
    CHECK(duty.mayOrder(EndpointId("e100"), at(500ms) + kWaitOut));
}

TEST_CASE("a resignation tells nothing once another daemon held the duty, or after a while [weights]")
{
    WeightsDuty overtaken(kLease, kBound);
    overtaken.holderResigned({}, at(0ms));
    overtaken.heldElsewhere();
    overtaken.confirm(FencingToken(4), at(1h), at(100ms));
    CHECK_FALSE(overtaken.mayOrder(EndpointId("e"), at(200ms)));
    WeightsDuty late(kLease, kBound);
    late.holderResigned({}, at(0ms));
    late.confirm(FencingToken(4), at(1h), at(2s));
    CHECK_FALSE(late.mayOrder(EndpointId("e"), at(2100ms)));
}

TEST_CASE("no two holders order one engine within a lease, however the duty goes round [weights]")
{
    // Each daemon holds the duty for a while and resigns, lapses, or keeps it; the next one hears of a resignation or not.
    const auto roster = rosterOf(6);
    for (const bool isHeard : { true, false }) {
        std::map<EndpointId, MonotonicTime> lastOrder;
        std::vector<RecentOrder> announced;
        auto now = at(0ms);
        for (int holder = 0; holder < 12; ++holder) {
            WeightsDuty duty(kLease, kBound);
            duty.setTarget(kModel, WeightsVersion(2), now);
            if (isHeard && holder > 0)
                duty.holderResigned(announced, now);
            duty.confirm(FencingToken(static_cast<std::uint64_t>(holder)), now + 1h, now);
            std::set<EndpointId> ordered;
            const auto end = now + std::chrono::milliseconds(700 + 950 * (holder % 5));
            for (; now < end; now += 50ms) {
                for (const auto& order : duty.takeDue(roster, now)) {
                    const auto last = lastOrder.find(order.endpoint);
                    if (last != lastOrder.end() && !ordered.contains(order.endpoint))
                        REQUIRE(now - last->second >= kLease);
                    ordered.insert(order.endpoint);
                    lastOrder[order.endpoint] = now;
                    duty.orderSent(order.endpoint, now);
                    duty.settle(order.endpoint, false, now);
                }
            }
            announced = duty.recentOrders(now);
            for (const auto& [endpoint, sentAt] : lastOrder) {
                const bool isAnnounced = std::any_of(announced.begin(), announced.end(), [&endpoint = endpoint](const auto& order) { return order.endpoint == endpoint; });
                if (!isAnnounced && now - sentAt < kWaitOut)
                    announced.push_back({ endpoint, std::chrono::floor<std::chrono::milliseconds>(now - sentAt) });
            }
        }
        CHECK_FALSE(lastOrder.empty());
    }
}

TEST_CASE("engines with the oldest weights load first while targets change faster than all load [weights]")
{
    // A new version every four seconds, and engines that take two seconds each: none may stay more than the bound behind.
    auto roster = rosterOf(18);
    auto duty = holderSince(at(-10s));
    std::map<EndpointId, MonotonicTime> done;
    std::uint64_t newest = 1;
    std::map<std::uint64_t, MonotonicTime> namedAt;
    for (auto now = at(0ms); now < at(40s); now += 50ms) {
        if ((now - at(0ms)) % 4s == 0s) {
            duty.setTarget(kModel, WeightsVersion(++newest), now);
            namedAt[newest] = now;
        }
        for (const auto& order : duty.takeDue(roster, now))
            done[order.endpoint] = now + 2s;
        for (auto load = done.begin(); load != done.end();) {
            if (load->second > now) {
                ++load;
                continue;
            }
            roster.noteWeights(load->first, kModel, WeightsVersion(newest));
            duty.settle(load->first, true, now);
            load = done.erase(load);
        }
        for (const auto& [id, entry] : roster.entries()) {
            for (const auto& [version, time] : namedAt)
                REQUIRE((entry.weights.at(kModel) >= WeightsVersion(version) || now - time < kBound));
        }
    }
}

TEST_CASE("an engine that is gone does not take a place in each turn [weights]")
{
    const auto roster = rosterOf(3);
    auto duty = holderSince(at(-10s));
    duty.setTarget(kModel, WeightsVersion(2), at(0ms));
    int asked = 0;
    for (auto now = at(0ms); now < at(10s); now += 50ms) {
        for (const auto& order : duty.takeDue(roster, now)) {
            asked += order.endpoint == EndpointId("e100") ? 1 : 0;
            duty.settle(order.endpoint, false, now);
        }
    }
    CHECK(asked <= 8);
}

TEST_CASE("weights count as overdue shortly before the bound, for the time in an engine's queue [weights]")
{
    WeightsDuty duty(kLease, kBound);
    duty.setTarget(kModel, WeightsVersion(2), at(0ms));
    duty.setTarget(kModel, WeightsVersion(3), at(4s));
    CHECK(duty.oldestAllowed(kModel, at(7900ms)) == WeightsVersion());
    CHECK(duty.oldestAllowed(kModel, at(8s)) == WeightsVersion(2));
    CHECK(duty.oldestAllowed(kModel, at(12s)) == WeightsVersion(3));
    CHECK(duty.oldestAllowed(ModelId("other"), at(12s)) == WeightsVersion());
}
