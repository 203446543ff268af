#include "hornbeamgate/runtime/net/http_acceptor.hpp"

#include "runtime/loop_support.hpp"

#include <doctest/doctest.h>

#include <thread>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using hornbeamgate::testing::runFor;
using hornbeamgate::testing::runUntil;
using namespace std::chrono_literals;

namespace {

/// Client that sends raw data and records the response.
struct Client {
    explicit Client(const SocketAddress& server)
    {
        auto connected = TcpStream::connect(server, MonotonicClock::now() + 5s);
        REQUIRE(connected);
        stream = std::move(*connected);
        stream->setHandlers({ {}, [this](std::string_view octets) { received += octets; }, [this](StreamEnd, const std::string&) { hasEnded = true; } });
    }

    void waitFor(const std::string& text)
    {
        REQUIRE(runUntil([&] { return received.find(text) != std::string::npos; }));
    }
    void waitForEnd()
    {
        REQUIRE(runUntil([&] { return hasEnded; }));
    }

    std::unique_ptr<TcpStream> stream;
    std::string received;
    bool hasEnded = false;
};

/// Server that answers each request with more bytes than the socket buffers of both sides hold, and records what becomes of
/// its responses.
struct LargeResponseServer {
    explicit LargeResponseServer(HttpServerLimits limits = {}, bool isClosing = false)
    {
        auto created = HttpAcceptor::create({ "127.0.0.1", 0 }, { [this](HttpServerConnection& connection, const HttpRequestMessage&) { return std::make_unique<Handler>(*this, connection); }, [limits] { return limits; }, [isClosing] { return isClosing; } });
        REQUIRE(created);
        acceptor = std::move(*created);
    }

    struct Handler : HttpRequestHandler {
        Handler(LargeResponseServer& ofServer, HttpServerConnection& ofConnection)
            : server(ofServer)
            , connection(ofConnection)
        {
        }
        void start() override { connection.answer(200, {}, std::string(kBodyBytes, 'x')); }
        void clientDisconnected() override { }
        void responseSent() override { ++server.sentResponses; }
        void responseCutOff(std::size_t unsent, std::string_view) override { server.cutOffBytes += unsent; }

        LargeResponseServer& server;
        HttpServerConnection& connection;
    };

    static constexpr std::size_t kBodyBytes = 33554432;
    int sentResponses = 0;
    std::size_t cutOffBytes = 0;
    std::unique_ptr<HttpAcceptor> acceptor;
};

/// Reads in steps of a socket buffer, with a pause after each, until the response is complete.
void readInSteps(Client& client, std::chrono::milliseconds pause, std::size_t steps)
{
    for (std::size_t i = 0; i < steps; ++i) {
        client.stream->pauseReading(true);
        runFor(pause);
        const auto before = client.received.size();
        client.stream->pauseReading(false);
        REQUIRE(runUntil([&] { return client.received.size() >= before + 1048576 || client.hasEnded; }));
    }
}

/// Handler that leaves its request without a response.
struct PendingRequest : HttpRequestHandler {
    PendingRequest(bool& hasDisconnected)
        : m_hasDisconnected(hasDisconnected)
    {
    }
    void start() override { }
    void clientDisconnected() override { m_hasDisconnected = true; }

private:
    bool& m_hasDisconnected;
};

/// Server whose last request the test answers.
struct ManualServer {
    ManualServer()
    {
        auto created = HttpAcceptor::create({ "127.0.0.1", 0 }, { [this](HttpServerConnection& accepted, const HttpRequestMessage&) -> std::unique_ptr<HttpRequestHandler> {
                                                                     connection = &accepted;
                                                                     return std::make_unique<PendingRequest>(hasDisconnected);
                                                                 },
                                                                    {}, {} });
        REQUIRE(created);
        acceptor = std::move(*created);
    }

    bool hasDisconnected = false;
    HttpServerConnection* connection = nullptr;
    std::unique_ptr<HttpAcceptor> acceptor;
};

std::unique_ptr<HttpAcceptor> echoServer(HttpServerLimits limits = {})
{
    auto acceptor = HttpAcceptor::create({ "127.0.0.1", 0 }, { respondImmediately([](const HttpRequestMessage& message) -> HttpSimpleResponse {
                                                                  return { 200, "text/plain", message.head.target + '|' + message.body };
                                                              }),
                                                                 [limits] { return limits; }, {} });
    REQUIRE(acceptor);
    return std::move(*acceptor);
}

} // namespace

TEST_CASE("pipelined requests are answered in order [server]")
{
    const auto server = echoServer();
    Client client(server->address());
    client.stream->send("POST /one HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nxGET /two HTTP/1.1\r\nHost: h\r\n\r\nGET /three HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    client.waitForEnd();
    const auto one = client.received.find("/one|x");
    const auto two = client.received.find("/two|");
    const auto three = client.received.find("/three|");
    CHECK(one < two);
    CHECK(two < three);
    CHECK(three != std::string::npos);
}

TEST_CASE("malformed or oversized requests are rejected and the connection is closed [server]")
{
    for (const auto& [octets, status] : { std::pair<std::string, std::string>("nonsense\r\n\r\n", "400"), { "GET / HTTP/1.1\r\nX: " + std::string(3000, 'a') + "\r\n\r\n", "431" },
             { "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3000\r\n\r\n" + std::string(3000, 'a'), "413" } }) {
        const auto& expected = status;
        CAPTURE(expected);
        const auto server = echoServer({ 2000, 2000, 3000ms, 15000ms });
        Client client(server->address());
        client.stream->send(octets);
        client.waitFor("HTTP/1.1 " + status);
        client.waitForEnd();
    }
}

TEST_CASE("an incomplete head times out with status 408 and an idle connection is closed [server]")
{
    const auto server = echoServer({ 2000, 2000, 50ms, 50ms });
    Client slow(server->address());
    slow.stream->send("GET / HTTP/1.1\r\nHo");
    slow.waitFor("HTTP/1.1 408");
    Client idle(server->address());
    idle.waitForEnd();
    CHECK(idle.received.empty());
}

TEST_CASE("a request that arrives as the idle timeout expires keeps its connection [server]")
{
    constexpr auto kIdleTimeout = 300ms;
    bool hasDisconnected = false;
    HttpServerConnection* connection = nullptr;
    auto acceptor = HttpAcceptor::create({ "127.0.0.1", 0 }, { [&](HttpServerConnection& accepted, const HttpRequestMessage&) -> std::unique_ptr<HttpRequestHandler> {
                                                                  connection = &accepted;
                                                                  return std::make_unique<PendingRequest>(hasDisconnected);
                                                              },
                                                                 [kIdleTimeout] { return HttpServerLimits { 2000, 2000, 3000ms, kIdleTimeout }; }, {} });
    REQUIRE(acceptor);
    Client client((*acceptor)->address());
    REQUIRE(runUntil([&] { return (*acceptor)->connections() == 1 && client.stream->isConnected(); }));
    client.stream->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    // The loop does not run meanwhile, so the request and the timeout are due at the same time.
    std::this_thread::sleep_for(kIdleTimeout);
    REQUIRE(runUntil([&] { return connection != nullptr; }));
    runFor(50ms);
    REQUIRE((*acceptor)->busyConnections() == 1);
    connection->answer(200, {}, "done");
    client.waitFor("done");
}

TEST_CASE("a client disconnect is detected while its request is in progress [server]")
{
    bool hasDisconnected = false;
    bool hasRequest = false;
    auto acceptor = HttpAcceptor::create({ "127.0.0.1", 0 }, { [&](HttpServerConnection&, const HttpRequestMessage&) -> std::unique_ptr<HttpRequestHandler> {
                                                                  hasRequest = true;
                                                                  return std::make_unique<PendingRequest>(hasDisconnected);
                                                              },
                                                                 {}, {} });
    REQUIRE(acceptor);
    auto client = std::make_unique<Client>((*acceptor)->address());
    client->stream->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(runUntil([&] { return hasRequest; }));
    client.reset();
    REQUIRE(runUntil([&] { return hasDisconnected; }));
    REQUIRE(runUntil([&] { return (*acceptor)->connections() == 0; }));
}

TEST_CASE("draining closes only connections without a request in progress [server]")
{
    bool hasDisconnected = false;
    std::vector<HttpServerConnection*> busy;
    auto acceptor = HttpAcceptor::create({ "127.0.0.1", 0 }, { [&](HttpServerConnection& connection, const HttpRequestMessage&) -> std::unique_ptr<HttpRequestHandler> {
                                                                  busy.push_back(&connection);
                                                                  return std::make_unique<PendingRequest>(hasDisconnected);
                                                              },
                                                                 {}, [] { return true; } });
    REQUIRE(acceptor);
    Client working((*acceptor)->address());
    working.stream->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    Client idle((*acceptor)->address());
    REQUIRE(runUntil([&] { return !busy.empty() && (*acceptor)->connections() == 2; }));
    CHECK((*acceptor)->busyConnections() == 1);
    (*acceptor)->closeIdleConnections();
    idle.waitForEnd();
    CHECK_FALSE(working.hasEnded);
    busy.front()->answer(200, {}, "done");
    working.waitForEnd();
    CHECK(working.received.find("Connection: close") != std::string::npos);
    CHECK(working.received.ends_with("done"));
}

TEST_CASE("an aborted response does not appear complete to the client [server]")
{
    ManualServer server;
    auto& connection = server.connection;
    Client client(server.acceptor->address());
    client.stream->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(runUntil([&] { return connection != nullptr; }));
    connection->beginResponse(200, {});
    connection->sendChunk("part");
    client.waitFor("part");
    connection->abort();
    client.waitForEnd();
    CHECK(client.received.find("\r\n0\r\n") == std::string::npos);
}

// Guards against a planned stop that cuts off answers to slow callers.
TEST_CASE("a connection is busy until its response is sent to a slow client, and is not closed before [server]")
{
    LargeResponseServer server({}, true);
    Client client(server.acceptor->address());
    client.stream->pauseReading(true);
    client.stream->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(runUntil([&] { return server.acceptor->connections() == 1; }));
    // Longer than a client has to close its side after its response was sent.
    runFor(1200ms);
    CHECK(server.acceptor->busyConnections() == 1);
    server.acceptor->closeIdleConnections();
    client.stream->pauseReading(false);
    client.waitForEnd();
    CHECK(client.received.size() > LargeResponseServer::kBodyBytes);
    CHECK(server.acceptor->busyConnections() == 0);
    CHECK(server.sentResponses == 1);
    CHECK(server.cutOffBytes == 0);
}

TEST_CASE("the idle timeout begins when a response is sent, so a slow client gets all of it [server]")
{
    constexpr auto kIdleTimeout = 200ms;
    LargeResponseServer server({ .idleTimeout = kIdleTimeout });
    Client client(server.acceptor->address());
    client.stream->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    readInSteps(client, 80ms, 8);
    REQUIRE(runUntil([&] { return client.received.size() > LargeResponseServer::kBodyBytes || client.hasEnded; }));
    CHECK_FALSE(client.hasEnded);
    client.stream->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(runUntil([&] { return client.received.size() > 2 * LargeResponseServer::kBodyBytes; }));
}

TEST_CASE("a client that reads nothing of its response for the idle timeout is disconnected, and the handler is told [server]")
{
    constexpr auto kIdleTimeout = 200ms;
    LargeResponseServer server({ .idleTimeout = kIdleTimeout });
    Client client(server.acceptor->address());
    client.stream->pauseReading(true);
    client.stream->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(runUntil([&] { return server.acceptor->busyConnections() == 1; }));
    const auto start = MonotonicClock::now();
    REQUIRE(runUntil([&] { return server.acceptor->connections() == 0; }));
    CHECK(MonotonicClock::now() - start < 4 * kIdleTimeout);
    CHECK(server.sentResponses == 0);
    CHECK(server.cutOffBytes > LargeResponseServer::kBodyBytes / 2);
}

TEST_CASE("a client that leaves while a part of its response waits is reported as cut off, once [server]")
{
    LargeResponseServer server;
    auto client = std::make_unique<Client>(server.acceptor->address());
    client->stream->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    client->waitFor("xxxx");
    client.reset();
    REQUIRE(runUntil([&] { return server.acceptor->connections() == 0; }));
    const auto cutOff = server.cutOffBytes;
    CHECK(cutOff > 0);
    server.acceptor->reportCutOffResponses("the process ends");
    CHECK(server.cutOffBytes == cutOff);
}

TEST_CASE("pipelined requests behind a response that a slow client does not read wait for it [server]")
{
    LargeResponseServer server;
    Client client(server.acceptor->address());
    client.stream->pauseReading(true);
    client.stream->send("GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n");
    runFor(200ms);
    CHECK(server.acceptor->busyConnections() == 1);
    client.stream->pauseReading(false);
    REQUIRE(runUntil([&] { return client.received.size() > 2 * LargeResponseServer::kBodyBytes; }));
    REQUIRE(runUntil([&] { return server.acceptor->busyConnections() == 0; }));
}

// Guards against bytes that belong to no response, such as a last chunk after a response without a body.
TEST_CASE("the next response on a connection follows a response without a body at once [server]")
{
    struct Case {
        std::string method;
        int status;
        bool isBuffered;
    };
    std::vector<Case> cases;
    for (const std::string method : { "GET", "HEAD" }) {
        for (const int status : { 200, 204, 205, 304, 404 }) {
            cases.push_back({ method, status, true });
            cases.push_back({ method, status, false });
        }
    }
    for (const auto& example : cases) {
        CAPTURE(example.method);
        CAPTURE(example.status);
        CAPTURE(example.isBuffered);
        ManualServer server;
        auto& connection = server.connection;
        std::vector<int> statuses;
        auto parser = HttpParser::forResponses({}, { {}, [&](const HttpResponseHead& head) { statuses.push_back(head.status); }, [](std::string_view) {}, [] {} });
        Client client(server.acceptor->address());
        for (const bool isFirst : { true, false }) {
            connection = nullptr;
            client.received.clear();
            client.stream->send((isFirst ? example.method : "GET") + " / HTTP/1.1\r\nHost: h\r\n\r\n");
            REQUIRE(runUntil([&] { return connection != nullptr; }));
            if (!isFirst)
                connection->answer(299, {}, "next");
            else if (example.isBuffered)
                connection->answer(example.status, {}, {});
            else {
                connection->beginResponse(example.status, {});
                connection->sendChunk({});
                connection->finishResponse();
            }
            if (isFirst) {
                client.waitFor("\r\n\r\n");
                runFor(5ms);
                // The parser would read a chunked body after any status.
                const bool isBodyless = example.method == "HEAD" || example.status == 204 || example.status == 304;
                CHECK((!isBodyless || client.received.find("\r\n\r\n") + 4 == client.received.size()));
            } else
                client.waitFor("next");
            parser->expectNoBody(isFirst && example.method == "HEAD");
            const auto taken = parser->feed(client.received);
            REQUIRE(taken);
            CHECK(*taken == client.received.size());
        }
        CHECK(statuses == std::vector { example.status, 299 });
    }
}
