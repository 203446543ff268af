#include "hornbeamgate/gateway/engine_speeds.hpp"

#include "gateway/time_support.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace hornbeamgate::gateway::testing;
using namespace std::chrono_literals;

namespace {

EndpointEntry engine(const std::string& id)
{
    EndpointEntry entry;
    entry.id = EndpointId(id);
    entry.service = ServiceId("s");
    return entry;
}

} // namespace

TEST_CASE("the prefill rate of a service is learned, so engines of another type are neither flooded nor left idle [speeds]")
{
    EngineSpeeds speeds;
    const auto one = engine("e1");
    for (int i = 0; i < 400; ++i)
        speeds.recordPrefill(one, 16'000, 160ms, at(0ms));
    CHECK(speeds.tokensPerMs(one.service) == doctest::Approx(100).epsilon(0.05));
    for (int i = 0; i < 400; ++i)
        speeds.recordPrefill(one, 16'000, 800ms, at(0ms));
    CHECK(speeds.tokensPerMs(one.service) == doctest::Approx(20).epsilon(0.05));
    const auto before = speeds.tokensPerMs(one.service);
    speeds.recordPrefill(one, 100, 50ms, at(0ms));
    speeds.recordPrefill(one, 16'000, 0ms, at(0ms));
    CHECK(speeds.tokensPerMs(one.service) == before);
}

TEST_CASE("a reported slowdown is smoothed, expires, and is bounded whatever an engine claims [speeds]")
{
    EngineSpeeds speeds;
    const auto one = engine("e1");
    CHECK(speeds.slowdown(one, at(0ms)) == 1);
    speeds.recordReport(one.id, 100, at(0ms));
    speeds.recordReport(one.id, 400, at(10ms));
    CHECK(speeds.slowdown(one, at(10ms)) < 1.2);
    for (int i = 2; i < 150; ++i)
        speeds.recordReport(one.id, 400, at(i * 10ms));
    CHECK(speeds.slowdown(one, at(1500ms)) == doctest::Approx(4).epsilon(0.05));
    CHECK(speeds.prefillTime(one, 10'000, at(1500ms)) > 700ms);
    CHECK(speeds.slowdown(one, at(10s)) == 1);
    speeds.recordReport(one.id, 100'000, at(20s));
    CHECK(speeds.slowdown(one, at(20s)) <= 8);
    speeds.forget(one.id);
    CHECK(speeds.slowdown(one, at(20s)) == 1);
}

TEST_CASE("without reports, an engine that answers later than its service does counts as slow [speeds]")
{
    EngineSpeeds speeds;
    const auto slow = engine("slow");
    const auto usual = engine("usual");
    for (int i = 0; i < 50; ++i) {
        for (int k = 0; k < 9; ++k)
            speeds.recordFirstEvent(usual, 100ms, 50ms);
        speeds.recordFirstEvent(slow, 300ms, 50ms);
    }
    CHECK(speeds.slowdown(slow, at(0ms)) > 2);
    CHECK(speeds.slowdown(usual, at(0ms)) < 1.1);
    CHECK(speeds.prefillTime(slow, 5000, at(0ms)) > speeds.prefillTime(usual, 5000, at(0ms)));
}
