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
