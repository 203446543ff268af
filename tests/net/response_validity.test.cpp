#include "hornbeamgate/runtime/net/http_call.hpp"

#include "net/response_samples.hpp"
#include "net/scripted_server.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace hornbeamgate::gateway::testing;
using hornbeamgate::testing::runUntil;
using namespace std::chrono_literals;

namespace {

struct Outcome {
    bool isComplete = false;
    std::string body;
};

/// Parses a response that arrives in pieces of `step` octets, followed by the end of the connection.
Outcome parse(const std::string& octets, std::size_t step)
{
    Outcome outcome;
    const auto parser = HttpParser::forResponses({}, { {}, [](const HttpResponseHead&) {}, [&](std::string_view body) { outcome.body += body; }, [&] { outcome.isComplete = true; } });
    for (std::size_t at = 0; at < octets.size() && !outcome.isComplete; at += step) {
        std::string_view piece = std::string_view(octets).substr(at, step);
        while (!piece.empty() && !outcome.isComplete) {
            const auto taken = parser->feed(piece);
            if (!taken)
                return outcome;
            piece.remove_prefix(*taken);
        }
    }
    if (!outcome.isComplete)
        outcome.isComplete = parser->finish() && outcome.isComplete;
    return outcome;
}

void checkRejected(const std::vector<ResponseSample>& samples)
{
    for (const auto& sample : samples) {
        CAPTURE(sample.name);
        CAPTURE(sample.octets);
        for (std::size_t step = 1; step <= sample.octets.size(); ++step)
            CHECK_FALSE(parse(sample.octets, step).isComplete);
    }
}

/// Response that an exchange reports when a server sends `octets` and closes its side of the connection.
Outcome exchange(const std::string& octets)
{
    ScriptedServer server;
    HttpConnectionPool pool;
    ExchangeRequest request;
    request.peer = server.address();
    request.text = "GET /one HTTP/1.1\r\nHost: h\r\n\r\n";
    request.connectDeadline = MonotonicClock::now() + 5s;
    Outcome outcome;
    bool hasFailed = false;
    const HttpExchange running(pool, std::move(request),
        { [](const HttpResponseHead&) {}, [&](std::string_view body) { outcome.body += body; }, [&] { outcome.isComplete = true; },
            [&](ExchangeFailure, const std::string&) { hasFailed = true; } });
    server.waitFor(0, "/one");
    server.send(0, octets);
    server.finish(0);
    REQUIRE(runUntil([&] { return outcome.isComplete || hasFailed; }));
    return outcome;
}

} // namespace

TEST_CASE("a response with an invalid status line is not a response [http]")
{
    checkRejected(invalidStatusLines());
}

TEST_CASE("a response with an invalid line in its head or trailer is not a response [http]")
{
    checkRejected(invalidLines());
}

TEST_CASE("a response with invalid framing is not complete [http]")
{
    checkRejected(invalidFraming());
}

TEST_CASE("valid responses of unusual form are read, however they are split [http]")
{
    for (const auto& sample : validResponses()) {
        CAPTURE(sample.name);
        for (std::size_t step = 1; step <= sample.octets.size(); ++step) {
            const auto outcome = parse(sample.octets, step);
            CHECK(outcome.isComplete);
            CHECK(outcome.body == sample.body);
        }
    }
}

TEST_CASE("an exchange reports no invalid response as complete [exchange]")
{
    for (const auto& samples : { invalidStatusLines(), invalidLines(), invalidFraming() }) {
        for (const auto& sample : samples) {
            CAPTURE(sample.name);
            CHECK_FALSE(exchange(sample.octets).isComplete);
        }
    }
    for (const auto& sample : validResponses()) {
        CAPTURE(sample.name);
        const auto outcome = exchange(sample.octets);
        CHECK(outcome.isComplete);
        CHECK(outcome.body == sample.body);
    }
}

TEST_CASE("a call reports an invalid response as an error [exchange]")
{
    for (const auto& samples : { invalidStatusLines(), invalidLines(), invalidFraming() }) {
        for (const auto& sample : samples) {
            CAPTURE(sample.name);
            ScriptedServer server;
            HttpConnectionPool pool;
            HttpCalls calls(pool);
            std::optional<Result<HttpResponse, NetError>> result;
            calls.start(server.address(), "GET /one HTTP/1.1\r\nHost: h\r\n\r\n", CallLimits::until(MonotonicClock::now() + 10s), [&](auto response) { result = std::move(response); });
            server.waitFor(0, "/one");
            server.send(0, sample.octets);
            server.finish(0);
            REQUIRE(runUntil([&] { return result.has_value(); }));
            CHECK_FALSE(*result);
        }
    }
}
