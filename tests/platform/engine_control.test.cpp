#include "platform_engine_control.hpp"

#include "base/amplifying_texts.hpp"
#include "base/memory_limit.hpp"

#include "hornbeamgate/runtime/net/http_call.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;

namespace {

EndpointEntry engine()
{
    EndpointEntry entry;
    entry.id = EndpointId("i-7f");
    entry.address = { "10.0.0.9", 8080 };
    return entry;
}

} // namespace

TEST_CASE("an order contains the engine id, the fencing token and the accepted order count [platform]")
{
    const platform::PlatformEngineControl control;
    const auto [head, body] = control.encodeOrder(engine(), { EndpointId("i-7f"), ModelId("m0"), WeightsVersion(2), FencingToken(41) }, HostId("front-1"), 3);
    CHECK(head.method == "POST");
    CHECK(head.target == "/hornbeamgate/order");
    CHECK(head.fields.find("X-Hornbeamgate-Expect-Instance") == "i-7f");
    const auto value = nlohmann::json::parse(body);
    CHECK(value == nlohmann::json::parse(R"({"operation":"version","model":"m0","version":2,"mode":"queue","holder":"front-1","fencing-token":41,"precondition":3})"));
}

TEST_CASE("engine reports are decoded and malformed ones rejected [platform]")
{
    const platform::PlatformEngineControl control;
    const auto report = control.decodeReport(200, R"({"stage":"both","models":[{"name":"m0","version":1,"adapters":[]}],"busy":true,"sequence":2,"waiting":1,"running":12})");
    REQUIRE(report);
    CHECK(report->isBusy);
    CHECK(report->acceptedOrderCount == 2);
    CHECK(report->weights.at(ModelId("m0")) == WeightsVersion(1));
    CHECK_FALSE(control.decodeReport(421, "{}"));
    CHECK_FALSE(control.decodeReport(200, "{}"));
    CHECK_FALSE(control.decodeReport(200, "no json"));
}

// Guards against an engine whose unreadable report exhausts the memory of the rollout leader.
TEST_CASE("a report that would take many times its size as a document is rejected before it takes it [platform]")
{
    constexpr std::size_t kMegabyte = std::size_t { 1024 } * 1024;
    const platform::PlatformEngineControl control;
    for (const auto& text : hornbeamgate::testing::amplifyingTexts(2 * kMegabyte)) {
        CAPTURE(text.substr(0, 16));
        CHECK(hornbeamgate::testing::succeedsWithin(32 * kMegabyte, [&] { return !control.decodeReport(200, text); }));
    }
}

TEST_CASE("a report as large as a record of the store is decoded [platform]")
{
    const platform::PlatformEngineControl control;
    std::string models;
    while (models.size() < CallLimits::kMaxBodyBytes - 1000)
        models += R"({"name":"m)" + std::to_string(models.size()) + R"(","version":3,"adapters":["a","b"]},)";
    models.pop_back();
    const auto report = control.decodeReport(200, R"({"stage":"both","models":[)" + models + R"(],"busy":false,"sequence":2})");
    REQUIRE(report);
    CHECK(report->weights.at(ModelId("m0")) == WeightsVersion(3));
}

TEST_CASE("order response statuses are mapped to outcomes [platform]")
{
    const platform::PlatformEngineControl control;
    CHECK(control.decodeOrderResponse(202) == OrderOutcome::Accepted);
    CHECK(control.decodeOrderResponse(200) == OrderOutcome::AlreadyLoaded);
    CHECK(control.decodeOrderResponse(409) == OrderOutcome::Conflict);
    CHECK(control.decodeOrderResponse(412) == OrderOutcome::Rejected);
    CHECK(control.decodeOrderResponse(421) == OrderOutcome::Rejected);
}
