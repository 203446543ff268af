#include "platform/store_follower.hpp"

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace hornbeamgate::gateway::testing;
using hornbeamgate::testing::runUntil;
using namespace std::chrono_literals;

namespace {

/// A gateway that has applied version 1 and waits for the next record.
struct Fixture {
    Fixture()
    {
        store.append(kOperators, "config", config(1));
        const int before = store.reads(kOperators);
        REQUIRE(runUntil([&] { return gateway.hasConfig(1) && store.reads(kOperators) > before + 1; }));
    }

    /// Publishes version 2 and returns how long it takes until it is in force.
    Duration publish()
    {
        store.append(kOperators, "config", config(2));
        const auto published = MonotonicClock::now();
        REQUIRE(runUntil([&] { return gateway.hasConfig(2); }));
        return MonotonicClock::now() - published;
    }

    StoreStandIn store;
    StoreFollower gateway { store.address() };
};

} // namespace

TEST_CASE("a configuration is in force within its bound after the store has left a long poll unanswered [directory]")
{
    Fixture fixture;
    fixture.store.fallSilent();
    fixture.store.answerAgain();
    CHECK(fixture.publish() < kConfigBound);
}

TEST_CASE("a configuration is in force within its bound after the store was silent for several calls [directory]")
{
    Fixture fixture;
    fixture.store.fallSilent();
    const int before = fixture.store.reads(kOperators);
    REQUIRE(runUntil([&] { return fixture.store.reads(kOperators) > before; }));
    fixture.store.answerAgain();
    CHECK(fixture.publish() < kConfigBound);
}
