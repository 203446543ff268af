#pragma once

#include "hornbeamgate/runtime/gateway/gateway_request.hpp"
#include "hornbeamgate/runtime/net/http_acceptor.hpp"
#include "net/scripted_server.hpp"
#include "platform_wire_format.hpp"

#include <doctest/doctest.h>

namespace hornbeamgate::gateway::testing {

using namespace std::chrono_literals;

inline RouteRule makeRoute(const std::string& name)
{
    RouteRule made;
    made.name = name;
    made.authority = "h.example";
    made.pathPrefix = '/' + name + '/';
    made.services = { { ServiceId("s"), 1 } };
    made.timeout = 5000ms;
    made.latencyObjective = 4000ms;
    made.maxEndpoints = 2;
    return made;
}

inline FleetConfig makeConfig()
{
    FleetConfig made;
    made.version = ConfigVersion(1);
    auto booking = makeRoute("booking");
    booking.maxEndpoints = 1;
    auto read = makeRoute("read");
    read.isIdempotent = true;
    auto stream = makeRoute("stream");
    stream.isStreaming = true;
    stream.isResumable = true;
    auto once = makeRoute("once");
    once.isStreaming = true;
    auto shortObjective = stream;
    shortObjective.name = "hasty";
    shortObjective.pathPrefix = "/hasty/";
    shortObjective.latencyObjective = 50ms;
    auto overdue = read;
    overdue.name = "overdue";
    overdue.pathPrefix = "/overdue/";
    overdue.latencyObjective = 500ms;
    overdue.maxEndpoints = 3;
    auto shortTimeout = makeRoute("brief");
    shortTimeout.timeout = 80ms;
    made.routes = { booking, read, stream, once, shortObjective, overdue, shortTimeout };
    WorkspaceRule workspace;
    workspace.id = WorkspaceId("w");
    workspace.keys = { "key" };
    made.workspaces = { workspace };
    return made;
}

/// Gateway with one caller and two endpoints.
struct GatewayFixture {
    GatewayFixture()
    {
        auto created = HttpAcceptor::create({ "127.0.0.1", 0 }, { [this](HttpServerConnection& connection, HttpRequestMessage message) -> std::unique_ptr<HttpRequestHandler> {
                                                                     return std::make_unique<GatewayRequest>(state, connection, std::move(message));
                                                                 },
                                                                    {}, {} });
        REQUIRE(created);
        gateway = std::move(*created);
        state.routes = std::make_shared<const RouteTable>(makeConfig());
        addEndpoint("e1", first.address());
    }

    void addEndpoint(const std::string& id, const SocketAddress& address)
    {
        EndpointEntry entry;
        entry.id = EndpointId(id);
        entry.service = ServiceId("s");
        entry.address = address;
        entry.slots = 8;
        state.registry.put(entry);
    }

    /// Adds the second endpoint, which is used only after the first one.
    void addFallback()
    {
        addEndpoint("e2", second.address());
        state.loads.pauseUntil(EndpointId("e2"), MonotonicClock::now() + 1h);
    }

    /// Lets the first endpoint serve a model.
    void addModel(const std::string& model, std::uint64_t weights)
    {
        auto entry = *state.registry.find(EndpointId("e1"));
        entry.weights[ModelId(model)] = WeightsVersion(weights);
        state.registry.put(entry);
    }

    void request(const std::string& target, const std::string& extra = "Authorization: Bearer key\r\n", const std::string& body = "hi")
    {
        auto connected = TcpStream::connect(gateway->address(), MonotonicClock::now() + 5s);
        REQUIRE(connected);
        caller = std::move(*connected);
        received.clear();
        hasEnded = false;
        caller->setHandlers({ {}, [this](std::string_view bytes) { received += bytes; }, [this](StreamEnd, const std::string&) { hasEnded = true; } });
        caller->send("POST " + target + " HTTP/1.1\r\nHost: h.example\r\nX-Hornbeamgate-Request-Id: r1\r\n" + extra + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    void waitFor(const std::string& text)
    {
        REQUIRE(hornbeamgate::testing::runUntil([&] { return received.find(text) != std::string::npos; }));
    }
    bool has(const std::string& text) const { return received.find(text) != std::string::npos; }

    static GatewaySettings makeSettings()
    {
        GatewaySettings made;
        made.retries = { 1.0, 100, 10s };
        made.leaderLease = 3s;
        made.weightsBound = 10s;
        return made;
    }

    GatewaySettings settings = makeSettings();
    platform::PlatformWireFormat wire;
    GatewayState state { settings, wire };
    ScriptedServer first;
    ScriptedServer second;
    std::unique_ptr<HttpAcceptor> gateway;
    std::unique_ptr<TcpStream> caller;
    std::string received;
    bool hasEnded = false;
};

inline std::string responseHead(int status, const std::string& extra)
{
    return "HTTP/1.1 " + std::to_string(status) + " x\r\nX-Hornbeamgate-Request-Id: r1\r\n" + extra;
}

} // namespace hornbeamgate::gateway::testing
