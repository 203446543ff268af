#include "rates/budget_fleet.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace hornbeamgate;
using namespace hornbeamgate::testing;
using namespace std::chrono_literals;

namespace {

constexpr double kTolerance = 1e-6;

const std::vector<WorkspaceRule> kRules {
    { WorkspaceId("large"), 1, 0, { 20, 60 }, { 8000, 40'000 } },
    { WorkspaceId("small"), 1, 0, { 2, 4 }, { 1500, 3000 } },
    { WorkspaceId("fast"), 1, 0, { 40, 20 }, { 20'000, 10'000 } },
};

FleetOptions fleetOptions(std::uint64_t seed)
{
    FleetOptions options;
    options.layout = { { RegionId("west"), RegionId("east") }, 2, 4, { 5, 1500 } };
    options.timing = { 10s, 2s, 3s, 0.01 };
    options.clockDrift = 0.0099;
    options.seed = seed;
    return options;
}

enum class Step : std::uint8_t {
    Spend,
    SpendOnAllNodes,
    Settle,
    Wait,
    Pause,
    Restart,
    Crash,
    Start,
    Leave,
    Partition,
    LogOutage,
    TrimLog,
    Network,
    AppendReplies
};

/// Decodes a random number into a step. One in eight numbers is a fault; the others are traffic and waiting.
Step decodeStep(unsigned number)
{
    constexpr Step kFaults[] = { Step::Pause, Step::Restart, Step::Crash, Step::Start, Step::Start, Step::Leave,
        Step::Partition, Step::LogOutage, Step::TrimLog, Step::Network, Step::AppendReplies };
    constexpr Step kTraffic[] = { Step::Spend, Step::SpendOnAllNodes, Step::Settle, Step::Wait, Step::Wait };
    constexpr unsigned kFaultEvery = 8;
    const auto choice = number / kFaultEvery;
    return number % kFaultEvery == 0 ? kFaults[choice % std::size(kFaults)] : kTraffic[choice % std::size(kTraffic)];
}

/// Executes encoded random steps on a fleet and can end all faults afterwards.
class FuzzRun {
public:
    explicit FuzzRun(std::uint64_t seed)
        : m_fleet(fleetOptions(seed))
    {
        m_fleet.setRules(kRules);
        m_fleet.runFor(7s);
    }

    void apply(std::uint32_t encoded)
    {
        const auto node = (encoded >> 8U) % m_fleet.nodeCount();
        const auto amount = static_cast<std::int64_t>((encoded >> 16U) & 0xffU);
        const auto& rule = kRules[(encoded >> 24U) % kRules.size()];
        switch (decodeStep(encoded & 0xffU)) {
        case Step::Spend:
            return spend(node, rule, 1 + amount % 8);
        case Step::SpendOnAllNodes:
            for (std::size_t i = 0; i < m_fleet.nodeCount(); ++i)
                spend(i, rule, 1 + amount / 4);
            return;
        case Step::Settle:
            for (const auto request : m_open)
                m_fleet.settle(request, amount * 2);
            return m_open.clear();
        case Step::Wait:
            return m_fleet.runFor(amount % 4 == 0 ? 100ms * amount : 8ms * amount);
        case Step::Pause:
            return m_fleet.pause(node, 40ms * amount);
        case Step::Restart:
            m_fleet.crash(node);
            return m_fleet.start(node);
        case Step::Crash:
            return m_fleet.crash(node);
        case Step::Start:
            return m_fleet.isUp(node) ? void() : m_fleet.start(node);
        case Step::Leave:
            return m_fleet.leave(node);
        case Step::Partition:
            m_fleet.partitioned = amount % 3 == 0;
            return;
        case Step::LogOutage:
            m_fleet.logDown = amount % 4 == 0;
            return;
        case Step::TrimLog:
            return m_fleet.trimLog();
        case Step::Network:
            m_fleet.faults = { amount % 3 == 0 ? 0.1 : 0, 0.1, amount % 2 == 0 ? 10ms * amount : 1ms };
            return;
        case Step::AppendReplies:
            m_fleet.lostAppendReplies = amount % 2 == 0 ? 0.5 : 0;
            return;
        }
    }

    double excess() const
    {
        double excess = -1e9;
        for (const auto& rule : kRules)
            excess = std::max(excess, maxLimitExcess(m_fleet, rule));
        return excess;
    }

    std::size_t admitted() const { return m_fleet.admissions.size(); }

    /// Ends all faults and returns how many of ten subsequent requests, well below the rate, are refused.
    std::size_t refusalsAfterRecovery()
    {
        m_fleet.faults = {};
        m_fleet.partitioned = m_fleet.logDown = false;
        m_fleet.lostAppendReplies = 0;
        for (std::size_t i = 0; i < m_fleet.nodeCount(); ++i) {
            m_fleet.pause(i, 0ns);
            m_fleet.crash(i);
            if (i != 0)
                m_fleet.start(i);
        }
        m_fleet.runFor(60s);
        const auto before = m_fleet.refusals.size();
        for (int i = 0; i < 10; ++i) {
            m_fleet.spend(1 + static_cast<std::size_t>(i) % 3, WorkspaceId("small"), { 1, 100 });
            m_fleet.runFor(1s);
        }
        return m_fleet.refusals.size() - before;
    }

private:
    void spend(std::size_t node, const WorkspaceRule& rule, std::int64_t count)
    {
        for (std::int64_t i = 0; i < count; ++i)
            m_open.push_back(m_fleet.spend(node, rule.id, { 1, 100 + 100 * (static_cast<std::int64_t>(m_open.size()) % 17) }));
    }

    BudgetFleet m_fleet;
    std::vector<RequestId> m_open;
};

} // namespace

TEST_CASE("no workspace exceeds its rate and burst under random faults, and service recovers [rates]")
{
    const bool passed = rc::check([](std::uint64_t seed) {
        const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(200, rc::gen::arbitrary<std::uint32_t>());
        FuzzRun run(seed);
        for (const auto step : steps)
            run.apply(step);
        RC_ASSERT(run.excess() <= kTolerance);
        RC_ASSERT(run.refusalsAfterRecovery() == 0U);
    });
    CHECK(passed);
}

TEST_CASE("the limits hold over long random runs [rates]")
{
    constexpr std::uint64_t kTrials = 12;
    constexpr int kStepsPerTrial = 400;
    std::size_t admitted = 0;
    for (std::uint64_t trial = 1; trial <= kTrials; ++trial) {
        std::mt19937_64 random(trial);
        FuzzRun run(trial);
        for (int i = 0; i < kStepsPerTrial; ++i)
            run.apply(static_cast<std::uint32_t>(random()));
        CHECK(run.excess() <= kTolerance);
        admitted += run.admitted();
    }
    CHECK(admitted > 100 * kTrials);
}

TEST_CASE("a daemon restarted during a log outage borrows from the homes known to its peers [rates]")
{
    BudgetFleet fleet(fleetOptions(1));
    fleet.setRules(kRules);
    fleet.runFor(20s);
    fleet.logDown = true;
    fleet.crash(1);
    fleet.start(1);
    fleet.runFor(500ms);
    const auto request = fleet.spend(1, WorkspaceId("large"), { 1, 100 });
    fleet.runFor(500ms);
    CHECK(fleet.admissions.contains(request));
}

TEST_CASE("during a log outage lending stops when the claims expire and resumes when the log is available [rates]")
{
    BudgetFleet fleet(fleetOptions(1));
    fleet.setRules(kRules);
    fleet.runFor(20s);
    fleet.logDown = true;
    fleet.runFor(3s);
    const auto early = fleet.spend(0, WorkspaceId("large"), { 1, 100 });
    fleet.runFor(10s);
    const auto late = fleet.spend(0, WorkspaceId("large"), { 1, 100 });
    fleet.logDown = false;
    fleet.runFor(2s);
    const auto after = fleet.spend(0, WorkspaceId("large"), { 1, 100 });
    fleet.runFor(500ms);
    CHECK(fleet.admissions.contains(early));
    CHECK(fleet.refusals.contains(late));
    CHECK(fleet.admissions.contains(after));
}

TEST_CASE("the shares of one workspace in a region are held by different hosts [rates]")
{
    BudgetFleet fleet(fleetOptions(1));
    fleet.setRules({ kRules.front() });
    fleet.runFor(20s);
    for (std::size_t node = 0; node < fleet.nodeCount(); ++node)
        CHECK(fleet.lender(node).accountCount() == 1);
}

TEST_CASE("a workspace added while the claims are expired is served when the log is available again [rates]")
{
    BudgetFleet fleet(fleetOptions(1));
    fleet.setRules({ kRules[0] });
    fleet.runFor(20s);
    fleet.logDown = true;
    fleet.runFor(13s);
    fleet.setRules(kRules);
    fleet.logDown = false;
    fleet.runFor(10s);
    const auto request = fleet.spend(0, kRules[1].id, { 1, 100 });
    fleet.runFor(500ms);
    CHECK(fleet.admissions.contains(request));
}
