#include "hornbeamgate/gateway/endpoint_loads.hpp"

#include "gateway/time_support.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace hornbeamgate::gateway::testing;
using namespace std::chrono_literals;

namespace {

const EndpointId kEndpoint("e");

} // namespace

TEST_CASE("a reported load includes the requests of other daemons and decays [loads]")
{
    EndpointLoads loads;
    loads.sent(kEndpoint, 1, 0, at(0ms));
    loads.reported(kEndpoint, { 5, 2, 16 }, at(0ms));
    CHECK(loads.load(kEndpoint, at(0ms)) == doctest::Approx(7));
    CHECK(loads.load(kEndpoint, at(400ms)) == doctest::Approx(4));
    loads.finished(kEndpoint, 1, SendOutcome::Served, at(400ms));
    CHECK(loads.load(kEndpoint, at(10s)) < 0.1);
}

TEST_CASE("the backoff of an endpoint grows with each consecutive failure [loads]")
{
    EndpointLoads loads;
    auto fail = [&](std::uint64_t number, MonotonicTime now) {
        loads.sent(kEndpoint, number, 0, now);
        loads.finished(kEndpoint, number, SendOutcome::Failed, now);
    };
    fail(1, at(0ms));
    fail(2, at(0ms));
    CHECK_FALSE(loads.isFailing(kEndpoint, at(1ms)));
    fail(3, at(0ms));
    CHECK(loads.isFailing(kEndpoint, at(499ms)));
    CHECK_FALSE(loads.isFailing(kEndpoint, at(500ms)));
    fail(4, at(500ms));
    CHECK(loads.isFailing(kEndpoint, at(1400ms)));
    loads.sent(kEndpoint, 5, 0, at(2s));
    loads.finished(kEndpoint, 5, SendOutcome::Served, at(2s));
    fail(6, at(3s));
    CHECK_FALSE(loads.isFailing(kEndpoint, at(3001ms)));
}

TEST_CASE("sends to an engine's previous process that end after its restart do not mark the engine as failing [loads]")
{
    EndpointLoads loads;
    for (std::uint64_t number = 1; number <= 4; ++number)
        loads.sent(kEndpoint, number, 0, at(0ms));
    loads.forget(kEndpoint);
    loads.sent(kEndpoint, 5, 0, at(1s));
    for (std::uint64_t number = 1; number <= 4; ++number)
        loads.finished(kEndpoint, number, SendOutcome::Failed, at(1s));
    CHECK_FALSE(loads.isAvoided(kEndpoint, at(1001ms)));
    CHECK(loads.failureRate(kEndpoint) == 0);
    CHECK(loads.load(kEndpoint, at(1s)) == doctest::Approx(1));
}

TEST_CASE("interleaved failures raise the failure rate without marking the endpoint as failing [loads]")
{
    EndpointLoads loads;
    for (std::uint64_t number = 1; number <= 60; ++number) {
        loads.sent(kEndpoint, number, 0, at(0ms));
        loads.finished(kEndpoint, number, number % 2 == 0 ? SendOutcome::Failed : SendOutcome::Served, at(0ms));
    }
    CHECK(loads.failureRate(kEndpoint) > 0.3);
    CHECK_FALSE(loads.isFailing(kEndpoint, at(1ms)));
}

TEST_CASE("abandoned and shed sends do not affect endpoint health [loads]")
{
    EndpointLoads loads;
    for (std::uint64_t number = 1; number <= 10; ++number) {
        loads.sent(kEndpoint, number, 0, at(0ms));
        loads.finished(kEndpoint, number, number % 2 == 0 ? SendOutcome::Abandoned : SendOutcome::Shed, at(0ms));
    }
    CHECK(loads.failureRate(kEndpoint) == 0);
    CHECK_FALSE(loads.isAvoided(kEndpoint, at(1ms)));
}

TEST_CASE("a paused endpoint is avoided until it is resumed [loads]")
{
    EndpointLoads loads;
    loads.pauseUntil(kEndpoint, at(2s));
    CHECK(loads.isAvoided(kEndpoint, at(1s)));
    CHECK_FALSE(loads.isFailing(kEndpoint, at(1s)));
    loads.resume(kEndpoint);
    CHECK_FALSE(loads.isAvoided(kEndpoint, at(1s)));
}

TEST_CASE("prompt tokens are pending until the response starts [loads]")
{
    EndpointLoads loads;
    loads.sent(kEndpoint, 1, 3000, at(0ms));
    loads.sent(kEndpoint, 2, 500, at(0ms));
    loads.setPeerPendingPrefillTokens(HostId("other"), { { kEndpoint, 1000 } }, at(0ms));
    CHECK(loads.pendingPrefillTokens(kEndpoint, at(100ms)) == 4500);
    CHECK(loads.localPendingPrefillTokens().at(kEndpoint) == 3500);
    loads.answerBegan(kEndpoint, 1);
    CHECK(loads.pendingPrefillTokens(kEndpoint, at(100ms)) == 1500);
    CHECK(loads.pendingPrefillTokens(kEndpoint, at(1s)) == 500);
}

TEST_CASE("the age of the oldest unanswered send is reported [loads]")
{
    EndpointLoads loads;
    CHECK(loads.oldestUnanswered(kEndpoint, at(0ms)) == Duration::zero());
    loads.sent(kEndpoint, 1, 0, at(0ms));
    loads.sent(kEndpoint, 2, 0, at(900ms));
    CHECK(loads.oldestUnanswered(kEndpoint, at(1s)) == 1s);
    loads.finished(kEndpoint, 1, SendOutcome::Served, at(1s));
    CHECK(loads.oldestUnanswered(kEndpoint, at(1s)) == 100ms);
}

TEST_CASE("a send is overtaken only by later sends with prompts of at least the same length [loads]")
{
    EndpointLoads loads;
    loads.sent(kEndpoint, 1, 3000, at(0ms));
    loads.sent(kEndpoint, 2, 300, at(1ms));
    loads.sent(kEndpoint, 3, 3000, at(2ms));
    loads.sent(kEndpoint, 4, 17000, at(3ms));
    loads.answerBegan(kEndpoint, 2);
    CHECK(loads.timesOvertaken(kEndpoint, 1) == 0);
    loads.answerBegan(kEndpoint, 3);
    loads.answerBegan(kEndpoint, 3);
    CHECK(loads.timesOvertaken(kEndpoint, 1) == 1);
    loads.answerBegan(kEndpoint, 4);
    CHECK(loads.timesOvertaken(kEndpoint, 1) == 2);
    CHECK(loads.timesOvertaken(kEndpoint, 3) == 0);
    CHECK(loads.timesOvertaken(kEndpoint, 9) == 0);
}
