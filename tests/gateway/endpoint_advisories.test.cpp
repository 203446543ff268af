#include "hornbeamgate/gateway/endpoint_advisories.hpp"

#include "gateway/time_support.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using hornbeamgate::gateway::testing::at;
using namespace std::chrono_literals;

namespace {

const EndpointInstance kEngine { EndpointId("e"), Incarnation(7), ServiceId("s") };

EndpointAdvice limit(double requestsPerSecond)
{
    EndpointAdvice advice;
    advice.requestsPerSecond = requestsPerSecond;
    return advice;
}

} // namespace

TEST_CASE("a limit holds until a later request is answered without one [advisories]")
{
    EndpointAdvisories advisories { HostId("front-1") };
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
    EndpointAdvisories advisories { HostId("front-1") };
    advisories.recordResponse(kEngine, limit(4), at(0ms), at(100ms));
    CHECK_FALSE(advisories.recordResponse(kEngine, limit(8), at(50ms), at(150ms)));
    CHECK(advisories.limitOf(kEngine) == 4.0);
    CHECK(advisories.recordResponse(kEngine, limit(8), at(151ms), at(160ms)));
    CHECK(advisories.limitOf(kEngine) == 8.0);
}

TEST_CASE("a limit ends with the endpoint's incarnation [advisories]")
{
    EndpointAdvisories advisories { HostId("front-1") };
    const EndpointInstance restarted { kEngine.id, Incarnation(8), kEngine.service };
    advisories.recordResponse(kEngine, limit(4), at(0ms), at(100ms));
    CHECK_FALSE(advisories.limitOf(restarted));
    advisories.recordResponse(restarted, limit(9), at(200ms), at(300ms));
    CHECK_FALSE(advisories.recordResponse(kEngine, limit(1), at(90ms), at(400ms)));
    CHECK(advisories.limitOf(restarted) == 9.0);
    advisories.forget(kEngine.id);
    CHECK_FALSE(advisories.limitOf(restarted));
}

TEST_CASE("an error without a limit does not lift it, and an error with one names it [advisories]")
{
    EndpointAdvisories advisories { HostId("front-1") };
    CHECK(advisories.recordError(kEngine, limit(4), at(0ms), at(100ms)));
    CHECK_FALSE(advisories.recordError(kEngine, {}, at(200ms), at(300ms)));
    CHECK(advisories.limitOf(kEngine) == 4.0);
}

TEST_CASE("an endpoint without a limit admits every request [advisories]")
{
    EndpointAdvisories advisories { HostId("front-1") };
    for (int i = 0; i < 100; ++i) {
        CHECK(advisories.admits(kEngine, RequestSize::Small, at(0ms)));
        advisories.recordSend(kEngine, at(0ms));
    }
    CHECK(advisories.nextAdmission(kEngine, RequestSize::Small, at(0ms)) == at(0ms));
}

TEST_CASE("a large request is admitted in advance of its share, a small one after it [advisories]")
{
    EndpointAdvisories advisories { HostId("front-1") };
    advisories.recordResponse(kEngine, limit(2), at(0ms), at(1000ms));
    CHECK(advisories.admits(kEngine, RequestSize::Small, at(1100ms)));
    advisories.recordSend(kEngine, at(1100ms));
    // The request is paid for by the share of half a second, of which 100 ms had passed.
    CHECK_FALSE(advisories.admits(kEngine, RequestSize::Large, at(1149ms)));
    CHECK(advisories.admits(kEngine, RequestSize::Large, at(1251ms)));
    CHECK_FALSE(advisories.admits(kEngine, RequestSize::Small, at(1499ms)));
    CHECK(advisories.admits(kEngine, RequestSize::Small, at(1501ms)));
    const auto next = advisories.nextAdmission(kEngine, RequestSize::Small, at(1200ms));
    REQUIRE(next);
    CHECK(*next > at(1490ms));
    CHECK(*next < at(1510ms));
}

TEST_CASE("an endpoint that takes nothing is still asked now and then, so that the end of its limit is noticed [advisories]")
{
    EndpointAdvisories advisories { HostId("front-1") };
    advisories.recordResponse(kEngine, limit(0), at(0ms), at(1ms));
    int sent = 0;
    for (auto time = 1ms; time < 60s; time += 10ms) {
        if (advisories.admits(kEngine, RequestSize::Small, at(time))) {
            advisories.recordSend(kEngine, at(time));
            ++sent;
        }
    }
    CHECK(sent >= 10);
    CHECK(sent <= 16);
}

TEST_CASE("a limit is divided by the reported demand, and a daemon that has not reported counts like this one [advisories]")
{
    const HostId other("front-2");
    EndpointAdvisories advisories { HostId("front-1") };
    advisories.setFleet({ other }, at(0ms));
    for (int i = 0; i < 400; ++i)
        advisories.recordRequest(kEngine.service, at(5ms * i));
    advisories.recordResponse(kEngine, limit(6), at(0ms), at(2s));
    const auto own = advisories.report(at(0ms), at(2s)).demand.at(kEngine.service);
    CHECK(own > 500);
    advisories.setFleet({ other }, at(2s));
    CHECK(advisories.shareOf(kEngine) == doctest::Approx(3));
    advisories.setPeerDemand(other, { { kEngine.service, own / 2 } });
    advisories.setFleet({ other }, at(2250ms));
    CHECK(advisories.shareOf(kEngine) == doctest::Approx(4).epsilon(0.02));
}

TEST_CASE("few daemons share a low limit, and all of them select the same ones [advisories]")
{
    std::vector<HostId> hosts;
    hosts.reserve(40);
    for (int i = 0; i < 40; ++i)
        hosts.emplace_back("front-" + std::to_string(i));
    int shares = 0;
    double total = 0;
    for (const auto& self : hosts) {
        EndpointAdvisories advisories { self };
        auto others = hosts;
        std::erase(others, self);
        advisories.setFleet(others, at(0ms));
        advisories.recordResponse(kEngine, limit(4), at(0ms), at(1ms));
        shares += advisories.shareOf(kEngine) > 0 ? 1 : 0;
        total += advisories.shareOf(kEngine);
        CHECK(advisories.nextAdmission(kEngine, RequestSize::Small, at(1s)).has_value() == (advisories.shareOf(kEngine) > 0));
    }
    CHECK(shares == 5);
    CHECK(total == doctest::Approx(4));
}

TEST_CASE("a limit read by another daemon holds here unless an answer here is newer [advisories]")
{
    EndpointAdvisories reader { HostId("front-2") };
    reader.recordResponse(kEngine, limit(4), at(0ms), at(1000ms));
    const auto told = reader.report(at(900ms), at(1100ms)).limits;
    REQUIRE(told.size() == 1);
    CHECK(told[0].age == 100ms);
    EndpointAdvisories advisories { HostId("front-1") };
    CHECK(advisories.recordPeerLimit(kEngine, told[0], at(1150ms)));
    CHECK(advisories.limitOf(kEngine) == 4.0);
    CHECK(advisories.report(at(0ms), at(1200ms)).limits.empty());
    advisories.recordResponse(kEngine, {}, at(1200ms), at(1300ms));
    CHECK_FALSE(advisories.limitOf(kEngine));
    // The same report once more, late.
    CHECK_FALSE(advisories.recordPeerLimit(kEngine, { kEngine.id, kEngine.incarnation, 4.0, 300ms }, at(1350ms)));
    CHECK_FALSE(advisories.limitOf(kEngine));
}

TEST_CASE("the end of a limit read by another daemon ends it here unless it was named again since [advisories]")
{
    EndpointAdvisories advisories { HostId("front-1") };
    advisories.recordResponse(kEngine, limit(4), at(0ms), at(1000ms));
    const AdvisedLimit lifted { kEngine.id, kEngine.incarnation, std::nullopt, 200ms };
    CHECK_FALSE(advisories.recordPeerLimit(kEngine, lifted, at(1300ms)));
    CHECK(advisories.limitOf(kEngine) == 4.0);
    CHECK(advisories.recordPeerLimit(kEngine, lifted, at(2000ms)));
    CHECK_FALSE(advisories.limitOf(kEngine));
}

TEST_CASE("that an endpoint leaves holds until its incarnation ends, also when it was gone meanwhile [advisories]")
{
    EndpointAdvisories advisories { HostId("front-1") };
    CHECK_FALSE(advisories.isLeaving(kEngine));
    CHECK(advisories.recordLeaving(kEngine, at(0ms)));
    CHECK_FALSE(advisories.recordLeaving(kEngine, at(1ms)));
    advisories.recordResponse(kEngine, {}, at(2ms), at(3ms));
    advisories.forget(kEngine.id);
    CHECK(advisories.isLeaving(kEngine));
    const EndpointInstance restarted { kEngine.id, Incarnation(8), kEngine.service };
    CHECK_FALSE(advisories.isLeaving(restarted));
    CHECK(advisories.recordLeaving(restarted, at(4ms)));
    CHECK_FALSE(advisories.recordLeaving(kEngine, at(5ms)));
    advisories.setFleet({}, at(11min));
    CHECK_FALSE(advisories.isLeaving(restarted));
}

TEST_CASE("that an endpoint leaves is told by the daemon that read it, for some seconds [advisories]")
{
    EndpointAdvisories reader { HostId("front-2") };
    reader.recordLeaving(kEngine, at(0ms));
    const auto told = reader.report(at(0ms), at(4s)).leaving;
    REQUIRE(told.size() == 1);
    CHECK(told.front().endpoint == kEngine.id);
    CHECK(told.front().incarnation == kEngine.incarnation);
    CHECK(reader.report(at(0ms), at(6s)).leaving.empty());
    EndpointAdvisories advisories { HostId("front-1") };
    CHECK(advisories.recordPeerLeaving(kEngine, at(10ms)));
    CHECK(advisories.isLeaving(kEngine));
    CHECK(advisories.report(at(0ms), at(20ms)).leaving.empty());
}

TEST_CASE("whatever an endpoint says, and others say of it, nothing is sent while it wants nothing [advisories]")
{
    CHECK(rc::check([] {
        EndpointAdvisories advisories { HostId("front-1") };
        auto now = at(0ms);
        MonotonicTime pausedUntil {};
        bool isLeaving = false;
        const auto steps = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 8));
        for (const int step : steps) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 800));
            const auto sentAt = now - std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
            const std::chrono::milliseconds retryAfter(*rc::gen::inRange(0, 5000));
            switch (step) {
            case 0:
                advisories.recordRetryAfter(kEngine, 8, retryAfter, now);
                pausedUntil = std::max(pausedUntil, now + retryAfter);
                break;
            case 1:
                advisories.recordResponse(kEngine, limit(*rc::gen::element(0.0, 3.0, 100.0)), sentAt, now);
                break;
            case 2:
                advisories.recordResponse(kEngine, {}, sentAt, now);
                break;
            case 3:
                advisories.recordPeerLimit(kEngine, { kEngine.id, kEngine.incarnation, std::nullopt, 10ms }, now);
                break;
            case 4:
                advisories.forget(kEngine.id);
                break;
            case 5:
                advisories.setFleet({ HostId("front-2") }, now);
                break;
            case 6:
                isLeaving = isLeaving || retryAfter > 4500ms;
                if (isLeaving)
                    advisories.recordLeaving(kEngine, now);
                break;
            default:
                // An earlier process of the engine says nothing of this one.
                advisories.recordRetryAfter({ kEngine.id, Incarnation(6), kEngine.service }, 8, retryAfter, now);
            }
            RC_ASSERT(advisories.isLeaving(kEngine) == isLeaving);
            if (now >= pausedUntil)
                continue;
            RC_ASSERT(advisories.isPaused(kEngine, now));
            RC_ASSERT(!advisories.admits(kEngine, RequestSize::Large, now));
            RC_ASSERT(!advisories.admits(kEngine, RequestSize::Small, pausedUntil - 1ms));
            const auto next = advisories.nextAdmission(kEngine, RequestSize::Small, now);
            RC_ASSERT(!next || *next >= pausedUntil);
        }
    }));
}

TEST_CASE("after a pause requests are resumed at the rate of the slots, which doubles four times a second [advisories]")
{
    EndpointAdvisories advisories { HostId("front-1") };
    CHECK(advisories.recordRetryAfter(kEngine, 8, 2s, at(0ms)));
    CHECK_FALSE(advisories.recordRetryAfter(kEngine, 8, 500ms, at(100ms)));
    std::vector<std::chrono::milliseconds> sends;
    for (auto time = 0ms; time < 3s; time += 1ms) {
        const auto next = advisories.nextAdmission(kEngine, RequestSize::Small, at(time));
        REQUIRE(next);
        CHECK((*next <= at(time)) == advisories.admits(kEngine, RequestSize::Small, at(time)));
        if (advisories.admits(kEngine, RequestSize::Small, at(time))) {
            advisories.recordSend(kEngine, at(time));
            sends.push_back(time);
        }
    }
    const auto countBefore = [&sends](auto time) { return std::count_if(sends.begin(), sends.end(), [time](auto send) { return send < time; }); };
    CHECK(countBefore(2s) == 0);
    CHECK(countBefore(2250ms) == 3);
    CHECK(countBefore(2500ms) == 9);
    CHECK(countBefore(2750ms) == 21);
    for (int i = 0; i < 50; ++i)
        CHECK(advisories.admits(kEngine, RequestSize::Small, at(3501ms)));
}
