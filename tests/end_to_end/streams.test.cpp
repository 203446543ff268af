#include "end_to_end/fleet.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <csignal>

using namespace hornbeamgate;
using namespace hornbeamgate::testing;
using loadgen::StreamVerdict;

namespace {

std::unique_ptr<StreamedAnswer> startStream(const SocketAddress& entry, const standins::CompletionRequest& request)
{
    return std::make_unique<StreamedAnswer>(completionRequest(entry, kVodnjakKey, request), request);
}

std::vector<std::unique_ptr<StreamedAnswer>> startStreams(const SocketAddress& entry, const std::string& prompt, std::size_t count, std::uint64_t tokens)
{
    std::vector<std::unique_ptr<StreamedAnswer>> streams(count);
    for (std::size_t i = 0; i < count; ++i)
        streams[i] = startStream(entry, completion(prompt + std::to_string(i), tokens));
    return streams;
}

std::uint64_t runningOn(const Endpoint& engine)
{
    return callForJson({ "GET", engine.address, "/load" })["running"];
}

/// Streams that were under way on both engines when the first one was killed.
std::vector<std::unique_ptr<StreamedAnswer>> streamsOverKill(Fleet& fleet)
{
    auto streams = startStreams(fleet.callers(), "killed", 8, 60);
    const auto flowing = [](const auto& stream) { return stream->events() > 4; };
    REQUIRE(waitFor([&] { return std::all_of(streams.begin(), streams.end(), flowing); }));
    REQUIRE(runningOn(fleet.engines().front()) > 0);
    fleet.engines().front().process->kill();
    return streams;
}

} // namespace

TEST_CASE("a streamed answer comes whole through the whole path, and no endpoint sees the key [end-to-end][streams]")
{
    Fleet fleet({});
    const auto request = completion("the well history", 30);
    CHECK(startStream(fleet.callers(), request)->wait() == StreamVerdict::Complete);

    auto unstreamed = request;
    unstreamed.stream = false;
    const auto answer = callForJson(completionRequest(fleet.callers(), kVodnjakKey, unstreamed));
    const auto expected = standins::Answer(request, 1).whole();
    CHECK(answer["choices"][0]["text"] == expected["choices"][0]["text"]);

    HttpRequest models { "GET", fleet.callers(), "/v1/models" };
    models.headers.push_back({ "Authorization", "Bearer " + kVodnjakKey });
    CHECK(callForJson(models)["data"][0]["id"] == "karst");
    CHECK(callForJson({ "GET", fleet.engines().front().address, "/seen" })["with_authorization"] == 0);
}

TEST_CASE("a fault of one engine connection never shows in the stream [end-to-end][streams]")
{
    Fleet fleet({});
    for (const std::string kind : { "silent", "drop", "duplicate", "late" }) {
        CAPTURE(kind);
        askForFault(fleet.engines().front().address, R"({"target":"completions","after_events":3,"fault":")" + kind + "\"}");
        const auto request = completion("through " + kind, 12);
        const auto stream = startStream(fleet.callers(), request);
        CHECK_MESSAGE(stream->wait() == StreamVerdict::Complete, stream->body());
    }
}

TEST_CASE("streams of a killed engine go on elsewhere or end with an explicit error [end-to-end][streams]")
{
    Fleet fleet({ .engines = 2 });
    for (const auto& stream : streamsOverKill(fleet)) {
        const auto verdict = stream->wait();
        const bool honest = verdict == StreamVerdict::Complete || verdict == StreamVerdict::Failed;
        CHECK_MESSAGE(honest, stream->body());
    }
}

TEST_CASE("requests after an engine was killed are answered by the other one [end-to-end][streams]")
{
    Fleet fleet({ .engines = 2 });
    for (const auto& stream : streamsOverKill(fleet))
        stream->wait();
    for (int i = 0; i < 5; ++i) {
        const auto after = startStream(fleet.callers(), completion("after the kill " + std::to_string(i), 5));
        CHECK_MESSAGE(after->wait() == StreamVerdict::Complete, after->body());
    }
}

TEST_CASE("an engine that restarted cold serves again and no old run is taken up [end-to-end][streams]")
{
    Fleet fleet({});
    askForFault(fleet.engines().front().address, R"({"fault":"crash","target":"completions","after_events":3})");
    const auto cut = startStream(fleet.callers(), completion("crashed", 20));
    const auto verdict = cut->wait();
    const bool honest = verdict == StreamVerdict::Complete || verdict == StreamVerdict::Failed;
    CHECK_MESSAGE(honest, cut->body());
    fleet.waitUntilServing(fleet.entries().front());
}

TEST_CASE("a caller that leaves ends its run on the engine [end-to-end][streams]")
{
    Fleet fleet({ .engineArguments = { "--ms-per-token", "20", "--unread-run-ms", "600000" } });
    auto stream = startStream(fleet.callers(), completion("left alone", 100000));
    REQUIRE(waitFor([&] { return stream->began(); }));
    CHECK(runningOn(fleet.engines().front()) == 1);
    stream.reset();
    CHECK(waitFor([&] { return runningOn(fleet.engines().front()) == 0; }));
}

TEST_CASE("a draining entry daemon finishes every stream and ends cleanly [end-to-end][drain]")
{
    Fleet fleet({});
    const auto streams = startStreams(fleet.callers(), "drained", 20, 300);
    REQUIRE(waitFor([&] { return std::all_of(streams.begin(), streams.end(), [](const auto& stream) { return stream->began(); }); }));
    auto& process = *fleet.entries().front().process;
    process.signal(SIGTERM);
    for (const auto& stream : streams)
        CHECK(stream->wait() == StreamVerdict::Complete);
    CHECK(process.waitForExit() == 0);
}

TEST_CASE("requests whose connections stood open over a drain are answered or refused, never cut [end-to-end][drain]")
{
    Fleet fleet({});
    HttpRequester keptOpen;
    const auto send = [&](int number) {
        auto request = completion("kept " + std::to_string(number), 2);
        request.stream = false;
        std::optional<Result<HttpResponse, HttpError>> answer;
        keptOpen.send(completionRequest(fleet.callers(), kVodnjakKey, request), MonotonicClock::now() + kHangLimit, [&](auto result) { answer = std::move(result); });
        REQUIRE(waitFor([&] { return answer.has_value(); }));
        return *answer;
    };
    REQUIRE(send(0));
    fleet.entries().front().process->signal(SIGTERM);
    for (int number = 1;; ++number) {
        const auto answer = send(number);
        if (!answer) {
            // Once the daemon is gone, nothing may have been sent to it.
            CHECK(answer.error().kind == HttpErrorKind::NotConnected);
            break;
        }
        const bool honest = answer->status == 200 || answer->status == 503;
        REQUIRE_MESSAGE(honest, answer->body);
    }
    CHECK(fleet.entries().front().process->waitForExit() == 0);
}

TEST_CASE("an entry daemon that starts while the log is down serves with its peers' configuration [end-to-end][restart]")
{
    Fleet fleet({ .entries = 2 });
    askForFault(fleet.platform(), R"({"fault":"outage","target":"log","until_cleared":true})");
    fleet.waitUntilServing(fleet.addEntry());
    const auto stream = startStream(fleet.entries().back().callers, completion("during the outage", 5));
    CHECK_MESSAGE(stream->wait() == StreamVerdict::Complete, stream->body());
}
