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

struct Fixture {
    Fixture() { task.start(); }

    static GatewaySettings makeSettings()
    {
        GatewaySettings made;
        made.common.host = HostId("front-1");
        made.dutyLease = 3s;
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

TEST_CASE("a configuration never goes back, whether the store or another daemon brings it [directory]")
{
    Fixture fixture;
    fixture.directory.answer(DirectoryTopic::Operators, DirectoryPage { { config(3, 10) }, LogOffset(11) });
    REQUIRE(fixture.state.routes);
    CHECK(fixture.state.routes->config().version == ConfigVersion(3));
    fixture.task.applyPeerRecords(DirectoryTopic::Operators, { config(2, 4) });
    CHECK(fixture.state.routes->config().version == ConfigVersion(3));
    fixture.task.applyPeerRecords(DirectoryTopic::Operators, { config(5, 20) });
    CHECK(fixture.state.routes->config().version == ConfigVersion(5));
    REQUIRE(runUntil([&] { return fixture.directory.hasPendingCall(DirectoryTopic::Operators); }));
    CHECK(fixture.directory.watchedFrom[0] == LogOffset(11));
    fixture.directory.answer(DirectoryTopic::Operators, DirectoryPage { { config(4, 12) }, LogOffset(13) });
    CHECK(fixture.state.routes->config().version == ConfigVersion(5));
}

TEST_CASE("a record that cannot be read names no endpoint, and the others hold [directory]")
{
    Fixture fixture;
    fixture.directory.answer(DirectoryTopic::Endpoints, DirectoryPage { { engine("good", 1), { "bad", "{", LogOffset(2) } }, LogOffset(3) });
    CHECK(fixture.state.roster.find(EndpointId("good")));
    CHECK_FALSE(fixture.state.roster.find(EndpointId("bad")));
    // An entry that turns unreadable names no endpoint any more.
    fixture.task.applyPeerRecords(DirectoryTopic::Endpoints, { { "good", "[]", LogOffset(5) } });
    CHECK_FALSE(fixture.state.roster.find(EndpointId("good")));
}

TEST_CASE("a topic whose history is lost is listed anew, and what is missing then is withdrawn [directory]")
{
    Fixture fixture;
    fixture.directory.answer(DirectoryTopic::Endpoints, DirectoryPage { { engine("a", 1), engine("b", 2) }, LogOffset(3) });
    REQUIRE(runUntil([&] { return fixture.directory.hasPendingCall(DirectoryTopic::Endpoints); }));
    fixture.directory.answer(DirectoryTopic::Endpoints, failure(DirectoryError { "gone", true }));
    REQUIRE(fixture.directory.listings[1]);
    fixture.directory.answer(DirectoryTopic::Endpoints, DirectoryPage { { engine("b", 9) }, LogOffset(12) });
    CHECK_FALSE(fixture.state.roster.find(EndpointId("a")));
    CHECK(fixture.state.roster.find(EndpointId("b")));
}

TEST_CASE("endpoints stay in use while the store fails, and the daemon knows that its view is stale [directory]")
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
    CHECK(fixture.state.roster.find(EndpointId("a")));
}

TEST_CASE("calls for the endpoints grow slower than the fleet, and a leaving endpoint is known in time [directory]")
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

TEST_CASE("a starting daemon waits for the holder's word before it seeks the duty [directory]")
{
    Fixture fixture;
    CHECK(fixture.directory.renewals.empty());
    REQUIRE(runUntil([&] { return !fixture.directory.renewals.empty(); }));
    fixture.directory.renewals.front()(DutyAssignment { FencingToken(3), true });
    CHECK(fixture.state.duty.isConfirmed(MonotonicClock::now()));
}

TEST_CASE("a daemon that hears the holder stays out of the group [directory]")
{
    Fixture fixture;
    const auto end = MonotonicClock::now() + 2500ms;
    REQUIRE(runUntil([&] {
        fixture.task.onDutyHeldByPeer(MonotonicClock::now());
        Timer wake([] {});
        wake.set(MonotonicClock::now() + 50ms);
        g_main_context_iteration(nullptr, TRUE);
        return MonotonicClock::now() >= end;
    }));
    CHECK(fixture.directory.renewals.empty());
}

TEST_CASE("a resignation starts the search for the next holder, once [directory]")
{
    Fixture fixture;
    PeerReport report;
    report.incarnation = Incarnation(9);
    fixture.task.onPeerResignations(report, MonotonicClock::now());
    CHECK(fixture.directory.renewals.empty());
    report.resignations = 1;
    fixture.task.onPeerResignations(report, MonotonicClock::now());
    CHECK(fixture.directory.renewals.size() == 1);
    fixture.task.onPeerResignations(report, MonotonicClock::now());
    CHECK(fixture.directory.renewals.size() == 1);
}

TEST_CASE("a daemon that drains leaves the duty to others, unless it holds it [directory]")
{
    Fixture seeker;
    REQUIRE(runUntil([&] { return !seeker.directory.renewals.empty(); }));
    CHECK(seeker.directory.leaveCount == 0);
    seeker.state.isDraining = true;
    seeker.task.onDrainStarted();
    CHECK(seeker.directory.leaveCount == 1);

    Fixture holder;
    REQUIRE(runUntil([&] { return !holder.directory.renewals.empty(); }));
    holder.directory.renewals.front()(DutyAssignment { FencingToken(3), true });
    holder.state.isDraining = true;
    holder.task.onDrainStarted();
    CHECK(holder.directory.leaveCount == 0);
    CHECK(holder.state.duty.isConfirmed(MonotonicClock::now()));
    bool isDone = false;
    holder.task.resignDuty([&] { isDone = true; });
    REQUIRE(holder.directory.departures.size() == 1);
    CHECK_FALSE(isDone);
    holder.directory.departures.front()(true);
    CHECK(isDone);
}

TEST_CASE("a holder whose duty moves to another member does not tell the others to seek it [directory]")
{
    Fixture fixture;
    REQUIRE(runUntil([&] { return !fixture.directory.renewals.empty(); }));
    fixture.directory.renewals[0](DutyAssignment { FencingToken(3), true });
    REQUIRE(runUntil([&] { return fixture.directory.renewals.size() > 1; }));
    fixture.directory.renewals[1](DutyAssignment { FencingToken(4), false });
    CHECK_FALSE(fixture.state.duty.isConfirmed(MonotonicClock::now()));
    CHECK(fixture.state.duty.resignations() == 0);
    fixture.task.resignDuty([] {});
    CHECK(fixture.state.duty.resignations() == 0);
}

TEST_CASE("a grant that comes after the daemon left the group gives it no duty [directory]")
{
    Fixture fixture;
    REQUIRE(runUntil([&] { return !fixture.directory.renewals.empty(); }));
    fixture.state.isDraining = true;
    fixture.task.onDrainStarted();
    fixture.directory.renewals.front()(DutyAssignment { FencingToken(3), true });
    CHECK_FALSE(fixture.state.duty.isConfirmed(MonotonicClock::now()));
}

TEST_CASE("the next holder of a duty whose holder died gives orders well within the time that weights may take [directory]")
{
    Fixture fixture;
    const auto died = MonotonicClock::now();
    REQUIRE(runUntil([&] { return !fixture.directory.renewals.empty(); }));
    const auto granted = std::max(MonotonicClock::now() - died, Duration(fixture.directory.dutyLifetime));
    // Three groups of engines load one after the other, a second and some queued runs each.
    constexpr auto kFleetLoads = 4s;
    CHECK(granted + fixture.settings.dutyLease + kFleetLoads < fixture.settings.weightsBound);
}

TEST_CASE("a membership is never asked for a shorter lifetime than the store takes [directory]")
{
    Fixture fixture;
    fixture.settings.leastMembership = 5s;
    REQUIRE(runUntil([&] { return !fixture.directory.renewals.empty(); }));
    CHECK(fixture.directory.dutyLifetime == 5s);
}

TEST_CASE("weights that a starting daemon finds count as named long ago [directory]")
{
    Fixture fixture;
    const DirectoryRecord named { "version/m", R"({"model":"m","version":4})", LogOffset(3) };
    fixture.directory.answer(DirectoryTopic::Operators, DirectoryPage { { named }, LogOffset(4) });
    CHECK(fixture.state.duty.oldestAllowed(ModelId("m"), MonotonicClock::now()) == WeightsVersion(4));
    fixture.task.applyPeerRecords(DirectoryTopic::Operators, { { "version/m", R"({"model":"m","version":5})", LogOffset(9) } });
    CHECK(fixture.state.duty.oldestAllowed(ModelId("m"), MonotonicClock::now()) == WeightsVersion(4));
}
