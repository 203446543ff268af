#include "platform_wire_format.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace std::chrono_literals;

namespace {

HttpRequestHead callerHead()
{
    HttpRequestHead head { "POST", "/lepu/2f?q=1", {}, true };
    for (const auto& [name, value] : { std::pair("Host", "jepu9.example"), std::pair("X-Hornbeamgate-Request-Id", "9c41"), std::pair("Last-Event-Id", "12"),
             std::pair("X-Hornbeamgate-Model", "m0"), std::pair("X-Hornbeamgate-Token-Usage", "1460,80"),
             std::pair("X-Hornbeamgate-Prompt-Prefix", "5c1e:800,91bd:410,e440:250"), std::pair("X-Hornbeamgate-Deadline-Ms", "8000"),
             std::pair("Authorization", "Bearer secret") })
        head.fields.add(name, value);
    return head;
}

} // namespace

TEST_CASE("request metadata is decoded from the headers [platform]")
{
    const platform::PlatformWireFormat wire;
    const auto metadata = wire.decodeRequest(callerHead());
    REQUIRE(metadata);
    CHECK(metadata->requestId == "9c41");
    CHECK(metadata->authority == "jepu9.example");
    CHECK(metadata->path == "/lepu/2f");
    CHECK(metadata->apiKey == "secret");
    CHECK(metadata->timeLeft == 8000ms);
    CHECK(metadata->model == ModelId("m0"));
    CHECK(metadata->tokens == 1540);
    REQUIRE(metadata->prompt.size() == 3);
    CHECK(metadata->prompt[1].id == "91bd");
    CHECK(metadata->prompt[1].tokens == 410);
    CHECK(metadata->lastEventId == 12);
}

TEST_CASE("a request needs exactly one id, exactly one Host header and at most one key [platform]")
{
    const platform::PlatformWireFormat wire;
    for (const std::string name : { "X-Hornbeamgate-Request-Id", "Host" }) {
        CAPTURE(name);
        auto missing = callerHead();
        missing.fields.remove(name);
        CHECK_FALSE(wire.decodeRequest(missing));
        auto twice = callerHead();
        twice.fields.add(name, "other");
        CHECK_FALSE(wire.decodeRequest(twice));
    }
    auto keys = callerHead();
    keys.fields.add("authorization", "Bearer other");
    CHECK_FALSE(wire.decodeRequest(keys));
}

TEST_CASE("malformed numeric headers are ignored [platform]")
{
    const platform::PlatformWireFormat wire;
    auto head = callerHead();
    for (const auto& [name, value] : { std::pair("X-Hornbeamgate-Token-Usage", "12"), std::pair("X-Hornbeamgate-Prompt-Prefix", "a:1,b:x"),
             std::pair("X-Hornbeamgate-Deadline-Ms", "-5"), std::pair("Last-Event-Id", "1x") }) {
        head.fields.remove(name);
        head.fields.add(name, value);
    }
    const auto metadata = wire.decodeRequest(head);
    REQUIRE(metadata);
    CHECK_FALSE(metadata->tokens);
    CHECK(metadata->prompt.empty());
    CHECK_FALSE(metadata->timeLeft);
    CHECK_FALSE(metadata->lastEventId);
}

TEST_CASE("forwarded requests drop the key and replace system headers [platform]")
{
    const platform::PlatformWireFormat wire;
    auto head = callerHead();
    // Values that the caller sends under system header names must not be forwarded.
    for (const std::string name : { "X-Hornbeamgate-Tenant", "X-Hornbeamgate-Cache-Salt", "X-Hornbeamgate-Hold", "X-Hornbeamgate-Pin-Ms", "X-Hornbeamgate-Kv-Backup",
             "Kv-From", "X-Hornbeamgate-Kv-Fetch", "X-Hornbeamgate-Kv-Save", "X-Hornbeamgate-Expect-Version", "X-Hornbeamgate-Request-Priority", "Connection" })
        head.fields.add(name, "forged");
    ForwardMetadata metadata;
    metadata.endpoint = EndpointId("i-7f");
    metadata.workspace = WorkspaceId("sese");
    metadata.timeLeft = 7500ms;
    metadata.priority = 12;
    metadata.lastEventId = 14;
    const auto forwarded = wire.encodeForEndpoint(head, metadata);
    CHECK(forwarded.method == "POST");
    CHECK(forwarded.target == "/lepu/2f?q=1");
    const auto& fields = forwarded.fields;
    CHECK_FALSE(fields.find("Authorization"));
    CHECK(fields.find("X-Hornbeamgate-Request-Id") == "9c41");
    CHECK(fields.find("X-Hornbeamgate-Token-Usage") == "1460,80");
    CHECK(fields.find("X-Hornbeamgate-Expect-Instance") == "i-7f");
    CHECK(fields.find("X-Hornbeamgate-Tenant") == "sese");
    CHECK(fields.find("X-Hornbeamgate-Deadline-Ms") == "7500");
    CHECK(fields.find("X-Hornbeamgate-Request-Priority") == "9");
    CHECK(fields.find("Last-Event-Id") == "14");
    for (const auto& field : fields.all())
        CHECK(field.value != "forged");
}

TEST_CASE("block transfer headers are forwarded with the cache domain and the weights version [platform]")
{
    const platform::PlatformWireFormat wire;
    ForwardMetadata metadata;
    metadata.cacheDomain = "w@3";
    metadata.blockSource = SocketAddress { "10.0.0.2", 80 };
    metadata.blockStore = SocketAddress { "10.0.0.3", 81 };
    metadata.requiredWeights = WeightsVersion(3);
    const auto forwarded = wire.encodeForEndpoint(callerHead(), metadata);
    CHECK(forwarded.fields.find("X-Hornbeamgate-Cache-Salt") == "w@3");
    CHECK(forwarded.fields.find("X-Hornbeamgate-Kv-Fetch") == "10.0.0.2:80");
    CHECK(forwarded.fields.find("X-Hornbeamgate-Kv-Save") == "10.0.0.3:81");
    CHECK(forwarded.fields.find("X-Hornbeamgate-Expect-Version") == "3");
}

TEST_CASE("response metadata is decoded from the headers [platform]")
{
    const platform::PlatformWireFormat wire;
    HttpResponseHead head;
    for (const auto& [name, value] : { std::pair("x-hornbeamgate-request-id", "9c41"), std::pair("X-Hornbeamgate-Server-Signature", "s"),
             std::pair("X-Hornbeamgate-Server-Load", "3,1,8"), std::pair("X-Hornbeamgate-Weight-Versions", "4"), std::pair("X-Hornbeamgate-Not-Executed", "1"),
             std::pair("X-Hornbeamgate-Instance-Id", "i-7f") })
        head.fields.add(name, value);
    const auto metadata = wire.decodeResponse(head);
    CHECK(metadata.requestId == "9c41");
    CHECK(metadata.isSigned);
    CHECK(metadata.isNotExecuted);
    CHECK(metadata.endpoint == EndpointId("i-7f"));
    CHECK(metadata.load->waiting == 1);
    CHECK(metadata.weights == WeightsVersion(4));
    CHECK_FALSE(wire.decodeResponse({}).isSigned);
}

TEST_CASE("a load report may have further figures; one that cannot be decoded is named, not dropped silently [platform]")
{
    // Every report of engines on shared machines was thrown away, because it has four figures.
    const platform::PlatformWireFormat wire;
    const auto decode = [&wire](const std::string& value) {
        HttpResponseHead head { 200, {} };
        head.fields.add("X-Hornbeamgate-Server-Load", value);
        return wire.decodeResponse(head);
    };
    const auto shared = decode("3,1,8,250");
    REQUIRE(shared.load);
    CHECK(shared.load->running == 3);
    CHECK(shared.load->slots == 8);
    CHECK(shared.load->slowdownPercent == 250);
    CHECK(decode("3,1,8,100,7").load->slowdownPercent == 100);
    for (const auto* text : { "3,1,8", "3,1,8,", "3,1,8,x", "3,1,8,0", "3,1,8,-5", "3,1,8,99999999999" }) {
        CAPTURE(text);
        REQUIRE(decode(text).load);
        CHECK_FALSE(decode(text).load->slowdownPercent);
        CHECK(decode(text).unreadableLoad.empty());
    }
    for (const auto* text : { "", "3", "3,1", "3,,8", "-1,0,8", "3,1,-8", "3,1,x,100", "1000000,0,8", "99999999999,1,8" }) {
        CAPTURE(text);
        CHECK_FALSE(decode(text).load);
        CHECK(decode(text).unreadableLoad == "X-Hornbeamgate-Server-Load: " + std::string(text));
    }
}

TEST_CASE("a refusal contains the request id and the retry time [platform]")
{
    const platform::PlatformWireFormat wire;
    const auto fields = wire.encodeRefusal("9c41", 1050ms);
    CHECK(fields.find("X-Hornbeamgate-Request-Id") == "9c41");
    CHECK(fields.find("Retry-After") == "1.050");
    CHECK_FALSE(wire.encodeRefusal("9c41", std::nullopt).find("Retry-After"));
}

TEST_CASE("an engine's limit is decoded from a decimal number; anything else counts as not said [platform]")
{
    const platform::PlatformWireFormat wire;
    const auto decode = [&wire](const std::vector<std::string>& values) {
        HttpResponseHead head { 200, {} };
        for (const auto& value : values)
            head.fields.add("server-limit", value);
        return wire.decodeResponse(head);
    };
    CHECK(decode({ "7.5" }).advice.requestsPerSecond == 7.5);
    CHECK(decode({ "0" }).advice.requestsPerSecond == 0.0);
    CHECK(decode({ "1000000000000000000000" }).advice.requestsPerSecond == 1e21);
    CHECK(decode({ "8", "3.25" }).advice.requestsPerSecond == 3.25);
    CHECK(decode({ "8", "x" }).advice.requestsPerSecond == 8.0);
    CHECK(decode({}).unreadableAdvice.empty());
    for (const auto* text : { "", "-1", "nan", "inf", "4/s", "1e3", " 4", "Sat, 05 Dec 2026 02:10:25 GMT" }) {
        CAPTURE(text);
        CHECK_FALSE(decode({ text }).advice.requestsPerSecond);
        CHECK(decode({ text }).unreadableAdvice == "Server-Limit: " + std::string(text));
    }
    CHECK(decode({ std::string(5000, '9') + "x" }).unreadableAdvice.size() < 100);
}

TEST_CASE("an engine says that it leaves with a 1; anything else counts as not said [platform]")
{
    const platform::PlatformWireFormat wire;
    const auto decode = [&wire](const std::string& value) {
        HttpResponseHead head { 200, {} };
        head.fields.add("Server-Leaving", value);
        return wire.decodeResponse(head);
    };
    CHECK(decode("1").advice.isLeaving);
    CHECK_FALSE(wire.decodeResponse({ 200, {} }).advice.isLeaving);
    for (const auto* text : { "", "0", "true", "-1", "11" }) {
        CHECK_FALSE(decode(text).advice.isLeaving);
        CHECK(decode(text).unreadableAdvice == "Server-Leaving: " + std::string(text));
    }
}

TEST_CASE("the time for which an engine wants nothing is decoded from a 503 alone, in seconds with fractions [platform]")
{
    const platform::PlatformWireFormat wire;
    const auto decode = [&wire](const std::vector<std::string>& values, int status = 503) {
        HttpResponseHead head { status, {} };
        for (const auto& value : values)
            head.fields.add("Retry-After", value);
        return wire.decodeResponse(head);
    };
    CHECK(decode({ "2" }).advice.retryAfter == 2s);
    CHECK(decode({ "0.25" }).advice.retryAfter == 250ms);
    CHECK(decode({ "0" }).advice.retryAfter == 0ms);
    CHECK(decode({ "1", "3", "2" }).advice.retryAfter == 3s);
    CHECK(decode({ "99999999999999999999" }).advice.retryAfter == 1h);
    CHECK_FALSE(decode({}).advice.retryAfter);
    CHECK_FALSE(decode({ "2" }, 200).advice.retryAfter);
    CHECK_FALSE(decode({ "2" }, 429).advice.retryAfter);
    for (const auto* text : { "", "-1", "soon", "nan", "inf", "Sat, 05 Dec 2026 02:10:25 GMT" }) {
        CAPTURE(text);
        CHECK_FALSE(decode({ text }).advice.retryAfter);
        CHECK(decode({ text }).unreadableAdvice == "Retry-After: " + std::string(text));
    }
}
