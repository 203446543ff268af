#include "routing/router_fixture.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <map>
#include <set>

using namespace hornbeamgate;
using namespace hornbeamgate::test;

namespace {

Router routerWithEngines(std::size_t count, const RouterOptions& options = routerOptions())
{
    auto router = makeRouter(options);
    for (std::size_t i = 0; i < count; ++i)
        router.handle(upEvent(i), kStart);
    return router;
}

void finish(Router& router, std::uint64_t id, std::uint32_t hits, MonotonicTime now)
{
    router.handle(FirstPieceSeen { RequestId(id), hits }, now);
    router.handle(RequestFinished { RequestId(id) }, now);
}

} // namespace

TEST_CASE("invalid options are rejected with a reason [routing]")
{
    auto noPaths = routerOptions();
    noPaths.paths.clear();
    auto zeroBandwidthPath = routerOptions();
    zeroBandwidthPath.paths[0].bytesPerSecond = 0;
    auto noAttempts = routerOptions();
    noAttempts.policy.maxAttempts = 0;
    for (const auto& options : { noPaths, zeroBandwidthPath, noAttempts })
        CHECK_FALSE(Router::create(options, std::mt19937_64(1)).error().detail.empty());
}

TEST_CASE("daemons choose the same home for a new prefix without communication [routing]")
{
    auto first = routerWithEngines(20);
    auto second = Router::create(routerOptions(), std::mt19937_64(99)).value();
    for (std::size_t i = 20; i > 0; --i)
        second.handle(upEvent(i - 1), kStart);
    std::set<EndpointId> homes;
    for (std::uint64_t id = 0; id < 30; ++id) {
        const auto arrived = request(id, chain(id, 8));
        const auto home = first.place(arrived, kStart)->endpoint;
        CHECK(home == second.place(arrived, kStart)->endpoint);
        homes.insert(home);
        finish(first, id, 0, kStart);
        finish(second, id, 0, kStart);
    }
    CHECK(homes.size() > 8);
}

TEST_CASE("requests avoid a busy home once waiting costs more than recomputing [routing]")
{
    auto router = routerWithEngines(4);
    const auto blocks = chain(1, 4);
    const auto home = router.place(request(1, blocks), kStart)->endpoint;
    finish(router, 1, 0, kStart);
    router.handle(LoadReported { home, Incarnation(1), 3, milliseconds(50), kStart }, kStart);
    CHECK(router.place(request(2, blocks), kStart)->endpoint == home);
    finish(router, 2, 4, kStart);
    router.handle(LoadReported { home, Incarnation(1), 3, milliseconds(900), kStart }, kStart);
    CHECK(router.place(request(3, blocks), kStart)->endpoint != home);
}

TEST_CASE("the daemon's own placements count before a load report includes them [routing]")
{
    auto router = routerWithEngines(6);
    std::set<EndpointId> used;
    for (std::uint64_t id = 0; id < 60; ++id)
        used.insert(router.place(request(id, chain(1, 4)), kStart)->endpoint);
    CHECK(used.size() >= 4);
}

TEST_CASE("a hot prefix gets more homes and loses them when its request rate drops [routing]")
{
    auto options = routerOptions();
    options.policy.useBoundedLoad = false;
    options.policy.useBlockLocations = false;
    auto router = routerWithEngines(20, options);
    std::uint64_t id = 0;
    const auto homesOf = [&](std::uint64_t document, int requests, MonotonicTime now) {
        std::set<EndpointId> used;
        for (int i = 0; i < requests; ++i) {
            used.insert(router.place(request(++id, chain(document, 2), now), now)->endpoint);
            finish(router, id, 2, now);
        }
        return used.size();
    };
    for (std::uint64_t other = 100; other < 140; ++other)
        homesOf(other, 1, kStart);
    homesOf(1, 20, kStart);
    const auto hot = homesOf(1, 40, kStart);
    CHECK(hot >= 4);
    const auto later = kStart + seconds(200);
    for (std::uint64_t other = 100; other < 200; ++other)
        homesOf(other, 1, later);
    CHECK(homesOf(1, 1, later) == 1);
    CHECK(homesOf(1, 3, later) <= 2);
}

TEST_CASE("block locations are recorded from responses and invalidated by a new incarnation or weights version [routing]")
{
    for (const bool restart : { true, false }) {
        auto router = routerWithEngines(10);
        const auto blocks = chain(5, 6);
        const auto home = router.place(request(1, blocks), kStart)->endpoint;
        finish(router, 1, 0, kStart);
        CHECK(router.place(request(2, blocks), kStart)->expectedHitBlocks == 6);
        finish(router, 2, 6, kStart);
        auto up = upEvent(std::stoul(home.value().substr(7)), restart ? 2 : 1, restart ? 1 : 2);
        up.readySince = kStart;
        router.handle(up, kStart);
        for (std::size_t i = 0; i < 10; ++i)
            if (engine(i) != home)
                router.handle(EndpointDown { engine(i), Incarnation(1) }, kStart);
        const auto later = kStart + seconds(9);
        const auto placed = router.place(request(3, chain(6, 6), later, restart ? 1 : 2), later);
        REQUIRE(placed);
        CHECK(placed->endpoint == home);
        CHECK(placed->expectedHitBlocks == 0);
        CHECK(placed->incarnation == up.incarnation);
    }
}

TEST_CASE("the metered link is used only if no endpoint in the own data centre is left [routing]")
{
    auto router = makeRouter();
    auto far = upEvent(0);
    far.dataCenter = DataCenterId("sezana");
    router.handle(far, kStart);
    router.handle(upEvent(1), kStart);
    for (std::uint64_t id = 0; id < 20; ++id) {
        CHECK(router.place(request(id, chain(id, 2)), kStart)->endpoint == engine(1));
        finish(router, id, 0, kStart);
    }
    router.handle(EndpointDown { engine(1), Incarnation(1) }, kStart);
    CHECK(router.place(request(50, chain(1, 2)), kStart)->endpoint == engine(0));
}

TEST_CASE("a restarted engine gets an increasing share of new prefixes [routing]")
{
    auto options = routerOptions();
    options.policy.useBoundedLoad = false;
    options.policy.sampledCandidates = 0;
    auto router = routerWithEngines(8, options);
    auto cold = upEvent(0, 2);
    cold.readySince = kStart;
    router.handle(cold, kStart);
    std::uint64_t id = 0;
    const auto share = [&](MonotonicTime now) {
        int count = 0;
        for (int i = 0; i < 200; ++i) {
            ++id;
            count += router.place(request(id, chain(id, 2), now), now)->endpoint == engine(0);
            finish(router, id, 0, now);
        }
        return count;
    };
    const auto atStart = share(kStart + milliseconds(100));
    const auto atEnd = share(kStart + options.policy.warmUp);
    CHECK(atStart < 5);
    CHECK(atEnd > 15);
}

TEST_CASE("a request that cannot meet its deadline is refused before it runs [routing]")
{
    auto router = routerWithEngines(2);
    for (std::size_t i = 0; i < 2; ++i)
        router.handle(LoadReported { engine(i), Incarnation(1), 3, seconds(5), kStart }, kStart);
    const auto refused = router.place(request(1, chain(1, 2), kStart, 1, seconds(1)), kStart);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().reason == RoutingRefusalReason::DeadlineUnreachable);
    CHECK(router.inFlight() == 0);
    CHECK(router.place(request(2, chain(1, 2), kStart, 1, seconds(8)), kStart));
}

TEST_CASE("an unserved model and an unserved weights version are refused [routing]")
{
    auto router = routerWithEngines(2);
    auto other = request(1, chain(1, 1));
    other.model = ModelId("unknown");
    CHECK(router.place(other, kStart).error().reason == RoutingRefusalReason::NoEndpoint);
    CHECK(router.place(request(2, chain(1, 1), kStart, 2), kStart).error().reason == RoutingRefusalReason::NoEndpoint);
}

TEST_CASE("failed attempts are retried on other endpoints and finally refused [routing]")
{
    auto router = routerWithEngines(8);
    std::set<EndpointId> tried;
    auto placement = router.place(request(1, chain(1, 3)), kStart);
    while (placement) {
        CHECK(tried.insert(placement->endpoint).second);
        placement = router.replace(PlacementFailed { RequestId(1) }, kStart);
    }
    CHECK(placement.error().reason == RoutingRefusalReason::AttemptsExhausted);
    CHECK(tried.size() == routerOptions().policy.maxAttempts);
    CHECK(router.inFlight() == 0);
    CHECK(router.replace(PlacementFailed { RequestId(1) }, kStart).error().reason == RoutingRefusalReason::UnknownRequest);
}

TEST_CASE("a refusal by an agent updates its queued work and cache hits in the router [routing]")
{
    auto router = routerWithEngines(3);
    const auto first = router.place(request(1, chain(1, 4)), kStart);
    const auto second = router.replace(PlacementRefused { RequestId(1), seconds(3), 0 }, kStart);
    REQUIRE(second);
    CHECK(second->endpoint != first->endpoint);
    CHECK(router.inFlight(first->endpoint) == 0);
    CHECK(router.inFlight(second->endpoint) == 1);
}

TEST_CASE("blocks are imported only where that is faster than computing them [routing]")
{
    const auto blocks = chain(1, 6);
    const auto imports = [&](Duration importPerBlock, std::size_t stored, MonotonicTime now) {
        auto options = routerOptions();
        options.paths[0].importPerBlock = importPerBlock;
        auto router = makeRouter(options);
        router.handle(upEvent(0), kStart);
        router.handle(KvBlocksStored { { blocks[stored - 1] } }, kStart);
        return router.place(request(1, blocks, now), now).value();
    };
    CHECK(imports(milliseconds(10), 5, kStart).importBlocks == 5);
    const auto wait = imports(milliseconds(10), 5, kStart).estimatedFirstToken - kStart;
    CHECK(std::chrono::floor<milliseconds>(wait) == milliseconds(3 + 10 + 40 + 50));
    CHECK(imports(milliseconds(41), 5, kStart).importBlocks == 0);
    CHECK(imports(Duration::zero(), 5, kStart).importBlocks == 0);
    CHECK(imports(milliseconds(10), 5, kStart + seconds(200)).importBlocks == 0);
}

TEST_CASE("a delayed load report does not overwrite a newer one [routing]")
{
    auto router = routerWithEngines(1);
    router.handle(LoadReported { engine(0), Incarnation(1), 1, seconds(4), kStart }, kStart);
    router.handle(LoadReported { engine(0), Incarnation(1), 1, seconds(0), kStart - seconds(1) }, kStart);
    router.handle(LoadReported { engine(0), Incarnation(9), 1, seconds(0), kStart }, kStart);
    CHECK(router.place(request(1, chain(1, 1)), kStart)->estimatedFirstToken >= kStart + seconds(4));
}

TEST_CASE("the dump contains each endpoint and the counters [routing]")
{
    auto router = routerWithEngines(2);
    CHECK(router.place(request(1, chain(1, 1)), kStart));
    const auto dump = router.dump(kStart);
    CHECK(dump["endpoints"].size() == 2);
    CHECK(dump["in_flight"] == 1);
    CHECK(dump["placed"] == 1);
}
