#include "hornbeamgate/runtime/agent/service_dispatcher.hpp"

#include "hornbeamgate/runtime/http/http_server.hpp"
#include "hornbeamgate/runtime/link/link_pool.hpp"
#include "hornbeamgate/runtime/link/link_server.hpp"
#include "net/scripted_server.hpp"
#include "runtime/platform_fixture.hpp"

#include <nlohmann/json.hpp>

using namespace hornbeamgate;
using namespace hornbeamgate::testing;
using namespace std::chrono_literals;

namespace {

const SocketAddress kAnyPort { "127.0.0.1", 0 };

/// Service whose calls the test answers.
struct FakeService {
    FakeService()
    {
        auto created = HttpServer::create(kAnyPort, 65536, [this](std::unique_ptr<HttpExchange> exchange) { calls.push_back(std::move(exchange)); });
        REQUIRE(created);
        server = std::move(*created);
    }

    std::vector<std::unique_ptr<HttpExchange>> calls;
    std::unique_ptr<HttpServer> server;
};

/// Agent of the fake service.
struct Agent {
    explicit Agent(const ServiceTimeouts& timeouts)
    {
        settings.kind = EndpointKind::Service;
        settings.service = ServiceId("tickets");
        settings.endpointAddress = service.server->address();
        settings.common.platform.log = platform.address();
        auto createdDispatcher = ServiceDispatcher::create({ &settings, &metrics, &client }, WriterId(5), timeouts);
        REQUIRE(createdDispatcher);
        dispatcher = std::move(*createdDispatcher);
        auto createdServer = LinkServer::create(kAnyPort);
        REQUIRE(createdServer);
        server = std::move(*createdServer);
        server->addStreamHandler("/run", [this](std::unique_ptr<LinkStream> stream, const HostId&) { dispatcher->add(std::move(stream)); });
    }

    Platform platform;
    FakeService service;
    AgentSettings settings;
    Metrics metrics;
    HttpClient client;
    std::unique_ptr<ServiceDispatcher> dispatcher;
    std::unique_ptr<LinkServer> server;
    LinkPool links { HostId("front-1") };
};

/// Stream of an entry daemon that orders the booking with the key `k`.
struct Caller : LinkStreamObserver {
    explicit Caller(Agent& agent)
        : stream(agent.links.openStream(agent.server->address(), "/run"))
    {
        stream->setObserver(this);
        RunOrder order;
        order.id = { Incarnation(3), RequestId(1) };
        order.kind = RunKind::ServiceCall;
        order.service = ServiceId("tickets");
        order.idempotent = false;
        order.method = "POST";
        order.path = "/book";
        order.idempotencyKey = "k";
        stream->send(encodeRunOrder(order));
        stream->finish();
    }

    void messageReceived(BytesView message) override
    {
        auto decoded = decodeRunMessage(message);
        REQUIRE(decoded);
        answer = std::move(*decoded);
    }
    void streamFinished() override { }
    void streamFailed(const LinkError&) override { }

    std::unique_ptr<LinkStream> stream;
    std::optional<RunMessage> answer;
};

} // namespace

TEST_CASE("a booking that is still running when its caller's time is over keeps its result for the next caller [runtime][agent]")
{
    Agent agent({ 10s, 3s });
    const Caller first(agent);
    REQUIRE(runUntil([&] { return agent.service.calls.size() == 1; }));
    REQUIRE(runUntil([&] { return first.answer.has_value(); }));
    REQUIRE(std::holds_alternative<RunFailed>(*first.answer));
    CHECK(std::get<RunFailed>(*first.answer).error == RunError::InProgress);
    CHECK(agent.dispatcher->activeRuns() == 1);
    agent.service.calls.front()->answer(200, "text/plain", "booked");
    REQUIRE(runUntil([&] { return agent.dispatcher->activeRuns() == 0; }));
    const Caller second(agent);
    REQUIRE(runUntil([&] { return second.answer.has_value(); }));
    REQUIRE(std::holds_alternative<ServiceResponse>(*second.answer));
    CHECK(std::get<ServiceResponse>(*second.answer).body == "booked");
    CHECK(agent.service.calls.size() == 1);
    // Ended calls are destroyed by the main loop, before the agent that they refer to.
    runFor(50ms);
}

// Guards against a booking that is recorded with an answer that its service did not give.
TEST_CASE("a booking whose service sends an invalid response has an unknown outcome [runtime][agent]")
{
    for (const std::string response : { "HTTP/1.1 000 OK\r\nContent-Length: 6\r\n\r\nbooked", "HTTP/1.1 200 OK\r\nX Name: v\r\nContent-Length: 6\r\n\r\nbooked",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nbooked\r\n" }) {
        CAPTURE(response);
        Agent agent({ 10s, 3s });
        gateway::testing::ScriptedServer service;
        agent.settings.endpointAddress = service.address();
        const Caller caller(agent);
        service.waitFor(0, "/book");
        service.send(0, response);
        service.finish(0);
        REQUIRE(runUntil([&] { return caller.answer.has_value(); }));
        REQUIRE(std::holds_alternative<RunFailed>(*caller.answer));
        CHECK(std::get<RunFailed>(*caller.answer).error == RunError::OutcomeUnknown);
        runFor(50ms);
    }
}
