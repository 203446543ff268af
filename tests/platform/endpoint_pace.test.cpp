#include "platform/gateway_fleet.hpp"

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace hornbeamgate::gateway::testing;
using namespace std::chrono_literals;

namespace {

bool isInSlowStart(const FleetGateway& gateway, const std::string& engine)
{
    return gateway.state.paces.isInSlowStart(instanceOf(*gateway.state.registry.find(EndpointId(engine))));
}

} // namespace

// Guards against a trigger that no longer reaches the pace, and against slow starts where overload control is off.
TEST_CASE("an engine that cannot be reached enters slow start only under overload control [pace]")
{
    for (const bool isOn : { false, true }) {
        EngineStandIn engine;
        EngineStandIn gone;
        GatewayFleet fleet(1);
        auto& gateway = *fleet.gateways.front();
        if (isOn)
            gateway.state.overload.recordSharedMachine(ServiceId("s"));
        fleet.addEngine("e1", gone);
        fleet.addEngine("e2", engine);
        gone.acceptor.reset();
        fleet.ask(100ms, 10ms);
        CHECK(isInSlowStart(gateway, "e1") == isOn);
        CHECK_FALSE(isInSlowStart(gateway, "e2"));
        CHECK(fleet.statuses[200] == fleet.lastRequest);
    }
}

// Guards against responses that are not counted, so that slow start never ends.
TEST_CASE("slow start ends once the engine has served enough [pace]")
{
    EngineStandIn engine;
    GatewayFleet fleet(2);
    for (const auto& gateway : fleet.gateways)
        gateway->state.overload.recordSharedMachine(ServiceId("s"));
    fleet.addEngine("e1", engine);
    for (const auto& gateway : fleet.gateways)
        gateway->state.startPace(instanceOf(*gateway->state.registry.find(EndpointId("e1"))), 8, PaceCause::Restarted, MonotonicClock::now());
    CHECK(isInSlowStart(*fleet.gateways.front(), "e1"));
    fleet.ask(300ms, 20ms);
    hornbeamgate::testing::runFor(1500ms);
    for (const auto& gateway : fleet.gateways)
        CHECK_FALSE(isInSlowStart(*gateway, "e1"));
    CHECK(fleet.statuses[200] == fleet.lastRequest);
}

// Guards against a gateway that is not told of the responses of the others.
TEST_CASE("a gateway that sends nothing to an engine learns from its peers that slow start has ended [pace]")
{
    GatewayFleet fleet(2);
    EngineStandIn engine;
    fleet.addEngine("e1", engine);
    const auto now = MonotonicClock::now();
    for (const auto& gateway : fleet.gateways)
        gateway->state.paces.appeared(instanceOf(*gateway->state.registry.find(EndpointId("e1"))), 8, PaceCause::Restarted, now);
    auto& paces = fleet.gateways.front()->state.paces;
    for (int i = 0; i < 6; ++i)
        paces.recordAnswer(instanceOf(*fleet.gateways.front()->state.registry.find(EndpointId("e1"))), 0ms, 0ms, now);
    CHECK_FALSE(isInSlowStart(*fleet.gateways.front(), "e1"));
    CHECK(isInSlowStart(*fleet.gateways.back(), "e1"));
    CHECK(hornbeamgate::testing::runUntil([&] { return !isInSlowStart(*fleet.gateways.back(), "e1"); }));
}
