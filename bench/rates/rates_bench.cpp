#include "linear_fit.hpp"
#include "scenario.hpp"

#include <malloc.h>

#include <cstdio>
#include <cstring>

using namespace hornbeamgate;
using namespace hornbeamgate::bench;
using namespace std::chrono_literals;

namespace {

struct Case {
    const char* name;
    TrafficShape shape;
    Fault fault;
    std::size_t firstWorkspace = 0; ///< first one whose refusals count
};

/// Calls `action` once, a third into a run of `span`.
Fault onceIn(TrueTime span, const std::function<void(BudgetFleet&)>& action)
{
    return [span, action, done = false](BudgetFleet& fleet, TrueTime elapsed) mutable {
        if (elapsed < span / 3 || std::exchange(done, true))
            return;
        action(fleet);
    };
}

Fault splitIn(TrueTime span)
{
    return [span](BudgetFleet& fleet, TrueTime elapsed) { fleet.partitioned = elapsed > span / 3 && elapsed < 2 * span / 3; };
}

std::vector<Case> casesFor(TrueTime span)
{
    const auto nothing = [](BudgetFleet&, TrueTime) {};
    const auto restart = [](BudgetFleet& fleet) {
        fleet.crash(0);
        fleet.start(0);
    };
    const auto restartAll = [](BudgetFleet& fleet) {
        for (std::size_t i = 0; i < fleet.nodeCount(); ++i) {
            fleet.crash(i);
            fleet.start(i);
        }
    };
    TrafficShape even;
    TrafficShape skewed { .homeFraction = 0.8 };
    TrafficShape region { .oneRegion = true };
    TrafficShape bursty { .bursty = true };
    TrafficShape greedy { .firstWorkspaceFactor = 5 / 0.7 };
    TrafficShape vanishing { .stopsAtNodeZero = true };
    return {
        { "even traffic", even, nothing },
        { "80% at one daemon", skewed, nothing },
        { "one region only", region, nothing },
        { "bursts of 1 s in 4 s", bursty, nothing },
        { "first tenant at 5x (others)", greedy, nothing, 1 },
        { "daemon 0 vanishes", vanishing, onceIn(span, [](BudgetFleet& fleet) { fleet.crash(0); }) },
        { "daemon 0 crashes, restarts", even, onceIn(span, restart) },
        { "daemon 0 leaves", vanishing, onceIn(span, [](BudgetFleet& fleet) { fleet.leave(0); }) },
        { "all daemons restart", even, onceIn(span, restartAll) },
        { "log down throughout", even, [](BudgetFleet& fleet, TrueTime) { fleet.logDown = true; } },
        { "regions split for a third", even, splitIn(span) },
    };
}

void printRefusals(const FleetSize& size, TrueTime span)
{
    const auto rules = makeRules(size);
    const auto daemons = 2 * size.hostsPerRegion;
    std::printf("wrongful refusals in %% of what a central counter admits, %zu daemons, %zu workspaces\n", daemons,
        size.workspaces);
    std::printf("%-30s %9s | %8s %8s | %8s %8s | %10s\n", "case", "arrivals", "even:all", "worst", "here:all", "worst",
        "excess");
    for (const auto& item : casesFor(span)) {
        const auto arrivals = makeArrivals(rules, size, item.shape, span);
        const auto ideal = runCentralCounter(rules, arrivals);
        const auto even = compare(arrivals, ideal, runEvenDivision(rules, arrivals, daemons), item.firstWorkspace);
        auto fleet = std::make_unique<BudgetFleet>(fleetOptions(size));
        fleet->setRules(rules);
        const auto verdicts = runFleet(*fleet, rules, arrivals, item.fault);
        const auto here = compare(arrivals, ideal, verdicts, item.firstWorkspace);
        double excess = -1e9;
        for (const auto& rule : rules)
            excess = std::max(excess, testing::maxLimitExcess(*fleet, rule));
        std::printf("%-30s %9zu | %8.2f %8.2f | %8.2f %8.2f | %10.2f\n", item.name, arrivals.size(), 100 * even.overall,
            100 * even.worstWorkspace, 100 * here.overall, 100 * here.worstWorkspace, excess);
        std::fflush(stdout);
    }
}

struct Growth {
    double messages = 0; ///< sent and received, per daemon and second
    double bytes = 0;
    double crossRegionBytes = 0; ///< per second over the link between regions, both ways
};

Growth measureTraffic(const FleetSize& size, TrueTime span)
{
    const auto rules = makeRules(size);
    const auto arrivals = makeArrivals(rules, size, {}, span);
    auto fleet = std::make_unique<BudgetFleet>(fleetOptions(size));
    fleet->setRules(rules);
    runFleet(*fleet, rules, arrivals, [](BudgetFleet&, TrueTime) {});
    const std::chrono::duration<double> seconds(span);
    const double perDaemon = 2 / static_cast<double>(fleet->nodeCount()) / seconds.count();
    const auto& traffic = fleet->traffic;
    return { static_cast<double>(traffic.messages) * perDaemon, static_cast<double>(traffic.bytes) * perDaemon,
        static_cast<double>(traffic.crossRegionBytes) / seconds.count() };
}

Growth printTraffic(const FleetSize& size, TrueTime span)
{
    const auto growth = measureTraffic(size, span);
    std::printf("%8zu %10zu %10.0f | %10.2f %10.0f %12.0f\n", 2 * size.hostsPerRegion, size.workspaces,
        size.requestsPerSecond, growth.messages, growth.bytes, growth.crossRegionBytes);
    std::fflush(stdout);
    return growth;
}

void printTrafficGrowth()
{
    constexpr TrueTime kSpan = 20s;
    std::printf("%8s %10s %10s | %10s %10s %12s\n", "daemons", "workspaces", "limit/s", "messages/s", "bytes/s",
        "link bytes/s");
    std::vector<Sample> byRequests;
    std::vector<Sample> byWorkspaces;
    std::vector<Sample> byDaemons;
    for (const double rate : { 700.0, 1400.0, 2800.0, 5286.0 })
        byRequests.push_back({ rate * 0.7 / 360, printTraffic({ 180, 650, rate }, kSpan).bytes });
    for (const std::size_t workspaces : { 5U, 40U, 160U, 650U })
        byWorkspaces.push_back({ static_cast<double>(workspaces), printTraffic({ 45, workspaces, 1320 }, kSpan).bytes });
    for (const std::size_t hosts : { 2U, 15U, 60U, 180U }) {
        const auto rate = 5286.0 * static_cast<double>(hosts) / 180;
        byDaemons.push_back({ static_cast<double>(2 * hosts), printTraffic({ hosts, 650, rate }, kSpan).bytes });
    }
    printFit("rates", "loan bytes per daemon and second, by requests per daemon and second", "B/s", fitLine(byRequests));
    printFit("rates", "loan bytes per daemon and second, by workspaces", "B/s", fitLine(byWorkspaces));
    printFit("rates", "loan bytes per daemon and second, by daemons", "B/s", fitLine(byDaemons));
}

void printAppends()
{
    constexpr TrueTime kSpan = 1800s;
    std::vector<Sample> samples;
    for (const std::size_t hosts : { 2U, 15U, 60U, 180U }) {
        const FleetSize size { hosts, 5, 100 };
        auto options = fleetOptions(size);
        options.logPoll = 5s;
        BudgetFleet fleet(options);
        fleet.setRules(makeRules(size));
        fleet.runFor(600s);
        fleet.traffic = {};
        fleet.runFor(kSpan);
        const std::chrono::duration<double> seconds(kSpan);
        const double rate = static_cast<double>(fleet.traffic.appends) / seconds.count();
        std::printf("%8zu daemons: %.3f log appends/s at rest\n", 2 * hosts, rate);
        samples.push_back({ static_cast<double>(2 * hosts), rate });
    }
    printFit("rates", "log appends per second, by daemons", "1/s", fitLine(samples));
}

double allocatedBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

void printState()
{
    std::vector<Sample> borrower;
    std::vector<Sample> lender;
    for (const std::size_t workspaces : { 5U, 40U, 160U, 650U }) {
        const auto rules = makeRules({ 2, workspaces, 5286 });
        const auto before = allocatedBytes();
        auto borrowerOptions = BorrowerOptions {};
        borrowerOptions.host = HostId("west-0");
        borrowerOptions.region = RegionId("west");
        borrowerOptions.layout = fleetOptions({}).layout;
        auto machine = *BudgetBorrower::create(borrowerOptions);
        machine.handle(BudgetRulesChanged { rules }, MonotonicTime(1h));
        borrower.push_back({ static_cast<double>(workspaces), allocatedBytes() - before });
        // One host holds every shard of its region: the largest state that a home can have.
        auto options = fleetOptions({ 1, workspaces, 0 });
        BudgetFleet fleet(options);
        fleet.runFor(2s);
        const auto empty = allocatedBytes();
        fleet.setRules(rules);
        fleet.runFor(2s);
        lender.push_back({ static_cast<double>(workspaces), allocatedBytes() - empty });
    }
    printFit("rates", "state of an idle borrower, by workspaces", "B", fitLine(borrower));
    printFit("rates", "state of two idle borrowers and two homes of all shards, by workspaces", "B", fitLine(lender));
}

} // namespace

/// Without argument every part runs; otherwise the one named.
int main(int argc, char** argv)
{
    const std::string part = argc > 1 ? argv[1] : "all";
    const auto wants = [&](const char* name) { return part == "all" || part == name; };
    if (wants("today"))
        printRefusals({ 2, 5, 60 }, 60s);
    if (wants("fleet"))
        printRefusals({ 30, 110, 880 }, 60s);
    if (wants("traffic"))
        printTrafficGrowth();
    if (wants("appends"))
        printAppends();
    if (wants("state"))
        printState();
    return 0;
}
