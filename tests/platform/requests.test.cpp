#include "platform/gateway_fixture.hpp"

#include <thread>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace hornbeamgate::gateway::testing;
using hornbeamgate::testing::runFor;
using hornbeamgate::testing::runUntil;
using namespace std::chrono_literals;

namespace {

/// Long enough that two crashes cannot be one outage.
constexpr std::chrono::milliseconds kCrashInterval { 520 };
/// Header fields of a prompt that waits for capacity.
constexpr const char* kLongPrompt = "Authorization: Bearer key\r\nX-Hornbeamgate-Prompt-Prefix: a:13000,b:3700\r\n";
constexpr const char* kSigned = "X-Hornbeamgate-Server-Signature: sig\r\n";
constexpr const char* kNotExecuted = "X-Hornbeamgate-Not-Executed: 1\r\n";
constexpr const char* kChunked = "Transfer-Encoding: chunked\r\n\r\n";
constexpr const char* kUnframed = "Content-Type: text/event-stream\r\n\r\n";
constexpr const char* kEmpty = "Content-Length: 0\r\n\r\n";

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: p\n\n";
}

std::string lastEventId(const std::string& request)
{
    constexpr std::string_view kField = "\r\nLast-Event-Id: ";
    const auto start = request.find(kField);
    if (start == std::string::npos)
        return {};
    return request.substr(start + kField.size(), request.find('\r', start + kField.size()) - start - kField.size());
}

} // namespace

// Guards against requests that run although the last workspace, and with it every key, was removed.
TEST_CASE("without workspaces every key is refused, unless the configuration allows anonymous requests [requests]")
{
    for (const bool allowsAnonymous : { false, true }) {
        GatewayFixture fixture;
        auto config = makeConfig();
        config.workspaces.clear();
        config.allowsAnonymous = allowsAnonymous;
        config.routes[1].allowsAnonymous = true;
        fixture.state.routes = std::make_shared<const RouteTable>(config);
        const auto isForwarded = [&](const std::string& path, std::size_t times) {
            return runUntil([&] { return fixture.first.countReceived("POST " + path) == times; });
        };
        std::size_t forwarded = 0;
        for (const char* key : { "", "Authorization: Bearer key\r\n", "Authorization: Bearer \r\n" }) {
            fixture.request("/booking/x", key);
            if (allowsAnonymous)
                REQUIRE(isForwarded("/booking/x", ++forwarded));
            else
                fixture.waitFor("401");
        }
        fixture.request("/read/x", "Authorization: Bearer key\r\n");
        CHECK(isForwarded("/read/x", 1));
        CHECK(fixture.first.countReceived("POST /booking/x") == forwarded);
    }
}

TEST_CASE("a response is returned with its status, body and signature [request]")
{
    GatewayFixture fixture;
    fixture.request("/booking/a?q=1");
    fixture.first.waitFor(0, "hi");
    CHECK(fixture.first.received(0).find("POST /booking/a?q=1 HTTP/1.1\r\n") == 0);
    CHECK(fixture.first.received(0).find("X-Hornbeamgate-Tenant: w\r\n") != std::string::npos);
    CHECK(fixture.first.received(0).find("Bearer") == std::string::npos);
    fixture.first.send(0, responseHead(201, std::string(kSigned) + "Content-Length: 4\r\n\r\nbody"));
    fixture.waitFor("\r\n\r\nbody");
    CHECK(fixture.has("HTTP/1.1 201 "));
    CHECK(fixture.has("X-Hornbeamgate-Server-Signature: sig"));
}

TEST_CASE("requests rejected by the configuration never reach an endpoint [request]")
{
    struct Case {
        std::string target;
        std::string fields;
        std::string status;
    };
    for (const auto& example : { Case { "/nowhere/", "Authorization: Bearer key\r\n", "404" }, Case { "/read/", "Authorization: Bearer other\r\n", "401" }, Case { "/read/", "", "401" },
             Case { "/read/", "Authorization: Bearer key\r\nX-Hornbeamgate-Request-Id: r2\r\n", "400" } }) {
        CAPTURE(example.status);
        GatewayFixture fixture;
        fixture.request(example.target, example.fields);
        fixture.waitFor("HTTP/1.1 " + example.status);
        CHECK(fixture.first.connections() == 0);
    }
    GatewayFixture unconfigured;
    unconfigured.state.routes.reset();
    unconfigured.request("/read/");
    unconfigured.waitFor("HTTP/1.1 503");
    CHECK(unconfigured.has("Retry-After: "));
}

TEST_CASE("a booking with an unknown outcome is neither retried nor reported as not executed [request]")
{
    for (const bool isReset : { false, true }) {
        GatewayFixture fixture;
        fixture.addFallback();
        fixture.request("/booking/a");
        fixture.first.waitFor(0, "hi");
        if (isReset)
            fixture.first.drop(0);
        else
            fixture.first.finish(0);
        fixture.waitFor("HTTP/1.1 502");
        CHECK(fixture.second.connections() == 0);
        CHECK_FALSE(fixture.has("Retry-After"));
    }
}

TEST_CASE("a booking that an endpoint did not execute is refused with a retry time [request]")
{
    GatewayFixture fixture;
    fixture.request("/booking/a");
    fixture.first.waitFor(0, "hi");
    fixture.first.send(0, responseHead(503, std::string(kNotExecuted) + kEmpty));
    fixture.waitFor("HTTP/1.1 503");
    CHECK(fixture.has("Retry-After: "));
}

TEST_CASE("a status that means not executed is replaced by 502 unless the endpoint confirms it [request]")
{
    for (const int status : { 503, 429, 421, 408 }) {
        CAPTURE(status);
        GatewayFixture fixture;
        fixture.request("/booking/a");
        fixture.first.waitFor(0, "hi");
        fixture.first.send(0, responseHead(status, std::string(kSigned) + kEmpty));
        fixture.waitFor("HTTP/1.1 502");
    }
}

TEST_CASE("an idempotent request is retried on another endpoint and never wrongly reported as not executed [request]")
{
    GatewayFixture fixture;
    fixture.addFallback();
    fixture.request("/read/a");
    fixture.first.waitFor(0, "hi");
    fixture.first.drop(0);
    fixture.second.waitFor(0, "hi");
    fixture.second.send(0, responseHead(200, std::string(kSigned) + "Content-Length: 2\r\n\r\nok"));
    fixture.waitFor("\r\n\r\nok");
    GatewayFixture refused;
    refused.addFallback();
    refused.request("/read/a");
    refused.first.waitFor(0, "hi");
    refused.first.drop(0);
    refused.second.waitFor(0, "hi");
    refused.second.send(0, responseHead(503, std::string(kNotExecuted) + kEmpty));
    // The first endpoint may have executed the request, so 503 would be wrong.
    refused.waitFor("HTTP/1.1 502");
}

TEST_CASE("a success response with a missing signature or a truncated body becomes 502 [request]")
{
    for (const auto& bytes : { responseHead(200, "Content-Length: 2\r\n\r\nok"), responseHead(200, std::string(kSigned) + "Content-Length: 9\r\n\r\nok") }) {
        GatewayFixture fixture;
        fixture.request("/booking/a");
        fixture.first.waitFor(0, "hi");
        fixture.first.send(0, bytes);
        fixture.first.finish(0);
        fixture.waitFor("HTTP/1.1 502");
        CHECK_FALSE(fixture.has("sig"));
    }
}

TEST_CASE("a response that does not end is given up at its size limit and becomes 502 [request]")
{
    const std::string junk(4194304, 'x');
    struct Case {
        std::string target;
        std::string start;
    };
    for (const auto& example : { Case { "/booking/a", responseHead(200, "\r\n") }, Case { "/booking/a", responseHead(500, std::string(kSigned) + "\r\n") }, Case { "/once/a", responseHead(200, std::string(kSigned) + "\r\n") } }) {
        CAPTURE(example.start);
        GatewayFixture fixture;
        fixture.request(example.target);
        fixture.first.waitFor(0, "hi");
        fixture.first.send(0, example.start + junk);
        // The scripted endpoint sends no end, so without a limit the caller would wait for the route's timeout.
        fixture.waitFor("HTTP/1.1 502");
        REQUIRE(runUntil([&] { return fixture.first.hasEnded(0); }));
    }
}

TEST_CASE("reading from an endpoint pauses while the caller does not read a large response [request]")
{
    GatewayFixture fixture;
    fixture.request("/read/a");
    fixture.caller->pauseReading(true);
    fixture.first.waitFor(0, "hi");
    fixture.first.send(0, responseHead(200, std::string(kSigned) + "\r\n"));
    // More than the socket buffers of both connections hold.
    constexpr std::size_t kBodyBytes = 67108864;
    fixture.first.send(0, std::string(kBodyBytes, 'x'));
    const auto end = MonotonicClock::now() + 1s;
    REQUIRE(runUntil([&] { return MonotonicClock::now() > end; }));
    CHECK(fixture.first.unsent(0) > kBodyBytes / 4);
    fixture.caller->pauseReading(false);
    REQUIRE(runUntil([&] { return fixture.first.unsent(0) == 0; }));
}

TEST_CASE("a stream relays complete events as they arrive and ends with the engine's stream [request]")
{
    GatewayFixture fixture;
    fixture.request("/once/a");
    fixture.first.waitFor(0, "hi");
    fixture.first.send(0, responseHead(200, std::string(kSigned) + kChunked) + chunkText(event(1) + "id: 2\n"));
    fixture.waitFor(event(1));
    CHECK_FALSE(fixture.has("id: 2"));
    fixture.first.send(0, chunkText("data: p\n\n"));
    fixture.first.send(0, kLastChunk);
    fixture.waitFor("\r\n0\r\n\r\n");
    CHECK(fixture.has(event(2)));
}

TEST_CASE("an interrupted stream resumes on another engine after the last complete event [request]")
{
    GatewayFixture fixture;
    fixture.addFallback();
    fixture.request("/stream/a");
    fixture.first.waitFor(0, "hi");
    fixture.first.send(0, responseHead(200, std::string(kSigned) + kChunked) + chunkText(event(1) + event(2) + "id: 3\nda"));
    fixture.waitFor(event(2));
    fixture.first.drop(0);
    fixture.second.waitFor(0, "hi");
    CHECK(fixture.second.received(0).find("Last-Event-Id: 2\r\n") != std::string::npos);
    fixture.second.send(0, responseHead(200, std::string(kSigned) + kChunked) + chunkText(event(3)) + std::string(kLastChunk));
    fixture.waitFor("\r\n0\r\n\r\n");
    CHECK(fixture.has(event(3)));
}

TEST_CASE("a stream that cannot be resumed is aborted without a final chunk [request]")
{
    for (const auto& bytes : { responseHead(503, std::string(kNotExecuted) + kEmpty), responseHead(500, std::string(kSigned) + kEmpty), responseHead(200, "Content-Length: 2\r\n\r\nok") }) {
        GatewayFixture fixture;
        fixture.addFallback();
        fixture.request("/stream/a");
        fixture.first.waitFor(0, "hi");
        fixture.first.send(0, responseHead(200, std::string(kSigned) + kChunked) + chunkText(event(1)));
        fixture.waitFor(event(1));
        fixture.first.drop(0);
        fixture.second.waitFor(0, "hi");
        fixture.second.send(0, bytes);
        REQUIRE(runUntil([&] { return fixture.hasEnded; }));
        CHECK_FALSE(fixture.has("\r\n0\r\n"));
    }
}

TEST_CASE("a non-resumable stream is aborted after its first event and refused before it [request]")
{
    GatewayFixture cut;
    cut.addFallback();
    cut.request("/once/a");
    cut.first.waitFor(0, "hi");
    cut.first.send(0, responseHead(200, std::string(kSigned) + kChunked) + chunkText(event(1)));
    cut.waitFor(event(1));
    cut.first.drop(0);
    REQUIRE(runUntil([&] { return cut.hasEnded; }));
    CHECK_FALSE(cut.has("\r\n0\r\n"));
    CHECK(cut.second.connections() == 0);
    GatewayFixture refused;
    refused.request("/once/a");
    refused.first.waitFor(0, "hi");
    refused.first.send(0, responseHead(200, std::string(kSigned) + kChunked) + chunkText("id: 1\n"));
    refused.first.drop(0);
    refused.waitFor("HTTP/1.1 502");
}

TEST_CASE("a resumed stream does not skip events that came together with a gap [request]")
{
    GatewayFixture fixture;
    fixture.addFallback();
    fixture.request("/stream/a");
    fixture.first.waitFor(0, "hi");
    fixture.first.send(0, responseHead(200, std::string(kSigned) + kChunked) + chunkText(event(1)));
    fixture.waitFor(event(1));
    fixture.first.send(0, chunkText(event(2) + event(3) + event(5)));
    fixture.second.waitFor(0, "hi");
    CHECK(lastEventId(fixture.second.received(0)) == "1");
    fixture.second.send(0, responseHead(200, std::string(kSigned) + kChunked) + chunkText(event(2) + event(3) + event(4)) + std::string(kLastChunk));
    fixture.waitFor("\r\n0\r\n\r\n");
    CHECK(fixture.has(event(2) + event(3) + event(4)));
}

TEST_CASE("a stream with neither a length nor chunks is relayed event by event and complete at an orderly close [request]")
{
    for (const std::string target : { "/stream/a", "/once/a" }) {
        CAPTURE(target);
        GatewayFixture fixture;
        fixture.addFallback();
        fixture.request(target);
        fixture.first.waitFor(0, "hi");
        fixture.first.send(0, responseHead(200, std::string(kSigned) + kUnframed) + event(1) + "id: 2\n");
        fixture.waitFor(event(1));
        CHECK_FALSE(fixture.has("id: 2"));
        fixture.first.send(0, "data: p\n\n");
        fixture.waitFor(event(2));
        CHECK_FALSE(fixture.has("\r\n0\r\n\r\n"));
        fixture.first.finish(0);
        fixture.waitFor("\r\n0\r\n\r\n");
        CHECK(fixture.second.connections() == 0);
    }
}

TEST_CASE("a stream that ends inside an event is resumed and not forwarded as complete [request]")
{
    for (const bool isChunked : { false, true }) {
        for (const std::string cut : { "id: 3\nda", "id: 3\ndata: p", "id: 3\ndata: p\n" }) {
            CAPTURE(isChunked);
            CAPTURE(cut);
            GatewayFixture fixture;
            fixture.addFallback();
            fixture.request("/stream/a");
            fixture.first.waitFor(0, "hi");
            const auto bytes = event(1) + event(2) + cut;
            fixture.first.send(0, responseHead(200, std::string(kSigned) + (isChunked ? kChunked + chunkText(bytes) + std::string(kLastChunk) : kUnframed + bytes)));
            fixture.first.finish(0);
            fixture.second.waitFor(0, "Last-Event-Id: 2\r\n");
            fixture.second.send(0, responseHead(200, std::string(kSigned) + kUnframed) + event(3));
            fixture.second.finish(0);
            fixture.waitFor("\r\n0\r\n\r\n");
            CHECK(fixture.received.find("id: 3") == fixture.received.find(event(3)));
            CHECK(fixture.received.find("id: 3") == fixture.received.rfind("id: 3"));
        }
    }
}

TEST_CASE("a stream that ends inside its first event is retried [request]")
{
    GatewayFixture fixture;
    fixture.addFallback();
    fixture.request("/stream/a");
    fixture.first.waitFor(0, "hi");
    fixture.first.send(0, responseHead(200, std::string(kSigned) + kUnframed) + "id: 1\ndata: p\n");
    fixture.first.finish(0);
    fixture.second.waitFor(0, "hi");
    CHECK(fixture.second.received(0).find("Last-Event-Id") == std::string::npos);
    fixture.second.send(0, responseHead(200, std::string(kSigned) + kUnframed) + event(1));
    fixture.second.finish(0);
    fixture.waitFor("\r\n0\r\n\r\n");
    CHECK(fixture.received.find("id: 1") == fixture.received.rfind("id: 1"));
}

TEST_CASE("a stream that ends inside an event and cannot be resumed is aborted, or refused before its first event [request]")
{
    for (const bool isChunked : { false, true }) {
        CAPTURE(isChunked);
        const auto stream = [&](const std::string& bytes) {
            return responseHead(200, std::string(kSigned) + (isChunked ? kChunked + chunkText(bytes) + std::string(kLastChunk) : kUnframed + bytes));
        };
        GatewayFixture cut;
        cut.addFallback();
        cut.request("/once/a");
        cut.first.waitFor(0, "hi");
        cut.first.send(0, stream(event(1) + "id: 2\ndata: p\n"));
        cut.first.finish(0);
        REQUIRE(runUntil([&] { return cut.hasEnded || cut.has("\r\n0\r\n"); }));
        CHECK(cut.has(event(1)));
        CHECK_FALSE(cut.has("id: 2"));
        CHECK_FALSE(cut.has("\r\n0\r\n"));
        CHECK(cut.second.connections() == 0);
        GatewayFixture refused;
        refused.addFallback();
        refused.request("/once/a");
        refused.first.waitFor(0, "hi");
        refused.first.send(0, stream("id: 1\ndata: p"));
        refused.first.finish(0);
        REQUIRE(runUntil([&] { return refused.has("HTTP/1.1 502") || refused.has("\r\n0\r\n"); }));
        CHECK(refused.has("HTTP/1.1 502"));
        CHECK(refused.second.connections() == 0);
    }
}

TEST_CASE("a stream without an incomplete event is complete, also without any event [request]")
{
    for (const bool isChunked : { false, true }) {
        for (const std::string bytes : { "", "\r", "\n", "\r\n", "data: p\n\n\n", "data: p\r\n\r\n\r", ": nothing yet\n\n" }) {
            const bool hasEvent = bytes.find(':') != std::string::npos;
            if (!isChunked && !hasEvent)
                continue; // see the next test
            CAPTURE(isChunked);
            CAPTURE(bytes);
            GatewayFixture fixture;
            fixture.addFallback();
            fixture.request("/stream/a");
            fixture.first.waitFor(0, "hi");
            fixture.first.send(0, responseHead(200, std::string(kSigned) + (isChunked ? kChunked + chunkText(bytes) + std::string(kLastChunk) : kUnframed + bytes)));
            fixture.first.finish(0);
            fixture.waitFor("0\r\n\r\n");
            CHECK(fixture.has("HTTP/1.1 200 "));
            CHECK(fixture.second.connections() == 0);
        }
    }
}

TEST_CASE("a stream without a length whose engine crashes before the first event is retried, not returned as empty [request]")
{
    for (const std::string bytes : { "", "\r", "id: 1\n" }) {
        CAPTURE(bytes);
        GatewayFixture fixture;
        fixture.addFallback();
        fixture.request("/stream/a");
        fixture.first.waitFor(0, "hi");
        fixture.first.send(0, responseHead(200, std::string(kSigned) + kUnframed + bytes));
        fixture.first.finish(0);
        fixture.second.waitFor(0, "hi");
        fixture.second.send(0, responseHead(200, std::string(kSigned) + kUnframed + event(1)));
        fixture.second.finish(0);
        fixture.waitFor(event(1));
        CHECK(fixture.has("HTTP/1.1 200 "));
    }
}

TEST_CASE("an error response of a streaming route is returned as it is, however its body ends [request]")
{
    GatewayFixture fixture;
    fixture.addFallback();
    fixture.request("/stream/a");
    fixture.first.waitFor(0, "hi");
    fixture.first.send(0, responseHead(404, std::string(kSigned) + "\r\n") + "data: no such model");
    fixture.first.finish(0);
    fixture.waitFor("\r\n\r\ndata: no such model");
    CHECK(fixture.has("HTTP/1.1 404 "));
    CHECK(fixture.second.connections() == 0);
}

TEST_CASE("a reset stream without a length is resumed after the last complete event [request]")
{
    for (const std::string rest : { "", "id: 2\ndata: p\n" }) {
        CAPTURE(rest);
        GatewayFixture fixture;
        fixture.addFallback();
        fixture.first.pauseReading();
        fixture.request("/stream/a");
        fixture.first.waitForUnreadData(0);
        fixture.first.send(0, responseHead(200, std::string(kSigned) + kUnframed) + event(1) + rest);
        fixture.waitFor(event(1));
        fixture.first.drop(0);
        fixture.second.waitFor(0, "Last-Event-Id: 1\r\n");
        CHECK_FALSE(fixture.has("\r\n0\r\n"));
        fixture.second.send(0, responseHead(200, std::string(kSigned) + kUnframed) + event(2));
        fixture.second.finish(0);
        fixture.waitFor("\r\n0\r\n\r\n");
        CHECK(fixture.received.find("id: 2") == fixture.received.rfind("id: 2"));
    }
}

TEST_CASE("a reset response without a length is 502, and aborted if it has begun [request]")
{
    for (const bool isLarge : { false, true }) {
        CAPTURE(isLarge);
        GatewayFixture fixture;
        fixture.first.pauseReading();
        fixture.request("/booking/a");
        fixture.first.waitForUnreadData(0);
        const std::string body(isLarge ? 1048576 : 100, 'x');
        fixture.first.send(0, responseHead(200, std::string(kSigned) + "X-Hornbeamgate-Server-Load: 5,0,8\r\n\r\n") + body);
        if (isLarge)
            REQUIRE(runUntil([&] { return fixture.received.size() > body.size(); }));
        else
            // The gateway reads head and body together, as both are sent at once.
            REQUIRE(runUntil([&] { return fixture.state.loads.load(EndpointId("e1"), MonotonicClock::now()) > 2; }));
        fixture.first.drop(0);
        REQUIRE(runUntil([&] { return fixture.hasEnded || fixture.has("HTTP/1.1 502"); }));
        CHECK(fixture.has("HTTP/1.1 200 ") == isLarge);
        CHECK_FALSE(fixture.has("\r\n0\r\n"));
    }
}

TEST_CASE("a response with neither a length nor chunks is complete at an orderly close [request]")
{
    GatewayFixture fixture;
    fixture.request("/booking/a");
    fixture.first.waitFor(0, "hi");
    fixture.first.send(0, responseHead(201, std::string(kSigned) + "\r\n") + "all of it");
    fixture.first.finish(0);
    fixture.waitFor("\r\n\r\nall of it");
    CHECK(fixture.has("HTTP/1.1 201 "));
    CHECK(fixture.has("Content-Length: 9\r\n"));
}

TEST_CASE("no body follows the head of a HEAD request on a streaming route [request]")
{
    GatewayFixture fixture;
    fixture.addFallback();
    fixture.request("/read/a");
    fixture.first.waitFor(0, "hi");
    fixture.first.send(0, responseHead(200, std::string(kSigned) + kEmpty));
    fixture.waitFor("\r\n\r\n");
    fixture.received.clear();
    fixture.caller->send("HEAD /stream/a HTTP/1.1\r\nHost: h.example\r\nX-Hornbeamgate-Request-Id: r1\r\nAuthorization: Bearer key\r\n\r\n");
    fixture.first.waitFor(0, "HEAD /stream/a");
    fixture.first.send(0, responseHead(200, std::string(kSigned) + kUnframed));
    fixture.waitFor("\r\n\r\n");
    fixture.caller->send("GET /read/b HTTP/1.1\r\nHost: h.example\r\nX-Hornbeamgate-Request-Id: r1\r\nAuthorization: Bearer key\r\n\r\n");
    fixture.first.waitFor(1, "GET /read/b");
    fixture.first.send(1, responseHead(200, std::string(kSigned) + "Content-Length: 2\r\n\r\nok"));
    fixture.waitFor("\r\n\r\nok");
    CHECK(fixture.received.find("\r\n\r\n") + 4 == fixture.received.rfind("HTTP/1.1 200 "));
}

TEST_CASE("an overdue stream moves to another engine only after being overtaken [request]")
{
    GatewayFixture fixture;
    fixture.addFallback();
    fixture.request("/hasty/a");
    fixture.first.waitFor(0, "hi");
    const auto longAfter = MonotonicClock::now() + 400ms;
    REQUIRE(runUntil([&] {
        Timer wake([] {});
        wake.set(MonotonicClock::now() + 20ms);
        g_main_context_iteration(nullptr, TRUE);
        return MonotonicClock::now() >= longAfter;
    }));
    CHECK(fixture.state.sendCount == 1);
    for (const std::uint64_t number : { 100U, 101U }) {
        fixture.state.loads.sent(EndpointId("e1"), number, 300, MonotonicClock::now());
        fixture.state.loads.answerBegan(EndpointId("e1"), number);
    }
    fixture.second.waitFor(0, "hi");
    fixture.second.send(0, responseHead(200, std::string(kSigned) + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n" + event(1)));
    fixture.waitFor(event(1));
}

TEST_CASE("a long prompt waits for capacity while requests without a long prompt are sent [request]")
{
    GatewayFixture fixture;
    fixture.state.loads.sent(EndpointId("e1"), 100, 40'000, MonotonicClock::now());
    fixture.request("/stream/a", kLongPrompt);
    REQUIRE(runUntil([&] { return fixture.state.queueOf(ServiceId("s")).size() == 1; }));
    CHECK(fixture.state.sendCount == 0);
    const auto waiting = std::move(fixture.caller);
    fixture.request("/booking/a");
    fixture.first.waitFor(0, "/booking/a");
    fixture.state.loads.answerBegan(EndpointId("e1"), 100);
    fixture.first.waitFor(1, "/stream/a");
    CHECK(fixture.state.queueOf(ServiceId("s")).size() == 0);
}

TEST_CASE("a queued prompt leaves the queue unexecuted on its deadline, on shutdown and when its caller disconnects [request]")
{
    GatewayFixture late;
    late.state.loads.sent(EndpointId("e1"), 100, 40'000, MonotonicClock::now());
    late.request("/stream/a", std::string(kLongPrompt) + "X-Hornbeamgate-Deadline-Ms: 1300\r\n");
    late.waitFor("HTTP/1.1 503");
    CHECK(late.has("Retry-After: "));
    CHECK(late.state.sendCount == 0);
    GatewayFixture ending;
    ending.state.loads.sent(EndpointId("e1"), 100, 40'000, MonotonicClock::now());
    ending.request("/stream/a", kLongPrompt);
    REQUIRE(runUntil([&] { return ending.state.queueOf(ServiceId("s")).size() == 1; }));
    ending.state.queueOf(ServiceId("s")).refuseAll();
    ending.waitFor("HTTP/1.1 503");
    GatewayFixture left;
    left.state.loads.sent(EndpointId("e1"), 100, 40'000, MonotonicClock::now());
    left.request("/stream/a", kLongPrompt);
    REQUIRE(runUntil([&] { return left.state.queueOf(ServiceId("s")).size() == 1; }));
    left.caller.reset();
    REQUIRE(runUntil([&] { return left.state.queueOf(ServiceId("s")).size() == 0; }));
    CHECK(left.state.sendCount == 0);
}

TEST_CASE("a request runs once after a queued request whose response was given up twice has ended [request]")
{
    // The second end of one send queued the request again. The forgotten queue entry outlived its request and later sent the
    // request that had taken its place in memory.
    GatewayFixture fixture;
    fixture.addFallback();
    fixture.request("/stream/a", kLongPrompt);
    fixture.first.waitFor(0, "hi");
    fixture.state.loads.sent(EndpointId("e2"), 100, 40'000, MonotonicClock::now());
    fixture.first.send(0, responseHead(200, std::string(kSigned) + kChunked) + chunkText(event(1) + event(3)));
    REQUIRE(runUntil([&] { return fixture.state.queueOf(ServiceId("s")).size() == 1; }));
    fixture.first.send(0, chunkText(event(9)));
    runFor(100ms);
    CHECK(fixture.state.queueOf(ServiceId("s")).size() == 1);
    CHECK(fixture.first.hasEnded(0));
    fixture.caller.reset();
    runFor(100ms);
    CHECK(fixture.state.queueOf(ServiceId("s")).size() == 0);
    fixture.request("/booking/a");
    fixture.state.loads.answerBegan(EndpointId("e2"), 100);
    runFor(300ms);
    CHECK(fixture.first.countReceived("POST /booking/a") + fixture.second.countReceived("POST /booking/a") == 1);
}

TEST_CASE("a queued request whose engine connection failed twice is sent to no more endpoints than its route allows [request]")
{
    GatewayFixture fixture;
    ScriptedServer third;
    fixture.addEndpoint("e2", fixture.second.address());
    fixture.addEndpoint("e3", third.address());
    fixture.state.loads.pauseUntil(EndpointId("e2"), MonotonicClock::now() + 1h);
    fixture.state.loads.pauseUntil(EndpointId("e3"), MonotonicClock::now() + 1h);
    fixture.request("/stream/a", kLongPrompt);
    fixture.first.waitFor(0, "hi");
    fixture.state.loads.sent(EndpointId("e2"), 100, 40'000, MonotonicClock::now());
    fixture.state.loads.sent(EndpointId("e3"), 101, 40'000, MonotonicClock::now());
    fixture.first.send(0, "no response of this protocol\r\n\r\n");
    REQUIRE(runUntil([&] { return fixture.state.queueOf(ServiceId("s")).size() > 0; }));
    fixture.first.drop(0);
    runFor(100ms);
    fixture.state.loads.answerBegan(EndpointId("e2"), 100);
    fixture.state.loads.answerBegan(EndpointId("e3"), 101);
    runFor(300ms);
    CHECK(fixture.second.countReceived("POST /stream/a") + third.countReceived("POST /stream/a") == 1);
    CHECK(fixture.state.sendCount == 2);
}

TEST_CASE("requests with a prompt part under which engines crash are refused unsent after three crashes [request]")
{
    const std::string key = "Authorization: Bearer key\r\n";
    const std::string deadlyPrompt = key + "X-Hornbeamgate-Prompt-Prefix: a:90,d:165,";
    for (const std::string framing : { kChunked, kUnframed }) {
        CAPTURE(framing);
        GatewayFixture fixture;
        REQUIRE(fixture.state.registry.withdraw(EndpointId("e1"), MonotonicClock::now()));
        std::vector<std::unique_ptr<ScriptedServer>> engines;
        for (int i = 0; i < 3; ++i) {
            const auto id = "crashing-" + std::to_string(i);
            engines.push_back(std::make_unique<ScriptedServer>());
            fixture.addEndpoint(id, engines.back()->address());
            fixture.request("/once/a", deadlyPrompt + "own-" + std::to_string(i) + ":70\r\n");
            engines.back()->waitFor(0, "hi");
            engines.back()->send(0, responseHead(200, kSigned + framing));
            engines.back()->finish(0);
            fixture.waitFor("HTTP/1.1 502");
            runFor(kCrashInterval);
            REQUIRE(fixture.state.registry.withdraw(EndpointId(id), MonotonicClock::now()));
        }
        fixture.addEndpoint("sound", fixture.second.address());
        fixture.request("/once/a", deadlyPrompt + "own-3:70\r\n");
        fixture.waitFor("HTTP/1.1 503");
        CHECK(fixture.has("Retry-After: "));
        CHECK(fixture.second.connections() == 0);
        CHECK(fixture.state.metrics.value(Counter::RequestsQuarantined) == 1);
        fixture.request("/once/a", key + "X-Hornbeamgate-Prompt-Prefix: a:90,own-4:70\r\n");
        fixture.second.waitFor(0, "hi");
        fixture.second.send(0, responseHead(200, std::string(kSigned) + kChunked) + chunkText(event(1)) + std::string(kLastChunk));
        fixture.waitFor("\r\n0\r\n\r\n");
    }
}

TEST_CASE("an interrupted stream resumes without waiting for prompt capacity [request]")
{
    GatewayFixture fixture;
    fixture.addFallback();
    fixture.request("/stream/a", kLongPrompt);
    fixture.first.waitFor(0, "hi");
    fixture.first.send(0, responseHead(200, std::string(kSigned) + kChunked) + chunkText(event(1)));
    fixture.waitFor(event(1));
    fixture.state.loads.sent(EndpointId("e2"), 100, 40'000, MonotonicClock::now());
    fixture.first.drop(0);
    fixture.second.waitFor(0, "Last-Event-Id: 1");
    CHECK(fixture.state.queueOf(ServiceId("s")).size() == 0);
}

TEST_CASE("a request without a timely response ends at the route's timeout and closes the engine connection [request]")
{
    GatewayFixture fixture;
    fixture.request("/brief/a");
    fixture.first.waitFor(0, "hi");
    fixture.waitFor("HTTP/1.1 504");
    REQUIRE(runUntil([&] { return fixture.first.hasEnded(0); }));
}

TEST_CASE("the engine connection is closed when the caller disconnects [request]")
{
    GatewayFixture fixture;
    fixture.request("/stream/a");
    fixture.first.waitFor(0, "hi");
    const auto left = MonotonicClock::now();
    fixture.caller.reset();
    REQUIRE(runUntil([&] { return fixture.first.hasEnded(0); }));
    CHECK(MonotonicClock::now() - left < 500ms);
}

TEST_CASE("a refused connection does not count as a send [request]")
{
    GatewayFixture fixture;
    SocketAddress closed;
    {
        ScriptedServer gone;
        closed = gone.address();
    }
    fixture.addEndpoint("e0", closed);
    fixture.state.loads.pauseUntil(EndpointId("e1"), MonotonicClock::now() + 1h);
    fixture.request("/booking/a");
    fixture.first.waitFor(0, "hi");
    fixture.first.send(0, responseHead(200, std::string(kSigned) + kEmpty));
    fixture.waitFor("HTTP/1.1 200");
}

TEST_CASE("requests over the rate are refused with a retry time, and unexecuted requests are refunded [request]")
{
    GatewayFixture fixture;
    auto limited = makeConfig();
    limited.workspaces[0].unitsPerSecond = 0.5;
    limited.workspaces[0].burst = 1;
    fixture.state.rates.setLimits(limited.workspaces, MonotonicClock::now());
    fixture.state.routes = std::make_shared<const RouteTable>(limited);
    REQUIRE(fixture.state.rates.draw(WorkspaceId("w"), 5, MonotonicClock::now()));
    fixture.request("/booking/a");
    fixture.waitFor("HTTP/1.1 429");
    CHECK(fixture.has("Retry-After: "));
    CHECK(fixture.first.connections() == 0);
    GatewayFixture refunded;
    limited.workspaces[0].unitsPerSecond = 1000;
    refunded.state.rates.setLimits(limited.workspaces, MonotonicClock::now() - 1s);
    refunded.state.routes = std::make_shared<const RouteTable>(limited);
    refunded.request("/booking/a");
    refunded.first.waitFor(0, "hi");
    refunded.first.send(0, responseHead(503, std::string(kNotExecuted) + kEmpty));
    refunded.waitFor("HTTP/1.1 503");
    CHECK(refunded.state.rates.drawn().at(WorkspaceId("w")) == 0);
}

TEST_CASE("a daemon that is shutting down refuses requests with 503 [request]")
{
    GatewayFixture fixture;
    fixture.state.isClosing = true;
    fixture.request("/booking/a");
    fixture.waitFor("HTTP/1.1 503");
    CHECK(fixture.first.connections() == 0);
}

TEST_CASE("a request whose endpoint fails as it becomes overdue is sent to one other endpoint, not to two [request]")
{
    // The timer of the first send fired for the second one.
    constexpr auto kOverdueAfter = 300ms;
    GatewayFixture fixture;
    fixture.request("/overdue/a");
    fixture.first.waitFor(0, "hi");
    ScriptedServer third;
    fixture.addEndpoint("e2", fixture.second.address());
    fixture.addEndpoint("e3", third.address());
    fixture.first.drop(0);
    // The loop does not run meanwhile, so the failure and the timer are due in the same iteration.
    std::this_thread::sleep_for(kOverdueAfter);
    REQUIRE(runUntil([&] { return fixture.state.sendCount > 1; }));
    CHECK(fixture.state.sendCount == 2);
}

TEST_CASE("a booking whose connection is established as the connect timeout expires is sent to one engine [request]")
{
    // The request was sent and then reported as not sent, because the connection's timer fired after it had been cleared.
    constexpr auto kConnectTimeout = 500ms;
    GatewayFixture fixture;
    fixture.addEndpoint("e2", fixture.second.address());
    fixture.request("/booking/a");
    REQUIRE(runUntil([&] { return fixture.state.sendCount == 1; }));
    // The loop does not run meanwhile, so the connection and the timer are due at the same time.
    std::this_thread::sleep_for(kConnectTimeout);
    runFor(100ms);
    CHECK(fixture.state.sendCount == 1);
    CHECK(fixture.first.countReceived("POST /booking/a") + fixture.second.countReceived("POST /booking/a") == 1);
}

TEST_CASE("an engine's own error or an unsigned response does not acquit the prompt part of a run [request]")
{
    const std::string prompt = "Authorization: Bearer key\r\nX-Hornbeamgate-Prompt-Prefix: a:90,d:165,";
    for (const std::string& answer : { responseHead(500, std::string(kSigned) + kEmpty), responseHead(200, kEmpty) }) {
        CAPTURE(answer);
        GatewayFixture fixture;
        REQUIRE(fixture.state.registry.withdraw(EndpointId("e1"), MonotonicClock::now()));
        std::vector<std::unique_ptr<ScriptedServer>> engines;
        for (int i = 0; i < 4; ++i) {
            engines.push_back(std::make_unique<ScriptedServer>());
            fixture.addEndpoint("engine-" + std::to_string(i), engines.back()->address());
            fixture.request("/once/a", prompt + "own-" + std::to_string(i) + ":70\r\n");
            engines.back()->waitFor(0, "hi");
            if (i == 2) {
                engines.back()->send(0, answer);
            } else {
                engines.back()->send(0, responseHead(200, std::string(kSigned) + kChunked));
                engines.back()->finish(0);
            }
            REQUIRE(runUntil([&] { return !fixture.received.empty(); }));
            runFor(kCrashInterval);
            REQUIRE(fixture.state.registry.withdraw(EndpointId("engine-" + std::to_string(i)), MonotonicClock::now()));
        }
        fixture.addEndpoint("sound", fixture.second.address());
        fixture.request("/once/a", prompt + "own-4:70\r\n");
        runFor(200ms);
        CHECK(fixture.has("HTTP/1.1 503"));
        CHECK(fixture.second.connections() == 0);
    }
}

// Guards against a refusal that says "not executed" of a request that runs.
TEST_CASE("a late second copy of a refusal is not taken for the response of the next send to the same engine [request]")
{
    GatewayFixture fixture;
    fixture.addModel("m", 1);
    fixture.request("/once/a", std::string(kLongPrompt) + "X-Hornbeamgate-Model: m\r\n");
    fixture.first.waitFor(0, "hi");
    const auto refusal = responseHead(421, std::string(kNotExecuted) + "X-Hornbeamgate-Instance-Id: e1\r\nX-Hornbeamgate-Weight-Versions: 2\r\n" + kEmpty);
    fixture.first.send(0, refusal);
    REQUIRE(runUntil([&] { return fixture.first.countReceived("\r\n\r\nhi") == 2; }));
    // The copy arrives where the engine's next response on that connection is expected.
    fixture.first.send(0, refusal);
    fixture.first.send(fixture.first.connections() - 1, responseHead(200, std::string(kSigned) + kChunked) + chunkText(event(0)) + std::string(kLastChunk));
    REQUIRE(runUntil([&] { return fixture.has("0\r\n\r\n") || fixture.has("HTTP/1.1 503"); }));
    CHECK(fixture.has("HTTP/1.1 200 "));
    CHECK(fixture.has(event(0)));
    CHECK_FALSE(fixture.has("HTTP/1.1 503"));
}

TEST_CASE("Guards against requests that wait at an engine until the bound of its weights has passed [request]")
{
    GatewayFixture fixture;
    fixture.addModel("m", 1);
    fixture.addFallback();
    auto loaded = *fixture.state.registry.find(EndpointId("e2"));
    loaded.weights[ModelId("m")] = WeightsVersion(2);
    fixture.state.registry.put(loaded);
    // The engine with old weights may still be used for a moment when the request is sent to it.
    const auto bound = fixture.settings.weightsBound;
    const auto named = MonotonicClock::now() - bound + 2200ms;
    fixture.state.weightsRollout.setTarget(ModelId("m"), WeightsVersion(2), named);
    fixture.request("/stream/a", "Authorization: Bearer key\r\nX-Hornbeamgate-Model: m\r\n");
    fixture.first.waitFor(0, "hi");
    fixture.second.waitFor(0, "hi");
    CHECK(MonotonicClock::now() < named + bound);
    REQUIRE(runUntil([&] { return fixture.first.hasEnded(0); }));
    fixture.second.send(0, responseHead(200, std::string(kSigned) + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n" + event(1)));
    fixture.waitFor(event(1));
}

TEST_CASE("a request that has begun at an engine is not called off when the bound of its weights passes [request]")
{
    GatewayFixture fixture;
    fixture.addModel("m", 1);
    const auto bound = fixture.settings.weightsBound;
    const auto named = MonotonicClock::now() - bound + 2100ms;
    fixture.state.weightsRollout.setTarget(ModelId("m"), WeightsVersion(2), named);
    fixture.request("/stream/a", "Authorization: Bearer key\r\nX-Hornbeamgate-Model: m\r\n");
    fixture.first.waitFor(0, "hi");
    fixture.first.send(0, responseHead(200, std::string(kSigned) + kChunked));
    runFor(2200ms);
    CHECK_FALSE(fixture.first.hasEnded(0));
}
