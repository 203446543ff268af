#include "hornbeamgate/gateway/shared_token_bucket.hpp"

#include "gateway/time_support.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate::gateway;
using namespace hornbeamgate::gateway::testing;
using namespace std::chrono_literals;

TEST_CASE("a bucket starts empty and fills up to its burst [rates]")
{
    SharedTokenBucket bucket(100, 200, at(0ms));
    CHECK_FALSE(bucket.draw(1, at(0ms)));
    CHECK(bucket.level(at(1s)) == doctest::Approx(100));
    CHECK(bucket.level(at(10s)) == doctest::Approx(200));
    CHECK(bucket.draw(250, at(10s)));
    CHECK_FALSE(bucket.draw(1, at(10s)));
    CHECK(bucket.nextDraw(at(10s)) == at(10500ms));
}

TEST_CASE("a deficit caused by other daemons is refilled before the next draw [rates]")
{
    SharedTokenBucket bucket(100, 100, at(0ms));
    bucket.charge(300, at(1s));
    CHECK_FALSE(bucket.draw(1, at(2900ms)));
    CHECK(bucket.draw(1, at(3100ms)));
}

TEST_CASE("the parts of a partitioned fleet share the rate [rates]")
{
    SharedTokenBucket bucket(100, 1000, at(0ms));
    bucket.setFleet(1, 4, at(0ms));
    CHECK(bucket.level(at(4s)) == doctest::Approx(100));
    bucket.setFleet(4, 4, at(4s));
    CHECK(bucket.level(at(5s)) == doctest::Approx(200));
}

TEST_CASE("the level is capped when the burst is lowered [rates]")
{
    SharedTokenBucket bucket(100, 1000, at(0ms));
    bucket.setLimits(10, 50, at(10s));
    CHECK(bucket.level(at(10s)) == doctest::Approx(50));
}
