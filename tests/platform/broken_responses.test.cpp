#include "net/resetting_server.hpp"
#include "net/response_samples.hpp"
#include "platform/gateway_fixture.hpp"

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace hornbeamgate::gateway::testing;
using hornbeamgate::testing::runUntil;
using namespace std::chrono_literals;

namespace {

/// Adds the fields that the gateway expects of an endpoint's response to the last head in `octets`, if there is one.
std::string signedBy(const std::string& octets)
{
    constexpr std::string_view kLineEnd = "\r\n";
    const auto head = octets.rfind("HTTP/1.");
    const auto start = octets.find(kLineEnd, head == std::string::npos ? 0 : head) + kLineEnd.size();
    // A line that begins with a blank would continue the line before it.
    const bool isContinuation = octets[start] == ' ' || octets[start] == '\t';
    const auto at = isContinuation ? octets.find(kLineEnd, start) + kLineEnd.size() : start;
    return std::string(octets).insert(at, "X-Hornbeamgate-Request-Id: r1\r\nX-Hornbeamgate-Server-Signature: sig\r\n");
}

void respondWith(GatewayFixture& fixture, const std::string& octets)
{
    fixture.first.waitFor(0, "hi");
    fixture.first.send(0, octets);
    fixture.first.finish(0);
}

/// Checks that callers get nothing of a response: an error in its place, or the response of another endpoint.
void checkReplaced(const std::vector<ResponseSample>& samples)
{
    for (const auto& sample : samples) {
        CAPTURE(sample.name);
        const auto octets = signedBy(sample.octets);
        GatewayFixture booking;
        booking.request("/booking/a");
        respondWith(booking, octets);
        REQUIRE(runUntil([&] { return booking.has("\r\n\r\n"); }));
        CHECK(booking.received.starts_with("HTTP/1.1 502 "));
        CHECK_FALSE(booking.has("sig"));
        CHECK_FALSE(booking.has("body"));
        for (const char* target : { "/read/a", "/stream/a" }) {
            CAPTURE(target);
            GatewayFixture retried;
            retried.addFallback();
            retried.request(target);
            respondWith(retried, octets);
            REQUIRE(runUntil([&] { return retried.second.connections() == 1 || retried.has("\r\n\r\n"); }));
            REQUIRE(retried.received.empty());
            retried.second.waitFor(0, "hi");
            retried.second.send(0, signedBy("HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\nid: 1\ndata: good\n\n"));
            retried.waitFor("data: good\n\n");
            CHECK(retried.received.starts_with("HTTP/1.1 200 "));
            CHECK_FALSE(retried.has("body"));
        }
    }
}

} // namespace

// Guards against a status of 000 that reached callers, and against other status lines that are none.
TEST_CASE("a response with an invalid status line is replaced [request]")
{
    checkReplaced(invalidStatusLines());
}

// Guards against lines that reached callers, and against bodies that began in the middle of the head.
TEST_CASE("a response with an invalid line in its head is replaced [request]")
{
    checkReplaced(invalidLines());
}

// Guards against bodies that are cut off, joined with their framing or still coded.
TEST_CASE("a response with invalid framing is replaced [request]")
{
    checkReplaced(invalidFraming());
}

// Guards against part of a response that reached callers as all of it.
TEST_CASE("a response without a length whose connection is reset during the upload is replaced [request]")
{
    constexpr const char* kAuthorization = "Authorization: Bearer key\r\n";
    const auto part = signedBy("HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: part\n\n");
    for (const std::size_t size : { std::size_t { 2 }, std::size_t { 65536 }, std::size_t { 1048576 }, HttpServerLimits().maxBodyBytes }) {
        for (const auto delay : { 0ms, 20ms, 300ms }) {
            for (const auto how : { ConnectionReset::Abort, ConnectionReset::CloseUnread }) {
                CAPTURE(size);
                CAPTURE(delay.count());
                CAPTURE(toString(how));
                const ResettingServer engine({ part, how, delay });
                GatewayFixture booking;
                booking.addEndpoint("e1", engine.address());
                booking.request("/booking/a", kAuthorization, std::string(size, 'x'));
                REQUIRE(runUntil([&] { return booking.has("\r\n\r\n"); }));
                CHECK(booking.received.starts_with("HTTP/1.1 502 "));
                CHECK_FALSE(booking.has("part"));
                GatewayFixture read;
                read.addFallback();
                read.addEndpoint("e1", engine.address());
                read.request("/read/a", kAuthorization, std::string(size, 'x'));
                REQUIRE(runUntil([&] { return read.second.connections() == 1 || read.has("\r\n\r\n"); }));
                REQUIRE(read.received.empty());
                read.second.waitFor(0, std::string(size, 'x'));
                read.second.send(0, signedBy("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"));
                read.waitFor("\r\n\r\nwhole");
                GatewayFixture stream;
                stream.addEndpoint("e1", engine.address());
                stream.request("/once/a", kAuthorization, std::string(size, 'x'));
                REQUIRE(runUntil([&] { return stream.hasEnded || stream.has("\r\n0\r\n") || stream.has("HTTP/1.1 502 "); }));
                CHECK_FALSE(stream.has("\r\n0\r\n"));
            }
        }
    }
}
