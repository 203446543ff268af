#include "hornbeamgate/runtime/gateway/quarantine_task.hpp"

#include "hornbeamgate/gateway/quarantine_codec.hpp"
#include "platform/fake_directory.hpp"
#include "platform_wire_format.hpp"
#include "runtime/loop_support.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace hornbeamgate::gateway::testing;
using hornbeamgate::testing::runFor;
using hornbeamgate::testing::runUntil;
using namespace std::chrono_literals;

namespace {

const std::vector<PartKey> kDeadlyPrompt { 7, 8 };

/// Gateway that has just started and finds `stored` in the store.
struct Gateway {
    explicit Gateway(const std::vector<StoredObservations>& stored)
    {
        task.start();
        REQUIRE(directory.observationReads.size() == 1);
        directory.observationReads.front()(stored);
    }

    /// Loses an engine with a run that had begun its response, sent a second after the previous one.
    void loseEngine(int number)
    {
        const auto now = MonotonicClock::now();
        const auto sentAt = now - 10s + 1s * number;
        state.quarantine.runLost({ runKey("r", number), engineKey(EndpointId("e" + std::to_string(number)), Incarnation(1)), kDeadlyPrompt, true, sentAt, sentAt + 100ms });
    }
    bool isWithheld() const { return state.quarantine.withheldUntil(kDeadlyPrompt, MonotonicClock::now()).has_value(); }

    /// Waits until the observations are saved, and returns what the store then holds.
    std::vector<StoredObservations> savedObservations(LogOffset offset = LogOffset(1))
    {
        const auto before = directory.observationSaves.size();
        REQUIRE(runUntil([&] { return directory.observationSaves.size() > before; }));
        directory.observationSaves.back()(offset);
        return { directory.savedObservations.back() };
    }

    GatewaySettings settings;
    platform::PlatformWireFormat wire;
    GatewayState state { settings, wire };
    FakeDirectory directory;
    QuarantineTask task { state, directory, HostId("front-1") };
};

} // namespace

TEST_CASE("a quarantine outlives the end of all gateways [quarantine]")
{
    Gateway before({});
    for (int number = 1; number <= 3; ++number)
        before.loseEngine(number);
    REQUIRE(before.isWithheld());
    const auto stored = before.savedObservations();
    CHECK(stored.front().host == HostId("front-1"));
    const Gateway after(stored);
    CHECK(after.isWithheld());
}

TEST_CASE("crashes before and after the end of all gateways count together [quarantine]")
{
    Gateway before({});
    before.loseEngine(1);
    before.loseEngine(2);
    const auto stored = before.savedObservations();
    Gateway after(stored);
    CHECK_FALSE(after.isWithheld());
    after.loseEngine(3);
    CHECK(after.isWithheld());
    // What is known from before is saved again with what is new.
    const Gateway third(after.savedObservations());
    CHECK(third.isWithheld());
}

TEST_CASE("observations are saved once after each change, and again after a failed call [quarantine]")
{
    Gateway gateway({});
    runFor(300ms);
    CHECK(gateway.directory.savedObservations.empty());
    gateway.loseEngine(1);
    REQUIRE(runUntil([&] { return gateway.directory.observationSaves.size() == 1; }));
    gateway.directory.observationSaves.back()(failure(DirectoryError { "down" }));
    REQUIRE(runUntil([&] { return gateway.directory.observationSaves.size() == 2; }));
    // A loss while the call is in progress needs another one.
    gateway.loseEngine(2);
    gateway.directory.observationSaves.back()(LogOffset(1));
    REQUIRE(runUntil([&] { return gateway.directory.observationSaves.size() == 3; }));
    gateway.directory.observationSaves.back()(LogOffset(2));
    runFor(300ms);
    CHECK(gateway.directory.observationSaves.size() == 3);
}

TEST_CASE("observations are saved again after a return of the store, which may have lost them [quarantine][store-return]")
{
    Gateway gateway({});
    gateway.state.storeEra = storeEra(6);
    for (int number = 1; number <= 3; ++number)
        gateway.loseEngine(number);
    REQUIRE(runUntil([&] { return gateway.directory.observationSaves.size() == 1; }));
    gateway.directory.observationSaves.back()(positionInEra(storeEra(6), 9));
    runFor(300ms);
    REQUIRE(gateway.directory.observationSaves.size() == 1);
    gateway.state.storeEra = storeEra(7);
    const Gateway after(gateway.savedObservations(positionInEra(storeEra(7), 2)));
    CHECK(after.isWithheld());
    runFor(300ms);
    CHECK(gateway.directory.observationSaves.size() == 2);
}

TEST_CASE("a return of the store saves nothing while there are no observations [quarantine][store-return]")
{
    Gateway gateway({});
    gateway.state.storeEra = storeEra(6);
    runFor(300ms);
    gateway.state.storeEra = storeEra(7);
    runFor(300ms);
    CHECK(gateway.directory.observationSaves.empty());
}

TEST_CASE("observations that the store acknowledged in an earlier era than the newest known one are saved again [quarantine][store-return]")
{
    Gateway gateway({});
    gateway.state.storeEra = storeEra(7);
    gateway.loseEngine(1);
    REQUIRE(runUntil([&] { return gateway.directory.observationSaves.size() == 1; }));
    gateway.directory.observationSaves.back()(positionInEra(storeEra(6), 9));
    CHECK(runUntil([&] { return gateway.directory.observationSaves.size() == 2; }));
}

TEST_CASE("observations are read again after a failed call, and unreadable and old ones are removed [quarantine]")
{
    GatewaySettings settings;
    const platform::PlatformWireFormat wire;
    GatewayState state { settings, wire };
    FakeDirectory directory;
    QuarantineTask task { state, directory, HostId("front-1") };
    task.start();
    directory.observationReads.front()(failure(DirectoryError { "down" }));
    REQUIRE(runUntil([&] { return directory.observationReads.size() == 2; }));
    const auto old = encodeStoredQuarantine({}, std::chrono::system_clock::now() - 2h);
    directory.observationReads.back()(std::vector<StoredObservations> { { HostId("broken"), { 1, 2, 3 } }, { HostId("old"), old }, { HostId("kept"), encodeStoredQuarantine({}, std::chrono::system_clock::now()) } });
    REQUIRE(directory.savedObservations.size() == 2);
    for (std::size_t i = 0; i < 2; ++i)
        CHECK(directory.savedObservations[i].observations.empty());
    CHECK(directory.savedObservations[0].host == HostId("broken"));
    CHECK(directory.savedObservations[1].host == HostId("old"));
}
