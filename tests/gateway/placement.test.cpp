#include "hornbeamgate/gateway/placement.hpp"

#include "gateway/time_support.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <random>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace hornbeamgate::gateway::testing;
using namespace std::chrono_literals;

namespace {

const ServiceId kService("s");
const ModelId kModel("m");
const BlockDirectory kNoBlocks;
const EndpointAdvisories kNoAdvice { HostId("front-1") };

EndpointAdvice limitOf(double requestsPerSecond)
{
    EndpointAdvice advice;
    advice.requestsPerSecond = requestsPerSecond;
    return advice;
}

EndpointEntry engine(std::size_t number, const std::string& dataCenter, std::uint64_t version = 1)
{
    EndpointEntry entry;
    entry.id = EndpointId("e" + std::to_string(100 + number));
    entry.service = kService;
    entry.dataCenter = DataCenterId(dataCenter);
    entry.slots = 16;
    entry.weights[kModel] = WeightsVersion(version);
    return entry;
}

EndpointRegistry registryOf(std::size_t engines)
{
    constexpr std::array kDataCenters { "a", "b", "c" };
    EndpointRegistry registry;
    for (std::size_t i = 0; i < engines; ++i)
        registry.put(engine(i, kDataCenters[i % kDataCenters.size()]));
    return registry;
}

Placer placerAt(const std::string& dataCenter)
{
    return Placer({ DataCenterId(dataCenter), RegionId(dataCenter == "c" ? "far" : "near"),
        { { DataCenterId("a"), RegionId("near") }, { DataCenterId("b"), RegionId("near") }, { DataCenterId("c"), RegionId("far") } } });
}

PlacementRequest longPrompt(const std::string& shared, std::int64_t ownTokens = 3700)
{
    PlacementRequest request;
    request.service = kService;
    request.model = kModel;
    request.prompt = { { shared, 13'300 }, { "own", ownTokens } };
    request.timeLeft = 8s;
    return request;
}

PlacementRequest shortPrompt()
{
    PlacementRequest request;
    request.service = kService;
    request.model = kModel;
    request.prompt = { { "level", 55 }, { "own", 290 } };
    request.timeLeft = 4s;
    return request;
}

} // namespace

TEST_CASE("daemons without shared state choose the same home for a prompt [placement]")
{
    const auto registry = registryOf(18);
    const EndpointLoads loads;
    auto near = placerAt("a");
    auto far = placerAt("c");
    for (int i = 0; i < 50; ++i) {
        const auto request = longPrompt("prefix " + std::to_string(i));
        CHECK(near.choose(request, { registry, loads, kNoAdvice, kNoBlocks }, at(0ms)).endpoint == far.choose(request, { registry, loads, kNoAdvice, kNoBlocks }, at(0ms)).endpoint);
    }
}

TEST_CASE("a prompt is sent to the holder of its blocks, or to an engine that fetches them if the holder is overloaded [placement]")
{
    const auto registry = registryOf(18);
    EndpointLoads loads;
    BlockDirectory blocks;
    auto placer = placerAt("a");
    const auto request = longPrompt("hot");
    const auto home = placer.choose(request, { registry, loads, kNoAdvice, blocks }, at(0ms));
    REQUIRE(home.endpoint);
    REQUIRE(home.blocks);
    CHECK(home.prefillTokens == 17'000);
    const EndpointId holder(home.endpoint == EndpointId("e101") ? "e102" : "e101");
    blocks.recordUse(holder, *home.blocks, at(0ms));
    const auto held = placer.choose(request, { registry, loads, kNoAdvice, blocks }, at(1s));
    CHECK(held.endpoint == holder);
    CHECK(held.prefillTokens == 3700);
    std::uint64_t number = 0;
    for (int i = 0; i < 8; ++i)
        loads.sent(holder, ++number, 3700, at(1s));
    const auto further = placer.choose(request, { registry, loads, kNoAdvice, blocks }, at(1001ms));
    CHECK(further.endpoint != holder);
    CHECK(further.blockSource == holder);
    CHECK(further.prefillTokens == 3700);
}

TEST_CASE("an engine that is still computing a prompt or is unresponsive is not a block source [placement]")
{
    const auto registry = registryOf(2);
    EndpointLoads loads;
    BlockDirectory blocks;
    auto placer = placerAt("a");
    auto request = longPrompt("hot");
    const auto key = placer.choose(request, { registry, loads, kNoAdvice, blocks }, at(0ms)).blocks;
    REQUIRE(key);
    request.tried.insert(EndpointId("e100"));
    blocks.recordUse(EndpointId("e100"), *key, at(0ms));
    CHECK_FALSE(placer.choose(request, { registry, loads, kNoAdvice, blocks }, at(200ms)).blockSource);
    CHECK(placer.choose(request, { registry, loads, kNoAdvice, blocks }, at(1s)).blockSource == EndpointId("e100"));
    loads.sent(EndpointId("e100"), 1, 300, at(0ms));
    const auto silent = placer.choose(request, { registry, loads, kNoAdvice, blocks }, at(2s));
    CHECK_FALSE(silent.blockSource);
    CHECK(silent.prefillTokens == 17'000);
}

TEST_CASE("isolated workspaces have separate homes [placement]")
{
    const auto registry = registryOf(18);
    const EndpointLoads loads;
    auto placer = placerAt("a");
    int moved = 0;
    for (int i = 0; i < 20; ++i) {
        auto request = longPrompt("prefix " + std::to_string(i));
        const auto shared = placer.choose(request, { registry, loads, kNoAdvice, kNoBlocks }, at(0ms)).endpoint;
        request.cacheDomain = "walled";
        moved += placer.choose(request, { registry, loads, kNoAdvice, kNoBlocks }, at(0ms)).endpoint != shared ? 1 : 0;
    }
    CHECK(moved > 10);
}

TEST_CASE("short prompts avoid other regions and are balanced by load [placement]")
{
    const auto registry = registryOf(18);
    EndpointLoads loads;
    auto placer = placerAt("a");
    std::map<EndpointId, int> counts;
    for (std::uint64_t number = 1; number <= 60; ++number) {
        const auto placement = placer.choose(shortPrompt(), { registry, loads, kNoAdvice, kNoBlocks }, at(0ms));
        REQUIRE(placement.endpoint);
        CHECK(registry.find(*placement.endpoint)->dataCenter != DataCenterId("c"));
        CHECK_FALSE(placement.blockSource);
        loads.sent(*placement.endpoint, number, placement.prefillTokens, at(0ms));
        ++counts[*placement.endpoint];
    }
    CHECK(std::max_element(counts.begin(), counts.end(), [](const auto& left, const auto& right) { return left.second < right.second; })->second <= 10);
}

TEST_CASE("endpoints that are leaving, already tried or of another service are never chosen [placement]")
{
    EndpointRegistry registry;
    auto leaving = engine(1, "a");
    leaving.isLeaving = true;
    auto other = engine(2, "a");
    other.service = ServiceId("other");
    registry.put(leaving);
    registry.put(other);
    registry.put(engine(3, "a"));
    const EndpointLoads loads;
    auto placer = placerAt("a");
    auto request = shortPrompt();
    CHECK(placer.choose(request, { registry, loads, kNoAdvice, kNoBlocks }, at(0ms)).endpoint == EndpointId("e103"));
    request.tried.insert(EndpointId("e103"));
    const auto placement = placer.choose(request, { registry, loads, kNoAdvice, kNoBlocks }, at(0ms));
    CHECK_FALSE(placement.endpoint);
    CHECK(placement.refusal == PlacementRefusal::NoEndpoint);
}

TEST_CASE("a request that no endpoint can answer in the remaining time is refused immediately [placement]")
{
    const auto registry = registryOf(1);
    EndpointLoads loads;
    auto placer = placerAt("a");
    loads.sent(EndpointId("e100"), 1, 400'000, at(0ms));
    auto request = shortPrompt();
    const auto placement = placer.choose(request, { registry, loads, kNoAdvice, kNoBlocks }, at(0ms));
    CHECK_FALSE(placement.endpoint);
    CHECK(placement.refusal == PlacementRefusal::AllBusy);
    CHECK(placement.expectedWait > 4s);
    request.timeLeft = 20s;
    CHECK(placer.choose(request, { registry, loads, kNoAdvice, kNoBlocks }, at(0ms)).endpoint);
}

TEST_CASE("failing and silent endpoints are chosen only if no other endpoint is available [placement]")
{
    const auto registry = registryOf(2);
    EndpointLoads loads;
    auto placer = placerAt("a");
    for (std::uint64_t number = 1; number <= 5; ++number) {
        loads.sent(EndpointId("e100"), number, 0, at(0ms));
        loads.finished(EndpointId("e100"), number, SendOutcome::Failed, at(0ms));
    }
    CHECK(placer.choose(shortPrompt(), { registry, loads, kNoAdvice, kNoBlocks }, at(1ms)).endpoint == EndpointId("e101"));
    loads.sent(EndpointId("e101"), 9, 0, at(0ms));
    CHECK(placer.choose(shortPrompt(), { registry, loads, kNoAdvice, kNoBlocks }, at(10s)).endpoint == EndpointId("e100"));
    auto request = shortPrompt();
    request.tried.insert(EndpointId("e101"));
    CHECK(placer.choose(request, { registry, loads, kNoAdvice, kNoBlocks }, at(1ms)).endpoint == EndpointId("e100"));
}

TEST_CASE("engines with overdue weights are excluded once most engines have newer ones [placement]")
{
    const EndpointLoads loads;
    auto placer = placerAt("a");
    auto request = shortPrompt();
    request.newestWeights = WeightsVersion(2);
    request.oldestWeights = WeightsVersion(2);
    EndpointRegistry most;
    most.put(engine(1, "a", 1));
    most.put(engine(2, "c", 2));
    most.put(engine(3, "c", 2));
    request.tried = { EndpointId("e102"), EndpointId("e103") };
    CHECK_FALSE(placer.choose(request, { most, loads, kNoAdvice, kNoBlocks }, at(0ms)).endpoint);
    EndpointRegistry few;
    few.put(engine(1, "a", 1));
    few.put(engine(2, "a", 1));
    few.put(engine(3, "c", 2));
    request.tried = { EndpointId("e103") };
    CHECK(few.entries().size() == 3);
    CHECK(placer.choose(request, { few, loads, kNoAdvice, kNoBlocks }, at(0ms)).endpoint);
}

TEST_CASE("while most engines have overdue weights, requests use the others as long as those are not much slower [placement]")
{
    // The rollout leader was frozen for longer than the bound, and its successor has just begun to load engines.
    EndpointRegistry registry;
    for (std::size_t i = 0; i < 9; ++i)
        registry.put(engine(i, "a", 1));
    registry.put(engine(9, "c", 2));
    EndpointLoads loads;
    auto placer = placerAt("a");
    auto request = shortPrompt();
    request.newestWeights = WeightsVersion(2);
    request.oldestWeights = WeightsVersion(2);
    CHECK(placer.choose(request, { registry, loads, kNoAdvice, kNoBlocks }, at(0ms)).endpoint == EndpointId("e109"));
    for (int i = 0; i < 20; ++i)
        loads.sent(EndpointId("e109"), static_cast<std::uint64_t>(i), 20'000, at(0ms));
    const auto placement = placer.choose(request, { registry, loads, kNoAdvice, kNoBlocks }, at(10ms));
    REQUIRE(placement.endpoint);
    CHECK(placement.endpoint != EndpointId("e109"));
}

TEST_CASE("blocks are fetched only from an engine with the same weights [placement]")
{
    EndpointRegistry registry;
    for (std::size_t i = 0; i < 6; ++i)
        registry.put(engine(i, "a", i < 3 ? 1 : 2));
    const EndpointLoads loads;
    BlockDirectory blocks;
    auto placer = placerAt("a");
    int fetched = 0;
    for (int i = 0; i < 20; ++i) {
        auto request = longPrompt("prefix " + std::to_string(i));
        for (const auto time : { at(0ms), at(1s) }) {
            const auto placement = placer.choose(request, { registry, loads, kNoAdvice, blocks }, time);
            REQUIRE(placement.endpoint);
            REQUIRE(placement.blocks);
            blocks.recordUse(*placement.endpoint, *placement.blocks, time);
            request.tried.insert(*placement.endpoint);
            if (!placement.blockSource)
                continue;
            ++fetched;
            CHECK(registry.find(*placement.blockSource)->weights == registry.find(*placement.endpoint)->weights);
        }
    }
    CHECK(fetched == 20);
}

namespace {

/// LRU cache of shared prompts in an engine.
class LruBlockCache {
public:
    explicit LruBlockCache(std::size_t prompts)
        : m_capacity(prompts)
    {
    }

    bool holds(BlockKey prompt) const { return std::find(m_prompts.begin(), m_prompts.end(), prompt) != m_prompts.end(); }

    void use(BlockKey prompt)
    {
        std::erase(m_prompts, prompt);
        m_prompts.push_back(prompt);
        if (m_prompts.size() > m_capacity)
            m_prompts.pop_front();
    }

    void clear() { m_prompts.clear(); }

private:
    std::size_t m_capacity;
    std::deque<BlockKey> m_prompts;
};

enum class Knowledge {
    None, ///< engines are chosen at random
    OwnSends,
    AllSends, ///< daemons exchange their sends every 200 ms
};

/// State of one simulated daemon.
struct Daemon {
    Placer placer;
    EndpointLoads loads;
    BlockDirectory blocks;
};

/// Returns how many of 3,000 requests recompute a prompt that some engine holds. The simulation has 157 prompts and 18
/// engines whose weights change every 20 s, six engines at a time.
int countRepeatedPrefills(Knowledge knowledge)
{
    constexpr std::size_t kEngines = 18;
    constexpr std::size_t kPromptsPerCache = 9;
    constexpr int kPrompts = 157;
    constexpr auto kGossipInterval = 200ms;
    constexpr std::uint64_t kSendsPerLoad = 25; // one weights load per second, 20 s between versions
    auto registry = registryOf(kEngines);
    std::vector<Daemon> daemons;
    for (const auto* dataCenter : { "a", "b", "c" })
        daemons.push_back({ placerAt(dataCenter), {}, {} });
    std::map<EndpointId, LruBlockCache> caches;
    for (const auto& [id, entry] : registry.entries())
        caches.emplace(id, LruBlockCache(kPromptsPerCache));
    std::mt19937 random(20261204);
    int count = 0;
    auto now = at(0ms);
    auto nextGossip = now;
    std::deque<std::pair<MonotonicTime, std::pair<EndpointId, std::uint64_t>>> running;
    for (std::uint64_t number = 1; number <= 3000; ++number, now += 40ms) {
        if (number % kSendsPerLoad == 0) {
            const auto engineNumber = number / kSendsPerLoad % kEngines;
            const EndpointId id("e" + std::to_string(100 + engineNumber));
            registry.recordWeights(id, kModel, WeightsVersion(2 + number / kSendsPerLoad / kEngines));
            caches.at(id).clear();
        }
        if (knowledge == Knowledge::AllSends && now >= nextGossip) {
            nextGossip = now + kGossipInterval;
            for (auto& sender : daemons) {
                for (auto& receiver : daemons)
                    receiver.blocks.recordPeerUses(sender.blocks.recentLocalUses(now - 3 * kGossipInterval, now), now);
            }
        }
        for (; !running.empty() && running.front().first <= now; running.pop_front()) {
            for (auto& daemon : daemons)
                daemon.loads.finished(running.front().second.first, running.front().second.second, SendOutcome::Served, now);
        }
        // A quarter of all requests use the same prompt.
        const auto prompt = std::to_string(random() % 4 == 0 ? 0 : static_cast<int>(random() % kPrompts));
        auto& daemon = daemons[number % daemons.size()];
        auto placement = daemon.placer.choose(longPrompt(prompt), { registry, daemon.loads, kNoAdvice, daemon.blocks }, now);
        if (knowledge == Knowledge::None) {
            placement.endpoint = EndpointId("e" + std::to_string(100 + random() % kEngines));
            placement.blockSource.reset();
        }
        const auto version = registry.find(*placement.endpoint)->weights.at(kModel).value();
        const BlockKey key = std::stoull(prompt) * 1000 + version;
        auto& cache = caches.at(*placement.endpoint);
        const bool isFetched = placement.blockSource && caches.at(*placement.blockSource).holds(key);
        const bool isHeld = std::any_of(caches.begin(), caches.end(), [&](const auto& entry) { return entry.second.holds(key); });
        if (!cache.holds(key) && !isFetched && isHeld)
            ++count;
        cache.use(key);
        daemon.blocks.recordUse(*placement.endpoint, *placement.blocks, now);
        daemon.loads.sent(*placement.endpoint, number, placement.prefillTokens, now);
        running.push_back({ now + 300ms, { *placement.endpoint, number } });
    }
    return count;
}

} // namespace

TEST_CASE("shared prompts, one of them hot, are rarely recomputed while an engine holds them [placement]")
{
    const int random = countRepeatedPrefills(Knowledge::None);
    const int localOnly = countRepeatedPrefills(Knowledge::OwnSends);
    const int gossiped = countRepeatedPrefills(Knowledge::AllSends);
    MESSAGE("prompts recomputed: ", gossiped, " of 3000 requests, ", localOnly, " without exchanging sends; with random placement: ", random);
    CHECK(gossiped * 5 < random);
    CHECK(gossiped * 2 < localOnly);
}

TEST_CASE("an endpoint at its limit is passed over, and remains the home of its blocks [placement]")
{
    const auto registry = registryOf(2);
    EndpointLoads loads;
    EndpointAdvisories advisories { HostId("front-1") };
    const auto placer = placerAt("a");
    const auto request = longPrompt("p");
    const auto home = placer.choose(request, { registry, loads, advisories, kNoBlocks }, at(0ms)).endpoint;
    REQUIRE(home);
    const auto* entry = registry.find(*home);
    const EndpointInstance instance { *home, entry->incarnation, entry->service };
    advisories.recordResponse(instance, limitOf(1), at(0ms), at(1ms));
    CHECK(placer.choose(request, { registry, loads, advisories, kNoBlocks }, at(10ms)).endpoint == home);
    advisories.recordSend(instance, at(10ms));
    const auto other = placer.choose(request, { registry, loads, advisories, kNoBlocks }, at(20ms));
    REQUIRE(other.endpoint);
    CHECK(other.endpoint != home);
}

TEST_CASE("a request finds out when endpoints that are all at their limits admit it, and how many per second [placement]")
{
    const auto registry = registryOf(2);
    EndpointLoads loads;
    EndpointAdvisories advisories { HostId("front-1") };
    for (const auto& [id, entry] : registry.entries()) {
        const EndpointInstance instance { id, entry.incarnation, entry.service };
        advisories.recordResponse(instance, limitOf(id == EndpointId("e100") ? 1 : 4), at(0ms), at(1ms));
        advisories.recordSend(instance, at(2ms));
    }
    const auto placement = placerAt("a").choose(shortPrompt(), { registry, loads, advisories, kNoBlocks }, at(2ms));
    CHECK_FALSE(placement.endpoint);
    CHECK(placement.refusal == PlacementRefusal::AtLimit);
    CHECK(placement.admissionRate == doctest::Approx(5));
    CHECK(placement.expectedWait > 200ms);
    CHECK(placement.expectedWait <= 250ms);
}

TEST_CASE("gateways that see no load do not send all short prompts to the engine that looks best [placement]")
{
    // An engine that is too full to answer looked idle to all gateways, which sent it five times its share.
    const auto registry = registryOf(20);
    const EndpointLoads loads;
    const auto placer = placerAt("a");
    std::map<EndpointId, int> sends;
    constexpr int kRequests = 4000;
    for (int i = 0; i < kRequests; ++i) {
        auto request = shortPrompt();
        request.objectiveLeft = 400ms;
        request.sampleSeed = static_cast<std::uint64_t>(i) * 2654435761U;
        ++sends[*placer.choose(request, { registry, loads, kNoAdvice, kNoBlocks }, at(0ms)).endpoint];
    }
    for (const auto& sent : sends) {
        CAPTURE(sent.first.value());
        CHECK(sent.second < 5 * kRequests / 20);
    }
}

TEST_CASE("an answer in time on older weights is preferred to a late one on the newest [placement]")
{
    // After new weights were named, everything went to the few engines that had them, and was late there.
    EndpointRegistry registry;
    registry.put(engine(1, "a", 2));
    registry.put(engine(2, "a", 1));
    EndpointLoads loads;
    const auto placer = placerAt("a");
    auto request = shortPrompt();
    request.newestWeights = WeightsVersion(2);
    request.objectiveLeft = 400ms;
    CHECK(placer.choose(request, { registry, loads, kNoAdvice, kNoBlocks }, at(0ms)).endpoint == EndpointId("e101"));
    loads.sent(EndpointId("e101"), 1, 14'000, at(0ms)); // prefill takes 370 ms
    CHECK(placer.choose(request, { registry, loads, kNoAdvice, kNoBlocks }, at(0ms)).endpoint == EndpointId("e102"));
    request.objectiveLeft.reset();
    CHECK(placer.choose(request, { registry, loads, kNoAdvice, kNoBlocks }, at(0ms)).endpoint == EndpointId("e101"));
}

TEST_CASE("an engine on a machine that is slowed down gets fewer requests than others, but some [placement]")
{
    const auto registry = registryOf(3);
    const auto placer = placerAt("a");
    EngineSpeeds speeds;
    speeds.recordReport(EndpointId("e100"), 400, at(0ms));
    speeds.recordReport(EndpointId("e101"), 100, at(0ms));
    speeds.recordReport(EndpointId("e102"), 100, at(0ms));
    EndpointLoads loads;
    std::map<EndpointId, int> sends;
    for (std::uint64_t i = 1; i <= 60; ++i) {
        auto request = shortPrompt();
        request.prompt = { { "own" + std::to_string(i), 1500 } };
        request.objectiveLeft = 400ms;
        request.sampleSeed = i * 2654435761U;
        const auto placement = placer.choose(request, { registry, loads, kNoAdvice, kNoBlocks, &speeds }, at(0ms));
        REQUIRE(placement.endpoint);
        loads.sent(*placement.endpoint, i, placement.prefillTokens, at(0ms));
        ++sends[*placement.endpoint];
    }
    CHECK(sends[EndpointId("e100")] > 0);
    CHECK(2 * sends[EndpointId("e100")] < sends[EndpointId("e101")]);
}

// Guards against an engine that gets more than its pace beside free ones, and against callers that wait beside a free slot.
TEST_CASE("an endpoint in slow start gets no more than its limit while others have a free slot [placement]")
{
    const auto registry = registryOf(2);
    EndpointLoads loads;
    const auto placer = placerAt("a");
    const auto request = shortPrompt();
    const EndpointView unpaced { registry, loads, kNoAdvice, kNoBlocks };
    const auto first = *placer.choose(request, unpaced, at(0ms)).endpoint;
    const auto& entry = *registry.find(first);
    EndpointPaces paces { HostId("front-0") };
    paces.appeared(instanceOf(entry), entry.slots, PaceCause::FirstSeen, at(0ms));
    const EndpointView paced { registry, loads, kNoAdvice, kNoBlocks, nullptr, &paces };
    for (int i = 0; i < 2; ++i) {
        CHECK(placer.choose(request, paced, at(0ms)).endpoint == first);
        paces.recordSend(instanceOf(entry), at(0ms));
    }
    const auto held = placer.choose(request, paced, at(0ms));
    CHECK(held.endpoint != first);
    CHECK(held.isHeldBack);
    CHECK(placer.choose(request, unpaced, at(0ms)).endpoint == first);
    for (int i = 0; i < registry.find(*held.endpoint)->slots; ++i)
        loads.sent(*held.endpoint, static_cast<std::uint64_t>(i), 0, at(0ms));
    CHECK(placer.choose(request, paced, at(0ms)).endpoint == first);
}

TEST_CASE("a request is placed only on versions that it may run on [placement]")
{
    // A version that was rolled back must not run requests, however short its queues are.
    EndpointRegistry registry;
    for (std::size_t i = 0; i < 4; ++i) {
        auto entry = engine(i, "a");
        entry.version = i < 2 ? "v1" : "v2";
        registry.put(entry);
    }
    EndpointLoads loads;
    for (std::uint64_t send = 0; send < 8; ++send)
        loads.sent(EndpointId("e100"), send, 0, at(0ms));
    const auto placer = placerAt("a");
    const EndpointView view { registry, loads, kNoAdvice, kNoBlocks };
    auto request = shortPrompt();
    request.tried = { EndpointId("e101") };
    request.versions = VersionChoice::allExcept({ "v2" });
    CHECK(placer.choose(request, view, at(1ms)).endpoint == EndpointId("e100"));
    request.versions = VersionChoice::only("v2", { EndpointId("e103") });
    CHECK(placer.choose(request, view, at(1ms)).endpoint == EndpointId("e103"));
    request.versions = VersionChoice::only("v3", {});
    CHECK_FALSE(placer.choose(request, view, at(1ms)).endpoint);
    request.versions.reset();
    CHECK(placer.choose(request, view, at(1ms)).endpoint != EndpointId("e100"));
}

TEST_CASE("Guards against requests on weights past their bound while most engines have weights that are only avoided [placement]")
{
    // A newer version comes near its bound, so that most engines are to be avoided; one of them is past the bound of the version before.
    const EndpointLoads loads;
    auto placer = placerAt("a");
    auto request = shortPrompt();
    request.newestWeights = WeightsVersion(3);
    request.oldestWeights = WeightsVersion(3);
    request.oldestSendable = WeightsVersion(2);
    EndpointRegistry registry;
    registry.put(engine(1, "a", 1));
    registry.put(engine(2, "c", 2));
    registry.put(engine(3, "c", 3));
    request.tried = { EndpointId("e103") };
    CHECK(placer.choose(request, { registry, loads, kNoAdvice, kNoBlocks }, at(0ms)).endpoint == EndpointId("e102"));
    request.tried.insert(EndpointId("e102"));
    CHECK_FALSE(placer.choose(request, { registry, loads, kNoAdvice, kNoBlocks }, at(0ms)).endpoint);
}
