#include "linear_fit.hpp"
#include "replay.hpp"

#include <cstring>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

using namespace hornbeamgate;
using namespace hornbeamgate::bench;
using std::chrono::seconds;

namespace {

constexpr double kRequestsPerEngine = 5.4;
constexpr std::uint64_t kSeeds[] = { 11, 12, 13 };

struct Variant {
    std::string name;
    PlacerFactory makePlacer;
    bool fairQueue = true;
};

ReplayOptions faultyDay(const WorkloadShape& shape, std::uint32_t scale, std::uint64_t seed)
{
    ReplayOptions options;
    options.seed = seed;
    options.engine.cacheBlocks = shape.cacheBlocks;
    options.engines = 20 * scale;
    options.firstRegionEngines = 14 * scale;
    auto& workload = options.workload;
    workload.shape = shape;
    workload.seed = seed;
    workload.requestsPerSecond = kRequestsPerEngine * options.engines;
    workload.daemons = 4 * scale;
    workload.firstRegionDaemons = workload.daemons * 7 / 10 + (scale == 1 ? 1 : 0);
    workload.documentScale = scale;
    workload.hotShifts = { kBenchStart + seconds(20), kBenchStart + seconds(30) };
    workload.floodWorkspace = 1;
    workload.floodFactor = 4;
    workload.floodFrom = kBenchStart + seconds(35);
    workload.floodUntil = kBenchStart + seconds(45);
    options.crashes = { { 3, kBenchStart + seconds(25) }, { options.firstRegionEngines + 1, kBenchStart + seconds(50) } };
    return options;
}

void printHead(const std::string& title)
{
    std::cout << "\n"
              << title << "\n"
              << std::left << std::setw(26) << "variant" << std::right;
    for (const char* column : { "hit%", "wasted%", "p50ms", "p95ms", "p99ms", "worst%", "refused%", "redir/req", "linkMb/s", "util%", "digestB/s", "oth.p99", "oth.ref%" })
        std::cout << std::setw(10) << column;
    std::cout << '\n';
}

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// Mean over the seeds.
ReplayResult runSeeds(const WorkloadShape& shape, std::uint32_t scale, const Variant& variant, double floodFactor = 4)
{
    ReplayResult sum;
    constexpr double kCount = std::size(kSeeds);
    for (const auto seed : kSeeds) {
        auto options = faultyDay(shape, scale, seed);
        options.engine.fairQueue = variant.fairQueue;
        options.workload.floodFactor = floodFactor;
        const auto workload = generateWorkload(options.workload);
        const auto result = replay(options, workload, variant.makePlacer);
        sum.hitRate += result.hitRate / kCount;
        sum.wasted += result.wasted / kCount;
        sum.p50 += result.p50 / std::size(kSeeds);
        sum.p95 += result.p95 / std::size(kSeeds);
        sum.p99 += result.p99 / std::size(kSeeds);
        sum.worstServed += result.worstServed / kCount;
        sum.wrongfulRefusals += result.wrongfulRefusals / kCount;
        sum.othersP99 += result.othersP99 / std::size(kSeeds);
        sum.othersRefused += result.othersRefused / kCount;
        sum.redirects += result.redirects / kCount;
        sum.linkMegabitsPerSecond += result.linkMegabitsPerSecond / kCount;
        sum.utilization += result.utilization / kCount;
        sum.digestBytesPerSecond += result.digestBytesPerSecond / kCount;
        sum.stateBytes = std::max(sum.stateBytes, result.stateBytes);
        sum.decisionTime = std::max(sum.decisionTime, result.decisionTime);
    }
    return sum;
}

void printRow(const std::string& name, const ReplayResult& result)
{
    std::cout << std::left << std::setw(26) << name << std::right << std::fixed;
    const double percentages[] = { result.hitRate, result.wasted };
    for (const double value : percentages)
        std::cout << std::setw(10) << std::setprecision(2) << value * 100;
    for (const auto time : { result.p50, result.p95, result.p99 })
        std::cout << std::setw(10) << std::setprecision(0) << milliseconds(time);
    for (const double value : { result.worstServed, result.wrongfulRefusals })
        std::cout << std::setw(10) << std::setprecision(2) << value * 100;
    std::cout << std::setw(10) << std::setprecision(3) << result.redirects << std::setw(10) << std::setprecision(1)
              << result.linkMegabitsPerSecond << std::setw(10) << result.utilization * 100 << std::setw(10) << std::setprecision(0) << result.digestBytesPerSecond << std::setw(10) << milliseconds(result.othersP99) << std::setw(10) << std::setprecision(2) << result.othersRefused * 100 << std::endl;
}

Variant ours(const std::string& name, const RoutingPolicy& policy, bool fairQueue = true)
{
    const auto make = [policy](const BenchFleet& fleet) { return makeRouterPlacer(fleet, policy, EngineModelOptions().costs, 5); };
    return { name, make, fairQueue };
}

std::vector<Variant> strategies(const RoutingPolicy& policy)
{
    return {
        { "random", [](const BenchFleet& fleet) { return makeRandomPlacer(fleet, 5); } },
        { "least loaded", [](const BenchFleet& fleet) { return makeLeastLoadedPlacer(fleet, 5); } },
        { "consistent hashing", [](const BenchFleet& fleet) { return makeConsistentHashPlacer(fleet); } },
        { "ideal", [](const BenchFleet& fleet) { return makeIdealPlacer(fleet); } },
        ours("ours", policy),
    };
}

std::vector<Variant> ablations(const RoutingPolicy& policy)
{
    std::vector<Variant> variants;
    const auto without = [&](const std::string& name, auto change) {
        auto changed = policy;
        change(changed);
        variants.push_back(ours("without " + name, changed));
    };
    without("nested levels", [](RoutingPolicy& p) { p.useNestedLevels = false; });
    without("replicas by heat", [](RoutingPolicy& p) { p.usePopularity = false; });
    without("learned places", [](RoutingPolicy& p) { p.useBlockLocations = false; });
    without("bounded load", [](RoutingPolicy& p) { p.useBoundedLoad = false; });
    without("agent redirect", [](RoutingPolicy& p) { p.useAgentRedirect = false; });
    without("sampled candidates", [](RoutingPolicy& p) { p.sampledCandidates = 0; });
    without("home preference", [](RoutingPolicy& p) { p.homePreference = 0; });
    without("miss weight", [](RoutingPolicy& p) { p.missWeight = 1; });
    without("jitter", [](RoutingPolicy& p) { p.jitter = Duration::zero(); });
    without("warm-up", [](RoutingPolicy& p) { p.warmUp = std::chrono::nanoseconds(1); });
    variants.push_back(ours("without fair queue", policy, false));
    return variants;
}

void compare(const WorkloadShape& shape, const RoutingPolicy& policy, std::uint32_t scale)
{
    printHead(shape.name + ", " + std::to_string(20 * scale) + " engines, " + std::to_string(4 * scale) + " daemons");
    ReplayResult ideal;
    ReplayResult own;
    for (const auto& variant : strategies(policy)) {
        const auto result = runSeeds(shape, scale, variant);
        printRow(variant.name, result);
        if (variant.name == "ideal")
            ideal = result;
        own = result;
    }
    std::cout << std::setprecision(3) << "ours/ideal: hit rate " << own.hitRate / ideal.hitRate << " (goal >= 0.95), p99 "
              << milliseconds(own.p99) / milliseconds(ideal.p99) << " (goal <= 1.1), worst-served " << own.worstServed
              << " (goal >= 0.95)" << std::endl;
}

void printAblations(const WorkloadShape& shape, const RoutingPolicy& policy)
{
    printHead(shape.name + ", one mechanism off at a time");
    printRow("ours", runSeeds(shape, 1, ours("ours", policy)));
    for (const auto& variant : ablations(policy))
        printRow(variant.name, runSeeds(shape, 1, variant));
}

/// A flood that exceeds what all engines can do, with and without fairness between workspaces.
void compareFloods(const WorkloadShape& shape, const RoutingPolicy& policy)
{
    constexpr double kFloodFactor = 12;
    printHead(shape.name + ", one workspace at twelve times its rate for 10 s");
    const auto ideal = strategies(policy)[3];
    printRow("ideal", runSeeds(shape, 1, ideal, kFloodFactor));
    printRow("ours", runSeeds(shape, 1, ours("ours", policy), kFloodFactor));
    printRow("without fair queue", runSeeds(shape, 1, ours("", policy, false), kFloodFactor));
    auto unbounded = policy;
    unbounded.useAgentRedirect = false;
    printRow("without agent redirect", runSeeds(shape, 1, ours("", unbounded), kFloodFactor));
}

void measureGrowth()
{
    std::vector<Sample> times;
    std::vector<Sample> bytes;
    std::cout << "\nengines  us/decision  state bytes\n";
    for (const std::uint32_t scale : { 1U, 4U, 17U, 34U }) {
        auto options = faultyDay(vodnjakShape(), scale, 11);
        options.workload.length = seconds(6);
        options.workload.floodFactor = 1;
        options.measureAfter = seconds(2);
        options.crashes.clear();
        options.workload.daemons = scale < 34 ? options.workload.daemons : 360;
        options.workload.firstRegionDaemons = options.workload.daemons * 7 / 10;
        const auto workload = generateWorkload(options.workload);
        const auto result = replay(options, workload, ours("ours", RoutingPolicy::forFairness()).makePlacer);
        const double micros = std::chrono::duration<double, std::micro>(result.decisionTime).count();
        std::cout << options.engines << "  " << std::fixed << std::setprecision(1) << micros << "  " << result.stateBytes << std::endl;
        times.push_back({ static_cast<double>(options.engines), micros });
        bytes.push_back({ static_cast<double>(options.engines), static_cast<double>(result.stateBytes) });
    }
    printFit("routing decision", "processor time by engines", "us", fitLine(times));
    printFit("routing decision", "state by engines", "bytes", fitLine(bytes));
}

} // namespace

/// Without arguments prints everything; `compare`, `ablate`, `scale`, `flood` or `growth` print one part.
int main(int argc, char** argv)
{
    const std::string part = argc > 1 ? argv[1] : "all";
    const bool all = part == "all";
    if (all || part == "compare") {
        compare(vodnjakShape(), RoutingPolicy::forFairness(), 1);
        compare(daesanShape(), RoutingPolicy::forTailLatency(), 1);
    }
    if (all || part == "ablate") {
        printAblations(vodnjakShape(), RoutingPolicy::forFairness());
        printAblations(daesanShape(), RoutingPolicy::forTailLatency());
    }
    if (all || part == "scale") {
        compare(vodnjakShape(), RoutingPolicy::forFairness(), 4);
        auto flat = RoutingPolicy::forFairness();
        flat.useNestedLevels = false;
        printRow("without nested levels", runSeeds(vodnjakShape(), 4, ours("", flat)));
    }
    if (all || part == "flood") {
        compareFloods(vodnjakShape(), RoutingPolicy::forFairness());
        compareFloods(daesanShape(), RoutingPolicy::forTailLatency());
    }
    if (all || part == "growth")
        measureGrowth();
    return 0;
}
