#include "hornbeamgate/membership/member_table.hpp"
#include "hornbeamgate/membership/neighbor_link.hpp"
#include "hornbeamgate/membership/topology.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace hornbeamgate;
using namespace std::chrono_literals;

namespace {

MemberUpdate updateOf(const std::string& host, std::uint64_t incarnation, std::uint64_t revision, MemberState state)
{
    const MemberIdentity identity { "10.0.0.1:1", MemberRole::Agent, DataCenterId("dc"), EndpointId("e") };
    return { HostId(host), { Incarnation(incarnation), revision, state, 0, 0 }, identity };
}

} // namespace

TEST_CASE("updates supersede each other by incarnation, revision and state [membership]")
{
    struct Case {
        MemberUpdate first;
        MemberUpdate second;
        bool replaces;
    };
    const auto of = [](std::uint64_t incarnation, std::uint64_t revision, MemberState state) {
        return updateOf("a", incarnation, revision, state);
    };
    const Case cases[] = {
        { of(1, 0, MemberState::Alive), of(1, 0, MemberState::Alive), false },
        { of(1, 0, MemberState::Alive), of(1, 0, MemberState::Leaving), true },
        { of(1, 0, MemberState::Alive), of(1, 0, MemberState::Suspect), true },
        { of(1, 0, MemberState::Suspect), of(1, 0, MemberState::Dead), true },
        { of(1, 0, MemberState::Suspect), of(1, 0, MemberState::Alive), false },
        { of(1, 0, MemberState::Suspect), of(1, 1, MemberState::Alive), true },
        { of(1, 9, MemberState::Suspect), of(2, 0, MemberState::Alive), true },
        { of(2, 0, MemberState::Alive), of(1, 9, MemberState::Dead), false },
    };
    for (const auto& row : cases) {
        MemberTable table;
        REQUIRE(table.apply(row.first, HostId()));
        CHECK(table.apply(row.second, HostId()) == row.replaces);
    }
}

TEST_CASE("an update about an unknown process is applied only if it is alive and has an identity [membership]")
{
    MemberTable table;
    auto withoutIdentity = updateOf("a", 1, 0, MemberState::Alive);
    withoutIdentity.identity.reset();
    CHECK_FALSE(table.apply(withoutIdentity, HostId()));
    CHECK_FALSE(table.apply(updateOf("a", 1, 0, MemberState::Dead), HostId()));
    REQUIRE(table.apply(updateOf("a", 1, 0, MemberState::Alive), HostId()));
    withoutIdentity.status.incarnation = Incarnation(2);
    CHECK_FALSE(table.apply(withoutIdentity, HostId()));
}

TEST_CASE("a neighbor is sent each change once, without its own, in batches of limited size [membership]")
{
    MemberTable table;
    for (const auto* host : { "a", "b", "c" })
        table.apply(updateOf(host, 1, 0, MemberState::Alive), HostId(host));
    const auto first = table.changesSince(0, HostId("b"), 1, EchoPolicy::Exclude);
    REQUIRE(first.updates.size() == 1);
    CHECK(first.updates[0].host == HostId("a"));
    const auto second = table.changesSince(first.upToChange, HostId("b"), 1000, EchoPolicy::Exclude);
    REQUIRE(second.updates.size() == 1);
    CHECK(second.updates[0].host == HostId("c"));
    CHECK(table.changesSince(second.upToChange, HostId("b"), 1000, EchoPolicy::Exclude).updates.empty());
    CHECK(table.changesSince(0, HostId("b"), 1000, EchoPolicy::Include).updates.size() == 2);
    table.apply(updateOf("d", 1, 0, MemberState::Alive), HostId("b"));
    CHECK(table.changesSince(second.upToChange, HostId("b"), 1000, EchoPolicy::Exclude).updates.empty());
    CHECK(table.changesSince(second.upToChange, HostId("b"), 1000, EchoPolicy::Include).updates.size() == 1);
    table.apply(updateOf("a", 1, 1, MemberState::Leaving), HostId());
    const auto third = table.changesSince(second.upToChange, HostId("b"), 1000, EchoPolicy::Exclude);
    REQUIRE(third.updates.size() == 1);
    CHECK_FALSE(third.updates[0].identity.has_value());
}

TEST_CASE("a load change is forwarded but is not urgent [membership]")
{
    MemberTable table;
    auto update = updateOf("a", 1, 0, MemberState::Alive);
    table.apply(update, HostId());
    const auto urgent = table.lastUrgentChange();
    CHECK(urgent == table.lastChange());
    update.status.loadRevision = 1;
    update.status.load = 200;
    CHECK(table.apply(update, HostId()));
    CHECK(table.lastUrgentChange() == urgent);
    table.apply(updateOf("b", 1, 0, MemberState::Alive), HostId("b"));
    auto remoteMember = updateOf("c", 1, 0, MemberState::Alive);
    remoteMember.identity->dataCenter = DataCenterId("other");
    table.apply(remoteMember, HostId("c"));
    CHECK(table.changesSince(urgent, HostId("b"), 1000, EchoPolicy::Exclude).updates.size() == 2);
    CHECK(table.changesSince(urgent, HostId("c"), 1000, EchoPolicy::Exclude).updates.size() == 1);
    update.status.state = MemberState::Suspect;
    CHECK(table.apply(update, HostId()));
    CHECK(table.lastUrgentChange() == table.lastChange());
}

TEST_CASE("tables that differ only in dead members have equal hashes [membership]")
{
    MemberTable one;
    MemberTable other;
    one.apply(updateOf("a", 1, 0, MemberState::Alive), HostId());
    one.apply(updateOf("b", 1, 0, MemberState::Alive), HostId());
    other.apply(updateOf("b", 1, 0, MemberState::Alive), HostId());
    CHECK(one.stateHash() != other.stateHash());
    one.apply(updateOf("a", 1, 0, MemberState::Dead), HostId());
    CHECK(one.stateHash() == other.stateHash());
    one.remove(HostId("a"));
    CHECK(one.stateHash() == other.stateHash());
    CHECK(one.size() == 1);
}

TEST_CASE("an acknowledgement from before a resend does not advance the resend [membership]")
{
    const MonotonicTime start(1h);
    NeighborLink link(Incarnation(1), 0);
    link.recordSent(100);
    link.acknowledge(100);
    link.recordOutOfSync(100, start);
    CHECK(link.cursor() == 100);
    link.recordOutOfSync(100, start + 15s);
    CHECK(link.cursor() == 0);
    link.acknowledge(100);
    CHECK(link.cursor() == 0);
    link.recordSent(40);
    link.acknowledge(40);
    CHECK(link.cursor() == 40);
    link.recordOutOfSync(100, start + 31s);
    CHECK(link.cursor() == 40);
    link.recordInSync(100);
    CHECK(link.cursor() == 100);
    link.resetIfRestarted(Incarnation(2), 7);
    CHECK(link.cursor() == 7);
}

TEST_CASE("ring successors and predecessors are consistent and give each member several observers [membership]")
{
    MemberTable table;
    const DataCenterId dataCenter("dc");
    std::vector<HostId> hosts;
    for (int i = 0; i < 40; ++i) {
        hosts.emplace_back("host-" + std::to_string(i));
        table.apply(updateOf(hosts.back().value(), 1, 0, MemberState::Alive), HostId());
    }
    table.apply(updateOf("host-0", 1, 0, MemberState::Dead), HostId());
    for (const auto& host : hosts) {
        const auto observers = ringPredecessors(table, dataCenter, host, 3);
        CHECK(observers.size() >= 2);
        for (const auto& observer : observers) {
            CHECK(observer != hosts[0]);
            const auto successors = ringSuccessors(table, dataCenter, observer, 3);
            const std::set<HostId> probed(successors.begin(), successors.end());
            CHECK((host == hosts[0] || probed.contains(host)));
        }
    }
    CHECK(bridgeMembers(table, dataCenter, DataCenterId("other"), 2).size() == 2);
    CHECK(bridgeMembers(table, DataCenterId("none"), dataCenter, 2).empty());
}
