#include "hornbeamgate/gateway/endpoint_pace.hpp"

#include "gateway/time_support.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using hornbeamgate::gateway::testing::at;
using namespace std::chrono_literals;

namespace {

constexpr int kSlots = 12;
const EndpointInstance kEngine { EndpointId("e"), Incarnation(7), ServiceId("s") };

std::vector<EndpointPaces> makeFleet(int size)
{
    std::vector<EndpointPaces> fleet;
    for (int i = 0; i < size; ++i) {
        std::vector<HostId> others;
        for (int j = 0; j < size; ++j) {
            if (j != i)
                others.emplace_back("front-" + std::to_string(j));
        }
        fleet.emplace_back(HostId("front-" + std::to_string(i))).setFleet(others);
    }
    return fleet;
}

int admitting(const std::vector<EndpointPaces>& fleet, const EndpointInstance& endpoint, MonotonicTime now)
{
    return static_cast<int>(std::count_if(fleet.begin(), fleet.end(), [&](const auto& paces) { return paces.admits(endpoint, true, now); }));
}

void serve(EndpointPaces& paces, const EndpointInstance& endpoint, std::chrono::milliseconds time, int count = 1, Duration latency = 50ms)
{
    for (int i = 0; i < count; ++i) {
        paces.recordSend(endpoint, at(time) - latency);
        paces.recordOutcome(endpoint, SendOutcome::Served, latency, 50ms, at(time));
    }
}

void fail(EndpointPaces& paces, const EndpointInstance& endpoint, std::chrono::milliseconds time)
{
    paces.recordSend(endpoint, at(time));
    paces.recordOutcome(endpoint, SendOutcome::Failed, 0ms, 50ms, at(time));
}

} // namespace

// Guards against probes of a whole fleet, which exceed the slots of an engine.
TEST_CASE("two daemons of a fleet may send to an endpoint that has just started [pace]")
{
    auto fleet = makeFleet(31);
    CHECK(admitting(fleet, kEngine, at(0ms)) == 31);
    for (auto& paces : fleet)
        paces.appeared(kEngine, kSlots, PaceCause::FirstSeen, at(0ms));
    CHECK(admitting(fleet, kEngine, at(0ms)) == 2);
    for (auto& paces : fleet) {
        if (paces.admits(kEngine, true, at(0ms)))
            paces.recordSend(kEngine, at(0ms));
    }
    CHECK(admitting(fleet, kEngine, at(900ms)) == 0);
}

// Guards against callers that wait for probe results.
TEST_CASE("the pace does not apply if no admitted endpoint has a free slot [pace]")
{
    auto fleet = makeFleet(31);
    for (auto& paces : fleet) {
        paces.appeared(kEngine, kSlots, PaceCause::Restarted, at(0ms));
        CHECK(paces.admits(kEngine, false, at(0ms)));
    }
}

// Guards against more than the slots in progress if all daemons pass over the limit at once.
TEST_CASE("the daemons' shares of the slots add up to the slots [pace]")
{
    auto fleet = makeFleet(31);
    for (auto& paces : fleet)
        paces.appeared(kEngine, kSlots, PaceCause::Restarted, at(0ms));
    CHECK(std::count_if(fleet.begin(), fleet.end(), [](const auto& paces) { return paces.tierOf(kEngine, at(0ms)) != PaceTier::HeldBack; }) == kSlots);
}

TEST_CASE("the limit grows with responses in time of all daemons until it reaches the slots [pace]")
{
    auto fleet = makeFleet(2);
    for (auto& paces : fleet)
        paces.appeared(kEngine, kSlots, PaceCause::FirstSeen, at(0ms));
    serve(fleet[0], kEngine, 100ms, 3);
    CHECK(fleet[0].limitOf(kEngine, at(100ms)) == 5);
    fleet[1].recordPeerReport(HostId("front-0"), fleet[0].report(at(100ms)), at(120ms));
    CHECK(fleet[1].limitOf(kEngine, at(250ms)) == 5);
    // A report that arrives twice counts once.
    fleet[1].recordPeerReport(HostId("front-0"), fleet[0].report(at(100ms)), at(130ms));
    CHECK(fleet[1].limitOf(kEngine, at(350ms)) == 5);
    serve(fleet[1], kEngine, 400ms, 7);
    CHECK_FALSE(fleet[1].isInSlowStart(kEngine));
    fleet[0].recordPeerReport(HostId("front-1"), fleet[1].report(at(400ms)), at(420ms));
    CHECK_FALSE(fleet[0].isInSlowStart(kEngine));
    const auto changes = fleet[0].takeChanges();
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].isStart);
    CHECK(changes[1].credit == 10);
    CHECK(fleet[0].report(at(10s)).entries.empty());
}

// Guards against servers that gain pace by answers that are of no use.
TEST_CASE("errors, rejections and late responses lower the limit and hold the daemon back [pace]")
{
    for (const auto outcome : { SendOutcome::Failed, SendOutcome::Shed, SendOutcome::Served }) {
        EndpointPaces paces { HostId("front-0") };
        paces.appeared(kEngine, kSlots, PaceCause::FirstSeen, at(0ms));
        serve(paces, kEngine, 100ms, 8);
        CHECK(paces.limitOf(kEngine, at(100ms)) == 10);
        paces.recordSend(kEngine, at(200ms));
        paces.recordOutcome(kEngine, outcome, 500ms, 50ms, at(700ms));
        CHECK(paces.limitOf(kEngine, at(700ms)).value_or(kSlots) <= 6);
        CHECK(paces.admits(kEngine, true, at(700ms)) == (outcome == SendOutcome::Served));
    }
}

TEST_CASE("requests in progress together that fail count once, and abandoned ones not at all [pace]")
{
    EndpointPaces paces { HostId("front-0") };
    paces.appeared(kEngine, kSlots, PaceCause::FirstSeen, at(0ms));
    serve(paces, kEngine, 100ms, 8);
    for (int i = 0; i < 2; ++i)
        paces.recordSend(kEngine, at(200ms));
    paces.recordOutcome(kEngine, SendOutcome::Abandoned, 50ms, 50ms, at(250ms));
    CHECK(paces.limitOf(kEngine, at(250ms)) == 10);
    paces.recordOutcome(kEngine, SendOutcome::Failed, 100ms, 50ms, at(300ms));
    const auto limit = paces.limitOf(kEngine, at(300ms));
    paces.recordOutcome(kEngine, SendOutcome::Failed, 101ms, 50ms, at(301ms));
    CHECK(paces.limitOf(kEngine, at(301ms)) == limit);
}

// Guards against an endpoint that only the selected daemons cannot reach and that therefore nobody tests.
TEST_CASE("daemons whose sends fail let others test the endpoint [pace]")
{
    auto fleet = makeFleet(10);
    for (auto& paces : fleet)
        paces.appeared(kEngine, kSlots, PaceCause::FirstSeen, at(0ms));
    std::vector<std::size_t> selected;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (fleet[i].admits(kEngine, true, at(0ms)))
            selected.push_back(i);
    }
    for (const auto i : selected) {
        fail(fleet[i], kEngine, 100ms);
        for (auto& paces : fleet)
            paces.recordPeerReport(HostId("front-" + std::to_string(i)), fleet[i].report(at(100ms)), at(110ms));
    }
    CHECK(admitting(fleet, kEngine, at(900ms)) == 2);
    for (const auto i : selected)
        CHECK_FALSE(fleet[i].admits(kEngine, true, at(900ms)));
}

// Guards against a slow start that waits for daemons which have no traffic or are dead.
TEST_CASE("more daemons are selected if nobody sends [pace]")
{
    auto fleet = makeFleet(31);
    for (auto& paces : fleet)
        paces.appeared(kEngine, kSlots, PaceCause::FirstSeen, at(0ms));
    CHECK(admitting(fleet, kEngine, at(1100ms)) == 4);
    CHECK(admitting(fleet, kEngine, at(5100ms)) == 31);
}

// Guards against a fall that one daemon alone has seen, and which the others' shares would make it wait for.
TEST_CASE("after a backoff the limit is shared only with daemons that report the same [pace]")
{
    auto fleet = makeFleet(31);
    fleet[0].appeared(kEngine, kSlots, PaceCause::BackoffEnds, at(0ms));
    for (std::size_t i = 1; i < fleet.size(); ++i)
        fleet[0].recordPeerReport(HostId("front-" + std::to_string(i)), fleet[i].report(at(2s)), at(2s));
    fleet[0].recordSend(kEngine, at(2100ms));
    CHECK(fleet[0].admits(kEngine, true, at(2100ms)));
    fleet[0].recordSend(kEngine, at(2100ms));
    CHECK_FALSE(fleet[0].admits(kEngine, true, at(2200ms)));
}

TEST_CASE("each fall within 30 s doubles the responses and the time of a ramp, up to eight times [pace]")
{
    EndpointPaces paces { HostId("front-0") };
    int expected = 1;
    auto time = 0ms;
    for (int fall = 0; fall < 6; ++fall) {
        const EndpointInstance endpoint { kEngine.id, Incarnation(static_cast<std::uint64_t>(fall + 1)), kEngine.service };
        paces.appeared(endpoint, kSlots, PaceCause::Restarted, at(time));
        serve(paces, endpoint, time + 100ms, 10 * expected - 1);
        CHECK(paces.isInSlowStart(endpoint));
        serve(paces, endpoint, time + 1500ms * expected);
        CHECK_FALSE(paces.isInSlowStart(endpoint));
        time += 15s;
        expected = std::min(8, 2 * expected);
    }
    paces.appeared({ kEngine.id, Incarnation(9), kEngine.service }, kSlots, PaceCause::Restarted, at(time + 30s));
    CHECK(paces.takeChanges().back().slowdown == 1);
}

// A crash shows as failed sends and as a new incarnation, and would otherwise slow the ramp after a single fall.
TEST_CASE("a crash that shows twice counts once [pace]")
{
    EndpointPaces paces { HostId("front-0") };
    paces.appeared(kEngine, kSlots, PaceCause::BackoffEnds, at(0ms));
    serve(paces, kEngine, 700ms);
    paces.appeared({ kEngine.id, Incarnation(8), kEngine.service }, kSlots, PaceCause::Restarted, at(900ms));
    CHECK(paces.takeChanges().back().slowdown == 1);
}

// Guards against slow starts of all engines after an outage of the store.
TEST_CASE("an endpoint whose directory entry returns with the same incarnation is not in slow start [pace]")
{
    EndpointPaces paces { HostId("front-0") };
    serve(paces, kEngine, 100ms);
    paces.forget(kEngine.id);
    paces.appeared(kEngine, kSlots, PaceCause::FirstSeen, at(1s));
    CHECK_FALSE(paces.isInSlowStart(kEngine));
    paces.forget(kEngine.id);
    const EndpointInstance restarted { kEngine.id, Incarnation(8), kEngine.service };
    paces.appeared(restarted, kSlots, PaceCause::FirstSeen, at(2s));
    CHECK(paces.isInSlowStart(restarted));
    paces.appeared(kEngine, kSlots, PaceCause::WeightsLoaded, at(3s));
    CHECK(paces.isInSlowStart(restarted));
}

TEST_CASE("an endpoint that answers nothing for ten seconds enters slow start, one that is sent nothing does not [pace]")
{
    EndpointPaces paces { HostId("front-0") };
    serve(paces, kEngine, 100ms);
    fail(paces, kEngine, 20s);
    CHECK_FALSE(paces.isInSlowStart(kEngine));
    fail(paces, kEngine, 30s);
    CHECK(paces.isInSlowStart(kEngine));
}

// Guards against datagrams that grow with the fleet when all engines restart.
TEST_CASE("a report lists at most 32 endpoints, and 4 in a fleet of 360 daemons [pace]")
{
    EndpointPaces paces { HostId("front-0") };
    for (int i = 0; i < 680; ++i) {
        const EndpointInstance endpoint { EndpointId("e" + std::to_string(i)), Incarnation(1), kEngine.service };
        paces.appeared(endpoint, kSlots, PaceCause::Restarted, at(0ms));
        serve(paces, endpoint, 100ms);
    }
    CHECK(paces.report(at(100ms)).entries.size() == 32);
    std::vector<HostId> others;
    for (int i = 1; i < 360; ++i)
        others.emplace_back("front-" + std::to_string(i));
    paces.setFleet(others);
    CHECK(paces.report(at(100ms)).entries.size() == 4);
}

// Guards against requests that go to an engine with fast errors because it alone has free slots.
TEST_CASE("an endpoint that has just failed is not preferred to full ones [pace]")
{
    struct Candidate {
        int cost = 0;
    };
    PacedChoice<Candidate> choice;
    choice.add({ 5 }, PaceTier::Admitted, false);
    choice.add({ 9 }, PaceTier::Failing, true);
    CHECK(choice.best()->cost == 5);
    choice.add({ 3 }, PaceTier::Failing, true);
    CHECK(choice.best()->cost == 3);
    choice.add({ 8 }, PaceTier::HeldBack, true);
    CHECK(choice.best()->cost == 8);
    choice.add({ 7 }, PaceTier::Admitted, true);
    CHECK(choice.best()->cost == 5);
    CHECK_FALSE(choice.isHeldBack());
}
