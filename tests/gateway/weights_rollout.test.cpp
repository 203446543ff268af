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
const EndpointAdvisories kNoAdvice { HostId("front-1") };
constexpr std::chrono::milliseconds kLease { 3000 };
constexpr std::chrono::milliseconds kBound { 10000 };
/// Time after a takeover for which the engines in the predecessor's record must wait.
constexpr auto kTakeoverDelay = kLease + OrderJournal::kRecordValidity + OrderJournal::kOrderTransitTime;

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

OrderRecord recordOf(std::uint64_t token, const std::set<EndpointId>& endpoints)
{
    OrderRecord record { FencingToken(token), HostId("front-2"), {} };
    for (const auto& endpoint : endpoints)
        record.orders[endpoint] = { record.leader, LogOffset(4) };
    return record;
}

/// Completes the pending call of the journal: a read finds `record`, an append succeeds.
void completeJournalCall(WeightsRollout& rollout, const std::optional<OrderRecord>& record, MonotonicTime now)
{
    const auto call = rollout.journal().takeCall(now);
    REQUIRE(call);
    if (std::holds_alternative<OrderJournal::Read>(*call))
        rollout.journal().onRead(OrderRecordPosition { record, LogOffset(5) }, now);
    else
        rollout.journal().onAppended(LogOffset(6), now);
}

/// Returns a leader whose predecessor, if any, ordered the engines in `predecessorOrders`.
WeightsRollout leaderSince(MonotonicTime now, const std::set<EndpointId>& predecessorOrders = {})
{
    WeightsRollout rollout(HostId("front-1"), kLease, kBound);
    rollout.confirm(FencingToken(7), now + 1h, now);
    const auto record = recordOf(3, predecessorOrders);
    completeJournalCall(rollout, record, now);
    completeJournalCall(rollout, record, now);
    return rollout;
}

} // namespace

TEST_CASE("a new leader starts with the engines that its predecessor did not order [weights]")
{
    const auto registry = registryOf(6);
    auto rollout = leaderSince(at(0ms), { EndpointId("e100"), EndpointId("e101") });
    rollout.setTarget(kModel, WeightsVersion(2), at(0ms));
    const auto due = rollout.takeDue(registry, kNoAdvice, at(0ms));
    REQUIRE(due.size() == 2);
    CHECK(due.front() == WeightsOrder { EndpointId("e102"), kModel, WeightsVersion(2), FencingToken(7) });
    for (const auto& order : due)
        rollout.finishOrder(order.endpoint, false, at(10s));
    CHECK(rollout.takeDue(registry, kNoAdvice, at(kTakeoverDelay)).front().endpoint == EndpointId("e100"));
}

TEST_CASE("no orders are prepared before the predecessor's orders are known [weights]")
{
    const auto registry = registryOf(6);
    WeightsRollout rollout(HostId("front-1"), kLease, kBound);
    rollout.setTarget(kModel, WeightsVersion(2), at(0ms));
    rollout.confirm(FencingToken(7), at(1h), at(0ms));
    CHECK(rollout.takeDue(registry, kNoAdvice, at(0ms)).empty());
    completeJournalCall(rollout, OrderRecord {}, at(0ms));
    CHECK(rollout.takeDue(registry, kNoAdvice, at(0ms)).empty());
    completeJournalCall(rollout, OrderRecord {}, at(0ms));
    CHECK(rollout.takeDue(registry, kNoAdvice, at(0ms)).size() == 2);
}

TEST_CASE("a leader whose membership is not confirmed in time stops, and reads the journal when it returns [weights]")
{
    const auto registry = registryOf(6);
    auto rollout = leaderSince(at(0ms));
    rollout.setTarget(kModel, WeightsVersion(2), at(0ms));
    rollout.confirm(FencingToken(7), at(5s), at(1s));
    rollout.journal().request(EndpointId("e100"));
    completeJournalCall(rollout, std::nullopt, at(4900ms));
    CHECK(rollout.mayOrder(EndpointId("e100"), at(4999ms)));
    CHECK_FALSE(rollout.mayOrder(EndpointId("e100"), at(5s)));
    rollout.update(at(5s));
    rollout.confirm(FencingToken(9), at(20s), at(6s));
    CHECK(rollout.takeDue(registry, kNoAdvice, at(6s)).empty());
    completeJournalCall(rollout, recordOf(8, { EndpointId("e100") }), at(6s));
    completeJournalCall(rollout, std::nullopt, at(6s));
    CHECK(rollout.takeDue(registry, kNoAdvice, at(6s)).front().endpoint == EndpointId("e101"));
}

TEST_CASE("a leader that finds the record of a newer one stops [weights]")
{
    auto rollout = leaderSince(at(0ms));
    rollout.journal().request(EndpointId("e100"));
    rollout.journal().takeCall(at(0ms));
    rollout.journal().onAppended(std::nullopt, at(0ms));
    rollout.journal().takeCall(at(1s));
    rollout.journal().onRead(OrderRecordPosition { recordOf(8, {}), LogOffset(9) }, at(1s));
    rollout.update(at(1s));
    CHECK_FALSE(rollout.isConfirmed(at(1s)));
}

TEST_CASE("a target of unknown age counts as overdue until another daemon reports its age [weights]")
{
    WeightsRollout starting(HostId("front-1"), kLease, kBound);
    starting.setTargetOfUnknownAge(kModel, WeightsVersion(4), at(20s));
    CHECK(starting.oldestAllowed(kModel, at(20s)) == WeightsVersion(4));
    CHECK(starting.targetAges(at(20s)).empty());

    WeightsRollout informed(HostId("front-1"), kLease, kBound);
    informed.setTarget(kModel, WeightsVersion(4), at(19s));
    REQUIRE(informed.targetAges(at(20s)).size() == 1);
    starting.onTargetAge(informed.targetAges(at(20s)).front(), at(20s));
    CHECK(starting.oldestAllowed(kModel, at(20s)) == WeightsVersion());
    CHECK(starting.oldestAllowed(kModel, at(19s) + kBound) == WeightsVersion(4));
    // A report cannot make a target younger that this daemon saw being set.
    informed.onTargetAge({ kModel, WeightsVersion(4), 0ms }, at(29s));
    CHECK(informed.oldestAllowed(kModel, at(19s) + kBound) == WeightsVersion(4));
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
        for (const auto& order : rollout.takeDue(registry, kNoAdvice, now))
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
        for (const auto& order : rollout.takeDue(registry, kNoAdvice, now)) {
            attempts += order.endpoint == EndpointId("e100") ? 1 : 0;
            rollout.finishOrder(order.endpoint, false, now);
        }
    }
    CHECK(attempts <= 8);
}

TEST_CASE("weights become overdue before the bound by the maximum queue time of an engine [weights]")
{
    WeightsRollout rollout(HostId("front-1"), kLease, kBound);
    rollout.setTarget(kModel, WeightsVersion(2), at(0ms));
    rollout.setTarget(kModel, WeightsVersion(3), at(4s));
    CHECK(rollout.oldestAllowed(kModel, at(7900ms)) == WeightsVersion());
    CHECK(rollout.oldestAllowed(kModel, at(8s)) == WeightsVersion(2));
    CHECK(rollout.oldestAllowed(kModel, at(12s)) == WeightsVersion(3));
    CHECK(rollout.oldestAllowed(ModelId("other"), at(12s)) == WeightsVersion());
}

TEST_CASE("an engine that has said that it leaves gets no order [weights]")
{
    const auto registry = registryOf(1);
    auto rollout = leaderSince(at(0ms), {});
    rollout.setTarget(kModel, WeightsVersion(2), at(0ms));
    EndpointAdvisories advisories { HostId("front-1") };
    const auto engine = instanceOf(registry.entries().begin()->second);
    advisories.recordLeaving(engine, at(0ms));
    CHECK(rollout.takeDue(registry, advisories, at(1ms)).empty());
    CHECK(rollout.takeDue(registry, kNoAdvice, at(1ms)).size() == 1);
}

TEST_CASE("an engine that wants nothing for some time gets its order after that [weights]")
{
    const auto registry = registryOf(1);
    auto rollout = leaderSince(at(0ms), {});
    rollout.setTarget(kModel, WeightsVersion(2), at(0ms));
    EndpointAdvisories advisories { HostId("front-1") };
    advisories.recordRetryAfter(instanceOf(registry.entries().begin()->second), 8, 2s, at(0ms));
    CHECK(rollout.takeDue(registry, advisories, at(1999ms)).empty());
    CHECK(rollout.takeDue(registry, advisories, at(2001ms)).size() == 1);
}

TEST_CASE("Guards against rollouts that take longer than the bound where few engines load at once [weights]")
{
    // 44 engines whose loads take 4.2 s with the requests that they finish before, eight at a time where capacity is scarce.
    constexpr auto kLongBound = 20s;
    constexpr auto kLoad = 4200ms;
    auto registry = registryOf(44);
    WeightsRollout rollout(HostId("front-1"), kLease, kLongBound);
    rollout.setCapacityScarce(true);
    rollout.confirm(FencingToken(7), at(1h), at(-10s));
    completeJournalCall(rollout, recordOf(3, {}), at(-10s));
    completeJournalCall(rollout, recordOf(3, {}), at(-10s));
    rollout.setTarget(kModel, WeightsVersion(2), at(0ms));
    std::map<EndpointId, MonotonicTime> loadEnds;
    std::size_t mostAtOnce = 0;
    for (auto now = at(0ms); now < at(kLongBound); now += 50ms) {
        for (const auto& order : rollout.takeDue(registry, kNoAdvice, now))
            loadEnds[order.endpoint] = now + kLoad;
        mostAtOnce = std::max(mostAtOnce, loadEnds.size());
        for (auto load = loadEnds.begin(); load != loadEnds.end();) {
            if (load->second > now) {
                ++load;
                continue;
            }
            registry.recordWeights(load->first, kModel, WeightsVersion(2));
            rollout.recordLoadTime(kModel, kLoad);
            rollout.finishOrder(load->first, true, now);
            load = loadEnds.erase(load);
        }
    }
    for (const auto& [id, entry] : registry.entries())
        CHECK(entry.weights.at(kModel) == WeightsVersion(2));
    CHECK(mostAtOnce <= WeightsRollout::maxConcurrentLoads(44));
}

TEST_CASE("few engines load at once where capacity is scarce and the bound leaves time [weights]")
{
    const auto registry = registryOf(44);
    auto rollout = leaderSince(at(-10s));
    rollout.setCapacityScarce(true);
    rollout.recordLoadTime(kModel, 700ms);
    rollout.setTarget(kModel, WeightsVersion(2), at(0ms));
    CHECK(rollout.takeDue(registry, kNoAdvice, at(0ms)).size() == WeightsRollout::maxConcurrentLoads(44, true));
}

TEST_CASE("Guards against a model whose engines wait for the loads of another model [weights]")
{
    auto registry = registryOf(30);
    const ModelId other("z");
    for (int i = 0; i < 6; ++i) {
        EndpointEntry entry;
        entry.id = EndpointId("z" + std::to_string(i));
        entry.weights[other] = WeightsVersion(1);
        registry.put(entry);
    }
    auto rollout = leaderSince(at(0ms));
    rollout.setTarget(kModel, WeightsVersion(2), at(0ms));
    rollout.setTarget(other, WeightsVersion(2), at(0ms));
    const auto due = rollout.takeDue(registry, kNoAdvice, at(0ms));
    const auto loadsOf = [&due](const ModelId& model) {
        return static_cast<std::size_t>(std::count_if(due.begin(), due.end(), [&model](const auto& order) { return order.model == model; }));
    };
    CHECK(loadsOf(kModel) == WeightsRollout::maxConcurrentLoads(30));
    CHECK(loadsOf(other) == WeightsRollout::maxConcurrentLoads(6));
    CHECK(rollout.takeDue(registry, kNoAdvice, at(0ms)).empty());
}

TEST_CASE("requests must not be sent to engines past the bound, unless the store was not available meanwhile [weights]")
{
    WeightsRollout rollout(HostId("front-1"), kLease, kBound);
    rollout.setTarget(kModel, WeightsVersion(2), at(0ms));
    CHECK(rollout.oldestSendable(kModel, at(7900ms)) == WeightsVersion());
    CHECK(rollout.oldestSendable(kModel, at(8s)) == WeightsVersion(2));
    rollout.storeLost(at(5s));
    CHECK(rollout.oldestSendable(kModel, at(60s)) == WeightsVersion());
    CHECK(rollout.oldestAllowed(kModel, at(8s)) == WeightsVersion(2));
    rollout.setTarget(kModel, WeightsVersion(3), at(63s));
    rollout.storeRegained(at(65s));
    CHECK(rollout.oldestSendable(kModel, at(67900ms)) == WeightsVersion());
    CHECK(rollout.oldestSendable(kModel, at(68s)) == WeightsVersion(2));
    CHECK(rollout.oldestSendable(kModel, at(72900ms)) == WeightsVersion(2));
    CHECK(rollout.oldestSendable(kModel, at(73s)) == WeightsVersion(3));
}

TEST_CASE("Guards against weights past their bound that are used again after an outage of the store [weights]")
{
    WeightsRollout rollout(HostId("front-1"), kLease, kBound);
    rollout.setTarget(kModel, WeightsVersion(2), at(0ms));
    rollout.storeLost(at(kBound));
    CHECK(rollout.oldestSendable(kModel, at(11s)) == WeightsVersion(2));
    rollout.storeRegained(at(15s));
    CHECK(rollout.oldestSendable(kModel, at(15s)) == WeightsVersion(2));
    rollout.storeRestored(at(16s));
    CHECK(rollout.oldestSendable(kModel, at(16s)) == WeightsVersion(2));
}

TEST_CASE("the bound of weights counts anew when the store has lost its newest records [weights][store-return]")
{
    WeightsRollout rollout(HostId("front-1"), kLease, kBound);
    rollout.setTarget(kModel, WeightsVersion(2), at(0ms));
    rollout.storeRestored(at(5s));
    CHECK(rollout.oldestSendable(kModel, at(12900ms)) == WeightsVersion());
    CHECK(rollout.oldestSendable(kModel, at(13s)) == WeightsVersion(2));
}

TEST_CASE("a starting gateway serves on weights before a target of unknown age until their bound from now [weights]")
{
    WeightsRollout starting(HostId("front-1"), kLease, kBound);
    starting.setTargetOfUnknownAge(kModel, WeightsVersion(4), at(20s));
    CHECK(starting.oldestSendable(kModel, at(20s)) == WeightsVersion());
    CHECK(starting.oldestSendable(kModel, at(28s)) == WeightsVersion(4));
    starting.onTargetAge({ kModel, WeightsVersion(4), 8s }, at(21s));
    CHECK(starting.oldestSendable(kModel, at(21s)) == WeightsVersion(4));
}

TEST_CASE("Guards against gateways that start between two versions and forget the bound of the first [weights]")
{
    WeightsRollout informed(HostId("front-1"), kLease, kBound);
    informed.setTarget(kModel, WeightsVersion(2), at(0ms));
    informed.setTarget(kModel, WeightsVersion(3), at(6s));
    WeightsRollout starting(HostId("front-2"), kLease, kBound);
    starting.setTargetOfUnknownAge(kModel, WeightsVersion(3), at(9s));
    for (const auto& target : informed.targetAges(at(9s)))
        starting.onTargetAge(target, at(9s));
    CHECK(starting.oldestAllowed(kModel, at(9s)) == WeightsVersion(2));
    CHECK(starting.oldestSendable(kModel, at(9s)) == WeightsVersion(2));
    CHECK(starting.oldestAllowed(kModel, at(14s)) == WeightsVersion(3));

    // Also if the bound of the first has passed before the start.
    WeightsRollout late(HostId("front-3"), kLease, kBound);
    late.setTargetOfUnknownAge(kModel, WeightsVersion(3), at(13s));
    for (const auto& target : informed.targetAges(at(13s)))
        late.onTargetAge(target, at(13s));
    CHECK(late.oldestSendable(kModel, at(13s)) == WeightsVersion(2));

    // Or if the bounds of both have, while engines are still behind.
    WeightsRollout latest(HostId("front-4"), kLease, kBound);
    latest.setTargetOfUnknownAge(kModel, WeightsVersion(3), at(17s));
    for (const auto& target : informed.targetAges(at(17s)))
        latest.onTargetAge(target, at(17s));
    CHECK(latest.oldestSendable(kModel, at(17s)) == WeightsVersion(3));
    CHECK(informed.targetAges(at(26s)).empty());
}

TEST_CASE("a leader whose membership is of another era of the store claims the journal again before it sends orders [weights][store-return]")
{
    const auto registry = registryOf(6);
    const auto era = storeEra(1);
    auto rollout = leaderSince(at(0ms));
    rollout.setTarget(kModel, WeightsVersion(2), at(0ms));
    rollout.journal().request(EndpointId("e100"));
    completeJournalCall(rollout, std::nullopt, at(0ms));
    REQUIRE(rollout.mayOrder(EndpointId("e100"), at(10ms)));
    rollout.confirm(tokenInEra(era, 2), at(1h), at(10ms));
    CHECK_FALSE(rollout.mayOrder(EndpointId("e100"), at(10ms)));
    CHECK(rollout.takeDue(registry, kNoAdvice, at(10ms)).empty());
    const auto read = rollout.journal().takeCall(at(10ms));
    REQUIRE(read);
    REQUIRE(std::holds_alternative<OrderJournal::Read>(*read));
    rollout.journal().onRead(OrderRecordPosition { recordOf(3, {}), positionInEra(era, 5) }, at(10ms));
    REQUIRE(rollout.journal().takeCall(at(10ms)));
    rollout.journal().onAppended(positionInEra(era, 6), at(10ms));
    CHECK(rollout.takeDue(registry, kNoAdvice, at(10ms)).empty());
    const auto due = rollout.takeDue(registry, kNoAdvice, at(10ms + kTakeoverDelay));
    REQUIRE_FALSE(due.empty());
    CHECK(due.front().token == tokenInEra(era, 2));
    // A renewal in the same era continues the leadership.
    rollout.confirm(tokenInEra(era, 3), at(2h), at(5s));
    CHECK(rollout.journal().isOwned());
}

TEST_CASE("an older or equal target of unknown age changes neither the target nor its age [weights][store-return]")
{
    WeightsRollout rollout(HostId("front-1"), kLease, kBound);
    rollout.setTarget(kModel, WeightsVersion(4), at(19s));
    for (const int version : { 3, 4 })
        rollout.setTargetOfUnknownAge(kModel, WeightsVersion(static_cast<std::uint64_t>(version)), at(20s));
    CHECK(rollout.targets().at(kModel) == WeightsVersion(4));
    CHECK(rollout.oldestAllowed(kModel, at(20s)) == WeightsVersion());
    CHECK(rollout.targetAges(at(20s)).size() == 1);
}
