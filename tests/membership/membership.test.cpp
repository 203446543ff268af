#include "hornbeamgate/membership/topology.hpp"
#include "membership/membership_network.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <set>

using namespace hornbeamgate;
using namespace hornbeamgate::test;
using namespace std::chrono_literals;

namespace {

constexpr Duration kDetectionBound = 10s;
constexpr Duration kLeaveBound = 5s;
constexpr std::uint64_t kBytesPerSecondBound = 9'000;

std::string observedState(const MembershipNetwork& network, std::size_t viewer, std::size_t node)
{
    const auto* member = network.at(viewer).find(network.host(node));
    return member == nullptr ? "unknown" : std::string(toString(member->status.state));
}

/// Network of two regions with two data centres each and `perDataCenter` hosts per data centre, all joined.
std::unique_ptr<MembershipNetwork> convergedNetwork(std::size_t perDataCenter)
{
    auto owned = std::make_unique<MembershipNetwork>(20261204);
    auto& network = *owned;
    for (std::size_t i = 0; i < 4 * perDataCenter; ++i) {
        const int dataCenterIndex = static_cast<int>(i % 4);
        network.add("dc" + std::to_string(dataCenterIndex), dataCenterIndex / 2);
        network.start(i);
    }
    for (std::size_t i = 0; i < network.size(); ++i)
        network.readHostList(i);
    network.run(60s);
    return owned;
}

} // namespace

TEST_CASE("members that start simultaneously discover each other [membership]")
{
    const auto owned = convergedNetwork(6);
    auto& network = *owned;
    CHECK(network.inconsistency().value_or("") == "");
    CHECK(network.at(0).dump()["members"]["alive"] == 24);
}

TEST_CASE("all members detect a crashed member within the bound [membership]")
{
    const auto owned = convergedNetwork(6);
    auto& network = *owned;
    for (const std::size_t victim : std::initializer_list<std::size_t> { 5, 10, 15 }) {
        network.crash(victim);
        network.run(kDetectionBound);
        CHECK(network.inconsistency().value_or("") == "");
    }
}

TEST_CASE("all members learn the new incarnation of a restarted member within the bound [membership]")
{
    const auto owned = convergedNetwork(6);
    auto& network = *owned;
    network.crash(7);
    network.run(100ms);
    network.start(7);
    network.readHostList(7);
    network.run(kDetectionBound);
    CHECK(network.inconsistency().value_or("") == "");
}

TEST_CASE("a restarted member is sent the updates that its previous process reported [membership]")
{
    const auto memberOf = [](const std::string& host, std::uint64_t incarnation) {
        const MemberIdentity identity { "127.0.0.1:1", MemberRole::Entry, DataCenterId("dc"), {} };
        return Member { HostId(host), identity, { Incarnation(incarnation), 0, MemberState::Alive, 0, 0 } };
    };
    const auto updateOf = [](const Member& member) { return MemberUpdate { member.host, member.status, member.identity }; };
    MembershipOptions options;
    options.self = memberOf("self", 1);
    auto membership = Membership::create(options, [] { return std::uint64_t { 1 }; }).value();
    MonotonicTime now(1h);
    membership.handle(HostListRead {}, now);
    MembershipMessage first;
    first.from = HostId("neighbor");
    first.incarnation = Incarnation(1);
    first.updates = { updateOf(memberOf("neighbor", 1)), updateOf(memberOf("third", 1)) };
    membership.handle(MembershipRequestReceived { 1, first }, now);
    MembershipMessage second;
    second.from = first.from;
    second.incarnation = Incarnation(2);
    second.joining = true;
    second.updates = { updateOf(memberOf("neighbor", 2)) };
    bool resent = false;
    for (const auto& action : membership.handle(MembershipRequestReceived { 2, second }, now + 1s)) {
        const auto* answer = std::get_if<AnswerMembershipRequest>(&action);
        if (answer == nullptr)
            continue;
        for (const auto& update : answer->message.updates)
            resent = resent || update.host == HostId("third");
    }
    CHECK(resent);
}

TEST_CASE("a leaving member receives no new work after a few seconds [membership]")
{
    const auto owned = convergedNetwork(6);
    auto& network = *owned;
    network.leave(9);
    network.run(kLeaveBound);
    CHECK_FALSE(network.usableAnywhere(9));
    CHECK(network.inconsistency().value_or("") == "");
}

TEST_CASE("a host that the platform lists as leaving receives no new work [membership]")
{
    const auto owned = convergedNetwork(2);
    auto& network = *owned;
    MembershipOptions options;
    options.self = *network.at(0).find(network.host(0));
    auto random = [number = std::uint64_t { 0 }]() mutable { return ++number; };
    auto membership = Membership::create(options, random).value();
    const HostListRead list { { { network.host(4), "10.20.30.40:7004", DataCenterId("dc0"), true } } };
    membership.handle(list, network.now());
    MembershipMessage announcement;
    announcement.from = network.host(4);
    const auto& other = *network.at(0).find(network.host(4));
    announcement.updates.push_back({ other.host, other.status, other.identity });
    membership.handle(MembershipRequestReceived { 1, announcement }, network.now());
    REQUIRE(membership.find(network.host(4)) != nullptr);
    CHECK_FALSE(membership.usable(network.host(4)));
    membership.handle(HostListRead {}, network.now());
    CHECK(membership.usable(network.host(4)));
}

TEST_CASE("a member refutes its death after a long pause [membership]")
{
    const auto owned = convergedNetwork(6);
    auto& network = *owned;
    network.pause(3);
    network.run(30s);
    CHECK_FALSE(network.usableAnywhere(3));
    std::size_t suspicionReports = 0;
    network.onMemberChanged = [&](std::size_t node, const Member& member) {
        suspicionReports += node == 3 && member.status.state >= MemberState::Suspect ? 1 : 0;
    };
    network.resume(3);
    network.run(kDetectionBound);
    CHECK(network.inconsistency().value_or("") == "");
    CHECK(suspicionReports == 0);
}

TEST_CASE("a suspicion timeout that expires while the process is paused declares no member dead [membership]")
{
    const auto owned = convergedNetwork(6);
    auto& network = *owned;
    bool suspected = false;
    int deaths = 0;
    network.onMemberChanged = [&](std::size_t node, const Member& member) {
        if (node != 8 || member.host != network.host(4))
            return;
        suspected = suspected || member.status.state == MemberState::Suspect;
        deaths += member.status.state == MemberState::Dead ? 1 : 0;
    };
    network.pause(4);
    while (!suspected)
        network.run(50ms);
    network.pause(8);
    network.resume(4);
    network.run(20s);
    network.resume(8);
    network.run(kDetectionBound);
    CHECK(network.inconsistency().value_or("") == "");
    CHECK(network.at(8).find(network.host(4))->status.revision > 0);
    CHECK(deaths == 0);
}

TEST_CASE("a partition between regions makes data centres unreachable and no member dead [membership]")
{
    const auto owned = convergedNetwork(6);
    auto& network = *owned;
    network.partition(0, 1);
    network.run(60s);
    CHECK(network.at(0).usable(network.host(4)));
    CHECK_FALSE(network.at(0).usable(network.host(2)));
    CHECK(observedState(network, 0, 2) == "alive");
    network.crash(6);
    network.run(kDetectionBound);
    network.healPartitions();
    network.run(15s);
    CHECK(network.inconsistency().value_or("") == "");
}

TEST_CASE("a suspect whose refutation is lost in a partition is not declared dead in another data centre [membership]")
{
    const auto owned = convergedNetwork(6);
    auto& network = *owned;
    network.pause(4);
    while (observedState(network, 2, 4) != "suspect")
        network.run(50ms);
    network.partition(0, 1);
    network.resume(4);
    network.run(30s);
    CHECK(observedState(network, 2, 4) == "suspect");
    network.healPartitions();
    network.run(15s);
    CHECK(network.inconsistency().value_or("") == "");
}

TEST_CASE("a member that only one observer cannot reach is not suspected [membership]")
{
    const auto owned = convergedNetwork(6);
    auto& network = *owned;
    const auto successors = ringSuccessors(network.at(0).members(), DataCenterId("dc0"), network.host(0), 3);
    int suspicions = 0;
    network.onMemberChanged
        = [&](std::size_t, const Member& member) { suspicions += member.status.state != MemberState::Alive ? 1 : 0; };
    for (std::size_t node = 4; node < network.size(); node += 4) {
        if (network.host(node) == successors.front())
            network.blockHosts(0, node);
    }
    network.run(30s);
    CHECK(suspicions == 0);
}

TEST_CASE("the halves of a data centre merge again after a partition [membership]")
{
    MembershipNetwork network(5);
    for (int i = 0; i < 6; ++i)
        network.add("dc0", i % 2);
    for (std::size_t i = 0; i < network.size(); ++i)
        network.start(i);
    for (std::size_t i = 0; i < network.size(); ++i)
        network.readHostList(i);
    network.run(30s);
    network.partition(0, 1);
    network.run(30s);
    CHECK(observedState(network, 0, 1) == "dead");
    network.healPartitions();
    network.run(30s);
    CHECK(network.inconsistency().value_or("") == "");
}

TEST_CASE("data centres reconnect after all bridge members crash during a partition [membership]")
{
    MembershipNetwork network(6);
    const DataCenterId names[] = { DataCenterId("dc0"), DataCenterId("dc1") };
    for (int i = 0; i < 12; ++i)
        network.add(names[i % 2].value(), i % 2);
    for (std::size_t i = 0; i < network.size(); ++i)
        network.start(i);
    for (std::size_t i = 0; i < network.size(); ++i)
        network.readHostList(i);
    network.run(30s);
    network.partition(0, 1);
    std::set<HostId> lost;
    for (const std::size_t side : std::initializer_list<std::size_t> { 0, 1 }) {
        for (const auto& host : bridgeMembers(network.at(0).members(), names[side], names[1 - side], 2))
            lost.insert(host);
    }
    CHECK(lost.size() == 4);
    for (std::size_t i = 0; i < network.size(); ++i) {
        if (lost.contains(network.host(i)))
            network.crash(i);
    }
    network.run(20s);
    network.healPartitions();
    network.run(40s);
    CHECK(network.inconsistency().value_or("") == "");
}

TEST_CASE("a failed data centre becomes unreachable and all its members can rejoin simultaneously [membership]")
{
    const auto owned = convergedNetwork(8);
    auto& network = *owned;
    for (std::size_t node = 1; node < network.size(); node += 4)
        network.crash(node);
    network.run(20s);
    for (std::size_t node = 1; node < network.size(); node += 4)
        CHECK_FALSE(network.usableAnywhere(node));
    for (std::size_t node = 1; node < network.size(); node += 4) {
        network.start(node);
        network.readHostList(node, 20);
    }
    network.run(60s);
    CHECK(network.inconsistency().value_or("") == "");
}

TEST_CASE("a joining member is sent the member table at a limited rate [membership]")
{
    const auto owned = convergedNetwork(15);
    auto& network = *owned;
    const auto before = network.traffic(0).bytesIn;
    network.crash(0);
    network.run(20s);
    network.start(0);
    network.readHostList(0);
    network.run(20s);
    CHECK(network.inconsistency().value_or("") == "");
    CHECK((network.traffic(0).bytesIn - before) / 20 < kBytesPerSecondBound);
}

TEST_CASE("traffic stays within its bound during many simultaneous failures [membership]")
{
    const auto owned = convergedNetwork(15);
    auto& network = *owned;
    std::vector<std::uint64_t> before;
    for (std::size_t node = 0; node < network.size(); ++node)
        before.push_back(network.traffic(node).bytesOut + network.traffic(node).bytesIn);
    for (std::size_t node = 0; node < 12; ++node)
        network.crash(node);
    constexpr Duration kSpan = 20s;
    network.run(kSpan);
    CHECK(network.inconsistency().value_or("") == "");
    for (std::size_t node = 12; node < network.size(); ++node) {
        const auto bytes = network.traffic(node).bytesOut + network.traffic(node).bytesIn - before[node];
        CHECK(bytes / static_cast<std::uint64_t>(kSpan / 1s) < kBytesPerSecondBound);
    }
}

TEST_CASE("an isolated process suspects no members [membership]")
{
    MembershipNetwork network(7);
    for (int i = 0; i < 5; ++i)
        network.add("dc0", i == 0 ? 1 : 0);
    for (std::size_t i = 0; i < network.size(); ++i)
        network.start(i);
    for (std::size_t i = 0; i < network.size(); ++i)
        network.readHostList(i);
    network.run(30s);
    network.partition(0, 1);
    network.run(30s);
    for (std::size_t other = 1; other < network.size(); ++other)
        CHECK(observedState(network, 0, other) == "alive");
    CHECK_FALSE(network.at(1).usable(network.host(0)));
}

TEST_CASE("invalid membership options are rejected [membership]")
{
    const auto random = [] { return std::uint64_t { 1 }; };
    MembershipOptions good;
    good.self.host = HostId("a");
    good.self.identity = { "127.0.0.1:1", MemberRole::Entry, DataCenterId("dc"), {} };
    CHECK(Membership::create(good, random).has_value());
    CHECK_FALSE(Membership::create(good, {}).has_value());
    CHECK_FALSE(Membership::create({}, random).has_value());
    auto longTimeout = good;
    longTimeout.answerTimeout = longTimeout.probeInterval;
    CHECK_FALSE(Membership::create(longTimeout, random).has_value());
    auto large = good;
    large.maxUpdateBytes = kMaxMembershipMessageBytes;
    CHECK_FALSE(Membership::create(large, random).has_value());
}
