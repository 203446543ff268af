#include "hornbeamgate/gateway/placement.hpp"
#include "hornbeamgate/gateway/prompt_queue.hpp"

#include "gateway/time_support.hpp"

#include <doctest/doctest.h>

#include <deque>
#include <random>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace hornbeamgate::gateway::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kGateways = 12;
constexpr std::size_t kEngines = 12;
constexpr std::int64_t kEngineTokensPerMs = 60;
constexpr std::int64_t kLongTokens = 17'000;
constexpr std::int64_t kShortTokens = 380;
constexpr auto kStep = 5ms;
constexpr auto kDay = 20s;
constexpr auto kShortObjective = 400ms;
constexpr auto kLongObjective = 1200ms;

struct Prompt {
    std::size_t gateway = 0;
    bool isLong = false;
    MonotonicTime arrived {};
    std::uint64_t number = 0;
    MonotonicTime sentAt {};
    std::int64_t tokensLeft = 0;
    std::size_t engine = 0;
};

/// Gateways that learn of each other's sends every 300 ms, and engines that prefill short prompts first.
struct OverloadedFleet {
    struct Gateway {
        EndpointLoads loads;
        EngineSpeeds speeds;
        PromptQueue queue;
        std::map<PromptQueue::Number, Prompt> waiting;
        Placer placer { { DataCenterId("a"), RegionId("r"), { { DataCenterId("a"), RegionId("r") } } } };
    };

    OverloadedFleet()
    {
        for (std::size_t i = 0; i < kEngines; ++i) {
            EndpointEntry entry;
            entry.id = EndpointId("e" + std::to_string(i));
            entry.service = ServiceId("s");
            entry.dataCenter = DataCenterId("a");
            entry.slots = 16;
            registry.put(entry);
            engineNumbers[entry.id] = i;
        }
    }

    bool trySend(Prompt& prompt, MonotonicTime now)
    {
        auto& gateway = gateways[prompt.gateway];
        PlacementRequest request;
        request.service = ServiceId("s");
        request.prompt = { { "own" + std::to_string(prompt.number), prompt.isLong ? kLongTokens : kShortTokens } };
        request.timeLeft = 6s;
        request.objectiveLeft = prompt.arrived + (prompt.isLong ? kLongObjective : kShortObjective) - now;
        request.daemons = kGateways;
        request.sampleSeed = prompt.number * 7919;
        const auto placement = gateway.placer.choose(request, { registry, gateway.loads, advisories, blocks, &gateway.speeds }, now);
        if (!placement.endpoint || !placement.hasRoom)
            return false;
        prompt.engine = engineNumbers.at(*placement.endpoint);
        prompt.sentAt = now;
        prompt.tokensLeft = placement.prefillTokens;
        gateway.loads.sent(*placement.endpoint, prompt.number, placement.prefillTokens, now);
        engines[prompt.engine].push_back(prompt);
        return true;
    }

    void arrive(std::size_t gatewayNumber, bool isLong, MonotonicTime now)
    {
        Prompt prompt { gatewayNumber, isLong, now, ++lastNumber };
        auto& gateway = gateways[gatewayNumber];
        if (trySend(prompt, now) || !isLong)
            return;
        const auto prefillTime = gateway.speeds.prefillTime(*registry.find(EndpointId("e0")), kLongTokens, now);
        const auto deadline = PromptQueue::usefulDeadline(now, kLongObjective, prefillTime, now + 6s);
        if (now + gateway.queue.expectedWait(now) + PromptQueue::kMinTimeLeft > deadline)
            return;
        gateway.queue.add(prompt.number, deadline, now);
        gateway.waiting[prompt.number] = prompt;
    }

    void dispatchQueued(Gateway& gateway, MonotonicTime now)
    {
        for (const auto number : gateway.queue.takeExpired(now))
            gateway.waiting.erase(number);
        for (const auto number : gateway.queue.byDeadline()) {
            if (!trySend(gateway.waiting.at(number), now))
                return;
            gateway.queue.dispatch(number, now);
            gateway.waiting.erase(number);
        }
    }

    void prefill(std::deque<Prompt>& engine, MonotonicTime now)
    {
        std::stable_partition(engine.begin(), engine.end(), [](const Prompt& prompt) { return !prompt.isLong; });
        for (auto budget = kEngineTokensPerMs * std::chrono::milliseconds(kStep).count(); budget > 0 && !engine.empty();) {
            auto& prompt = engine.front();
            const auto taken = std::min(budget, prompt.tokensLeft);
            budget -= taken;
            prompt.tokensLeft -= taken;
            if (prompt.tokensLeft > 0)
                return;
            finish(prompt, now);
            engine.pop_front();
        }
    }

    void finish(const Prompt& prompt, MonotonicTime now)
    {
        auto& gateway = gateways[prompt.gateway];
        const EndpointId id("e" + std::to_string(prompt.engine));
        gateway.loads.answerBegan(id, prompt.number);
        gateway.loads.finished(id, prompt.number, SendOutcome::Served, now);
        gateway.speeds.recordPrefill(*registry.find(id), prompt.isLong ? kLongTokens : kShortTokens, now - prompt.sentAt, now);
        if (now - prompt.arrived <= (prompt.isLong ? kLongObjective : kShortObjective))
            ++(prompt.isLong ? longInTime : shortInTime);
    }

    /// Plays `demand` times the long prompts that the engines can read, beside short ones for a fifth of their capacity.
    void play(double demand)
    {
        std::mt19937_64 random(20261206);
        const double stepMs = std::chrono::duration<double, std::milli>(kStep).count();
        const double capacity = static_cast<double>(kEngineTokensPerMs * static_cast<std::int64_t>(kEngines)) * stepMs;
        std::poisson_distribution<int> longArrivals(demand * 0.75 * capacity / static_cast<double>(kLongTokens));
        std::poisson_distribution<int> shortArrivals(0.2 * capacity / static_cast<double>(kShortTokens));
        for (MonotonicTime now = at(0ms); now < at(kDay); now += kStep) {
            for (int i = longArrivals(random); i > 0; --i)
                arrive(random() % kGateways, true, now);
            for (int i = shortArrivals(random); i > 0; --i, ++shortAsked)
                arrive(random() % kGateways, false, now);
            for (auto& engine : engines)
                prefill(engine, now);
            for (auto& gateway : gateways)
                dispatchQueued(gateway, now);
            if ((now - at(0ms)) % 300ms == Duration::zero())
                exchangeReports(now);
        }
    }

    void exchangeReports(MonotonicTime now)
    {
        for (std::size_t from = 0; from < kGateways; ++from) {
            for (std::size_t to = 0; to < kGateways; ++to) {
                if (to != from)
                    gateways[to].loads.setPeerPendingPrefillTokens(HostId("g" + std::to_string(from)), gateways[from].loads.localPendingPrefillTokens(), now);
            }
        }
    }

    EndpointRegistry registry;
    EndpointAdvisories advisories { HostId("g") };
    BlockDirectory blocks;
    std::array<Gateway, kGateways> gateways;
    std::array<std::deque<Prompt>, kEngines> engines;
    std::map<EndpointId, std::size_t> engineNumbers;
    std::uint64_t lastNumber = 0;
    int shortInTime = 0;
    int shortAsked = 0;
    int longInTime = 0;
};

} // namespace

TEST_CASE("answers in time do not collapse as the demand for long prompts grows from half of the capacity to four times it [overload]")
{
    // Long prompts that had waited past their objective kept the engines busy, so that none was in time any more.
    int mostLong = 0;
    for (const double demand : { 0.5, 1.0, 1.5, 2.0, 3.0, 4.0 }) {
        OverloadedFleet fleet;
        fleet.play(demand);
        CAPTURE(demand);
        MESSAGE("demand ", demand, ": long prompts in time ", fleet.longInTime, ", short ", fleet.shortInTime, " of ", fleet.shortAsked);
        mostLong = std::max(mostLong, fleet.longInTime);
        CHECK(fleet.longInTime >= 0.9 * mostLong);
        CHECK(fleet.shortInTime >= 0.9 * fleet.shortAsked);
    }
}
