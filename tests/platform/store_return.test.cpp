#include "platform/store_follower.hpp"

#include <algorithm>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace hornbeamgate::gateway::testing;
using hornbeamgate::testing::runFor;
using hornbeamgate::testing::runUntil;
using namespace std::chrono_literals;

namespace {

const std::string kEngines = "keyed.servers";
const std::string kDaemons = "keyed.routers";
const std::string kOwnKey = "front-1";
const EndpointId kEngine("e1");
const ModelId kModel("m");

std::string weights(int version)
{
    return R"({"model":"m","version":)" + std::to_string(version) + '}';
}

/// Entry of an engine's process, which numbers its entries.
std::string engine(int sequence, const std::string& state = "ready", int born = 1)
{
    return R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":1,"state":")" + state + R"(","born":)" + std::to_string(born) + R"(,"sequence":)" + std::to_string(sequence) + '}';
}

/// Returns whether `done` returns true within `time`.
template <typename Predicate>
bool happensWithin(Duration time, Predicate done)
{
    const auto end = MonotonicClock::now() + time;
    REQUIRE(runUntil([&] { return done() || MonotonicClock::now() >= end; }));
    return done();
}

/// A gateway with the configurations 1 to 3, of which a copy of the store has only the first.
struct Fixture {
    explicit Fixture(std::optional<VersionRolloutLimits> versionRollouts = std::nullopt)
        : gateway(store.address(), versionRollouts)
    {
        store.append(kOperators, "config", config(1));
        REQUIRE(runUntil([&] { return gateway.hasConfig(1) && store.newest(kDaemons, kOwnKey); }));
        publish(2);
        publish(3);
    }

    /// Publishes a configuration, and waits until the gateway has it and waits for the next record.
    void publish(int version)
    {
        waitForReads(kOperators, 1, [&] { store.append(kOperators, "config", config(version)); });
        REQUIRE(gateway.hasConfig(version));
    }

    /// Returns whether `version` is in force within the bound of a configuration from now on.
    bool isInForceInTime(int version)
    {
        return happensWithin(kConfigBound, [&] { return gateway.hasConfig(version); });
    }

    /// Lets `change` happen and waits until the gateway has read `topic` `count` times since.
    template <typename Change>
    void waitForReads(const std::string& topic, int count, Change change)
    {
        REQUIRE(runUntil([&] { return store.isReadHeld(kOperators); }));
        const int before = store.reads(topic);
        change();
        REQUIRE(runUntil([&] { return store.reads(topic) >= before + count; }));
    }

    /// Appends an entry of the engine and waits until the gateway has read it.
    void registerEngine(const std::string& entry)
    {
        // A read that is answered before the entry is appended has been counted already.
        waitForReads(kEngines, 2, [&] { store.append(kEngines, kEngine.value(), entry); });
    }

    /// Lets the store lose all but the first record of operators and of engines, and waits until the gateway has noticed.
    void returnWithOneRecord()
    {
        waitForReads(kEngines, 2, [&] { waitForReads(kOperators, 1, [&] { store.returnFromCopy({ { kOperators, 1 }, { kEngines, 1 } }); }); });
    }

    const EndpointEntry* knownEngine() const { return gateway.state.registry.find(kEngine); }
    WeightsVersion target() const
    {
        const auto& targets = gateway.state.weightsRollout.targets();
        const auto found = targets.find(kModel);
        return found == targets.end() ? WeightsVersion() : found->second;
    }

    /// Returns the position of the order of the rollout that is in progress.
    std::optional<LogOffset> runningOrder() const
    {
        const auto running = gateway.state.versionRollouts->report(MonotonicClock::now()).services;
        return running.empty() || running.front().isBad ? std::nullopt : std::optional(running.front().order);
    }

    StoreStandIn store { 6 };
    StoreFollower gateway;
};

} // namespace

TEST_CASE("a configuration that is published at an offset given out before is in force within its bound [store-return]")
{
    Fixture fixture;
    fixture.store.returnFromCopy({ { kOperators, 1 } });
    SUBCASE("before the gateway has noticed the return") { }
    SUBCASE("after the gateway has noticed the return")
    {
        runFor(300ms);
    }
    fixture.store.append(kOperators, "config", config(4));
    CHECK(fixture.isInForceInTime(4));
}

TEST_CASE("a configuration is in force within its bound if the offsets have passed the old end before the next read [store-return]")
{
    Fixture fixture;
    fixture.store.fallSilent();
    fixture.store.returnFromCopy({ { kOperators, 1 } });
    fixture.store.append(kOperators, "config", config(4));
    for (int version = 1; version <= 4; ++version)
        fixture.store.append(kOperators, "version/m", weights(version));
    fixture.store.answerAgain();
    CHECK(fixture.isInForceInTime(4));
}

TEST_CASE("a configuration is in force within its bound if the offsets have reached exactly the old end before the next read [store-return]")
{
    Fixture fixture;
    fixture.store.fallSilent();
    fixture.store.returnFromCopy({ { kOperators, 1 } });
    fixture.store.append(kOperators, "config", config(4));
    fixture.store.append(kOperators, "version/m", weights(1));
    fixture.store.answerAgain();
    CHECK(fixture.isInForceInTime(4));
}

TEST_CASE("configurations are in force within their bound after each of two returns of the store [store-return]")
{
    Fixture fixture;
    fixture.store.returnFromCopy({ { kOperators, 1 } });
    SUBCASE("directly after each other") { }
    SUBCASE("with a configuration in between")
    {
        fixture.store.append(kOperators, "config", config(4));
        CHECK(fixture.isInForceInTime(4));
    }
    fixture.store.returnFromCopy({ { kOperators, 0 } });
    fixture.store.append(kOperators, "config", config(5));
    CHECK(fixture.isInForceInTime(5));
}

TEST_CASE("an older configuration in the store's copy does not replace the one in force [store-return]")
{
    Fixture fixture;
    fixture.returnWithOneRecord();
    CHECK(fixture.gateway.hasConfig(3));
    // The operator writes again what the store has lost, also versions in between.
    for (const int version : { 2, 3 }) {
        fixture.waitForReads(kOperators, 1, [&] { fixture.store.append(kOperators, "config", config(version)); });
        CHECK(fixture.gateway.hasConfig(3));
    }
    fixture.store.append(kOperators, "config", config(4));
    CHECK(fixture.isInForceInTime(4));
}

TEST_CASE("older weights in the store's copy do not replace the newer target, and weights named after the return do [store-return]")
{
    Fixture fixture;
    for (const int version : { 1, 2 })
        fixture.waitForReads(kOperators, 1, [&] { fixture.store.append(kOperators, "version/m", weights(version)); });
    REQUIRE(fixture.target() == WeightsVersion(2));
    fixture.waitForReads(kOperators, 1, [&] { fixture.store.returnFromCopy({ { kOperators, 4 } }); });
    CHECK(fixture.target() == WeightsVersion(2));
    fixture.store.append(kOperators, "version/m", weights(3));
    CHECK(happensWithin(kConfigBound, [&] { return fixture.target() == WeightsVersion(3); }));
}

TEST_CASE("weights named while the gateway notices the return do not count as overdue at once [store-return]")
{
    Fixture fixture;
    fixture.waitForReads(kOperators, 1, [&] { fixture.store.append(kOperators, "version/m", weights(1)); });
    fixture.store.returnFromCopy({ { kOperators, 1 } });
    fixture.store.append(kOperators, "version/m", weights(2));
    REQUIRE(happensWithin(kConfigBound, [&] { return fixture.target() == WeightsVersion(2); }));
    CHECK(fixture.gateway.state.weightsRollout.oldestAllowed(kModel, MonotonicClock::now()) < WeightsVersion(2));
}

TEST_CASE("a gateway registers again after a return that lost its registration [store-return]")
{
    Fixture fixture;
    for (int times = 0; times < 2; ++times) {
        fixture.store.returnFromCopy({ { kDaemons, 0 }, { kOperators, 1 } });
        REQUIRE_FALSE(fixture.store.newest(kDaemons, kOwnKey));
        CHECK(happensWithin(kConfigBound, [&] { return fixture.store.newest(kDaemons, kOwnKey).has_value(); }));
    }
}

TEST_CASE("an engine that has said that it leaves stays out when the store's copy lists it as ready [store-return]")
{
    Fixture fixture;
    fixture.registerEngine(engine(1));
    fixture.registerEngine(engine(2, "draining"));
    REQUIRE(fixture.knownEngine());
    REQUIRE(fixture.knownEngine()->isLeaving);
    fixture.returnWithOneRecord();
    REQUIRE(fixture.knownEngine());
    CHECK(fixture.knownEngine()->isLeaving);
    fixture.registerEngine(engine(3, "draining"));
    REQUIRE(fixture.knownEngine());
    CHECK(fixture.knownEngine()->isLeaving);
    // It has started again.
    fixture.registerEngine(engine(1, "ready", 2));
    REQUIRE(fixture.knownEngine());
    CHECK_FALSE(fixture.knownEngine()->isLeaving);
}

TEST_CASE("an engine that was removed stays out when the store's copy lists it, until it writes a newer entry [store-return]")
{
    Fixture fixture;
    fixture.registerEngine(engine(1));
    REQUIRE(fixture.knownEngine());
    fixture.registerEngine({});
    REQUIRE_FALSE(fixture.knownEngine());
    fixture.returnWithOneRecord();
    CHECK_FALSE(fixture.knownEngine());
    fixture.registerEngine(engine(2));
    CHECK(fixture.knownEngine());
}

TEST_CASE("an engine that the store's copy lacks stays in use if it registers again, and is removed otherwise [store-return]")
{
    for (const bool isRunning : { true, false }) {
        CAPTURE(isRunning);
        Fixture fixture;
        fixture.store.append(kEngines, "other", engine(1));
        fixture.registerEngine(engine(1));
        REQUIRE(fixture.knownEngine());
        fixture.returnWithOneRecord();
        CHECK(fixture.knownEngine());
        if (isRunning)
            fixture.registerEngine(engine(2));
        runFor(EndpointRegistry::kReregistrationGrace + 500ms);
        CHECK((fixture.knownEngine() != nullptr) == isRunning);
    }
}

TEST_CASE("an engine that drains after the return at an offset given out before is taken out of use [store-return]")
{
    Fixture fixture;
    for (int sequence = 1; sequence <= 4; ++sequence)
        fixture.store.append(kEngines, kEngine.value(), engine(sequence));
    REQUIRE(runUntil([&] { return fixture.knownEngine() != nullptr; }));
    fixture.returnWithOneRecord();
    fixture.registerEngine(engine(5, "draining"));
    REQUIRE(fixture.knownEngine());
    CHECK(fixture.knownEngine()->isLeaving);
}

TEST_CASE("a rollout goes on when the store returns without its order and the operator gives it again [store-return]")
{
    const std::string order = R"({"service":"s","to":"v2","duration-s":60})";
    Fixture fixture { VersionRolloutLimits {} };
    fixture.waitForReads(kOperators, 1, [&] { fixture.store.append(kOperators, "rollout/s", order); });
    REQUIRE(fixture.runningOrder() == positionInEra(StoreEra(6), 3));
    fixture.waitForReads(kOperators, 1, [&] { fixture.store.returnFromCopy({ { kOperators, 1 } }); });
    CHECK(fixture.runningOrder());
    fixture.store.append(kOperators, "rollout/s", order);
    CHECK(happensWithin(kConfigBound, [&] { return fixture.runningOrder() == positionInEra(StoreEra(7), 1); }));
}
