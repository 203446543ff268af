#include "hornbeamgate/runtime/net/http_call.hpp"
#include "hornbeamgate/runtime/net/http_server_connection.hpp"

#include "net/resetting_server.hpp"
#include "net/scripted_server.hpp"

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace hornbeamgate::gateway::testing;
using hornbeamgate::testing::runFor;
using hornbeamgate::testing::runUntil;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kLargestUpload = HttpServerLimits().maxBodyBytes;
const std::string kPartOfResponse = "HTTP/1.1 200 OK\r\n\r\npart of the response";

/// Exchange with a request of `size` octets.
struct Upload {
    Upload(const SocketAddress& server, std::size_t size)
    {
        ExchangeRequest request;
        request.peer = server;
        request.text = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n";
        request.sharedBody = std::make_shared<const std::string>(size, 'x');
        request.connectDeadline = MonotonicClock::now() + 5s;
        exchange = std::make_unique<HttpExchange>(pool, std::move(request),
            HttpExchange::Handlers { [](const HttpResponseHead&) {}, [this](std::string_view octets) { body += octets; }, [this] { isComplete = true; },
                [this](ExchangeFailure kind, const std::string& detail) {
                    failure = kind;
                    reason = detail;
                } });
    }

    void waitForEnd() const
    {
        REQUIRE(runUntil([this] { return isComplete || failure; }));
    }

    HttpConnectionPool pool;
    bool isComplete = false;
    std::string body;
    std::optional<ExchangeFailure> failure;
    std::string reason;
    std::unique_ptr<HttpExchange> exchange;
};

bool isSocketError(const std::string& reason)
{
    return reason.starts_with("send: ") || reason.starts_with("recv: ");
}

} // namespace

// Guards against part of a response that is taken for all of it: the failure to send takes the error of the connection, after
// which reading reports an orderly end.
TEST_CASE("a response without a length is not complete when the connection is reset during the upload [exchange]")
{
    for (const std::size_t size : { std::size_t { 2 }, std::size_t { 16384 }, std::size_t { 262144 }, std::size_t { 1048576 }, kLargestUpload }) {
        for (const auto delay : { 0ms, 1ms, 20ms, 200ms, 1000ms }) {
            for (const auto how : { ConnectionReset::Abort, ConnectionReset::CloseUnread }) {
                CAPTURE(size);
                CAPTURE(delay.count());
                CAPTURE(toString(how));
                const ResettingServer server({ kPartOfResponse, how, delay });
                const Upload upload(server.address(), size);
                upload.waitForEnd();
                CHECK_FALSE(upload.isComplete);
                CHECK(upload.failure != ExchangeFailure::NotSent);
                CHECK(isSocketError(upload.reason));
            }
        }
    }
}

TEST_CASE("a call whose connection is reset while its request is sent reports an error [exchange]")
{
    for (const auto delay : { 0ms, 20ms, 200ms }) {
        CAPTURE(delay.count());
        const ResettingServer server({ kPartOfResponse, ConnectionReset::Abort, delay });
        HttpConnectionPool pool;
        HttpCalls calls(pool);
        std::optional<Result<HttpResponse, NetError>> result;
        const auto head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(kLargestUpload) + "\r\n\r\n";
        calls.start(server.address(), head + std::string(kLargestUpload, 'x'), CallLimits::until(MonotonicClock::now() + 10s), [&](auto response) { result = std::move(response); });
        REQUIRE(runUntil([&] { return result.has_value(); }));
        CHECK_FALSE(*result);
    }
}

TEST_CASE("a response without a length is not complete when the server closes its side and then resets the upload [exchange]")
{
    // The smaller uploads fit into the buffers of the client's socket, but not into those of the server's.
    for (const std::size_t size : { std::size_t { 262144 }, std::size_t { 1048576 }, kLargestUpload }) {
        for (const auto delay : { 0ms, 1ms, 20ms, 200ms, 1000ms }) {
            CAPTURE(size);
            CAPTURE(delay.count());
            const ResettingServer server({ kPartOfResponse, ConnectionReset::FinishThenAbort, delay });
            const Upload upload(server.address(), size);
            upload.waitForEnd();
            CHECK_FALSE(upload.isComplete);
            CHECK(upload.failure != ExchangeFailure::NotSent);
            CHECK(isSocketError(upload.reason));
        }
    }
}

TEST_CASE("a response without a length is complete when the server closes its side and then reads the rest of the upload [exchange]")
{
    for (const std::size_t size : { std::size_t { 1048576 }, kLargestUpload }) {
        CAPTURE(size);
        ScriptedServer server;
        server.pauseReading();
        const Upload upload(server.address(), size);
        server.waitForUnreadData(0);
        server.send(0, "HTTP/1.1 200 OK\r\n\r\nall of it");
        server.finish(0);
        runFor(50ms);
        CHECK_FALSE(upload.isComplete);
        server.resumeReading(0);
        upload.waitForEnd();
        CHECK(upload.isComplete);
        CHECK(upload.body == "all of it");
    }
}

// Guards against a wait for a request that no response can come of.
TEST_CASE("a server that closes its side before the end of a response fails the exchange at once [exchange]")
{
    for (const std::string start : { "", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n" }) {
        CAPTURE(start);
        ScriptedServer server;
        server.pauseReading();
        const Upload upload(server.address(), kLargestUpload);
        server.waitForUnreadData(0);
        server.send(0, start);
        server.finish(0);
        const auto began = MonotonicClock::now();
        upload.waitForEnd();
        CHECK(upload.failure == (start.empty() ? ExchangeFailure::NoAnswer : ExchangeFailure::BrokenAnswer));
        CHECK(MonotonicClock::now() - began < 500ms);
    }
}
