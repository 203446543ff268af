#include "hornbeamgate/runtime/agent/engine_dispatcher.hpp"

#include "hornbeamgate/runtime/http/http_server.hpp"
#include "hornbeamgate/runtime/link/link_pool.hpp"
#include "hornbeamgate/runtime/link/link_server.hpp"
#include "runtime/loop_support.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace hornbeamgate;
using hornbeamgate::testing::runFor;
using hornbeamgate::testing::runUntil;
using namespace std::chrono_literals;

namespace {

const SocketAddress kAnyPort { "127.0.0.1", 0 };
const Incarnation kEngineIncarnation { 7 };

/// Engine whose runs never end and whose streams start with one event.
struct FakeEngine {
    FakeEngine()
    {
        auto created = HttpServer::create(kAnyPort, 65536, [this](std::unique_ptr<HttpExchange> exchange) { handle(std::move(exchange)); });
        REQUIRE(created);
        server = std::move(*created);
    }

    void handle(std::unique_ptr<HttpExchange> exchange)
    {
        if (exchange->method() == "DELETE") {
            ++cancellations;
            exchange->answer(200, "text/plain", "");
            return;
        }
        if (exchange->method() == "GET")
            ++resumptions;
        exchange->startStream("text/event-stream");
        exchange->write(exchange->method() == "GET" ? "id: 1\ndata: b\n\n" : "id: 0\ndata: a\n\n");
        streams.push_back(std::move(exchange));
    }

    int cancellations = 0;
    int resumptions = 0;
    std::vector<std::unique_ptr<HttpExchange>> streams;
    std::unique_ptr<HttpServer> server;
};

/// Agent of the fake engine.
struct Agent {
    Agent()
    {
        settings.endpointAddress = engine.server->address();
        settings.slots = 4;
        settings.pieceTimeout = 60s;
        context = { &settings, &metrics, &client };
        auto createdIndex = EngineIndex::create({});
        REQUIRE(createdIndex);
        index.emplace(std::move(*createdIndex));
        index->handle(EngineIdentified { kEngineIncarnation, { { ModelId("m"), WeightsVersion(1) } } });
        auto createdDispatcher = EngineDispatcher::create(context, *index);
        REQUIRE(createdDispatcher);
        dispatcher = std::move(*createdDispatcher);
        dispatcher->setEngine(kEngineIncarnation);
        auto createdServer = LinkServer::create(kAnyPort);
        REQUIRE(createdServer);
        server = std::move(*createdServer);
        server->addStreamHandler("/run", [this](std::unique_ptr<LinkStream> stream, const HostId&) { dispatcher->add(std::move(stream)); });
    }

    FakeEngine engine;
    AgentSettings settings;
    Metrics metrics;
    HttpClient client;
    AgentContext context;
    std::optional<EngineIndex> index;
    std::unique_ptr<EngineDispatcher> dispatcher;
    std::unique_ptr<LinkServer> server;
};

/// Stream of an entry daemon that orders a run or resumes it.
struct Caller : LinkStreamObserver {
    Caller(LinkPool& pool, const SocketAddress& agent, std::uint64_t resumeFrom)
        : stream(pool.openStream(agent, "/run"))
    {
        stream->setObserver(this);
        RunOrder order;
        order.id = { Incarnation(3), RequestId(1) };
        order.model = ModelId("m");
        order.weights = WeightsVersion(1);
        order.resumeFrom = resumeFrom;
        stream->send(encodeRunOrder(order));
        stream->finish();
    }

    void messageReceived(BytesView message) override
    {
        const auto decoded = decodeRunMessage(message);
        REQUIRE(decoded);
        if (std::holds_alternative<RunPiece>(*decoded))
            ++pieces;
    }
    void streamFinished() override { }
    void streamFailed(const LinkError&) override { }

    std::unique_ptr<LinkStream> stream;
    int pieces = 0;
};

} // namespace

TEST_CASE("a resumed run is not cancelled when the loss of its earlier connection is noticed later [runtime][agent]")
{
    Agent agent;
    auto lost = std::make_unique<LinkPool>(HostId("front-1"));
    const Caller first(*lost, agent.server->address(), 0);
    REQUIRE(runUntil([&] { return first.pieces == 1; }));
    auto next = std::make_unique<LinkPool>(HostId("front-1"));
    const Caller second(*next, agent.server->address(), 1);
    REQUIRE(runUntil([&] { return second.pieces == 1; }));
    CHECK(agent.engine.resumptions == 1);
    lost.reset();
    REQUIRE(runUntil([&] { return agent.dispatcher->activeRuns() == 1; }));
    runFor(4500ms);
    CHECK(agent.engine.cancellations == 0);
    // Once the stream that resumed the run is lost too, nobody reads the run any more.
    next.reset();
    REQUIRE(runUntil([&] { return agent.dispatcher->activeRuns() == 0; }));
    CHECK(agent.dispatcher->dump()["abandoned"] == 1);
    // Ended runs are destroyed by the main loop, before the agent that they refer to.
    runFor(50ms);
}
