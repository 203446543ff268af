#include "hornbeamgate/gateway/rollout_election.hpp"

#include "gateway/time_support.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace hornbeamgate::gateway::testing;
using namespace std::chrono_literals;

namespace {

using Action = RolloutElection::Action;

constexpr Incarnation kPeer(9);
constexpr Incarnation kOtherPeer(10);

LeadershipReport leading(std::uint64_t generation)
{
    return { true, FencingToken(generation), 0, {} };
}

LeadershipReport resigned(std::uint64_t generation, std::uint64_t count = 1)
{
    return { false, {}, count, FencingToken(generation) };
}

RolloutElection leaderOf(std::uint64_t generation, MonotonicTime now)
{
    RolloutElection election(now - RolloutElection::kLeaderTimeout);
    REQUIRE(election.update({}, now).action == Action::Renew);
    REQUIRE(election.onRenewed({ FencingToken(generation), true }));
    return election;
}

} // namespace

TEST_CASE("daemons that hear from no leader try to take over one after the other [election]")
{
    RolloutElection first(at(0ms));
    RolloutElection second(at(0ms));
    CHECK(first.update({ false, false, 0 }, at(1499ms)).action == Action::None);
    CHECK(first.update({ false, false, 0 }, at(1500ms)).action == Action::Renew);
    CHECK(second.update({ false, false, 1 }, at(1500ms)).action == Action::None);
    CHECK(second.update({ false, false, 1 }, at(1900ms)).action == Action::Renew);
}

TEST_CASE("a member that hears from a leader leaves the group [election]")
{
    RolloutElection election(at(0ms));
    CHECK(election.update({}, at(1500ms)).action == Action::Renew);
    election.onPeerReport(kPeer, leading(4), at(1600ms));
    CHECK(election.update({}, at(1900ms)).action == Action::Leave);
    CHECK_FALSE(election.onRenewed({ FencingToken(5), true }));
    CHECK_FALSE(election.isLeader());
}

TEST_CASE("a resignation lets the others take over immediately [election]")
{
    RolloutElection election(at(0ms));
    election.onPeerReport(kPeer, leading(4), at(1s));
    CHECK(election.onPeerReport(kPeer, resigned(4), at(1200ms)));
    CHECK(election.update({}, at(1200ms)).action == Action::Renew);
    CHECK_FALSE(election.onPeerReport(kPeer, resigned(4), at(1300ms)));
}

TEST_CASE("a resignation from before this daemon started is ignored [election]")
{
    RolloutElection election(at(0ms));
    CHECK_FALSE(election.onPeerReport(kPeer, resigned(4, 3), at(100ms)));
}

TEST_CASE("a frozen leader that wakes does not cost its successor the leadership [election]")
{
    // The leader of generation 12 was frozen for seven seconds. It wakes, finds its leadership expired and reports that it
    // gave up; meanwhile generation 19 has a leader. Taking part in an election now would change the leader for nothing.
    auto frozen = leaderOf(12, at(0ms));
    RolloutElection other(at(0ms));
    other.onPeerReport(kPeer, frozen.report(), at(0ms));
    other.onPeerReport(kOtherPeer, leading(19), at(7200ms));
    CHECK(frozen.update({ false, false, 0 }, at(7300ms)).action == Action::Leave);
    const auto report = frozen.report();
    CHECK(report.resignations == 1);
    CHECK(report.resignedGeneration == FencingToken(12));
    CHECK_FALSE(other.onPeerReport(kPeer, report, at(7310ms)));
    CHECK(other.update({}, at(7310ms)).action == Action::None);
}

TEST_CASE("a leader drains as leader, and a draining daemon does not become leader [election]")
{
    auto leader = leaderOf(4, at(0ms));
    CHECK(leader.update({ true, true, 0 }, at(400ms)).action == Action::Renew);
    CHECK(leader.resign() == Action::Leave);
    CHECK(leader.report().resignedGeneration == FencingToken(4));
    CHECK_FALSE(leader.update({ false, true, 0 }, at(800ms)).nextUpdate);

    RolloutElection candidate(at(0ms));
    CHECK(candidate.update({}, at(1500ms)).action == Action::Renew);
    CHECK(candidate.update({ false, true, 0 }, at(1600ms)).action == Action::Leave);
    CHECK(candidate.resign() == Action::None);
    CHECK(candidate.report().resignations == 0);
}

TEST_CASE("losing the leadership to another member is not a resignation [election]")
{
    auto leader = leaderOf(4, at(0ms));
    CHECK(leader.update({ true, false, 0 }, at(400ms)).action == Action::Renew);
    CHECK(leader.onRenewed({ FencingToken(5), false }));
    CHECK(leader.resign() == Action::Leave);
    CHECK(leader.report().resignations == 0);
}
