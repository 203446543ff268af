#include "platform/gateway_fleet.hpp"

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace hornbeamgate::gateway::testing;
using hornbeamgate::testing::runFor;
using namespace std::chrono_literals;

namespace {

/// Makes the engine refuse everything, or work again.
void refuse(EngineStandIn& engine, const std::string& retryAfter)
{
    engine.status = retryAfter.empty() ? 200 : 503;
    engine.retryAfter = retryAfter;
}

} // namespace

TEST_CASE("an engine that wants nothing for some time gets nothing from the gateway that it told [pause]")
{
    EngineStandIn busy;
    EngineStandIn other;
    refuse(busy, "1.5");
    GatewayFleet fleet(1);
    fleet.addEngine("e1", busy);
    fleet.addEngine("e2", other);
    fleet.ask(1400ms, 10ms);
    CHECK(busy.arrivals.size() == 1);
    CHECK(fleet.statuses[200] == fleet.lastRequest);
    refuse(busy, "");
    runFor(200ms);
    const auto start = MonotonicClock::now();
    fleet.ask(1500ms, 10ms);
    CHECK(busy.arrivalsSince(start) > 5);
}

TEST_CASE("a shorter time that an engine asks for later does not shorten the pause [pause]")
{
    EngineStandIn busy;
    EngineStandIn other;
    refuse(busy, "1.2");
    GatewayFleet fleet(1);
    fleet.addEngine("e1", busy);
    fleet.addEngine("e2", other);
    fleet.ask(100ms, 10ms);
    auto& state = fleet.gateways.front()->state;
    const auto engine = instanceOf(*state.registry.find(EndpointId("e1")));
    state.advisories.recordRetryAfter(engine, 8, 50ms, MonotonicClock::now());
    state.loads.resume(EndpointId("e1"));
    fleet.ask(800ms, 10ms);
    CHECK(busy.arrivals.size() == 1);
}

TEST_CASE("requests that waited for the only engine do not all arrive when its pause ends [pause]")
{
    EngineStandIn busy;
    refuse(busy, "0.6");
    GatewayFleet fleet(1);
    fleet.addEngine("e1", busy);
    fleet.ask(40ms, 40ms);
    refuse(busy, "");
    const int before = fleet.lastRequest;
    const auto start = MonotonicClock::now();
    fleet.ask(300ms, 10ms);
    CHECK(busy.arrivalsSince(start) == static_cast<std::size_t>(fleet.lastRequest - before));
    const auto resumed = busy.arrivals.at(1);
    CHECK(busy.arrivals.size() - busy.arrivalsSince(resumed + 250ms) <= 6);
    CHECK(busy.mostWithin(100ms) <= 12);
}

TEST_CASE("requests are refused at once if all engines want nothing until their deadlines [pause]")
{
    EngineStandIn first;
    EngineStandIn second;
    refuse(first, "60");
    refuse(second, "60");
    GatewayFleet fleet(1);
    fleet.addEngine("e1", first);
    fleet.addEngine("e2", second);
    fleet.ask(300ms, 10ms);
    CHECK(first.arrivals.size() == 1);
    CHECK(second.arrivals.size() == 1);
    CHECK(fleet.statuses[503] == fleet.lastRequest);
    CHECK(fleet.slowestRefusal < 100ms);
}

TEST_CASE("a gateway that was not told goes on sending [pause]")
{
    EngineStandIn engine;
    EngineStandIn other;
    GatewayFleet fleet(2);
    fleet.addEngine("e1", engine);
    fleet.addEngine("e2", other);
    auto& told = fleet.gateways.front()->state;
    told.advisories.recordRetryAfter(instanceOf(*told.registry.find(EndpointId("e1"))), 8, 60s, MonotonicClock::now());
    fleet.ask(400ms, 10ms);
    CHECK_FALSE(engine.arrivals.empty());
    auto& untold = fleet.gateways.back()->state;
    CHECK_FALSE(untold.advisories.isPaused(instanceOf(*untold.registry.find(EndpointId("e1"))), MonotonicClock::now()));
}
