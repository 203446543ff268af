#include "rates/budget_fleet.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate;
using namespace hornbeamgate::testing;
using namespace std::chrono_literals;

namespace {

/// Rules of one workspace with one share, whose account refills in half a second or in ten seconds.
const WorkspaceRule kFastRefill { WorkspaceId("w"), 1, 0, { 40, 20 }, { 20'000, 10'000 } };
const WorkspaceRule kSlowRefill { WorkspaceId("w"), 1, 0, { 2, 20 }, { 1000, 10'000 } };

/// Options for two hosts in one region.
FleetOptions pairOptions(InjectedDefect injectedDefect)
{
    FleetOptions options;
    options.layout = { { RegionId("west") }, 1, 1, { 8, 4000 } };
    options.timing = { 10s, 2s, 0s, 0.01 };
    options.injectedDefect = injectedDefect;
    return options;
}

void spendBurst(BudgetFleet& fleet, std::size_t node)
{
    for (int i = 0; i < 40; ++i)
        fleet.spend(node, kFastRefill.id, { 1, 100 });
    fleet.runFor(200ms);
}

std::size_t holderOf(const BudgetFleet& fleet)
{
    return fleet.lender(0).accountCount() > 0 ? 0 : 1;
}

void spendAfterRestarts(BudgetFleet& fleet)
{
    for (int i = 0; i < 5; ++i) {
        const auto holder = holderOf(fleet);
        spendBurst(fleet, holder);
        fleet.crash(holder);
        fleet.start(holder);
        fleet.runFor(3s);
    }
}

/// Pauses the holder so that the other host may take over. The holder resumes while the log is unreachable.
void spendAfterPause(BudgetFleet& fleet, TrueTime span)
{
    const auto holder = holderOf(fleet);
    fleet.pause(holder, span);
    fleet.runFor(span - 100ms);
    fleet.logDown = true;
    fleet.runFor(200ms);
    spendBurst(fleet, holder);
    spendBurst(fleet, 1 - holder);
}

void spendAfterShortPause(BudgetFleet& fleet)
{
    spendAfterPause(fleet, 7s);
}

void spendAfterLongPause(BudgetFleet& fleet)
{
    spendAfterPause(fleet, 25s);
}

} // namespace

TEST_CASE("a workspace exceeds its limit if and only if a claim rule is broken [rates]")
{
    struct Variant {
        const char* name;
        InjectedDefect injectedDefect;
        void (*spend)(BudgetFleet&);
        WorkspaceRule rule;
    };
    const Variant variants[] = {
        { "a restarted holder starts with a full burst", InjectedDefect::FullBurstOnRestart, spendAfterRestarts, kSlowRefill },
        { "a contender takes over before the claim expires", InjectedDefect::EarlyTakeover, spendAfterShortPause, kFastRefill },
        { "a holder ignores its claim deadline", InjectedDefect::ClaimDeadlineIgnored, spendAfterLongPause, kFastRefill },
    };
    for (const auto& variant : variants) {
        const std::string name = variant.name;
        CAPTURE(name);
        for (const auto injectedDefect : { InjectedDefect::None, variant.injectedDefect }) {
            BudgetFleet fleet(pairOptions(injectedDefect));
            fleet.setRules({ variant.rule });
            fleet.runFor(22s);
            variant.spend(fleet);
            const double excess = maxLimitExcess(fleet, variant.rule);
            CAPTURE(excess);
            CHECK((excess > 1) == (injectedDefect != InjectedDefect::None));
            CHECK(fleet.admissions.size() >= 20);
        }
    }
}
