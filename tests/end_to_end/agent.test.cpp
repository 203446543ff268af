#include "end_to_end/caller.hpp"
#include "hornbeamgate/runtime/link/link_pool.hpp"
#include "hornbeamgate/streams/run_message.hpp"
#include "hornbeamgate/streams/run_order.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <csignal>

using namespace hornbeamgate;
using namespace hornbeamgate::testing;

namespace {

constexpr std::uint64_t kTokens = 6;
const SocketAddress kNowhere { "127.0.0.1", 9 };

nlohmann::json agentSettings(const nlohmann::json& endpoint)
{
    return {
        { "host", "agent-1" },
        { "data_center", "postojna" },
        { "region", "notranjska" },
        { "link", "127.0.0.1:0" },
        { "admin", "127.0.0.1:0" },
        { "platform", { { "log", kNowhere.text() }, { "hosts", kNowhere.text() }, { "weights", kNowhere.text() } } },
        { "endpoint", endpoint },
    };
}

/// Engine stand-in with its agent.
struct EngineWithAgent {
    TemporaryFolder folder;
    ChildProcess engine { { HORNBEAMGATE_STANDIN_ENGINE, "--model", "karst:1", "--ms-per-token", "5", "--checks-fencing" },
        folder.path("engine.out") };
    SocketAddress engineAddress = engine.listeningAddress("");
    ChildProcess agent { { HORNBEAMGATE_AGENT, "--settings",
                             folder.write("agent.json", agentSettings({ { "id", "engine-1" }, { "kind", "engine" }, { "address", engineAddress.text() }, { "slots", 4 }, { "piece_timeout_ms", 300 } }).dump()) },
        folder.path("agent.out") };
    SocketAddress link = agent.listeningAddress("link");
    SocketAddress admin = agent.listeningAddress("admin");

    EngineWithAgent()
    {
        REQUIRE(waitFor([&] { return call({ "GET", admin, "/readyz" })->status == 200; }));
    }
};

/// Everything an agent told about one run.
struct RunRecord : LinkStreamObserver {
    std::vector<RunMessage> messages;
    bool over = false;

    void messageReceived(BytesView message) override
    {
        auto decoded = decodeRunMessage(message);
        REQUIRE(decoded);
        messages.push_back(std::move(*decoded));
    }
    void streamFinished() override { over = true; }
    void streamFailed(const LinkError&) override { over = true; }

    /// Verdict on the pieces as a caller would see them.
    loadgen::StreamVerdict verdict(const standins::CompletionRequest& request) const
    {
        loadgen::StreamCheck check({ request, 1 });
        for (const RunMessage& message : messages) {
            if (const auto* piece = std::get_if<RunPiece>(&message))
                check.feed("id: " + std::to_string(piece->index) + "\ndata: " + piece->data + "\n\n");
            else if (std::holds_alternative<RunCompleted>(message))
                check.feed("data: [DONE]\n\n");
        }
        return check.verdict();
    }

    const RunFailed* failed() const { return messages.empty() ? nullptr : std::get_if<RunFailed>(&messages.back()); }
};

RunOrder completionOrder(std::uint64_t number, const standins::CompletionRequest& request)
{
    RunOrder order;
    order.id = { Incarnation(77), RequestId(number) };
    order.workspace = WorkspaceId("vodnjak");
    order.cost = request.maxTokens;
    order.maxQueueWaitMs = 10000;
    order.model = ModelId(request.model);
    order.weights = WeightsVersion(1);
    order.prefixBlocks = { 0xabc, 0xdef };
    const auto body = completionRequest(kNowhere, "", request).body;
    order.body.assign(body.begin(), body.end());
    return order;
}

RunRecord runOrder(const SocketAddress& agent, const RunOrder& order)
{
    LinkPool pool { HostId("entry-1") };
    RunRecord record;
    const auto stream = pool.openStream(agent, "/run");
    stream->setObserver(&record);
    stream->send(encodeRunOrder(order));
    stream->finish();
    REQUIRE(waitFor([&] { return record.over; }));
    return record;
}

} // namespace

TEST_CASE("an agent carries an engine's stream whole through every fault of one connection [end-to-end][agent][engine]")
{
    const EngineWithAgent pair;
    std::uint64_t number = 0;
    const char* const kFaults[] = {
        "",
        R"({"fault":"drop","target":"completions","after_events":2})",
        R"({"fault":"silent","target":"completions","after_events":3})",
        R"({"fault":"duplicate","target":"completions"})",
        R"({"fault":"late","target":"completions","after_events":2})",
        R"({"fault":"stall","target":"completions","after_events":1,"delay_ms":100})",
        R"({"fault":"slow","target":"completions","delay_ms":50})",
    };
    for (const std::string fault : kFaults) {
        CAPTURE(fault);
        if (!fault.empty())
            askForFault(pair.engineAddress, fault);
        const auto request = completion("fault " + fault, kTokens);
        const auto record = runOrder(pair.link, completionOrder(++number, request));
        CHECK(record.verdict(request) == loadgen::StreamVerdict::Complete);
    }
}

TEST_CASE("an agent ends a run with a true error where the engine cannot go on [end-to-end][agent][engine]")
{
    const EngineWithAgent pair;
    struct Case {
        const char* fault;
        bool mayHaveRun;
    };
    std::uint64_t number = 100;
    for (const Case& row : { Case { R"({"fault":"refuse","target":"completions"})", false },
             Case { R"({"fault":"crash","target":"completions","after_events":2})", true } }) {
        CAPTURE(row.fault);
        askForFault(pair.engineAddress, row.fault);
        const auto request = completion("fault", kTokens);
        const auto record = runOrder(pair.link, completionOrder(++number, request));
        CHECK(record.verdict(request) == loadgen::StreamVerdict::Incomplete);
        REQUIRE(record.failed());
        if (row.mayHaveRun)
            CHECK_FALSE(record.failed()->notRun);
    }
}

TEST_CASE("an agent refuses what relies on other weights or another process start of its engine [end-to-end][agent][engine]")
{
    const EngineWithAgent pair;
    const auto request = completion("prompt", kTokens);
    auto otherWeights = completionOrder(1, request);
    otherWeights.weights = WeightsVersion(2);
    auto otherStart = completionOrder(2, request);
    otherStart.engine = Incarnation(12345);
    auto otherModel = completionOrder(3, request);
    otherModel.model = ModelId("unknown");
    for (const RunOrder& order : { otherWeights, otherStart, otherModel }) {
        CAPTURE(order.id.request.value());
        const auto record = runOrder(pair.link, order);
        REQUIRE(record.failed());
        CHECK(record.failed()->notRun);
    }
}

TEST_CASE("a leaving agent finishes its runs and takes no new ones [end-to-end][agent][drain]")
{
    EngineWithAgent pair;
    LinkPool pool { HostId("entry-1") };
    const auto request = completion("long", 100);
    RunRecord record;
    const auto stream = pool.openStream(pair.link, "/run");
    stream->setObserver(&record);
    stream->send(encodeRunOrder(completionOrder(1, request)));
    stream->finish();
    REQUIRE(waitFor([&] { return record.messages.size() > 3; }));
    pair.agent.signal(SIGTERM);
    REQUIRE(waitFor([&] { return call({ "GET", pair.admin, "/readyz" })->status != 200; }));

    RunRecord late;
    const auto second = pool.openStream(pair.link, "/run");
    second->setObserver(&late);
    second->send(encodeRunOrder(completionOrder(2, request)));
    second->finish();
    REQUIRE(waitFor([&] { return late.over; }));
    REQUIRE(late.failed());
    CHECK(late.failed()->notRun);
    REQUIRE(waitFor([&] { return record.over; }));
    CHECK(record.verdict(request) == loadgen::StreamVerdict::Complete);
    CHECK(pair.agent.waitForExit() == 0);
}

TEST_CASE("an agent survives whatever a peer sends as an order [end-to-end][agent][bad-input]")
{
    const EngineWithAgent pair;
    const auto good = encodeRunOrder(completionOrder(1, completion("prompt", kTokens)));
    std::vector<Bytes> bad { {}, { 0x00 }, { 0xff, 0xff, 0xff }, { 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff } };
    bad.emplace_back(good.begin(), good.begin() + static_cast<std::ptrdiff_t>(good.size() / 2));
    LinkPool pool { HostId("entry-1") };
    for (const Bytes& message : bad) {
        CAPTURE(message.size());
        RunRecord record;
        const auto stream = pool.openStream(pair.link, "/run");
        stream->setObserver(&record);
        stream->send(message);
        stream->finish();
        CHECK(waitFor([&] { return record.over; }));
    }
    const auto request = completion("after it all", kTokens);
    CHECK(runOrder(pair.link, completionOrder(2, request)).verdict(request) == loadgen::StreamVerdict::Complete);
}
