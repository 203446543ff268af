#include "hornbeamgate/gateway/workspace_rate_limiter.hpp"

#include "gateway/time_support.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace hornbeamgate::gateway::testing;
using namespace std::chrono_literals;

namespace {

const WorkspaceId kWorkspace("w");

struct Draw {
    std::chrono::milliseconds time;
    std::int64_t units;
};

/// Group of daemons that exchange reports, optionally split into two partitions.
class Fleet {
public:
    Fleet(std::size_t daemons, const WorkspaceRule& rule)
        : m_limiters(daemons)
    {
        for (auto& limiter : m_limiters)
            limiter.setLimits({ rule }, at(0ms));
    }

    /// Exchanges reports among the daemons with indices below `cutOff` and among the remaining daemons.
    void exchange(std::chrono::milliseconds now, std::size_t cutOff)
    {
        for (std::size_t from = 0; from < m_limiters.size(); ++from) {
            for (std::size_t to = 0; to < m_limiters.size(); ++to) {
                if (from != to && (from < cutOff) == (to < cutOff))
                    m_limiters[to].peerReported(HostId(std::to_string(from)), Incarnation(1), m_limiters[from].drawn(), at(now));
            }
        }
        for (std::size_t i = 0; i < m_limiters.size(); ++i)
            m_limiters[i].setFleet(i < cutOff ? cutOff : m_limiters.size() - cutOff, m_limiters.size(), at(now));
    }

    WorkspaceRateLimiter& limiter(std::size_t index) { return m_limiters[index]; }

private:
    std::vector<WorkspaceRateLimiter> m_limiters;
};

WorkspaceRule makeRule(double rate, double burst)
{
    WorkspaceRule rule;
    rule.id = kWorkspace;
    rule.unitsPerSecond = rate;
    rule.burst = burst;
    return rule;
}

/// Returns the largest number of units drawn within any window of length `window`.
std::int64_t maxUnitsInWindow(const std::vector<Draw>& draws, std::chrono::milliseconds window)
{
    std::int64_t most = 0;
    std::int64_t sum = 0;
    std::size_t first = 0;
    for (const auto& draw : draws) {
        sum += draw.units;
        while (draws[first].time + window <= draw.time)
            sum -= draws[first++].units;
        most = std::max(most, sum);
    }
    return most;
}

constexpr std::size_t kDaemons = 5;
constexpr double kRate = 300'000;
constexpr double kBurst = 300'000;

/// Simulates a workspace that requests `excess` times its rate, mostly at one daemon. Daemons report every 200 ms; from
/// 20 s to 28 s two of them are partitioned from the others.
std::vector<Draw> simulate(double excess, std::size_t& refused, std::size_t& asked)
{
    Fleet fleet(kDaemons, makeRule(kRate, kBurst));
    std::mt19937 random(20261204);
    std::exponential_distribution<double> size(1.0 / 17'000);
    std::discrete_distribution<std::size_t> place { 5, 2, 1, 1, 1 };
    std::vector<Draw> draws;
    double credit = 0;
    for (auto now = 0ms; now < 60s; now += 10ms) {
        if (now % 200ms == 0ms)
            fleet.exchange(now, now >= 20s && now < 28s ? 3 : kDaemons);
        for (credit += kRate * excess / 100; credit > 0;) {
            const auto units = 1 + static_cast<std::int64_t>(size(random));
            credit -= static_cast<double>(units);
            ++asked;
            if (fleet.limiter(place(random)).draw(kWorkspace, units, at(now)))
                draws.push_back({ now, units });
            else
                ++refused;
        }
    }
    return draws;
}

} // namespace

TEST_CASE("a workspace that requests three times its rate stays within it across all daemons, also during a partition [rates]")
{
    std::size_t refused = 0;
    std::size_t asked = 0;
    const auto draws = simulate(3, refused, asked);
    // Operators allow 10 % above rate and burst, plus 190,000 tokens, in any window of 8 s.
    constexpr double kBound = (kRate * 8 + kBurst) * 1.1 + 190'000;
    CHECK(static_cast<double>(maxUnitsInWindow(draws, 8s)) <= kBound);
    std::int64_t total = 0;
    for (const auto& draw : draws)
        total += draw.units;
    CHECK(static_cast<double>(total) > 0.85 * kRate * 60);
}

TEST_CASE("a workspace that requests about half of its rate is rarely refused [rates]")
{
    std::size_t refused = 0;
    std::size_t asked = 0;
    simulate(0.55, refused, asked);
    // During the partition, two daemons have only two fifths of the rate.
    CHECK(static_cast<double>(refused) < 0.05 * static_cast<double>(asked));
}

TEST_CASE("refunded units can be drawn again and are no longer reported as drawn [rates]")
{
    WorkspaceRateLimiter limiter;
    limiter.setLimits({ makeRule(100, 100) }, at(0ms));
    REQUIRE(limiter.draw(kWorkspace, 150, at(1s)));
    CHECK_FALSE(limiter.draw(kWorkspace, 1, at(1s)));
    limiter.refund(kWorkspace, 150, at(1s));
    CHECK(limiter.draw(kWorkspace, 1, at(1s)));
    CHECK(limiter.drawn().at(kWorkspace) == 1);
}

TEST_CASE("the first report of an incarnation sets the baseline for later reports [rates]")
{
    WorkspaceRateLimiter limiter;
    limiter.setLimits({ makeRule(100, 100) }, at(0ms));
    limiter.peerReported(HostId("a"), Incarnation(1), { { kWorkspace, 5000 } }, at(1s));
    CHECK(limiter.draw(kWorkspace, 1, at(1s)));
    limiter.peerReported(HostId("a"), Incarnation(1), { { kWorkspace, 5100 } }, at(1s));
    CHECK_FALSE(limiter.draw(kWorkspace, 1, at(1s)));
}

TEST_CASE("a workspace without a limit is never refused [rates]")
{
    WorkspaceRateLimiter limiter;
    limiter.setLimits({ makeRule(0, 0) }, at(0ms));
    CHECK(limiter.draw(kWorkspace, 1'000'000'000, at(0ms)));
    CHECK(limiter.nextDraw(kWorkspace, at(0ms)) == at(0ms));
}
