#include "hornbeamgate/runtime/gateway/directory_task.hpp"

#include "platform/fake_directory.hpp"
#include "platform_wire_format.hpp"
#include "runtime/loop_support.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace hornbeamgate::gateway::testing;
using hornbeamgate::testing::runUntil;
using namespace std::chrono_literals;

namespace {

/// Time after which an endpoint that has reported that it leaves gets no more requests.
constexpr Duration kLeavingBound = 3s;
/// Window in which the rate of a workspace holds over all daemons.
constexpr Duration kRateWindow = 8s;

struct Fixture {
    Fixture() { task.start(); }

    static GatewaySettings makeSettings()
    {
        GatewaySettings made;
        made.common.host = HostId("front-1");
        made.configBound = 3s;
        made.leavingBound = kLeavingBound;
        made.rateWindow = kRateWindow;
        made.leaderLease = 3s;
        made.weightsBound = 10s;
        return made;
    }

    GatewaySettings settings = makeSettings();
    platform::PlatformWireFormat wire;
    GatewayState state { settings, wire };
    FakeDirectory directory;
    DirectoryTask task { state, directory, { HostId("front-1"), Incarnation(5), {} } };
};

DirectoryRecord config(int version, std::uint64_t offset)
{
    return { "config", R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})", LogOffset(offset) };
}

DirectoryRecord engine(const std::string& id, std::uint64_t offset)
{
    return { id, R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":1,"state":"ready"})", LogOffset(offset) };
}

} // namespace

TEST_CASE("an older configuration from the store or a peer is ignored [directory]")
{
    Fixture fixture;
    fixture.directory.answer(DirectoryTopic::Operators, DirectoryPage { { config(3, 10) }, LogOffset(11) });
    REQUIRE(fixture.state.routes);
    CHECK(fixture.state.routes->config().version == ConfigVersion(3));
    fixture.task.applyRecords(DirectoryTopic::Operators, { config(2, 4) });
    CHECK(fixture.state.routes->config().version == ConfigVersion(3));
    fixture.task.applyRecords(DirectoryTopic::Operators, { config(5, 20) });
    CHECK(fixture.state.routes->config().version == ConfigVersion(5));
    REQUIRE(runUntil([&] { return fixture.directory.hasPendingCall(DirectoryTopic::Operators); }));
    CHECK(fixture.directory.watchedFrom[0] == LogOffset(11));
    fixture.directory.answer(DirectoryTopic::Operators, DirectoryPage { { config(4, 12) }, LogOffset(13) });
    CHECK(fixture.state.routes->config().version == ConfigVersion(5));
}

TEST_CASE("an unreadable record removes its endpoint without affecting others [directory]")
{
    Fixture fixture;
    fixture.directory.answer(DirectoryTopic::Endpoints, DirectoryPage { { engine("good", 1), { "bad", "{", LogOffset(2) } }, LogOffset(3) });
    CHECK(fixture.state.registry.find(EndpointId("good")));
    CHECK_FALSE(fixture.state.registry.find(EndpointId("bad")));
    // An endpoint is removed when its record becomes unreadable.
    fixture.task.applyRecords(DirectoryTopic::Endpoints, { { "good", "[]", LogOffset(5) } });
    CHECK_FALSE(fixture.state.registry.find(EndpointId("good")));
}

// Guards against unreadable entries of another writer that fill the memory of every gateway.
TEST_CASE("the values of unreadable endpoints and daemons are not kept, those of operators are [directory]")
{
    for (const auto topic : { DirectoryTopic::Operators, DirectoryTopic::Endpoints, DirectoryTopic::Daemons }) {
        Fixture fixture;
        fixture.task.applyRecords(topic, { { "bad", "{", LogOffset(2) } });
        const auto records = fixture.task.replica().recordsFrom(topic, LogOffset(0));
        REQUIRE(records.size() == 1);
        CHECK(records.front().value.has_value() == (topic == DirectoryTopic::Operators));
    }
}

// Guards against slow starts of all endpoints when a gateway starts, and against triggers that are lost.
TEST_CASE("endpoints that appear after the first listing, restart or load weights enter slow start [directory]")
{
    const auto record = [](const std::string& id, int born, int weights, std::uint64_t offset) {
        return DirectoryRecord { id, R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":8,"state":"ready","born":)" + std::to_string(born) + R"(,"models":[{"name":"m","version":)" + std::to_string(weights) + "}]}", LogOffset(offset) };
    };
    for (const bool isOn : { true, false }) {
        Fixture fixture;
        if (isOn)
            fixture.state.overload.recordSharedMachine(ServiceId("s"));
        const auto isPaced = [&](const std::string& id) {
            const auto* entry = fixture.state.registry.find(EndpointId(id));
            REQUIRE(entry);
            return fixture.state.paces.isInSlowStart(instanceOf(*entry));
        };
        fixture.directory.answer(DirectoryTopic::Endpoints, DirectoryPage { { record("a", 1, 1, 1), record("b", 1, 1, 2), record("c", 1, 1, 3) }, LogOffset(4) });
        for (const auto* id : { "a", "b", "c" })
            CHECK_FALSE(isPaced(id));
        fixture.task.applyRecords(DirectoryTopic::Endpoints, { record("a", 2, 1, 5), record("b", 1, 2, 6), record("d", 1, 1, 7), record("c", 1, 1, 8) });
        CHECK(isPaced("a") == isOn);
        CHECK(isPaced("b") == isOn);
        CHECK(isPaced("d") == isOn);
        CHECK_FALSE(isPaced("c"));
    }
}

TEST_CASE("a truncated log triggers a new listing, which removes missing entries [directory]")
{
    Fixture fixture;
    fixture.directory.answer(DirectoryTopic::Endpoints, DirectoryPage { { engine("a", 1), engine("b", 2) }, LogOffset(3) });
    REQUIRE(runUntil([&] { return fixture.directory.hasPendingCall(DirectoryTopic::Endpoints); }));
    fixture.directory.answer(DirectoryTopic::Endpoints, failure(DirectoryError { "gone", true }));
    REQUIRE(fixture.directory.listings[1]);
    fixture.directory.answer(DirectoryTopic::Endpoints, DirectoryPage { { engine("b", 9) }, LogOffset(12) });
    CHECK_FALSE(fixture.state.registry.find(EndpointId("a")));
    CHECK(fixture.state.registry.find(EndpointId("b")));
}

TEST_CASE("endpoints stay in use while the store is unavailable, and the topic is reported as stale [directory]")
{
    Fixture fixture;
    CHECK(fixture.task.isStale(DirectoryTopic::Endpoints, MonotonicClock::now()));
    fixture.directory.answer(DirectoryTopic::Endpoints, DirectoryPage { { engine("a", 1) }, LogOffset(3) });
    CHECK_FALSE(fixture.task.isStale(DirectoryTopic::Endpoints, MonotonicClock::now()));
    CHECK(fixture.task.isStale(DirectoryTopic::Endpoints, MonotonicClock::now() + 2s));
    for (int i = 0; i < 3; ++i) {
        REQUIRE(runUntil([&] { return fixture.directory.hasPendingCall(DirectoryTopic::Endpoints); }));
        fixture.directory.answer(DirectoryTopic::Endpoints, failure(DirectoryError { "down" }));
    }
    CHECK(fixture.state.registry.find(EndpointId("a")));
}

TEST_CASE("failed calls are counted and the age of the configuration grows until the store answers again [directory]")
{
    Fixture fixture;
    const auto start = MonotonicClock::now();
    CHECK(fixture.state.configAge(start) == -1ms);
    fixture.directory.answer(DirectoryTopic::Operators, DirectoryPage { { config(3, 10) }, LogOffset(11) });
    CHECK(fixture.state.configAge(MonotonicClock::now()) < 1s);
    CHECK(fixture.state.configAge(start + 9s) > 8s);
    REQUIRE(runUntil([&] { return fixture.directory.hasPendingCall(DirectoryTopic::Operators); }));
    fixture.directory.answer(DirectoryTopic::Operators, failure(DirectoryError { "down" }));
    CHECK(fixture.state.metrics.value(Counter::DirectoryCallsFailed) == 1);
    CHECK(fixture.state.configAge(start + 9s) > 8s);
}

TEST_CASE("a call for the operators' records is given up well within the configuration's bound [directory]")
{
    Fixture fixture;
    fixture.directory.answer(DirectoryTopic::Operators, DirectoryPage { { config(3, 10) }, LogOffset(11) });
    REQUIRE(runUntil([&] { return fixture.directory.hasPendingCall(DirectoryTopic::Operators); }));
    const auto silence = fixture.directory.silences[FakeDirectory::index(DirectoryTopic::Operators)];
    CHECK(silence > 0s);
    CHECK(silence <= fixture.settings.configBound * 5 / 8);
}

TEST_CASE("a call for the other daemons is given up well within the window of the rates that they share [directory]")
{
    Fixture fixture;
    fixture.directory.answer(DirectoryTopic::Daemons, DirectoryPage { {}, LogOffset(0) });
    REQUIRE(runUntil([&] { return fixture.directory.hasPendingCall(DirectoryTopic::Daemons); }));
    CHECK(fixture.directory.silences[FakeDirectory::index(DirectoryTopic::Daemons)] <= kRateWindow * 5 / 8);
}

TEST_CASE("during an outage calls for endpoints are given up well within the bound on leaving endpoints [directory]")
{
    Fixture fixture;
    for (int failures = 0; failures < 4; ++failures) {
        REQUIRE(runUntil([&] { return fixture.directory.hasPendingCall(DirectoryTopic::Endpoints); }));
        CHECK(fixture.directory.silences[FakeDirectory::index(DirectoryTopic::Endpoints)] <= kLeavingBound / 2);
        const auto failed = MonotonicClock::now();
        fixture.directory.answer(DirectoryTopic::Endpoints, failure(DirectoryError { "down" }));
        REQUIRE(runUntil([&] { return fixture.directory.hasPendingCall(DirectoryTopic::Endpoints); }));
        CHECK(MonotonicClock::now() - failed < kLeavingBound * 5 / 16);
    }
}

TEST_CASE("the endpoint poll interval grows with the fleet up to its limit [directory]")
{
    Fixture fixture;
    for (int i = 0; i < 40; ++i)
        fixture.state.peers.add(HostId("front-" + std::to_string(100 + i)), {}, Incarnation(1), MonotonicClock::now());
    fixture.directory.answer(DirectoryTopic::Endpoints, DirectoryPage { { engine("a", 1) }, LogOffset(2) });
    const auto answered = MonotonicClock::now();
    REQUIRE(runUntil([&] { return fixture.directory.hasPendingCall(DirectoryTopic::Endpoints); }));
    const auto pause = MonotonicClock::now() - answered;
    CHECK(pause > 1s);
    CHECK(pause < 1500ms);
}

TEST_CASE("a starting daemon waits for a report from the leader before it joins the rollout group [directory]")
{
    Fixture fixture;
    CHECK(fixture.directory.renewals.empty());
    REQUIRE(runUntil([&] { return !fixture.directory.renewals.empty(); }));
    fixture.directory.renewals.front()(RolloutMembership { FencingToken(3), true });
    CHECK(fixture.state.weightsRollout.isConfirmed(MonotonicClock::now()));
}

TEST_CASE("a restarted leader joins the rollout group immediately [directory]")
{
    for (const auto& [leader, expected] : { std::pair { "front-1", 1U }, std::pair { "front-2", 0U } }) {
        Fixture fixture;
        REQUIRE(fixture.directory.orderRecordReads.size() == 1);
        fixture.directory.orderRecordReads.front()(OrderRecordPosition { OrderRecord { FencingToken(3), HostId(leader), {} }, LogOffset(1) });
        CHECK(fixture.directory.renewals.size() == expected);
    }
}

TEST_CASE("a daemon that receives reports from the leader does not join the rollout group [directory]")
{
    Fixture fixture;
    const auto end = MonotonicClock::now() + 2500ms;
    REQUIRE(runUntil([&] {
        PeerReport report;
        report.leadership = { true, FencingToken(4), 0, {} };
        fixture.task.onPeerReport(report, MonotonicClock::now());
        Timer wake([] {});
        wake.set(MonotonicClock::now() + 50ms);
        g_main_context_iteration(nullptr, TRUE);
        return MonotonicClock::now() >= end;
    }));
    CHECK(fixture.directory.renewals.empty());
}

TEST_CASE("a resignation makes a daemon join the rollout group exactly once [directory]")
{
    Fixture fixture;
    PeerReport report;
    report.incarnation = Incarnation(9);
    fixture.task.onPeerReport(report, MonotonicClock::now());
    CHECK(fixture.directory.renewals.empty());
    report.leadership.resignations = 1;
    fixture.task.onPeerReport(report, MonotonicClock::now());
    CHECK(fixture.directory.renewals.size() == 1);
    fixture.task.onPeerReport(report, MonotonicClock::now());
    CHECK(fixture.directory.renewals.size() == 1);
}

TEST_CASE("a draining daemon leaves the rollout group unless it is the leader [directory]")
{
    Fixture candidate;
    REQUIRE(runUntil([&] { return !candidate.directory.renewals.empty(); }));
    CHECK(candidate.directory.leaveCount == 0);
    candidate.state.isDraining = true;
    candidate.task.onDrainStarted();
    CHECK(candidate.directory.leaveCount == 1);

    Fixture leader;
    REQUIRE(runUntil([&] { return !leader.directory.renewals.empty(); }));
    leader.directory.renewals.front()(RolloutMembership { FencingToken(3), true });
    leader.state.isDraining = true;
    leader.task.onDrainStarted();
    CHECK(leader.directory.leaveCount == 0);
    CHECK(leader.state.weightsRollout.isConfirmed(MonotonicClock::now()));
    bool isDone = false;
    leader.task.resignLeadership([&] { isDone = true; });
    REQUIRE(leader.directory.departures.size() == 1);
    CHECK_FALSE(isDone);
    leader.directory.departures.front()(true);
    CHECK(isDone);
}

TEST_CASE("losing leadership to another member does not count as a resignation [directory]")
{
    Fixture fixture;
    REQUIRE(runUntil([&] { return !fixture.directory.renewals.empty(); }));
    fixture.directory.renewals[0](RolloutMembership { FencingToken(3), true });
    REQUIRE(runUntil([&] { return fixture.directory.renewals.size() > 1; }));
    fixture.directory.renewals[1](RolloutMembership { FencingToken(4), false });
    CHECK_FALSE(fixture.state.weightsRollout.isConfirmed(MonotonicClock::now()));
    CHECK(fixture.task.leadershipReport(MonotonicClock::now()).resignations == 0);
    fixture.task.resignLeadership([] {});
    CHECK(fixture.task.leadershipReport(MonotonicClock::now()).resignations == 0);
}

TEST_CASE("a renewal response that arrives after leaving the rollout group is ignored [directory]")
{
    Fixture fixture;
    REQUIRE(runUntil([&] { return !fixture.directory.renewals.empty(); }));
    fixture.state.isDraining = true;
    fixture.task.onDrainStarted();
    fixture.directory.renewals.front()(RolloutMembership { FencingToken(3), true });
    CHECK_FALSE(fixture.state.weightsRollout.isConfirmed(MonotonicClock::now()));
}

TEST_CASE("a renewal response that arrives after that of a later renewal does not restore the leadership lost there [directory]")
{
    Fixture fixture;
    REQUIRE(runUntil([&] { return fixture.directory.renewals.size() == 2; }));
    fixture.directory.renewals[1](RolloutMembership { FencingToken(4), false });
    fixture.directory.renewals[0](RolloutMembership { FencingToken(3), true });
    CHECK_FALSE(fixture.state.weightsRollout.isConfirmed(MonotonicClock::now()));
    CHECK_FALSE(fixture.task.leadershipReport(MonotonicClock::now()).isLeader);
}

TEST_CASE("a renewal response from before leaving the rollout group does not count for the next membership [directory]")
{
    Fixture fixture;
    REQUIRE(runUntil([&] { return !fixture.directory.renewals.empty(); }));
    PeerReport leader;
    leader.incarnation = Incarnation(9);
    leader.leadership = { true, FencingToken(4), 0, {} };
    fixture.task.onPeerReport(leader, MonotonicClock::now());
    REQUIRE(runUntil([&] { return fixture.directory.leaveCount == 1; }));
    const auto before = fixture.directory.renewals.size();
    leader.leadership = { false, {}, 1, FencingToken(4) };
    fixture.task.onPeerReport(leader, MonotonicClock::now());
    REQUIRE(fixture.directory.renewals.size() == before + 1);
    fixture.directory.renewals.front()(RolloutMembership { FencingToken(3), true });
    CHECK_FALSE(fixture.state.weightsRollout.isConfirmed(MonotonicClock::now()));
    fixture.directory.renewals.back()(RolloutMembership { FencingToken(5), true });
    CHECK(fixture.state.weightsRollout.isConfirmed(MonotonicClock::now()));
}

TEST_CASE("after a leader dies, its successor can issue orders within the weights bound [directory]")
{
    Fixture fixture;
    const auto died = MonotonicClock::now();
    REQUIRE(runUntil([&] { return !fixture.directory.renewals.empty(); }));
    const auto granted = std::max(MonotonicClock::now() - died, Duration(fixture.directory.membershipLifetime));
    // Three groups of engines load in sequence; each takes a second plus some queued runs. Engines that the dead leader had
    // ordered wait for its lease, and are few.
    constexpr auto kFleetLoads = 4s;
    CHECK(granted + kFleetLoads < fixture.settings.weightsBound);
    CHECK(granted + fixture.settings.leaderLease + OrderJournal::kRecordValidity + OrderJournal::kOrderTransitTime < fixture.settings.weightsBound);
}

TEST_CASE("a frozen leader's late resignation does not start an election [directory]")
{
    Fixture fixture;
    PeerReport frozen;
    frozen.incarnation = Incarnation(9);
    frozen.leadership = { true, FencingToken(12), 0, {} };
    fixture.task.onPeerReport(frozen, MonotonicClock::now());
    PeerReport successor;
    successor.incarnation = Incarnation(10);
    successor.leadership = { true, FencingToken(19), 0, {} };
    fixture.task.onPeerReport(successor, MonotonicClock::now());
    frozen.leadership = { false, {}, 1, FencingToken(12) };
    fixture.task.onPeerReport(frozen, MonotonicClock::now());
    CHECK(fixture.directory.renewals.empty());
}

TEST_CASE("the requested membership lifetime is at least the store's minimum [directory]")
{
    Fixture fixture;
    fixture.settings.minMembershipLifetime = 5s;
    REQUIRE(runUntil([&] { return !fixture.directory.renewals.empty(); }));
    CHECK(fixture.directory.membershipLifetime == 5s);
}

TEST_CASE("weights found in the first listing are required immediately [directory]")
{
    Fixture fixture;
    const DirectoryRecord named { "version/m", R"({"model":"m","version":4})", LogOffset(3) };
    fixture.directory.answer(DirectoryTopic::Operators, DirectoryPage { { named }, LogOffset(4) });
    CHECK(fixture.state.weightsRollout.oldestAllowed(ModelId("m"), MonotonicClock::now()) == WeightsVersion(4));
    fixture.task.applyRecords(DirectoryTopic::Operators, { { "version/m", R"({"model":"m","version":5})", LogOffset(9) } });
    CHECK(fixture.state.weightsRollout.oldestAllowed(ModelId("m"), MonotonicClock::now()) == WeightsVersion(4));
}

TEST_CASE("Guards against gateways that register again after they have withdrawn their registration [directory]")
{
    Fixture fixture;
    REQUIRE(fixture.directory.registrations.size() == 1);
    fixture.task.withdraw([] {});
    REQUIRE(fixture.directory.registrations.size() == 2);
    fixture.directory.registrations.front()(failure(DirectoryError { "no answer in time" }));
    // The store comes back from an older copy as well.
    fixture.directory.answer(DirectoryTopic::Operators, DirectoryPage { {}, positionInEra(storeEra(1), 3) });
    fixture.directory.answer(DirectoryTopic::Endpoints, DirectoryPage { {}, positionInEra(storeEra(2), 3) });
    hornbeamgate::testing::runFor(700ms);
    CHECK(fixture.directory.registrations.size() == 2);
}
