#include "net/resetting_server.hpp"
#include "net/response_samples.hpp"
#include "net/scripted_server.hpp"
#include "runtime/platform_fixture.hpp"

using namespace hornbeamgate;
using namespace hornbeamgate::gateway::testing;
using namespace hornbeamgate::testing;
using namespace std::chrono_literals;

namespace {

/// Result of a request to a server that sends `octets` and closes its side of the connection.
Result<HttpResponse, HttpError> responseTo(const std::string& octets)
{
    ScriptedServer server;
    HttpRequester client;
    std::optional<Result<HttpResponse, HttpError>> result;
    client.send({ "GET", server.address(), "/one" }, defaultDeadline(), [&](auto response) { result = std::move(response); });
    server.waitFor(0, "/one");
    server.send(0, octets);
    server.finish(0);
    REQUIRE(runUntil([&] { return result.has_value(); }));
    return *result;
}

void checkRejected(const std::vector<ResponseSample>& samples)
{
    for (const auto& sample : samples) {
        CAPTURE(sample.name);
        const auto result = responseTo(sample.octets);
        CHECK_FALSE(result);
        if (!result)
            CHECK(result.error().sent());
    }
}

/// Records the response to one request.
struct CallRecorder : HttpCallObserver {
    void responseStarted(const HttpResponseHead&) override { }
    void dataReceived(std::string_view data) override { body += data; }
    void responseCompleted() override { isComplete = true; }
    void callFailed(const HttpError& failed) override { error = failed; }
    void waitForEnd() const
    {
        REQUIRE(runUntil([this] { return isComplete || error; }));
    }

    std::string body;
    bool isComplete = false;
    std::optional<HttpError> error;
};

/// Completes a first request, which leaves the server's first connection idle in the client.
void leaveIdleConnection(HttpClient& client, ScriptedServer& server)
{
    CallRecorder first;
    const auto call = client.start({ "GET", server.address(), "/first" }, first);
    server.waitFor(0, "/first");
    server.send(0, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    first.waitForEnd();
    REQUIRE(first.isComplete);
}

} // namespace

TEST_CASE("a response with an invalid status line is an error [runtime][http]")
{
    checkRejected(invalidStatusLines());
}

TEST_CASE("a response with an invalid line in its head or trailer is an error [runtime][http]")
{
    checkRejected(invalidLines());
}

TEST_CASE("a response with invalid framing is an error [runtime][http]")
{
    checkRejected(invalidFraming());
}

TEST_CASE("valid responses of unusual form are read [runtime][http]")
{
    for (const auto& sample : validResponses()) {
        CAPTURE(sample.name);
        const auto result = responseTo(sample.octets);
        CHECK(result);
        if (result)
            CHECK(result->body == sample.body);
    }
}

// Guards against part of a response that is taken for all of it.
TEST_CASE("a response without a length is an error when the connection is reset during the upload [runtime][http]")
{
    const std::string part = "HTTP/1.1 200 OK\r\n\r\npart of the response";
    for (const std::size_t size : { std::size_t { 2 }, std::size_t { 16384 }, std::size_t { 262144 }, std::size_t { 1048576 }, std::size_t { 4194304 } }) {
        for (const auto delay : { 0ms, 1ms, 20ms, 200ms, 1000ms }) {
            for (const auto how : { ConnectionReset::Abort, ConnectionReset::CloseUnread }) {
                CAPTURE(size);
                CAPTURE(delay.count());
                CAPTURE(toString(how));
                const ResettingServer server({ part, how, delay });
                const auto result = sendRequest({ "POST", server.address(), "/", "text/plain", std::string(size, 'x') }, defaultDeadline());
                CHECK_FALSE(result);
                if (!result)
                    CHECK(result.error().kind == HttpErrorKind::ResponseLost);
            }
        }
    }
}

TEST_CASE("a request that breaks on a reused connection is sent again only if its method is idempotent [runtime][http]")
{
    for (const char* method : { "GET", "PUT", "DELETE", "POST", "PATCH" }) {
        CAPTURE(method);
        ScriptedServer server;
        HttpClient client;
        leaveIdleConnection(client, server);
        CallRecorder second;
        const auto call = client.start({ method, server.address(), "/second" }, second);
        server.waitFor(0, "/second");
        server.drop(0);
        if (method == std::string_view("POST") || method == std::string_view("PATCH")) {
            second.waitForEnd();
            CHECK(second.error->sent());
            CHECK(server.connections() == 1);
            continue;
        }
        server.waitFor(1, "/second");
        server.drop(1);
        second.waitForEnd();
        CHECK(second.error->sent());
        CHECK(server.connections() == 2);
    }
}

TEST_CASE("a request that needs a new connection does not use an idle one [runtime][http]")
{
    ScriptedServer server;
    HttpClient client;
    leaveIdleConnection(client, server);
    HttpRequest request { "POST", server.address(), "/second" };
    request.newConnection = true;
    CallRecorder second;
    const auto call = client.start(request, second);
    server.waitFor(1, "/second");
    server.send(1, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    second.waitForEnd();
    CHECK(second.body == "ok");
}

// Guards against a request line or a field that another party has written.
TEST_CASE("a malformed request is not sent [runtime][http]")
{
    ScriptedServer server;
    HttpClient client;
    std::vector<HttpRequest> requests;
    for (const char* method : { "", "GET /other HTTP/1.1\r\n", "G T" })
        requests.push_back({ method, server.address(), "/" });
    for (const char* target : { "", "no-path", "/a b", "/a\r\nX: y", "/\xe4" })
        requests.push_back({ "GET", server.address(), target });
    requests.push_back({ "POST", server.address(), "/", "text/plain\r\nX: y" });
    requests.push_back({ "GET", server.address(), "/", "", "", { { "X Name", "v" } } });
    requests.push_back({ "GET", server.address(), "/", "", "", { { "X-Name", "v\nX: y" } } });
    for (const auto& request : requests) {
        CallRecorder recorder;
        const auto call = client.start(request, recorder);
        recorder.waitForEnd();
        REQUIRE(recorder.error);
        CHECK(recorder.error->kind == HttpErrorKind::NotConnected);
    }
    CHECK(server.connections() == 0);
}

TEST_CASE("a paused call reads on when it is resumed [runtime][http]")
{
    ScriptedServer server;
    HttpClient client;
    CallRecorder recorder;
    const auto call = client.start({ "GET", server.address(), "/" }, recorder);
    call->pause();
    server.waitFor(0, "GET /");
    const std::string body(8388608, 'x');
    server.send(0, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    runFor(50ms);
    CHECK(server.unsent(0) > 0);
    CHECK(recorder.body.empty());
    call->resume();
    recorder.waitForEnd();
    CHECK(recorder.body == body);
}
