#include "hornbeamgate/streams/caller_request.hpp"
#include "hornbeamgate/streams/completion_assembler.hpp"

#include "base/amplifying_texts.hpp"
#include "base/memory_limit.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace hornbeamgate;

TEST_CASE("parseCompletionRequest rejects invalid bodies with a reason [streams]")
{
    struct Case {
        RunKind kind;
        std::string body;
        std::string_view reason;
    };
    const Case cases[] = {
        { RunKind::Completion, "", "not valid JSON" },
        { RunKind::Completion, "{\"model\":", "not valid JSON" },
        { RunKind::Completion, "{\"model\":\"m\",\"prompt\":\"\xff\"}", "not valid JSON" },
        { RunKind::Completion, "[]", "must be a JSON object" },
        { RunKind::Completion, R"({"prompt":"p"})", "model must be" },
        { RunKind::Completion, R"({"model":3,"prompt":"p"})", "model must be" },
        { RunKind::Completion, R"({"model":"m"})", "prompt must be" },
        { RunKind::Completion, R"({"model":"m","prompt":["p"]})", "prompt must be" },
        { RunKind::Completion, R"({"model":"m","prompt":"p","max_tokens":0})", "max_tokens" },
        { RunKind::Completion, R"({"model":"m","prompt":"p","max_tokens":1.5})", "max_tokens" },
        { RunKind::Completion, R"({"model":"m","prompt":"p","max_tokens":99999999999})", "max_tokens" },
        { RunKind::Completion, R"({"model":"m","prompt":"p","stream":"yes"})", "stream must be" },
        { RunKind::ChatCompletion, R"({"model":"m"})", "messages must be" },
        { RunKind::ChatCompletion, R"({"model":"m","messages":[]})", "messages must be" },
        { RunKind::ChatCompletion, R"({"model":"m","messages":[{"role":"user"}]})", "role and a content" },
        { RunKind::ChatCompletion, R"({"model":"m","messages":[{"role":"user","content":5}]})", "content must be" },
        { RunKind::ChatCompletion, R"({"model":"m","messages":[{"role":"user","content":[{"x":1}]}]})", "must have a text" },
    };
    for (const auto& entry : cases) {
        CAPTURE(entry.body);
        const auto request = parseCompletionRequest(entry.kind, entry.body);
        REQUIRE_FALSE(request);
        CHECK(request.error().detail.find(entry.reason) != std::string::npos);
    }
}

TEST_CASE("parseCompletionRequest keeps the caller's fields and enables streaming in the engine body [streams]")
{
    const auto request = parseCompletionRequest(RunKind::ChatCompletion,
        R"({"model":"m","temperature":0.5,"messages":[{"role":"system","content":"a"},{"role":"user","content":[{"type":"text","text":"b"}]}]})");
    REQUIRE(request);
    CHECK(request->prompt == "system\na\nuser\nb\n");
    CHECK_FALSE(request->stream);
    const auto engineBody = nlohmann::json::parse(request->engineBody);
    CHECK(engineBody["stream"] == true);
    CHECK(engineBody["temperature"] == 0.5);
    CHECK(engineBody["messages"].size() == 2);
}

TEST_CASE("parseCompletionRequest does not crash on arbitrary bytes [streams]")
{
    CHECK(rc::check([](const std::string& body) {
        const auto request = parseCompletionRequest(RunKind::ChatCompletion, body);
        RC_ASSERT(request || !request.error().detail.empty());
    }));
}

// Guards against requests and stream chunks of a few megabytes that exhaust the memory of an entry daemon.
TEST_CASE("requests and chunks that would take many times their size as documents are rejected before they take it [streams]")
{
    constexpr std::size_t kMegabyte = std::size_t { 1024 } * 1024;
    for (const auto& text : hornbeamgate::testing::amplifyingTexts(2 * kMegabyte)) {
        CAPTURE(text.substr(0, 16));
        CHECK(hornbeamgate::testing::succeedsWithin(32 * kMegabyte, [&] { return !parseCompletionRequest(RunKind::Completion, text); }));
        CHECK(hornbeamgate::testing::succeedsWithin(32 * kMegabyte, [&] { return !CompletionAssembler(RunKind::Completion).add(text); }));
    }
}

TEST_CASE("service paths are parsed and idempotency keys are validated [streams]")
{
    CHECK(serviceName("/services/rota/book?x=1") == "rota");
    CHECK(serviceName("/services/rota?x=1") == "rota");
    CHECK(serviceName("/service/rota").empty());
    CHECK(servicePath("/services/rota/book?x=1") == "/book?x=1");
    CHECK(servicePath("/services/rota?x=1") == "/?x=1");
    CHECK(servicePath("/services/rota") == "/");
    CHECK(isValidIdempotencyKey("a-1"));
    for (const auto& key : { std::string(), std::string("a b"), std::string("\n"), std::string("\xc3\xa4"), std::string(256, 'a') })
        CHECK_FALSE(isValidIdempotencyKey(key));
}

TEST_CASE("CompletionAssembler builds one response from stream chunks [streams]")
{
    CompletionAssembler chat(RunKind::ChatCompletion);
    CHECK(chat.add(R"({"id":"c","model":"m","choices":[{"index":0,"delta":{"content":"dry "},"finish_reason":null}]})"));
    CHECK(chat.add(R"({"id":"c","model":"m","choices":[{"index":0,"delta":{"content":"well"},"finish_reason":"stop"}],"usage":{"total_tokens":7}})"));
    CHECK(chat.add("[DONE]"));
    const auto answer = nlohmann::json::parse(chat.finish());
    CHECK(answer["object"] == "chat.completion");
    CHECK(answer["choices"][0]["message"]["content"] == "dry well");
    CHECK(answer["choices"][0]["finish_reason"] == "stop");
    CHECK(answer["usage"]["total_tokens"] == 7);
    CHECK_FALSE(chat.add("{}"));
    CHECK_FALSE(chat.add("no json"));
}
