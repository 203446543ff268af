#include "platform/store_standin.hpp"
#include "untrusted_clients/crowd.hpp"
#include "untrusted_clients/gateway_process.hpp"
#include "untrusted_clients/scripted_engine.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate;
using namespace hornbeamgate::testing;
using namespace std::chrono_literals;

namespace {

constexpr int kMostRoutes = 10000;
constexpr std::size_t kHeadSize = 16384;
constexpr std::size_t kBodySize = 4194304;
/// Bytes of lines that, with the fixed part of a head, stay just under the head limit of 16,384 bytes.
constexpr std::size_t kLegalLines = 16000;
/// Bytes of a head or trailer that stops just short of the 80 KB at which every version of the gateway gives up.
constexpr std::size_t kLongLines = 78000;
/// A crowd has done what it can when nothing has moved for this long. Only the length of the test depends on it.
constexpr auto kQuietTime = 700ms;

std::string head(const std::string& path, const std::string& fields)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Hornbeamgate-Request-Id: r1\r\n" + fields;
}

std::string route(const std::string& path, const std::string& kind)
{
    return R"({"name":")" + path + R"(","host":"h.example","path-prefix":"/)" + path + R"(/","kind":")" + kind
        + R"(","timeout-ms":30000,"service":"s","public":true,"max-attempts":1})";
}

/// The gateway with its store and one engine. Timeouts are longer than a case, so that only the limits end a connection.
struct Machine {
    /// The configuration has `furtherRoutes` besides those that the crowds use.
    explicit Machine(int furtherRoutes = 0)
    {
        std::string routes;
        for (int i = 0; i < furtherRoutes; ++i)
            routes += route("further-" + std::to_string(i), "safe") + ',';
        for (const auto* path : { "ordinary", "large", "endless-head", "endless-body", "silent" })
            routes += route(path, "safe") + ',';
        store.append("keyed.op", "config", R"({"version":1,"routes":[)" + routes + route("stream", "streaming") + R"(],"services":[{"name":"s"}],)"
                                                                                                                  R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":60000,"idle-timeout-ms":60000}})");
        store.append("keyed.servers", "e1", R"({"service":"s","zone":"z","slots":4096,"state":"ready","address":")" + engine.address().text() + "\"}");
        REQUIRE(isAnswered());
    }

    /// Sends one request over its own connection and returns the start of what arrives in response.
    std::string responseTo(const std::string& request) const
    {
        std::string received;
        bool hasEnded = false;
        auto stream = gateway::TcpStream::connect(gateway.callers(), MonotonicClock::now() + kHangLimit);
        REQUIRE(stream);
        (*stream)->setHandlers({ {}, [&](std::string_view octets) { received += octets; }, [&](gateway::StreamEnd, const std::string&) { hasEnded = true; } });
        (*stream)->send(request);
        runUntil([&] { return hasEnded || received.find("\r\n\r\n") != std::string::npos; });
        return received;
    }

    /// Sends an ordinary request, again after a refusal, until it is answered. Returns false when that takes too long.
    bool isAnswered() const
    {
        const auto limit = MonotonicClock::now() + kHangLimit;
        while (MonotonicClock::now() < limit && gateway.isRunning()) {
            if (responseTo(head("/ordinary/", "Content-Length: 2\r\n\r\nhi")).starts_with("HTTP/1.1 200 "))
                return true;
            runFor(20ms);
        }
        return false;
    }

    /// Runs the crowd until it has sent everything or nothing moves any more, then checks what must hold for every crowd.
    void withstand(Crowd& crowd)
    {
        const auto limit = MonotonicClock::now() + kHangLimit;
        auto lastMove = MonotonicClock::now();
        std::size_t descriptors = 0;
        while (MonotonicClock::now() < limit && MonotonicClock::now() < lastMove + kQuietTime) {
            if (crowd.advance())
                lastMove = MonotonicClock::now();
            while (g_main_context_iteration(nullptr, FALSE)) { }
            descriptors = std::max(descriptors, gateway.openDescriptors());
        }
        CHECK(isAnswered());
        CHECK(gateway.isRunning());
        CHECK(gateway.peakMegabytes() < kMachineMegabytes);
        CHECK(std::max(descriptors, gateway.openDescriptors()) < kMachineDescriptors);
        MESSAGE("peak " << gateway.peakMegabytes() << " MB, " << descriptors << " descriptors");
    }

    gateway::testing::StoreStandIn store;
    ScriptedEngine engine;
    GatewayProcess gateway { store.address() };
};

/// Head lines that take much more memory parsed than sent, and lines of which little counts against the limit if only
/// names and values are counted.
struct HeadCrowd {
    ClientScript shortLines { head("/ordinary/", repeated("a:\r\n", kLegalLines)) };
    ClientScript oddLines { head("/ordinary/", repeated("a: \t \r\n", kLongLines)) };
    ClientScript longHead { head("/ordinary/", repeated("a:\r\n", kLongLines)) };
    ClientScript longNames { head("/ordinary/", repeated("abcdefghijklmnop:\r\n", kLegalLines)) };
    ClientScript waiting { head("/silent/", repeated("a:\r\n", kLegalLines) + "Content-Length: 0\r\n\r\n") };

    void join(Crowd& crowd, const SocketAddress& server) const
    {
        for (const auto* script : { &shortLines, &oddLines, &longHead, &longNames, &waiting })
            crowd.add(server, 80, *script);
    }
};

struct BodyCrowd {
    ClientScript whole { head("/ordinary/", "Content-Length: 4194304\r\n\r\n"), std::string(65536, 'x'), kBodySize / 65536 - 1, std::string(65535, 'x') };
    ClientScript inPieces { whole.prefix, whole.unit, whole.repeats, whole.suffix, true, 8000 };
    ClientScript complete { whole.prefix, whole.unit, kBodySize / 65536 };

    void join(Crowd& crowd, const SocketAddress& server) const
    {
        crowd.add(server, 30, whole);
        crowd.add(server, 30, inPieces);
        crowd.add(server, 10, complete);
    }
};

/// Sends all crowds to an address that serves GET requests for `path`.
void withstandAllCrowds(Machine& machine, const SocketAddress& server, const std::string& path)
{
    const HeadCrowd heads;
    const BodyCrowd bodies;
    const ClientScript silent {};
    const ClientScript unread { {}, "GET " + path + " HTTP/1.1\r\n\r\n", 5000, {}, false };
    Crowd crowd;
    heads.join(crowd, server);
    bodies.join(crowd, server);
    crowd.add(server, 50, unread);
    crowd.add(server, 100, silent);
    machine.withstand(crowd);
}

} // namespace

// Guards against limits that are lower than those of one request.
TEST_CASE("single requests at the limits are served under a configuration of 10,000 routes [untrusted]")
{
    const Machine machine(kMostRoutes);
    const std::string chunked = head("/ordinary/", "Transfer-Encoding: chunked\r\n\r\n");
    auto largestHead = head("/ordinary/", repeated("a:\r\n", kLegalLines) + "b:");
    const std::string end = "\r\nContent-Length: 0\r\n\r\n";
    largestHead += std::string(kHeadSize - largestHead.size() - end.size(), 'x') + end;
    CHECK(largestHead.size() == kHeadSize);
    for (const auto& request : { largestHead, head("/ordinary/", "Content-Length: 4194304\r\n\r\n") + std::string(kBodySize, 'x'),
             chunked + "400000\r\n" + std::string(kBodySize, 'x') + "\r\n0\r\n\r\n", chunked + repeated("1\r\nx\r\n", 6 * kBodySize) + "0\r\na: b\r\n\r\n" }) {
        CAPTURE(request.size());
        CHECK(machine.responseTo(request).starts_with("HTTP/1.1 200 "));
    }
    CHECK(machine.gateway.peakMegabytes() < kMachineMegabytes);
    MESSAGE("peak " << machine.gateway.peakMegabytes() << " MB");
}

TEST_CASE("heads of very many short or odd lines do not exhaust the memory [untrusted]")
{
    Machine machine;
    const HeadCrowd heads;
    Crowd crowd;
    heads.join(crowd, machine.gateway.callers());
    machine.withstand(crowd);
}

TEST_CASE("large bodies that stop just short of their end do not exhaust the memory [untrusted]")
{
    Machine machine;
    const BodyCrowd bodies;
    Crowd crowd;
    bodies.join(crowd, machine.gateway.callers());
    machine.withstand(crowd);
}

TEST_CASE("chunked bodies in one-byte chunks that stop just short of their end do not exhaust the memory [untrusted]")
{
    Machine machine;
    const std::string chunks = repeated("1\r\nx\r\n", 65536);
    const ClientScript script { head("/ordinary/", "Transfer-Encoding: chunked\r\n\r\n"), chunks, (kBodySize - 65536) / (chunks.size() / 6) };
    Crowd crowd;
    crowd.add(machine.gateway.callers(), 30, script);
    machine.withstand(crowd);
}

TEST_CASE("chunked bodies in very large chunks that stop just short of their end do not exhaust the memory [untrusted]")
{
    Machine machine;
    const ClientScript script { head("/ordinary/", "Transfer-Encoding: chunked\r\n\r\n400000\r\n"), std::string(65536, 'x'), kBodySize / 65536 - 1 };
    Crowd crowd;
    crowd.add(machine.gateway.callers(), 60, script);
    machine.withstand(crowd);
}

TEST_CASE("chunk extensions and trailers do not exhaust the memory [untrusted]")
{
    Machine machine;
    const std::string start = head("/ordinary/", "Transfer-Encoding: chunked\r\n\r\n");
    const ClientScript extension { start + "1;" + std::string(kLongLines, 'e') };
    const ClientScript extensions { start, "1;" + std::string(kLongLines, 'e') + "\r\nx\r\n", 20 };
    const ClientScript trailer { start + "1\r\nx\r\n0\r\n" + repeated("a:\r\n", kLongLines) };
    Crowd crowd;
    crowd.add(machine.gateway.callers(), 50, extension);
    crowd.add(machine.gateway.callers(), 50, extensions);
    crowd.add(machine.gateway.callers(), 150, trailer);
    machine.withstand(crowd);
}

TEST_CASE("thousands of pipelined requests do not exhaust the memory [untrusted]")
{
    Machine machine;
    const std::string request = head("/ordinary/", "Content-Length: 0\r\n\r\n");
    const ClientScript unread { {}, request, 5000, {}, false };
    const ClientScript behindWaiting { head("/silent/", "Content-Length: 0\r\n\r\n"), request, 5000 };
    Crowd crowd;
    crowd.add(machine.gateway.callers(), 50, unread);
    crowd.add(machine.gateway.callers(), 400, behindWaiting);
    machine.withstand(crowd);
}

TEST_CASE("callers that read nothing of large responses do not exhaust the memory [untrusted]")
{
    Machine machine;
    const ClientScript script { head("/large/", "Content-Length: 0\r\n\r\n"), {}, 0, {}, false };
    Crowd crowd;
    crowd.add(machine.gateway.callers(), 400, script);
    machine.withstand(crowd);
}

TEST_CASE("connections that send nothing do not exhaust the descriptors [untrusted]")
{
    Machine machine;
    const ClientScript script {};
    Crowd crowd;
    crowd.add(machine.gateway.callers(), 700, script);
    machine.withstand(crowd);
}

TEST_CASE("heads that never end do not exhaust the memory [untrusted]")
{
    Machine machine;
    const ClientScript lines { head("/ordinary/", {}), repeated("a:\r\n", 65536), 100 };
    const ClientScript oneLine { head("/ordinary/", "a: "), std::string(65536, 'x'), 100 };
    const ClientScript emptyLines { {}, repeated("\r\n", 65536), 100 };
    Crowd crowd;
    for (const auto* script : { &lines, &oneLine, &emptyLines })
        crowd.add(machine.gateway.callers(), 100, *script);
    machine.withstand(crowd);
}

TEST_CASE("crowds at the admin address do not exhaust the memory or the descriptors [untrusted]")
{
    Machine machine;
    withstandAllCrowds(machine, machine.gateway.admin(), "/metrics");
}

TEST_CASE("crowds at the address for other gateways do not exhaust the memory or the descriptors [untrusted]")
{
    Machine machine;
    withstandAllCrowds(machine, machine.gateway.peers(), "/records/1/0");
}

TEST_CASE("engines whose response heads never end do not exhaust the memory [untrusted]")
{
    Machine machine;
    const ClientScript script { head("/endless-head/", "Content-Length: 0\r\n\r\n") };
    Crowd crowd;
    crowd.add(machine.gateway.callers(), 100, script);
    machine.withstand(crowd);
}

TEST_CASE("engines whose response bodies never end do not exhaust the memory [untrusted]")
{
    Machine machine;
    const ClientScript body { head("/endless-body/", "Content-Length: 0\r\n\r\n"), {}, 0, {}, false };
    const ClientScript event { head("/stream/", "Content-Length: 0\r\n\r\n"), {}, 0, {}, false };
    Crowd crowd;
    crowd.add(machine.gateway.callers(), 200, body);
    crowd.add(machine.gateway.callers(), 200, event);
    machine.withstand(crowd);
}
