#include "hornbeamgate/gateway/version_rollout.hpp"

#include "gateway/time_support.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace hornbeamgate::gateway::testing;
using namespace std::chrono_literals;

namespace {

const ServiceId kService("chat");
const HostId kPeer("g2");

EndpointEntry engine(const std::string& id, const std::string& version)
{
    EndpointEntry entry;
    entry.id = EndpointId(id);
    entry.service = kService;
    entry.version = version;
    return entry;
}

RolloutOrder order(const std::string& version, LogOffset position)
{
    return { kService, version, 10s, position };
}

RolloutOrder order(const std::string& version, std::uint64_t offset)
{
    return order(version, LogOffset(offset));
}

RolloutStatus status(RolloutState state, RolloutPhase phase, LogOffset position, const std::string& version = "v2")
{
    return { kService, version, state, phase, position };
}

RolloutStatus status(RolloutState state, RolloutPhase phase, std::uint64_t offset, const std::string& version = "v2")
{
    return status(state, phase, LogOffset(offset), version);
}

/// One daemon without peers, whose store answers each time that `at` is called.
struct Daemon {
    VersionRollouts rollouts { VersionRolloutLimits {}, HostId("g1") };
    EndpointRegistry registry;
    EndpointEntry oldEngine = engine("o1", "v1");
    EndpointEntry newEngine = engine("n1", "v2");
    EndpointEntry otherNewEngine = engine("n2", "v2");
    MonotonicTime now = at(0ms);

    Daemon()
    {
        rollouts.setFleet(1);
        list({ oldEngine });
        confirm();
    }

    void list(std::vector<EndpointEntry> entries)
    {
        registry.replaceAll(std::move(entries), now);
        rollouts.setEndpoints(registry, now);
    }
    void confirm()
    {
        rollouts.statusConfirmed(now);
        rollouts.operatorsConfirmed(now);
    }
    void enterEra(std::uint64_t era) { rollouts.storeEntered(StoreEra(era)); }
    void startRollout(std::uint64_t offset = 5)
    {
        list({ oldEngine, newEngine, otherNewEngine });
        rollouts.setOrder(order("v2", offset), 0ms, now);
    }
    void pass(std::chrono::milliseconds time)
    {
        now += time;
        confirm();
    }
    bool mayUse(const EndpointEntry& entry) const
    {
        const auto choice = rollouts.choose(kService, now);
        return choice.allows(entry) || (choice.hasFallback() && choice.fallback().allows(entry));
    }
    /// Sends requests and returns how many went to the new version.
    int send(int requests, bool isNewBad = false)
    {
        int exposed = 0;
        for (int i = 0; i < requests; ++i) {
            const auto& newOne = exposed % 2 == 0 ? newEngine : otherNewEngine;
            const auto choice = rollouts.choose(kService, now);
            const bool isNew = choice.allows(newOne);
            exposed += isNew ? 1 : 0;
            const auto& entry = isNew ? newOne : oldEngine;
            if (!choice.allows(entry))
                continue;
            rollouts.recordSend(entry, now);
            rollouts.recordResponse(entry, "/a", isNew && isNewBad, 20ms, now);
            rollouts.recordEnd(entry);
        }
        return exposed;
    }
    /// Sends requests during `time` and returns how many went to the new version.
    int sendFor(std::chrono::milliseconds time, int requestsPerStep)
    {
        int exposed = 0;
        for (const auto end = now + time; now < end; pass(100ms))
            exposed += send(requestsPerStep);
        return exposed;
    }
    std::optional<RolloutStatus> write(bool isLeader = true) { return rollouts.takeWrite(isLeader, now); }
    /// Writes what is due and reads it back.
    void writeAndRead()
    {
        if (const auto written = write())
            rollouts.setStatus(*written, now);
    }
};

} // namespace

TEST_CASE("Guards against requests on a new version before its order is known")
{
    Daemon daemon;
    daemon.pass(100ms);
    daemon.list({ daemon.oldEngine, daemon.newEngine });
    CHECK_FALSE(daemon.mayUse(daemon.newEngine));
    daemon.rollouts.operatorsConfirmed(daemon.now - 1ms);
    CHECK_FALSE(daemon.mayUse(daemon.newEngine));
    daemon.now += 5s;
    CHECK_FALSE(daemon.mayUse(daemon.newEngine));
    daemon.confirm();
    CHECK(daemon.mayUse(daemon.newEngine));
}

TEST_CASE("Guards against daemons that all restart and refuse requests until the store confirms the orders again")
{
    // A long poll for the orders is confirmed only seconds after the listing of the endpoints.
    VersionRollouts rollouts { VersionRolloutLimits {}, HostId("g1") };
    EndpointRegistry registry;
    registry.replaceAll({ engine("o1", "v1") }, at(0ms));
    rollouts.setEndpoints(registry, at(0ms));
    CHECK(rollouts.choose(kService, at(0ms)).allows(engine("o1", "v1")));
    registry.put(engine("n1", "v2"));
    rollouts.setEndpoints(registry, at(10ms));
    CHECK(rollouts.choose(kService, at(10ms)).allows(engine("o1", "v1")));
    CHECK_FALSE(rollouts.choose(kService, at(10ms)).allows(engine("n1", "v2")));
}

TEST_CASE("Guards against a silent store that leaves a service without engines")
{
    Daemon daemon;
    daemon.pass(100ms);
    daemon.list({ daemon.newEngine });
    daemon.now += 3999ms;
    CHECK_FALSE(daemon.mayUse(daemon.newEngine));
    daemon.now += 1ms;
    CHECK(daemon.mayUse(daemon.newEngine));
}

TEST_CASE("Guards against an exposure over the bound")
{
    Daemon daemon;
    daemon.startRollout();
    const auto early = daemon.sendFor(1500ms, 100);
    CHECK(early > 25);
    CHECK(early <= 25 + 30);
    const auto exposed = early + daemon.sendFor(4500ms, 100);
    CHECK(exposed <= 25 + 360);
    CHECK(exposed >= 300);
}

TEST_CASE("Guards against a slack that each daemon of a large fleet uses whole")
{
    Daemon daemon;
    daemon.rollouts.setFleet(30);
    daemon.startRollout();
    CHECK(daemon.send(40) == 0);
}

TEST_CASE("Guards against a good version that is not completed")
{
    Daemon daemon;
    daemon.startRollout();
    CHECK(daemon.write() == status(RolloutState::Running, RolloutPhase::Observe, 5));
    CHECK_FALSE(daemon.write());
    daemon.rollouts.setStatus(status(RolloutState::Running, RolloutPhase::Observe, 5), daemon.now);
    for (int i = 0; i < 6; ++i) {
        CHECK_FALSE(daemon.write());
        daemon.sendFor(1s, 30);
    }
    CHECK_FALSE(daemon.write(false));
    CHECK(daemon.write() == status(RolloutState::Running, RolloutPhase::Shift, 5));
    CHECK(daemon.send(100) <= 15);
    daemon.rollouts.setStatus(status(RolloutState::Running, RolloutPhase::Shift, 5), daemon.now);
    CHECK(daemon.send(100) == doctest::Approx(25).epsilon(0.05));
    daemon.pass(500ms);
    CHECK(daemon.send(100) == doctest::Approx(50).epsilon(0.05));
    daemon.rollouts.recordSend(daemon.oldEngine, daemon.now);
    daemon.pass(500ms);
    CHECK(daemon.send(100) == 100);
    CHECK_FALSE(daemon.write());
    daemon.rollouts.recordEnd(daemon.oldEngine);
    CHECK(daemon.write() == status(RolloutState::Completed, RolloutPhase::Shift, 5));
    daemon.rollouts.setStatus(status(RolloutState::Completed, RolloutPhase::Shift, 5), daemon.now);
    CHECK_FALSE(daemon.mayUse(daemon.oldEngine));
    daemon.rollouts.setStatus(status(RolloutState::RolledBack, RolloutPhase::Shift, 5), daemon.now);
    CHECK(daemon.mayUse(daemon.newEngine));
}

TEST_CASE("Guards against a bad version that gets requests after the verdict")
{
    Daemon daemon;
    daemon.startRollout();
    daemon.writeAndRead();
    CHECK(daemon.send(200, true) < 15);
    CHECK_FALSE(daemon.mayUse(daemon.newEngine));
    CHECK(daemon.write(false) == std::nullopt);
    daemon.pass(1s);
    CHECK(daemon.write(false) == status(RolloutState::RolledBack, RolloutPhase::Observe, 5));
    daemon.rollouts.setStatus(status(RolloutState::RolledBack, RolloutPhase::Observe, 5), daemon.now);
    daemon.list({ daemon.oldEngine });
    daemon.list({ daemon.newEngine });
    daemon.pass(10s);
    CHECK_FALSE(daemon.mayUse(daemon.newEngine));
}

TEST_CASE("Guards against a verdict of a peer that is ignored, also if it arrives before the order")
{
    for (const bool isEarly : { true, false }) {
        Daemon daemon;
        RolloutReport report;
        report.services.push_back({ kService, LogOffset(5), 100ms, true, false, 0, {}, {} });
        if (isEarly)
            daemon.rollouts.recordPeerReport(kPeer, Incarnation(1), report, daemon.now);
        daemon.startRollout();
        if (!isEarly)
            daemon.rollouts.recordPeerReport(kPeer, Incarnation(1), report, daemon.now);
        CHECK(daemon.send(100) == 0);
        CHECK(daemon.write() == status(RolloutState::RolledBack, RolloutPhase::Observe, 5));
    }
}

TEST_CASE("Guards against duplicate and reordered reports that count twice")
{
    RolloutEvidence evidence;
    RolloutReport::Service report;
    report.candidate[EndpointId("n1")]["/a"] = { 5, 1 };
    auto newer = report;
    newer.candidate[EndpointId("n1")]["/a"] = { 9, 2 };
    for (const auto& received : { report, newer, report, newer })
        evidence.recordPeer(kPeer, Incarnation(1), received, at(0ms));
    CHECK(evidence.sums().candidate.at(EndpointId("n1")).at("/a") == RouteSample { 9, 2 });
    evidence.recordPeer(kPeer, Incarnation(2), report, at(1s));
    CHECK(evidence.sums().candidate.at(EndpointId("n1")).at("/a") == RouteSample { 14, 3 });
    CHECK(evidence.sumsSince(at(1s)).candidate.at(EndpointId("n1")).at("/a") == RouteSample { 5, 1 });
}

TEST_CASE("Guards against a daemon that was frozen and sends to a version that was rolled back meanwhile")
{
    Daemon daemon;
    daemon.rollouts.setFleet(3);
    daemon.startRollout();
    daemon.send(50);
    daemon.now += 4s;
    CHECK(daemon.send(500) == 0);
    daemon.confirm();
    CHECK(daemon.send(500) > 0);
}

TEST_CASE("Guards against a restarted daemon that uses a version whose state it can't read")
{
    VersionRollouts rollouts(VersionRolloutLimits {}, HostId("g1"));
    const auto oldEngine = engine("o1", "v1");
    const auto newEngine = engine("n1", "v2");
    EndpointRegistry registry;
    registry.replaceAll({ oldEngine, newEngine }, at(0ms));
    rollouts.setEndpoints(registry, at(0ms));
    rollouts.setOrder(order("v2", 5), std::nullopt, at(0ms));
    rollouts.operatorsConfirmed(at(0ms));
    CHECK_FALSE(rollouts.takeWrite(true, at(0ms)));
    CHECK(rollouts.choose(kService, at(0ms)).allows(oldEngine));
    CHECK_FALSE(rollouts.choose(kService, at(0ms)).allows(newEngine));
    registry.replaceAll({ newEngine }, at(1s));
    rollouts.setEndpoints(registry, at(1s));
    CHECK(rollouts.choose(kService, at(1s)).allows(newEngine));

    SUBCASE("Rolled back before the restart")
    {
        rollouts.setStatus(status(RolloutState::RolledBack, RolloutPhase::Observe, 5), at(1s));
        CHECK_FALSE(rollouts.choose(kService, at(1s)).allows(newEngine));
    }
    SUBCASE("Completed before the restart")
    {
        registry.replaceAll({ oldEngine, newEngine }, at(1s));
        rollouts.setEndpoints(registry, at(1s));
        rollouts.setStatus(status(RolloutState::Completed, RolloutPhase::Shift, 5), at(1s));
        CHECK(rollouts.choose(kService, at(1s)).allows(newEngine));
        CHECK_FALSE(rollouts.choose(kService, at(1s)).allows(oldEngine));
    }
}

TEST_CASE("Guards against an observed version that gets all requests because no old engine is left")
{
    Daemon daemon;
    daemon.startRollout();
    daemon.list({ daemon.newEngine, daemon.otherNewEngine });
    CHECK(daemon.send(1000) <= 25 + 60);
}

TEST_CASE("Guards against invalid orders that stay open")
{
    Daemon daemon;
    SUBCASE("No engine of the version within half of the duration")
    {
        daemon.rollouts.setOrder(order("v9", 5), 0ms, daemon.now);
        daemon.writeAndRead();
        daemon.pass(4999ms);
        CHECK_FALSE(daemon.write());
        daemon.pass(1ms);
        CHECK(daemon.write() == status(RolloutState::RolledBack, RolloutPhase::Observe, 5, "v9"));
        CHECK(daemon.rollouts.takeEvents().back().kind == RolloutEvent::Kind::Invalid);
    }
    SUBCASE("Unknown service")
    {
        const ServiceId unknown("nobody");
        daemon.rollouts.setOrder({ unknown, "v2", 10s, LogOffset(5) }, 0ms, daemon.now);
        daemon.pass(2s);
        CHECK(daemon.write() == RolloutStatus { unknown, "v2", RolloutState::RolledBack, RolloutPhase::Observe, LogOffset(5) });
    }
    SUBCASE("No positive duration")
    {
        daemon.rollouts.setOrder({ kService, "v2", 0ms, LogOffset(5) }, 0ms, daemon.now);
        CHECK_FALSE(daemon.write());
    }
    SUBCASE("Too little evidence")
    {
        daemon.startRollout();
        daemon.writeAndRead();
        daemon.pass(8499ms);
        CHECK_FALSE(daemon.write());
        daemon.pass(1ms);
        CHECK(daemon.write() == status(RolloutState::RolledBack, RolloutPhase::Observe, 5));
    }
}

TEST_CASE("Guards against a second order that leaves the first version in use")
{
    Daemon daemon;
    daemon.startRollout();
    daemon.send(100);
    const auto third = engine("m1", "v3");
    daemon.list({ daemon.oldEngine, daemon.newEngine, third });
    daemon.rollouts.setOrder(order("v3", 6), 0ms, daemon.now);
    CHECK(daemon.send(100) == 0);
    CHECK(daemon.mayUse(third));
    daemon.rollouts.setStatus(status(RolloutState::Running, RolloutPhase::Shift, 5), daemon.now);
    CHECK(daemon.send(100) == 0);
    daemon.list({ daemon.oldEngine, third });
    daemon.list({ daemon.oldEngine, daemon.newEngine, third });
    CHECK_FALSE(daemon.mayUse(daemon.newEngine));
}

TEST_CASE("Guards against an order back to the version in use that refuses its requests")
{
    Daemon daemon;
    daemon.startRollout();
    daemon.rollouts.setOrder(order("v1", 6), 0ms, daemon.now);
    for (int i = 0; i < 100; ++i) {
        CHECK(daemon.rollouts.choose(kService, daemon.now).allows(daemon.oldEngine));
        daemon.rollouts.recordSend(daemon.oldEngine, daemon.now);
    }
    CHECK_FALSE(daemon.mayUse(daemon.newEngine));
}

TEST_CASE("Guards against an abort that is not recorded")
{
    Daemon daemon;
    SUBCASE("By a daemon that knew the order")
    {
        daemon.startRollout();
        daemon.writeAndRead();
        daemon.rollouts.removeOrder(kService, daemon.now);
        CHECK(daemon.send(100) == 0);
    }
    SUBCASE("By a daemon that started later")
    {
        daemon.rollouts.setStatus(status(RolloutState::Running, RolloutPhase::Observe, 5), daemon.now);
        CHECK_FALSE(daemon.mayUse(daemon.newEngine));
        // The order may not have been read yet.
        daemon.now += 1s;
        CHECK_FALSE(daemon.write());
    }
    daemon.pass(1s);
    CHECK_FALSE(daemon.write(false));
    CHECK(daemon.write() == status(RolloutState::RolledBack, RolloutPhase::Observe, 5));
}

TEST_CASE("Guards against an order that begins anew, or is ignored, when it is given again after the store has lost it")
{
    Daemon daemon;
    daemon.enterEra(0);
    daemon.startRollout();
    daemon.writeAndRead();
    daemon.enterEra(1);
    daemon.rollouts.orderLost(kService);
    daemon.pass(1s);
    CHECK(daemon.send(100) == 0);
    CHECK_FALSE(daemon.write());
    // Fewer records precede it now.
    const auto position = positionInEra(StoreEra(1), 3);
    daemon.rollouts.setOrder(order("v2", position), 0ms, daemon.now);
    CHECK(daemon.send(100) > 0);
    CHECK(daemon.write() == status(RolloutState::Running, RolloutPhase::Observe, position));
    // The order is as old as it was: it is given up 8.5 s after it was first given.
    daemon.pass(7499ms);
    daemon.writeAndRead();
    CHECK(daemon.write() != status(RolloutState::RolledBack, RolloutPhase::Observe, position));
    daemon.pass(1s);
    CHECK(daemon.write() == status(RolloutState::RolledBack, RolloutPhase::Observe, position));
}

TEST_CASE("Guards against a version that gets requests again because its order is given again after its rollback")
{
    Daemon daemon;
    daemon.enterEra(0);
    daemon.startRollout();
    daemon.writeAndRead();
    daemon.rollouts.setStatus(status(RolloutState::RolledBack, RolloutPhase::Observe, 5), daemon.now);
    daemon.enterEra(1);
    daemon.rollouts.orderLost(kService);
    daemon.rollouts.setOrder(order("v2", positionInEra(StoreEra(1), 7)), 0ms, daemon.now);
    CHECK(daemon.send(100) == 0);
}

TEST_CASE("Guards against a state that the store has lost and that is not written again")
{
    Daemon daemon;
    daemon.enterEra(0);
    daemon.startRollout();
    daemon.writeAndRead();
    daemon.rollouts.setStatus(status(RolloutState::Running, RolloutPhase::Shift, 5), daemon.now);
    daemon.enterEra(1);
    const auto position = positionInEra(StoreEra(1), 5);
    daemon.rollouts.setOrder(order("v2", position), std::nullopt, daemon.now);
    // The copy has the state before.
    daemon.rollouts.setStatus(status(RolloutState::Running, RolloutPhase::Observe, 5), daemon.now);
    CHECK_FALSE(daemon.write());
    daemon.confirm();
    const auto lost = status(RolloutState::Running, RolloutPhase::Shift, position);
    SUBCASE("By the leader")
    {
        CHECK(daemon.write() == lost);
    }
    SUBCASE("By another daemon, if the leader does not know it")
    {
        CHECK_FALSE(daemon.write(false));
        daemon.pass(1s);
        CHECK(daemon.write(false) == lost);
    }
    CHECK(daemon.rollouts.isStatusLost(kService));
    daemon.rollouts.setStatus(lost, daemon.now);
    CHECK_FALSE(daemon.rollouts.isStatusLost(kService));
    daemon.pass(1s);
    CHECK_FALSE(daemon.write(false));
}

TEST_CASE("Guards against a rollout that a later leader takes for abandoned because the store has lost its order")
{
    Daemon daemon;
    daemon.enterEra(1);
    daemon.rollouts.setStatus(status(RolloutState::Running, RolloutPhase::Observe, 5), daemon.now);
    daemon.pass(1s);
    CHECK_FALSE(daemon.write());
    daemon.list({ daemon.oldEngine, daemon.newEngine, daemon.otherNewEngine });
    daemon.rollouts.setOrder(order("v2", positionInEra(StoreEra(1), 3)), 0ms, daemon.now);
    CHECK(daemon.send(100) > 0);
}

TEST_CASE("Guards against an older order in the store's copy that replaces the newest one")
{
    Daemon daemon;
    daemon.enterEra(0);
    daemon.startRollout();
    const auto third = engine("m1", "v3");
    daemon.list({ daemon.oldEngine, daemon.newEngine, third });
    daemon.rollouts.setOrder(order("v3", 6), 0ms, daemon.now);
    daemon.enterEra(1);
    daemon.rollouts.setOrder(order("v2", positionInEra(StoreEra(1), 5)), std::nullopt, daemon.now);
    CHECK_FALSE(daemon.mayUse(daemon.newEngine));
    daemon.rollouts.setOrder(order("v3", positionInEra(StoreEra(1), 6)), 0ms, daemon.now);
    CHECK(daemon.send(100) == 0);
    CHECK(daemon.mayUse(third));
    // The operator goes back to the second version.
    daemon.rollouts.setOrder(order("v2", positionInEra(StoreEra(1), 7)), 0ms, daemon.now);
    CHECK(daemon.send(100) > 0);
    CHECK_FALSE(daemon.mayUse(third));
}

TEST_CASE("Guards against an order that is taken for one of the copy because its offset was given out again")
{
    Daemon daemon;
    daemon.enterEra(0);
    daemon.startRollout();
    const auto third = engine("m1", "v3");
    daemon.list({ daemon.oldEngine, daemon.newEngine, third });
    daemon.rollouts.setOrder(order("v3", 6), 0ms, daemon.now);
    daemon.enterEra(1);
    daemon.rollouts.orderLost(kService);
    daemon.rollouts.setOrder(order("v3", positionInEra(StoreEra(1), 2)), 0ms, daemon.now);
    daemon.rollouts.setOrder(order("v2", positionInEra(StoreEra(1), 5)), 0ms, daemon.now);
    CHECK(daemon.send(100) > 0);
    CHECK_FALSE(daemon.mayUse(third));
}

TEST_CASE("Guards against a report that is too large for a datagram")
{
    RolloutEvidence evidence;
    for (int i = 0; i < 100; ++i)
        evidence.recordCandidate(EndpointId("n" + std::to_string(i)), "/a", i == 7, 10ms);
    std::set<EndpointId> reported;
    for (int i = 0; i < 8; ++i) {
        RolloutReport::Service report;
        evidence.fill(report, at(i * 200ms));
        CHECK(report.candidate.size() <= RolloutEvidence::kMaxReportedSamples);
        CHECK(report.candidate.contains(EndpointId("n7")));
        for (const auto& [id, routes] : report.candidate)
            reported.insert(id);
    }
    CHECK(reported.size() == 100);
}

TEST_CASE("Guards against slow responses that count as good")
{
    RolloutEvidence evidence;
    for (int i = 0; i < 20; ++i)
        evidence.recordControl("/a", false, 100ms);
    CHECK_FALSE(evidence.recordCandidate(EndpointId("n1"), "/a", false, 250ms));
    CHECK(evidence.recordCandidate(EndpointId("n1"), "/a", false, 350ms));
    CHECK_FALSE(evidence.recordCandidate(EndpointId("n1"), "/new", false, 350ms));
}
