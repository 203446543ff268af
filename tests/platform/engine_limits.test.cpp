#include "platform/gateway_fleet.hpp"

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace hornbeamgate::gateway::testing;
using namespace std::chrono_literals;

namespace {

/// What the daemons together may send in four seconds to an engine that has named `perSecond`.
std::size_t allowedInFourSeconds(double perSecond)
{
    return static_cast<std::size_t>(1.5 * perSecond * 4 + 5);
}

} // namespace

TEST_CASE("an engine gets no more requests than the limit that it has named allows [limits]")
{
    EngineStandIn limited;
    EngineStandIn other;
    limited.limit = "2";
    GatewayFleet fleet(1);
    fleet.addEngine("e1", limited);
    fleet.addEngine("e2", other);
    fleet.ask(5s, 20ms);
    CHECK(limited.mostInFourSeconds() <= allowedInFourSeconds(2));
    CHECK(fleet.statuses.size() == 1);
    CHECK(fleet.statuses[200] == fleet.lastRequest);
}

TEST_CASE("several gateways together send an engine no more requests than its limit allows [limits]")
{
    EngineStandIn limited;
    EngineStandIn other;
    limited.limit = "3.5";
    GatewayFleet fleet(5);
    fleet.addEngine("e1", limited);
    fleet.addEngine("e2", other);
    fleet.ask(6s, 40ms);
    CHECK(limited.mostInFourSeconds() <= allowedInFourSeconds(3.5));
    CHECK(fleet.statuses.size() == 1);
    CHECK(fleet.statuses[200] == fleet.lastRequest);
}

TEST_CASE("requests wait for an engine's limit, and one that would have to wait too long is refused at once [limits]")
{
    EngineStandIn limited;
    limited.limit = "4";
    GatewayFleet fleet(1);
    fleet.addEngine("e1", limited);
    // Ten requests a second where four are admitted: the queue soon holds what can be served before the deadlines of 3 s.
    fleet.ask(5s, 100ms);
    CHECK(limited.mostInFourSeconds() <= allowedInFourSeconds(4));
    CHECK(fleet.statuses.size() == 2);
    CHECK(fleet.statuses[200] >= 16);
    CHECK(fleet.statuses[503] >= 10);
    CHECK(limited.arrivals.size() == static_cast<std::size_t>(fleet.statuses[200]));
    CHECK(fleet.slowestRefusal < 2500ms);
    CHECK(fleet.gateways[0]->state.metrics.value(Counter::RequestsAtLimit) > 0);
}

TEST_CASE("an engine that names no limit any more gets requests without a limit again [limits]")
{
    EngineStandIn limited;
    EngineStandIn other;
    limited.limit = "2";
    GatewayFleet fleet(2);
    fleet.addEngine("e1", limited);
    fleet.addEngine("e2", other);
    fleet.ask(2s, 20ms);
    limited.limit.clear();
    fleet.ask(1500ms, 20ms);
    const auto start = MonotonicClock::now();
    fleet.ask(500ms, 20ms);
    CHECK(limited.arrivalsSince(start) > 15);
}

TEST_CASE("an engine that has been restarted is not held to the limit of its earlier process [limits]")
{
    EngineStandIn limited;
    limited.limit = "0";
    GatewayFleet fleet(1);
    fleet.addEngine("e1", limited);
    fleet.ask(300ms, 20ms);
    limited.limit.clear();
    EndpointEntry entry = *fleet.gateways[0]->state.registry.find(EndpointId("e1"));
    entry.incarnation = Incarnation(entry.incarnation.value() + 1);
    fleet.gateways[0]->state.registry.put(entry);
    const auto start = MonotonicClock::now();
    fleet.ask(300ms, 20ms);
    CHECK(limited.arrivalsSince(start) >= 15);
}

TEST_CASE("a response that is not an engine's says nothing about its limit [limits]")
{
    EngineStandIn engine;
    engine.isSigned = false;
    engine.limit = "0";
    GatewayFleet fleet(1);
    fleet.addEngine("e1", engine);
    fleet.ask(100ms, 20ms);
    CHECK_FALSE(fleet.gateways[0]->state.advisories.limitOf({ EndpointId("e1"), Incarnation(), ServiceId("s") }));
}
