#include "hornbeamgate/gateway/endpoint_advisories.hpp"

#include "gateway/time_support.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using hornbeamgate::gateway::testing::at;
using namespace std::chrono_literals;

namespace {

const EndpointInstance kEngine { EndpointId("e"), Incarnation(7) };

EndpointAdvice limit(double requestsPerSecond)
{
    return { requestsPerSecond };
}

} // namespace

TEST_CASE("a limit holds until a later request is answered without one [advisories]")
{
    EndpointAdvisories advisories;
    CHECK(advisories.recordResponse(kEngine, limit(4), at(0ms), at(100ms)));
    CHECK(advisories.limitOf(kEngine) == 4.0);
    CHECK_FALSE(advisories.recordResponse(kEngine, limit(4), at(120ms), at(200ms)));
    // Sent before the limit was named for the last time, so the response may be older than that.
    CHECK_FALSE(advisories.recordResponse(kEngine, {}, at(150ms), at(300ms)));
    CHECK(advisories.limitOf(kEngine) == 4.0);
    CHECK(advisories.recordResponse(kEngine, {}, at(210ms), at(310ms)));
    CHECK_FALSE(advisories.limitOf(kEngine));
}

TEST_CASE("of two responses that may have overtaken each other the lower limit holds [advisories]")
{
    EndpointAdvisories advisories;
    advisories.recordResponse(kEngine, limit(4), at(0ms), at(100ms));
    CHECK_FALSE(advisories.recordResponse(kEngine, limit(8), at(50ms), at(150ms)));
    CHECK(advisories.limitOf(kEngine) == 4.0);
    CHECK(advisories.recordResponse(kEngine, limit(8), at(151ms), at(160ms)));
    CHECK(advisories.limitOf(kEngine) == 8.0);
}

TEST_CASE("a limit ends with the endpoint's incarnation [advisories]")
{
    EndpointAdvisories advisories;
    const EndpointInstance restarted { kEngine.id, Incarnation(8) };
    advisories.recordResponse(kEngine, limit(4), at(0ms), at(100ms));
    CHECK_FALSE(advisories.limitOf(restarted));
    advisories.recordResponse(restarted, limit(9), at(200ms), at(300ms));
    CHECK_FALSE(advisories.recordResponse(kEngine, limit(1), at(90ms), at(400ms)));
    CHECK(advisories.limitOf(restarted) == 9.0);
    advisories.forget(kEngine.id);
    CHECK_FALSE(advisories.limitOf(restarted));
}
