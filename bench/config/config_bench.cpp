#include "fleet.hpp"
#include "linear_fit.hpp"

#include "hornbeamgate/config/rules_writer.hpp"
#include "hornbeamgate/keys/key_ring.hpp"

#include <algorithm>
#include <iostream>
#include <string>

using namespace hornbeamgate;
using namespace hornbeamgate::bench;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kWorkspaceCounts[] = { 5, 40, 160, 320, 650 };
constexpr std::size_t kFleetSizes[] = { 24, 90, 180, 360 };
constexpr int kModels = 14;
constexpr int kKeysPerWorkspace = 2;

KeyHasher makeHasher() { return KeyHasher::create(Bytes(kMinPepperBytes, 7)).value(); }

std::string secretOf(std::size_t workspace, int key) { return "hbg_secret-" + std::to_string(workspace) + "-" + std::to_string(key); }

RuleSet makeRules(std::size_t workspaces)
{
    RuleSet rules;
    const auto hasher = makeHasher();
    for (int model = 0; model < kModels; ++model)
        rules.models.push_back({ ModelId("rota-" + std::to_string(model)), WeightsVersion(1) });
    for (std::size_t index = 0; index < workspaces; ++index) {
        const WorkspaceId id("workspace-" + std::to_string(index));
        rules.workspaces.push_back({ id, 2, 1, { 20, 40 }, { 30000, 60000 } });
        for (int key = 0; key < kKeysPerWorkspace; ++key)
            rules.keys.push_back({ KeyId(id.value() + "-" + std::to_string(key)), id, hasher.hash(secretOf(index, key)).toHex() });
    }
    return rules;
}

AcceptedConfig makeConfig(const RuleSet& rules)
{
    std::vector<std::string> lines;
    const auto text = writeRules(rules, "asked by Ana");
    for (std::size_t begin = 0; begin < text.size();) {
        const auto end = text.find('\n', begin);
        lines.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    AcceptedConfig config;
    config.version = ConfigVersion(1);
    config.position = LogOffset(1);
    config.document = RuleDocument::fromLines(lines).value();
    config.digest = config.document.digest(config.version);
    return config;
}

template <typename Work>
double microsecondsPerCall(int calls, Work work)
{
    const auto began = MonotonicClock::now();
    for (int call = 0; call < calls; ++call)
        work(call);
    return std::chrono::duration<double, std::micro>(MonotonicClock::now() - began).count() / calls;
}

ConfigProposal proposeWeight(const AcceptedConfig& config, std::size_t weight)
{
    WorkspaceRule rule { WorkspaceId("workspace-0"), static_cast<std::uint32_t>(weight + 3), 1, { 20, 40 }, { 30000, 60000 } };
    ConfigProposal proposal { ProposalId(std::string(32, 'a')), config.version, "Ana", { { formatRuleLine(rule, "asked by Ana") }, {} }, 0 };
    auto document = config.document;
    static_cast<void>(document.apply(proposal.delta));
    proposal.digest = document.digest(config.version.next());
    return proposal;
}

void measureSizesAndTimes()
{
    std::vector<Sample> proposals;
    std::vector<Sample> checkpoints;
    std::vector<Sample> applied;
    std::vector<Sample> lookups;
    for (const auto workspaces : kWorkspaceCounts) {
        const auto size = static_cast<double>(workspaces);
        const auto rules = makeRules(workspaces);
        const auto config = makeConfig(rules);
        proposals.push_back({ size, static_cast<double>(encodeConfigRecord(proposeWeight(config, 1)).size()) });
        checkpoints.push_back({ size, static_cast<double>(encodeConfigRecord(ConfigCheckpoint { config }).size()) });
        ConfigStateMachine stateMachine;
        stateMachine.adopt(config);
        constexpr int kChanges = 20;
        std::vector<Bytes> records;
        auto target = config;
        for (int change = 0; change < kChanges; ++change) {
            const auto proposal = proposeWeight(target, static_cast<std::size_t>(change));
            static_cast<void>(target.document.apply(proposal.delta));
            target.version = target.version.next();
            records.push_back(encodeConfigRecord(proposal));
        }
        std::size_t readable = 0;
        applied.push_back({ size, microsecondsPerCall(kChanges, [&](int change) {
                               const auto offset = stateMachine.nextRead();
                               stateMachine.handle(LogRecordsRead { { { offset, records[static_cast<std::size_t>(change)] } }, offset.next() });
                               readable += stateMachine.accepted().document.readableRules().rules.workspaces.size();
                           }) });
        if (stateMachine.accepted().version != target.version || readable != workspaces * kChanges)
            std::cerr << "the changes were not applied\n";
        const auto ring = KeyRing::create(rules, makeHasher()).value();
        std::size_t found = 0;
        constexpr int kLookups = 20000;
        lookups.push_back({ size, microsecondsPerCall(kLookups, [&](int lookup) {
                               found += ring.find(secretOf(static_cast<std::size_t>(lookup) % workspaces, lookup % 2)).has_value() ? 1 : 0;
                           }) });
        if (found != kLookups)
            std::cerr << "a key was not found\n";
        std::cout << "workspaces=" << workspaces << " proposal_bytes=" << proposals.back().cost << " checkpoint_bytes=" << checkpoints.back().cost
                  << " apply_us=" << applied.back().cost << " key_lookup_us=" << lookups.back().cost << '\n';
    }
    printFit("configuration change in the log", "bytes per change by workspaces", "B", fitLine(proposals));
    printFit("configuration checkpoint", "bytes by workspaces", "B", fitLine(checkpoints));
    printFit("configuration change", "processor time to judge and apply by workspaces", "us", fitLine(applied));
    printFit("key check", "processor time per lookup by workspaces", "us", fitLine(lookups));
}

FleetOptions makeOptions(std::size_t daemons, std::size_t readers)
{
    FleetOptions options;
    options.daemons = daemons;
    options.logReaders = readers;
    return options;
}

/// All daemons but one are cut off from the log and learn changes from peers alone.
void measureSpread()
{
    std::vector<Sample> idle;
    for (const auto daemons : kFleetSizes) {
        Fleet fleet(makeOptions(daemons, 1), daemons);
        fleet.runFor(20s);
        Duration slowest = Duration::zero();
        int hops = 0;
        int late = 0;
        constexpr int kChanges = 50;
        for (int change = 0; change < kChanges; ++change) {
            fleet.publish();
            fleet.runFor(10s);
            const auto time = fleet.spreadTime();
            late += time ? 0 : 1;
            slowest = std::max(slowest, time.value_or(10s));
            hops = std::max(hops, fleet.mostHops());
        }
        Fleet quiet(makeOptions(daemons, daemons), daemons);
        quiet.publish();
        quiet.runFor(20s);
        const auto before = quiet.sentBytes();
        constexpr auto kTime = 480s;
        for (int change = 0; change < 10; ++change) {
            quiet.runFor(kTime / 10);
            quiet.publish();
        }
        const auto perSecond = static_cast<double>(quiet.sentBytes() - before) / static_cast<double>(daemons) / static_cast<double>(kTime.count());
        idle.push_back({ static_cast<double>(daemons), perSecond });
        std::cout << "daemons=" << daemons << " changes=" << kChanges << " slowest_spread_ms=" << std::chrono::duration_cast<std::chrono::milliseconds>(slowest).count()
                  << " most_hops=" << hops << " not_spread_in_10s=" << late << " exchange_bytes_per_second=" << perSecond << '\n';
    }
    printFit("configuration exchange", "bytes sent per daemon and second by daemons, a change every 48 s", "B/s", fitLine(idle));
}

/// Reads last long here, since only the time until a reader sees a checkpoint matters, which an append ends.
void measureCheckpoints()
{
    std::vector<Sample> appends;
    for (const auto daemons : kFleetSizes) {
        auto options = makeOptions(daemons, daemons);
        options.replica.readWait = 10min;
        options.replica.confirmedFor = 1h;
        options.replica.exchangePeriod = 24h;
        Fleet fleet(options, daemons);
        fleet.publish();
        constexpr int kDays = 10;
        fleet.runFor(kDays * 24h);
        appends.push_back({ static_cast<double>(daemons), static_cast<double>(fleet.checkpoints()) / kDays });
        std::cout << "daemons=" << daemons << " checkpoints_per_day=" << appends.back().cost << '\n';
    }
    printFit("configuration checkpoint", "appends per day by daemons, retention 24 h", "1/d", fitLine(appends));
}

} // namespace

int main()
{
    measureSizesAndTimes();
    measureSpread();
    measureCheckpoints();
}
