#include "platform/gateway_fixture.hpp"

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace hornbeamgate::gateway::testing;
using hornbeamgate::testing::runUntil;
using namespace std::chrono_literals;

namespace {

constexpr const char* kSigned = "X-Hornbeamgate-Server-Signature: sig\r\n";
constexpr const char* kEmpty = "Content-Length: 0\r\n\r\n";

/// Gateway that observes a rollout, with an engine of the old version.
struct RolloutGateway : GatewayFixture {
    RolloutGateway()
    {
        const auto now = MonotonicClock::now();
        auto& rollouts = state.versionRollouts.emplace(VersionRolloutLimits {}, HostId("front-1"));
        rollouts.setEndpoints(state.registry, now);
        rollouts.operatorsConfirmed(now);
        rollouts.statusConfirmed(now);
        rollouts.setOrder({ ServiceId("s"), "v2", 60s, LogOffset(1) }, 0ms, now);
    }

    RolloutReport::Service report() const { return state.versionRollouts->report(MonotonicClock::now()).services.at(0); }
    /// Responses that were recorded for the route, and those of them that were bad.
    RouteSample recorded(const std::string& route) const
    {
        const auto control = report().control;
        const auto found = control.find(route);
        return found == control.end() ? RouteSample {} : found->second.sample;
    }
};

} // namespace

TEST_CASE("a response with an error of the server is bad, and one with an error of the caller is not [rollout]")
{
    const std::map<int, RouteSample> expected { { 200, { 1, 0 } }, { 404, { 1, 0 } }, { 500, { 1, 1 } }, { 502, { 1, 1 } }, { 503, { 1, 1 } }, { 429, { 1, 0 } } };
    for (const auto& [code, sample] : expected) {
        const int status = code;
        CAPTURE(status);
        RolloutGateway gateway;
        gateway.request("/booking/a");
        gateway.first.waitFor(0, "hi");
        CHECK(gateway.report().oldInProgress == 1);
        gateway.first.send(0, responseHead(status, std::string(kSigned) + kEmpty));
        gateway.waitFor("HTTP/1.1 ");
        CHECK(gateway.recorded("booking") == sample);
        CHECK(gateway.report().oldInProgress == 0);
    }
}

TEST_CASE("a request that was not executed, whose caller left or that could not be sent is not judged [rollout]")
{
    // Full engines reject requests in bursts, which says nothing about their version.
    RolloutGateway rejected;
    rejected.request("/booking/a");
    rejected.first.waitFor(0, "hi");
    rejected.first.send(0, responseHead(503, std::string("X-Hornbeamgate-Not-Executed: 1\r\n") + kEmpty));
    rejected.waitFor("HTTP/1.1 503");
    CHECK(rejected.recorded("booking") == RouteSample {});
    CHECK(rejected.report().oldInProgress == 0);

    RolloutGateway left;
    left.request("/booking/a");
    left.first.waitFor(0, "hi");
    left.caller.reset();
    REQUIRE(runUntil([&] { return left.report().oldInProgress == 0; }));
    CHECK(left.recorded("booking") == RouteSample {});

    RolloutGateway unreachable;
    unreachable.addEndpoint("e1", { "127.0.0.1", 1 });
    unreachable.request("/booking/a");
    unreachable.waitFor("HTTP/1.1 503");
    CHECK(unreachable.recorded("booking") == RouteSample {});
    CHECK(unreachable.report().oldInProgress == 0);
}

TEST_CASE("a response that is broken off or malformed is bad [rollout]")
{
    RolloutGateway broken;
    broken.request("/booking/a");
    broken.first.waitFor(0, "hi");
    broken.first.drop(0);
    broken.waitFor("HTTP/1.1 502");
    CHECK(broken.recorded("booking") == RouteSample { 1, 1 });

    RolloutGateway malformed;
    malformed.request("/booking/a");
    malformed.first.waitFor(0, "hi");
    malformed.first.send(0, "nonsense\r\n\r\n");
    malformed.waitFor("HTTP/1.1 502");
    CHECK(malformed.recorded("booking") == RouteSample { 1, 1 });

    RolloutGateway cut;
    cut.request("/once/a");
    cut.first.waitFor(0, "hi");
    cut.first.send(0, responseHead(200, std::string(kSigned) + "Transfer-Encoding: chunked\r\n\r\n" + "13\r\nid: 1\ndata: p\n\nid:\r\n"));
    cut.waitFor("data: p");
    cut.first.drop(0);
    REQUIRE(runUntil([&] { return cut.hasEnded; }));
    CHECK(cut.recorded("once") == RouteSample { 1, 1 });
}

TEST_CASE("a request that reaches its deadline is judged by the time until then, once [rollout]")
{
    // A version that hangs would otherwise give no evidence at all.
    RolloutGateway gateway;
    gateway.request("/brief/a");
    gateway.waitFor("HTTP/1.1 504");
    CHECK(gateway.recorded("brief").responses == 1);
    CHECK(gateway.report().oldInProgress == 0);
}

TEST_CASE("both sends of a request that is retried are judged [rollout]")
{
    RolloutGateway gateway;
    gateway.addFallback();
    gateway.state.versionRollouts->setEndpoints(gateway.state.registry, MonotonicClock::now());
    gateway.request("/read/a");
    gateway.first.waitFor(0, "hi");
    gateway.first.send(0, responseHead(500, std::string(kSigned) + kEmpty));
    gateway.second.waitFor(0, "hi");
    gateway.second.send(0, responseHead(200, std::string(kSigned) + kEmpty));
    gateway.waitFor("HTTP/1.1 200");
    CHECK(gateway.recorded("read") == RouteSample { 2, 1 });
}

TEST_CASE("a request goes to another version if the engine that it should show cannot take it [rollout]")
{
    // A request that is refused because the new version has no free engine would be a fault of the rollout.
    RolloutGateway gateway;
    auto entry = *gateway.state.registry.find(EndpointId("e1"));
    entry.id = EndpointId("e2");
    entry.version = "v2";
    entry.address = gateway.second.address();
    gateway.state.registry.put(entry);
    auto& rollouts = *gateway.state.versionRollouts;
    rollouts.setFleet(1);
    rollouts.setEndpoints(gateway.state.registry, MonotonicClock::now());
    // The share of the new version grows with the sends; this makes the next request its turn.
    const auto isTurn = [&] { return rollouts.choose(ServiceId("s"), MonotonicClock::now()).hasFallback(); };
    for (int send = 0; send < 100 && !isTurn(); ++send) {
        rollouts.recordSend(*gateway.state.registry.find(EndpointId("e1")), MonotonicClock::now());
        rollouts.recordEnd(*gateway.state.registry.find(EndpointId("e1")));
    }
    REQUIRE(isTurn());
    entry.isLeaving = true;
    gateway.state.registry.put(entry);
    gateway.request("/booking/a");
    gateway.first.waitFor(0, "hi");
    CHECK(gateway.second.connections() == 0);
}
