#include "hornbeamgate/runtime/agent/engine_run.hpp"

#include "net/scripted_server.hpp"
#include "runtime/platform_fixture.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate;
using namespace hornbeamgate::testing;
using gateway::testing::ScriptedServer;

namespace {

/// Response without a length, so that its body ends with the connection.
constexpr const char* kUnframedHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

std::string event(int id, const std::string& data)
{
    return "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";
}

/// One run on a scripted engine.
struct RunFixture : RunSink {
    RunFixture()
    {
        settings.endpointAddress = engine.address();
        settings.pieceTimeout = std::chrono::seconds(10);
        order.id = { Incarnation(1), RequestId(1) };
        order.kind = RunKind::Completion;
        run.emplace(context, order, Incarnation(1), *this);
    }

    void sendMessage(const RunMessage& message) override
    {
        if (const auto* piece = std::get_if<RunPiece>(&message))
            pieces += piece->data;
        isComplete = isComplete || std::holds_alternative<RunCompleted>(message);
        hasFailed = hasFailed || std::holds_alternative<RunFailed>(message);
    }

    AgentSettings settings;
    Metrics metrics;
    HttpClient client;
    AgentContext context { &settings, &metrics, &client };
    RunOrder order;
    ScriptedServer engine;
    std::string pieces;
    bool isComplete = false;
    bool hasFailed = false;
    std::optional<EngineRun> run;
};

/// Result of a request to a server that sends `bytes` and then closes or resets the connection.
Result<HttpResponse, HttpError> responseTo(const std::string& bytes, bool isReset)
{
    ScriptedServer server;
    if (isReset)
        server.pauseReading();
    HttpRequester client;
    std::optional<Result<HttpResponse, HttpError>> answer;
    client.send({ "GET", server.address(), "/" }, defaultDeadline(), [&](auto result) { answer = std::move(result); });
    if (isReset)
        server.waitForUnreadData(0);
    else
        server.waitFor(0, "GET / ");
    server.send(0, bytes);
    if (isReset)
        server.drop(0);
    else
        server.finish(0);
    REQUIRE(runUntil([&] { return answer.has_value(); }));
    return *answer;
}

} // namespace

TEST_CASE("an engine's stream without a length that ends before its last event is resumed and not complete [runtime][engine]")
{
    struct Case {
        const char* name;
        std::string bytes;
        int next;
    };
    for (const auto& example : { Case { "no event", "", 0 }, Case { "inside the first event", "id: 0\ndata: a\n", 0 }, Case { "between events", event(0, "a"), 1 },
             Case { "inside an event", event(0, "a") + "id: 1\ndata: b\n", 1 }, Case { "inside the last event", event(0, "a") + event(1, "b") + event(2, "c") + "id: 3\ndata: [DONE]\n", 3 },
             Case { "after a gap", event(0, "a") + event(1, "b") + event(3, "d"), 2 }, Case { "last event after a gap", event(0, "a") + event(2, "[DONE]"), 1 },
             Case { "after an event that is too large", event(0, "a") + event(1, std::string(5242880, 'x')), 1 } }) {
        for (const bool isReset : { false, true }) {
            CAPTURE(example.name);
            CAPTURE(isReset);
            RunFixture fixture;
            if (isReset)
                fixture.engine.pauseReading();
            fixture.run->start();
            if (isReset)
                fixture.engine.waitForUnreadData(0);
            else
                fixture.engine.waitFor(0, "/v1/completions");
            fixture.engine.send(0, kUnframedHead + example.bytes);
            if (isReset) {
                // A reset may discard data that was not read yet, so it comes after the pieces.
                REQUIRE(runUntil([&] { return fixture.pieces.size() >= static_cast<std::size_t>(example.next); }));
                fixture.engine.drop(0);
            } else
                fixture.engine.finish(0);
            REQUIRE(runUntil([&] { return fixture.engine.connections() > 1 || fixture.isComplete || fixture.hasFailed; }));
            REQUIRE_FALSE(fixture.isComplete);
            REQUIRE_FALSE(fixture.hasFailed);
            if (isReset)
                fixture.engine.waitForUnreadData(1);
            else
                fixture.engine.waitFor(1, "/stream?from=" + std::to_string(example.next));
            std::string rest = kUnframedHead;
            for (int id = example.next; id < 3; ++id)
                rest += event(id, std::string(1, "abc"[id]));
            fixture.engine.send(1, rest + event(3, "[DONE]"));
            REQUIRE(runUntil([&] { return fixture.isComplete || fixture.hasFailed; }));
            CHECK(fixture.isComplete);
            CHECK(fixture.pieces == "abc");
        }
    }
}

// Guards against pieces of a run from a response that is none.
TEST_CASE("an engine's stream with an invalid head is resumed, and nothing of it is relayed [runtime][engine]")
{
    const std::string events = event(0, "x") + event(1, "[DONE]");
    for (const std::string head : { "HTTP/1.1 000 OK\r\n\r\n", "HTTP/1.1 0200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nX Name: v\r\n\r\n", "HTTP/1.1 200 OK\r\nX\x01Name: v\r\n\r\n" }) {
        CAPTURE(head);
        RunFixture fixture;
        fixture.run->start();
        fixture.engine.waitFor(0, "/v1/completions");
        fixture.engine.send(0, head + events);
        fixture.engine.finish(0);
        REQUIRE(runUntil([&] { return fixture.engine.connections() > 1 || fixture.isComplete || fixture.hasFailed; }));
        CHECK_FALSE(fixture.isComplete);
        CHECK_FALSE(fixture.hasFailed);
        CHECK(fixture.pieces.empty());
    }
}

TEST_CASE("an HTTP response that breaks off is an error, also without a length [runtime][http]")
{
    struct Case {
        std::string bytes;
        bool isReset;
        bool isComplete;
    };
    const std::string unframed = "HTTP/1.1 200 OK\r\n\r\nhalf";
    const std::string withLength = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf";
    const std::string insideChunk = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf";
    for (const auto& example : { Case { unframed, false, true }, Case { unframed, true, false }, Case { withLength, false, false }, Case { withLength, true, false }, Case { insideChunk, false, false }, Case { insideChunk, true, false } }) {
        CAPTURE(example.bytes);
        CAPTURE(example.isReset);
        const auto answer = responseTo(example.bytes, example.isReset);
        REQUIRE(answer.has_value() == example.isComplete);
        if (answer)
            CHECK(answer->body == "half");
        else
            CHECK(answer.error().sent());
    }
}

TEST_CASE("a chunked HTTP response that breaks off between chunks is an error [runtime][http]")
{
    const std::string bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";
    CHECK_FALSE(responseTo(bytes, true));
    CHECK_FALSE(responseTo(bytes, false));
}
