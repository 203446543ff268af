#include "platform/gateway_fleet.hpp"

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace hornbeamgate::gateway::testing;
using hornbeamgate::testing::runFor;
using namespace std::chrono_literals;

namespace {

/// Time that requests on their way and a report to the other gateways may take.
constexpr auto kTransit = 500ms;

/// Three gateways, an engine that leaves and one that stays.
struct Fixture {
    Fixture()
    {
        fleet.addEngine("e1", leaving);
        fleet.addEngine("e2", staying);
    }

    /// Returns how many requests the leaving engine gets from all gateways.
    std::size_t arrivals()
    {
        const auto start = MonotonicClock::now();
        fleet.ask(500ms, 20ms);
        return leaving.arrivalsSince(start);
    }

    EngineStandIn leaving;
    EngineStandIn staying;
    GatewayFleet fleet { 3 };
};

} // namespace

TEST_CASE("an engine that says in a response that it leaves gets no more requests from any gateway [leaving]")
{
    for (const int status : { 200, 500, 503 }) {
        CAPTURE(status);
        Fixture fixture;
        REQUIRE(fixture.arrivals() > 0);
        fixture.leaving.isLeaving = true;
        fixture.leaving.status = status;
        fixture.fleet.ask(kTransit, 20ms);
        CHECK(fixture.arrivals() == 0);
        CHECK(fixture.fleet.statuses[200] + fixture.fleet.statuses[500] == fixture.fleet.lastRequest);
    }
}

TEST_CASE("a gateway learns from another one that an engine leaves [leaving]")
{
    Fixture fixture;
    fixture.leaving.isLeaving = true;
    const auto first = fixture.fleet.gateways.front()->state.registry.find(EndpointId("e1"));
    REQUIRE(first);
    const auto instance = instanceOf(*first);
    fixture.fleet.gateways.front()->state.advisories.recordLeaving(instance, MonotonicClock::now());
    runFor(kTransit);
    CHECK(fixture.arrivals() == 0);
}

TEST_CASE("no record of the directory brings back a leaving engine under the same incarnation [leaving]")
{
    Fixture fixture;
    fixture.leaving.isLeaving = true;
    fixture.fleet.ask(kTransit, 20ms);
    for (const auto& gateway : fixture.fleet.gateways) {
        const auto entry = *gateway->state.registry.find(EndpointId("e1"));
        gateway->state.registry.withdraw(entry.id, MonotonicClock::now());
        gateway->state.advisories.forget(entry.id);
        gateway->state.registry.put(entry);
    }
    CHECK(fixture.arrivals() == 0);
    fixture.leaving.isLeaving = false;
    for (const auto& gateway : fixture.fleet.gateways) {
        auto entry = *gateway->state.registry.find(EndpointId("e1"));
        entry.incarnation = Incarnation(entry.incarnation.value() + 1);
        gateway->state.registry.put(entry);
    }
    CHECK(fixture.arrivals() > 0);
}

TEST_CASE("requests are refused at once when all engines of their service leave [leaving]")
{
    Fixture fixture;
    fixture.leaving.isLeaving = true;
    fixture.staying.isLeaving = true;
    fixture.fleet.ask(kTransit, 20ms);
    const auto before = fixture.fleet.statuses[503];
    CHECK(fixture.arrivals() == 0);
    CHECK(fixture.fleet.statuses[503] > before);
    CHECK(fixture.fleet.slowestRefusal < 100ms);
}
