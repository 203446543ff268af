#include "hornbeamgate/runtime/net/http_call.hpp"

#include "net/scripted_server.hpp"

#include <doctest/doctest.h>

#include <thread>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace hornbeamgate::gateway::testing;
using hornbeamgate::testing::runFor;
using hornbeamgate::testing::runUntil;
using namespace std::chrono_literals;

namespace {

/// Runs one exchange and records its callbacks.
struct ExchangeRecorder {
    ExchangeRecorder(HttpConnectionPool& pool, const SocketAddress& peer, const std::string& id, MonotonicTime connectDeadline = MonotonicClock::now() + 5s, std::vector<ConnectionNumber> excluded = {})
    {
        ExchangeRequest request;
        request.peer = peer;
        request.text = "GET /" + id + " HTTP/1.1\r\nHost: h\r\n\r\n";
        request.connectDeadline = connectDeadline;
        request.excludedConnections = std::move(excluded);
        request.isMatchingResponse = [id](const HttpResponseHead& head) { return head.fields.find("Id") == id; };
        exchange = std::make_unique<HttpExchange>(pool, std::move(request),
            HttpExchange::Handlers { [this](const HttpResponseHead& head) { status = head.status; }, [this](std::string_view octets) {
                    body += octets;
                    if (pausesAtBody)
                        exchange->pauseReading(true); }, [this] { isComplete = true; },
                [this](ExchangeFailure reason, const std::string&) {
                    failure = reason;
                    ++failures;
                } });
    }

    bool hasEnded() const { return isComplete || failure; }
    void waitForEnd() const
    {
        REQUIRE(runUntil([this] { return hasEnded(); }));
    }

    bool pausesAtBody = false;
    int status = 0;
    std::string body;
    bool isComplete = false;
    std::optional<ExchangeFailure> failure;
    int failures = 0;
    std::unique_ptr<HttpExchange> exchange;
};

std::string answer(const std::string& id, const std::string& body, const std::string& extra = {})
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" + extra + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Completes an exchange "one", which leaves the server's first connection in the pool.
std::unique_ptr<ExchangeRecorder> completeFirst(HttpConnectionPool& pool, ScriptedServer& server)
{
    auto first = std::make_unique<ExchangeRecorder>(pool, server.address(), "one");
    server.waitFor(0, "/one");
    server.send(0, answer("one", "x"));
    first->waitForEnd();
    return first;
}

} // namespace

TEST_CASE("a connection is reused after a complete response [exchange]")
{
    ScriptedServer server;
    HttpConnectionPool pool;
    for (const std::string id : { "one", "two" }) {
        ExchangeRecorder recorder(pool, server.address(), id);
        server.waitFor(0, "/" + id);
        server.send(0, answer(id, "body of " + id));
        recorder.waitForEnd();
        CHECK(recorder.isComplete);
        CHECK(recorder.body == "body of " + id);
    }
    CHECK(server.connections() == 1);
    CHECK(pool.reused() == 1);
}

TEST_CASE("a request is not retried when a reused connection breaks [exchange]")
{
    ScriptedServer server;
    HttpConnectionPool pool;
    const auto first = completeFirst(pool, server);
    ExchangeRecorder second(pool, server.address(), "two");
    server.waitFor(0, "/two");
    server.drop(0);
    second.waitForEnd();
    CHECK(second.failure == ExchangeFailure::NoAnswer);
    CHECK(second.exchange->isReused());
    CHECK(server.connections() == 1);
}

TEST_CASE("a late response to an earlier request is skipped and the matching response is delivered [exchange]")
{
    ScriptedServer server;
    HttpConnectionPool pool;
    const auto first = completeFirst(pool, server);
    ExchangeRecorder second(pool, server.address(), "two");
    server.waitFor(0, "/two");
    server.send(0, answer("one", "again") + answer("two", "mine"));
    second.waitForEnd();
    CHECK(second.isComplete);
    CHECK(second.body == "mine");
}

TEST_CASE("a connection with extra data after the response is not reused [exchange]")
{
    ScriptedServer server;
    HttpConnectionPool pool;
    ExchangeRecorder first(pool, server.address(), "one");
    server.waitFor(0, "/one");
    server.send(0, answer("one", "x") + answer("one", "extra"));
    first.waitForEnd();
    CHECK(first.isComplete);
    ExchangeRecorder second(pool, server.address(), "two");
    server.waitFor(1, "/two");
    CHECK(server.received(0).find("/two") == std::string::npos);
}

TEST_CASE("a pooled connection on which unexpected data has arrived is not reused [exchange]")
{
    ScriptedServer server;
    HttpConnectionPool pool;
    const auto first = completeFirst(pool, server);
    server.send(0, answer("one", "unexpected"));
    // Lets the data arrive before the next iteration of the loop, after which the pool has been told of it.
    std::this_thread::sleep_for(50ms);
    g_main_context_iteration(nullptr, FALSE);
    CHECK_FALSE(pool.take(server.address(), MonotonicClock::now()));
}

TEST_CASE("data received after the end of an exchange does not reach its destroyed owner [exchange]")
{
    // Guards against a use after free: the response closes the connection, the owner of the exchange is destroyed, and
    // then more data arrives on the connection.
    ScriptedServer server;
    HttpConnectionPool pool;
    auto recorder = std::make_unique<ExchangeRecorder>(pool, server.address(), "one");
    server.waitFor(0, "/one");
    server.send(0, answer("one", "x", "Connection: close\r\n"));
    REQUIRE(runUntil([&] { return recorder->hasEnded(); }));
    REQUIRE(recorder->isComplete);
    recorder.reset();
    server.send(0, "unexpected data");
    server.finish(0);
    REQUIRE(runUntil([&] { return server.hasEnded(0); }));
}

TEST_CASE("a truncated or malformed response is reported as a failure [exchange]")
{
    struct Case {
        std::string octets;
        bool isReset;
        ExchangeFailure failure;
    };
    const std::vector<Case> cases {
        { "HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 10\r\n\r\nhalf", false, ExchangeFailure::BrokenAnswer },
        { "HTTP/1.1 200 OK\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false, ExchangeFailure::BrokenAnswer },
        { "HTTP/1.1 200 OK\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\nzzz\r\n", false, ExchangeFailure::BrokenAnswer },
        { "HTTP/1.1 200 OK\r\nId: one\r\n\r\nunframed", true, ExchangeFailure::BrokenAnswer },
        { "\x01\x02 no HTTP\r\n\r\n", false, ExchangeFailure::MalformedAnswer },
        { "", false, ExchangeFailure::NoAnswer },
    };
    for (const auto& example : cases) {
        CAPTURE(example.octets);
        ScriptedServer server;
        if (example.isReset)
            server.pauseReading();
        HttpConnectionPool pool;
        ExchangeRecorder recorder(pool, server.address(), "one");
        if (example.isReset)
            server.waitForUnreadData(0);
        else
            server.waitFor(0, "/one");
        server.send(0, example.octets);
        if (example.isReset) {
            REQUIRE(runUntil([&] { return !recorder.body.empty(); }));
            server.drop(0);
        } else
            server.finish(0);
        recorder.waitForEnd();
        CHECK(recorder.failure == example.failure);
        CHECK_FALSE(recorder.isComplete);
    }
}

TEST_CASE("a malformed response fails once and closes the connection, which its end does not report again [exchange]")
{
    ScriptedServer server;
    HttpConnectionPool pool;
    ExchangeRecorder recorder(pool, server.address(), "one");
    server.waitFor(0, "/one");
    server.send(0, "no response of this protocol\r\n\r\n");
    recorder.waitForEnd();
    CHECK(recorder.failure == ExchangeFailure::MalformedAnswer);
    server.finish(0);
    runFor(50ms);
    CHECK(recorder.failures == 1);
    CHECK(server.hasEnded(0));
}

TEST_CASE("a response without a length is complete after an orderly close [exchange]")
{
    ScriptedServer server;
    HttpConnectionPool pool;
    ExchangeRecorder recorder(pool, server.address(), "one");
    server.waitFor(0, "/one");
    server.send(0, "HTTP/1.1 200 OK\r\nId: one\r\n\r\nall of it");
    server.finish(0);
    recorder.waitForEnd();
    CHECK(recorder.isComplete);
    CHECK(recorder.body == "all of it");
}

TEST_CASE("a refused connection is reported as NotSent [exchange]")
{
    SocketAddress closed;
    {
        ScriptedServer server;
        closed = server.address();
    }
    HttpConnectionPool pool;
    ExchangeRecorder recorder(pool, closed, "one");
    recorder.waitForEnd();
    CHECK(recorder.failure == ExchangeFailure::NotSent);
}

TEST_CASE("destroying an exchange closes its connection immediately [exchange]")
{
    ScriptedServer server;
    HttpConnectionPool pool;
    ExchangeRecorder recorder(pool, server.address(), "one");
    server.waitFor(0, "/one");
    const auto began = MonotonicClock::now();
    recorder.exchange.reset();
    REQUIRE(runUntil([&] { return server.hasEnded(0); }));
    CHECK(MonotonicClock::now() - began < 500ms);
}

TEST_CASE("a connection that breaks on reuse shortens the trusted idle time of its peer [exchange]")
{
    ScriptedServer server;
    HttpConnectionPool pool;
    const auto now = MonotonicClock::now();
    auto connect = [&] {
        auto stream = TcpStream::connect(server.address(), now + 5s);
        REQUIRE(stream);
        const auto count = server.connections();
        auto isConnected = false;
        (*stream)->setHandlers({ [&] { isConnected = true; }, [](std::string_view) {}, [](StreamEnd, const std::string&) {} });
        REQUIRE(runUntil([&] { return isConnected && server.connections() > count; }));
        return std::move(*stream);
    };
    pool.put(server.address(), { connect(), pool.recordOpened() }, now + 1h, now);
    CHECK(pool.take(server.address(), now + 400ms));
    pool.recordFailedReuse(server.address(), 400ms);
    pool.put(server.address(), { connect(), pool.recordOpened() }, now + 1h, now);
    CHECK_FALSE(pool.take(server.address(), now + 300ms));
    pool.put(server.address(), { connect(), pool.recordOpened() }, now + 1h, now);
    CHECK(pool.take(server.address(), now + 150ms));
}

TEST_CASE("a call without a response fails at its deadline and reports once [exchange]")
{
    ScriptedServer server;
    HttpConnectionPool pool;
    HttpCalls calls(pool);
    int reports = 0;
    std::optional<Result<HttpResponse, NetError>> result;
    calls.start(server.address(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n", CallLimits::until(MonotonicClock::now() + 50ms), [&](Result<HttpResponse, NetError> answered) {
        ++reports;
        result = std::move(answered);
    });
    REQUIRE(runUntil([&] { return reports > 0; }));
    CHECK_FALSE(*result);
    server.send(0, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(runUntil([&] { return server.hasEnded(0); }));
    CHECK(reports == 1);
}

TEST_CASE("a call whose response arrives in parts is given up once the peer falls silent, and completed otherwise [exchange]")
{
    constexpr auto kSilence = 120ms;
    for (const bool isComplete : { true, false }) {
        ScriptedServer server;
        HttpConnectionPool pool;
        HttpCalls calls(pool);
        std::optional<Result<HttpResponse, NetError>> result;
        const auto start = MonotonicClock::now();
        calls.start(server.address(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n", { start + 1h, start + kSilence, kSilence }, [&](Result<HttpResponse, NetError> answered) { result = std::move(answered); });
        server.waitFor(0, "GET /");
        server.send(0, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n");
        for (int part = 0; part < (isComplete ? 6 : 5); ++part) {
            runFor(kSilence / 3);
            server.send(0, "x");
        }
        REQUIRE(runUntil([&] { return result.has_value(); }));
        CHECK(result->has_value() == isComplete);
        CHECK(MonotonicClock::now() - start > kSilence);
    }
}

TEST_CASE("a call whose response does not end is given up at its size limit, long before its deadline [exchange]")
{
    ScriptedServer server;
    HttpConnectionPool pool;
    HttpCalls calls(pool);
    std::optional<Result<HttpResponse, NetError>> result;
    calls.start(server.address(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n", CallLimits::until(MonotonicClock::now() + 1h), [&](Result<HttpResponse, NetError> answered) { result = std::move(answered); });
    server.waitFor(0, "GET /");
    server.send(0, "HTTP/1.1 200 OK\r\n\r\n");
    const std::string junk(1048576, 'x');
    for (std::size_t sent = 0; sent <= CallLimits::kMaxBodyBytes; sent += junk.size())
        server.send(0, junk);
    REQUIRE(runUntil([&] { return result.has_value(); }));
    CHECK_FALSE(*result);
    REQUIRE(runUntil([&] { return server.hasEnded(0); }));
}

TEST_CASE("a head that does not end is given up at its size limit [exchange]")
{
    for (const char* start : { "HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nX-Junk: ", "HTTP/1.1 200 OK\r\n", "junk" }) {
        ScriptedServer server;
        HttpConnectionPool pool;
        ExchangeRecorder exchange(pool, server.address(), "1");
        server.waitFor(0, "GET /1");
        server.send(0, start);
        std::string junk;
        while (junk.size() < 1048576)
            junk += std::string_view(start).ends_with("OK\r\n") ? "A: b\r\n" : "junk";
        server.send(0, junk);
        exchange.waitForEnd();
        CHECK(exchange.failure == ExchangeFailure::MalformedAnswer);
    }
}

// Guards against a late second copy of a response that is taken for the response to the same request, sent again.
TEST_CASE("a request is not sent over an excluded connection, which stays in the pool for others [exchange]")
{
    ScriptedServer server;
    HttpConnectionPool pool;
    const auto first = completeFirst(pool, server);
    const auto used = first->exchange->connection();
    REQUIRE(used);
    ExchangeRecorder again(pool, server.address(), "one", MonotonicClock::now() + 5s, { *used });
    server.waitFor(1, "/one");
    CHECK_FALSE(again.exchange->isReused());
    CHECK(again.exchange->connection() != used);
    ExchangeRecorder other(pool, server.address(), "two");
    server.waitFor(0, "/two");
    CHECK(other.exchange->connection() == used);
    server.send(0, answer("one", "x") + answer("two", "y"));
    server.send(1, answer("one", "z"));
    other.waitForEnd();
    again.waitForEnd();
    CHECK(other.body == "y");
    CHECK(again.body == "z");
    CHECK(pool.skippedResponses() == 1);
}

TEST_CASE("of several idle connections the most recently used one that is not excluded is taken [exchange]")
{
    ScriptedServer server;
    HttpConnectionPool pool;
    std::vector<std::unique_ptr<ExchangeRecorder>> recorders;
    for (int i = 0; i < 3; ++i) {
        recorders.push_back(std::make_unique<ExchangeRecorder>(pool, server.address(), std::to_string(i)));
        server.waitFor(static_cast<std::size_t>(i), "/" + std::to_string(i));
    }
    std::vector<ConnectionNumber> numbers;
    for (int i = 0; i < 3; ++i) {
        server.send(static_cast<std::size_t>(i), answer(std::to_string(i), "x"));
        recorders[static_cast<std::size_t>(i)]->waitForEnd();
        numbers.push_back(*recorders[static_cast<std::size_t>(i)]->exchange->connection());
    }
    const auto now = MonotonicClock::now();
    const std::vector excluded { numbers[2], numbers[0] };
    CHECK(pool.take(server.address(), now, excluded)->number == numbers[1]);
    CHECK_FALSE(pool.take(server.address(), now, excluded));
    CHECK(pool.take(server.address(), now)->number == numbers[2]);
}

// Guards against a response that is never read because reading was paused for an earlier one on its connection.
TEST_CASE("a response is read on a connection whose earlier response was paused until its end [exchange]")
{
    ScriptedServer server;
    HttpConnectionPool pool;
    ExchangeRecorder slow(pool, server.address(), "one");
    slow.pausesAtBody = true;
    server.waitFor(0, "/one");
    server.send(0, answer("one", "x"));
    slow.waitForEnd();
    REQUIRE(slow.isComplete);
    ExchangeRecorder next(pool, server.address(), "two");
    server.waitFor(0, "/two");
    server.send(0, answer("two", "y"));
    next.waitForEnd();
    CHECK(next.body == "y");
}

// Guards against a second copy of a large body while it waits for a slow engine, and against bytes lost or out of order.
TEST_CASE("a shared body is sent whole behind its head without a copy, also when the server reads late [exchange]")
{
    constexpr std::size_t kLargeBody = 8388608;
    for (const std::size_t size : { std::size_t { 5 }, kLargeBody }) {
        std::string content(size, 'x');
        for (std::size_t i = 0; i < size; ++i)
            content[i] = static_cast<char>('a' + i % 26);
        const auto body = std::make_shared<const std::string>(content + "end of the body");
        ScriptedServer server;
        HttpConnectionPool pool;
        ExchangeRequest request;
        request.peer = server.address();
        request.text = "POST / HTTP/1.1\r\n\r\n";
        request.sharedBody = body;
        request.connectDeadline = MonotonicClock::now() + 5s;
        const HttpExchange exchange(pool, std::move(request), { [](const HttpResponseHead&) {}, [](std::string_view) {}, [] {}, [](ExchangeFailure, const std::string&) {} });
        REQUIRE(runUntil([&] { return server.connections() == 1; }));
        CHECK(exchange.heldBytes() < 65536);
        server.waitFor(0, "end of the body");
        CHECK(server.received(0) == "POST / HTTP/1.1\r\n\r\n" + *body);
        // Once it is sent, only the owner still holds the body.
        CHECK(body.use_count() == 1);
    }
}
