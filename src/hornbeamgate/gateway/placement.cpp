#include "hornbeamgate/gateway/placement.hpp"

#include "hornbeamgate/base/hash.hpp"

#include <algorithm>

namespace hornbeamgate::gateway {

namespace {

    using std::chrono::microseconds;
    using std::chrono::milliseconds;

    /// Tokens that an engine reads in a millisecond; the lowest rate among the engines in use.
    constexpr double kPrefillTokensPerMs = 38;
    /// Shared prefixes shorter than this are read faster than a detour to their home takes.
    constexpr std::int64_t kMinSharedTokens = 512;
    /// There and back within a data centre, between two of a region, and between regions.
    constexpr microseconds kRoundTripInDataCenter { 500 };
    constexpr milliseconds kRoundTripInRegion { 3 };
    constexpr milliseconds kRoundTripBetweenRegions { 62 };
    /// Added for an endpoint that fails all its sends; about what a repeated send costs.
    constexpr milliseconds kFailurePenalty { 1500 };
    /// Added where a request would run on weights that are no longer the newest.
    constexpr milliseconds kOldWeightsPenalty { 400 };
    /// Added where a request that should be avoided goes for lack of others.
    constexpr milliseconds kAvoidedPenalty { 5000 };
    /// Answer times until the first one was observed.
    constexpr milliseconds kInitialServiceTime { 60 };
    /// Slowdown of a full batch against an empty one, in milliseconds of the first answer.
    constexpr milliseconds kFullBatchSlowdown { 40 };
    /// Unanswered longer than this marks an endpoint as slow.
    constexpr milliseconds kSlowAnswerThreshold { 1000 };
    /// Weight of one observation in the mean answer time.
    constexpr int kServiceTimeDivisor = 16;

    /// Part of the blocks evicted for a further copy that another request would have used; engines' memory is full.
    constexpr double kEvictedReuseShare = 0.3;
    /// Tokens whose blocks move in a millisecond over an engine's 180 Gbit/s link, within a data centre.
    constexpr double kFetchTokensPerMs = 1200;
    /// Transfers take so many times longer between data centres and between regions.
    constexpr int kRegionTransferFactor = 2;
    constexpr int kInterRegionTransferFactor = 10;
    /// An engine that got the prompt less than this ago still reads it, so there is nothing to fetch.
    constexpr milliseconds kPrefillDuration { 400 };

    /// Prompts from this length on wait for room at an engine; engines read in pieces of this size.
    constexpr std::int64_t kLongPromptTokens = 2048;
    /// An engine that needs longer for what it got already has no room for a further long prompt. It covers the way to an
    /// engine in another region and back, so that engines are hardly idle between two prompts.
    constexpr milliseconds kMaxPrefillBacklog { 150 };
    /// Part of an engine's slots that long prompts leave to short ones, which would preempt them.
    constexpr double kSlotShareForShortPrompts = 0.25;

    Duration durationAtRate(std::int64_t tokens, double tokensPerMs)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(static_cast<double>(tokens) / tokensPerMs));
    }

    Duration prefillTime(std::int64_t tokens)
    {
        return durationAtRate(tokens, kPrefillTokensPerMs);
    }

    bool isUnresponsive(const EndpointId& id, const EndpointLoads& loads, MonotonicTime now)
    {
        return loads.isFailing(id, now) || loads.oldestUnanswered(id, now) > kSlowAnswerThreshold;
    }

} // namespace

bool Placer::SharedPrefix::isWorthFetching() const
{
    return tokens >= kMinSharedTokens;
}

Placement Placer::choose(const PlacementRequest& request, const EndpointView& view, MonotonicTime now) const
{
    const auto shared = sharedPrefix(request);
    const auto entries = eligible(request, view.registry);
    const auto peers = groupByWeights(entries, request, shared, view, now);
    std::optional<Candidate> best;
    for (const auto* entry : entries) {
        if (request.tried.contains(entry->id))
            continue;
        const auto candidate = estimate(*entry, request, shared, peers, view, now);
        if (!best || candidate.cost < best->cost)
            best = candidate;
    }
    Placement placement;
    if (!best)
        return placement;
    placement.expectedWait = std::chrono::ceil<milliseconds>(best->firstAnswerTime);
    if (best->firstAnswerTime > request.timeLeft) {
        placement.refusal = PlacementRefusal::AllBusy;
        return placement;
    }
    placement.endpoint = best->entry->id;
    placement.prefillTokens = shared.ownTokens + (shared.isWorthFetching() && best->plan.needsPrefill ? shared.tokens : 0);
    placement.hasRoom = placement.prefillTokens < kLongPromptTokens || hasRoom(*best->entry, view.loads, now);
    if (!shared.isWorthFetching())
        return placement;
    placement.blocks = peers.at(weightsOf(*best->entry, request)).blocks;
    if (best->plan.source)
        placement.blockSource = best->plan.source->id;
    return placement;
}

std::vector<const EndpointEntry*> Placer::eligible(const PlacementRequest& request, const EndpointRegistry& registry)
{
    std::vector<const EndpointEntry*> entries;
    for (const auto& [id, entry] : registry.entries()) {
        if (entry.service == request.service && !entry.isLeaving)
            entries.push_back(&entry);
    }
    const auto isOverdue = [&request](const auto* entry) { return weightsOf(*entry, request) < request.oldestWeights; };
    const auto overdue = static_cast<std::size_t>(std::count_if(entries.begin(), entries.end(), isOverdue));
    // While most engines lag, as in an outage of the store, leaving them out would refuse most requests.
    if (2 * overdue < entries.size())
        std::erase_if(entries, isOverdue);
    return entries;
}

Placer::PeersByWeights Placer::groupByWeights(const std::vector<const EndpointEntry*>& entries, const PlacementRequest& request, const SharedPrefix& shared, const EndpointView& view, MonotonicTime now)
{
    PeersByWeights groups;
    if (!shared.isWorthFetching())
        return groups;
    for (const auto* entry : entries) {
        auto& peers = groups[weightsOf(*entry, request)];
        // An endpoint that is only busy stays a home; its blocks are there when it is free again.
        if (view.loads.isFailing(entry->id, now))
            continue;
        const auto score = rendezvousScore(entry->id.value(), shared.prefix);
        if (!peers.home || score > peers.homeScore) {
            peers.home = entry;
            peers.homeScore = score;
        }
    }
    for (auto& [weights, peers] : groups) {
        peers.blocks = stableHash(std::to_string(weights.value()), shared.prefix);
        peers.holders = view.blocks.holders(peers.blocks, now);
    }
    return groups;
}

Placer::Candidate Placer::estimate(const EndpointEntry& entry, const PlacementRequest& request, const SharedPrefix& shared, const PeersByWeights& peers, const EndpointView& view, MonotonicTime now) const
{
    const auto weights = weightsOf(entry, request);
    Candidate candidate;
    candidate.entry = &entry;
    if (const auto group = peers.find(weights); group != peers.end())
        candidate.plan = planBlocks(entry, shared, group->second, view, now);
    candidate.firstAnswerTime = queueDelay(entry, view.loads, now) + candidate.plan.time + prefillTime(shared.ownTokens);
    candidate.cost = candidate.firstAnswerTime + candidate.plan.copyCost + networkCost(entry);
    candidate.cost += std::chrono::duration_cast<Duration>(kFailurePenalty * view.loads.failureRate(entry.id));
    if (view.loads.isAvoided(entry.id, now))
        candidate.cost += kAvoidedPenalty;
    if (view.loads.oldestUnanswered(entry.id, now) > kSlowAnswerThreshold)
        candidate.cost += kSlowAnswerThreshold;
    if (weights < request.newestWeights)
        candidate.cost += kOldWeightsPenalty;
    return candidate;
}

Placer::BlockPlan Placer::planBlocks(const EndpointEntry& entry, const SharedPrefix& shared, const Peers& peers, const EndpointView& view, MonotonicTime now) const
{
    BlockPlan plan { nullptr, true, prefillTime(shared.tokens), std::chrono::duration_cast<Duration>(prefillTime(shared.tokens) * kEvictedReuseShare) };
    bool isHeldHere = false;
    for (const auto& holder : peers.holders) {
        if (holder.endpoint == entry.id) {
            isHeldHere = true;
            continue;
        }
        const auto* source = view.registry.find(holder.endpoint);
        if (!source || now < holder.since + kPrefillDuration || isUnresponsive(holder.endpoint, view.loads, now))
            continue;
        const auto time = fetchTime(*source, entry, shared.tokens);
        if (time < plan.time)
            plan = { source, false, time, plan.copyCost };
    }
    // A source is named all the same, in case the blocks were evicted.
    if (isHeldHere)
        return { plan.source, false, {}, {} };
    if (plan.needsPrefill && peers.holders.empty() && &entry == peers.home)
        plan.copyCost = {};
    return plan;
}

Duration Placer::fetchTime(const EndpointEntry& from, const EndpointEntry& to, std::int64_t tokens) const
{
    const auto time = durationAtRate(tokens, kFetchTokensPerMs);
    if (from.dataCenter == to.dataCenter)
        return time;
    return time * (regionOf(from.dataCenter) == regionOf(to.dataCenter) ? kRegionTransferFactor : kInterRegionTransferFactor);
}

void Placer::recordServiceTime(const ServiceId& service, Duration time)
{
    auto [found, isFirst] = m_serviceTimes.try_emplace(service, time);
    if (!isFirst)
        found->second += (time - found->second) / kServiceTimeDivisor;
}

Placer::SharedPrefix Placer::sharedPrefix(const PlacementRequest& request)
{
    SharedPrefix shared;
    shared.prefix = stableHash(request.cacheDomain);
    for (std::size_t i = 0; i + 1 < request.prompt.size(); ++i) {
        shared.prefix = stableHash(request.prompt[i].id, shared.prefix);
        shared.tokens += request.prompt[i].tokens;
    }
    if (!request.prompt.empty())
        shared.ownTokens = request.prompt.back().tokens;
    if (!shared.isWorthFetching())
        shared.ownTokens += shared.tokens;
    return shared;
}

RegionId Placer::regionOf(const DataCenterId& dataCenter) const
{
    const auto region = m_location.regions.find(dataCenter);
    return region == m_location.regions.end() ? RegionId() : region->second;
}

Duration Placer::networkCost(const EndpointEntry& entry) const
{
    if (entry.dataCenter == m_location.dataCenter)
        return kRoundTripInDataCenter;
    return regionOf(entry.dataCenter) == m_location.region ? Duration(kRoundTripInRegion) : Duration(kRoundTripBetweenRegions);
}

Duration Placer::queueDelay(const EndpointEntry& entry, const EndpointLoads& loads, MonotonicTime now) const
{
    const auto known = m_serviceTimes.find(entry.service);
    const auto serviceTime = known == m_serviceTimes.end() ? Duration(kInitialServiceTime) : known->second;
    const double slots = std::max(1, entry.slots);
    const double load = loads.load(entry.id, now);
    const double ahead = std::max(0.0, load + 1 - slots);
    const double fullness = std::min(1.0, load / slots);
    return std::chrono::duration_cast<Duration>(serviceTime * (ahead / slots) + kFullBatchSlowdown * fullness) + prefillTime(loads.pendingPrefillTokens(entry.id, now));
}

bool Placer::hasRoom(const EndpointEntry& entry, const EndpointLoads& loads, MonotonicTime now)
{
    return prefillTime(loads.pendingPrefillTokens(entry.id, now)) <= kMaxPrefillBacklog && loads.load(entry.id, now) + 1 <= entry.slots * (1 - kSlotShareForShortPrompts);
}

WeightsVersion Placer::weightsOf(const EndpointEntry& entry, const PlacementRequest& request)
{
    if (!request.model)
        return {};
    const auto known = entry.weights.find(*request.model);
    return known == entry.weights.end() ? WeightsVersion() : known->second;
}

} // namespace hornbeamgate::gateway
