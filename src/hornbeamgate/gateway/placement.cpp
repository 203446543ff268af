#include "hornbeamgate/gateway/placement.hpp"

#include "hornbeamgate/base/hash.hpp"

#include <algorithm>
#include <cmath>
#include <functional>

namespace hornbeamgate::gateway {

namespace {

    using std::chrono::microseconds;
    using std::chrono::milliseconds;

    /// Prefill rate; the lowest among the engines in use.
    constexpr double kPrefillTokensPerMs = 38;
    /// For shorter shared prefixes, prefill is faster than routing the request to the home endpoint.
    constexpr std::int64_t kMinSharedTokens = 512;
    /// Round-trip times within a data centre, between data centres of a region, and between regions.
    constexpr microseconds kRoundTripInDataCenter { 500 };
    constexpr milliseconds kRoundTripInRegion { 3 };
    constexpr milliseconds kRoundTripBetweenRegions { 62 };
    /// Cost added for an endpoint with a failure rate of 1; roughly the cost of a retry.
    constexpr milliseconds kFailurePenalty { 1500 };
    /// Cost added if the request would run on weights that are not the newest.
    constexpr milliseconds kOldWeightsPenalty { 400 };
    /// Cost added if the request would run on weights that should not be used any more.
    constexpr milliseconds kOverdueWeightsPenalty { 1500 };
    /// Cost added for an avoided endpoint, which is chosen only if no other is available.
    constexpr milliseconds kAvoidedPenalty { 5000 };
    /// Service time assumed before the first observation.
    constexpr milliseconds kInitialServiceTime { 60 };
    /// Additional time to the first response with a full batch compared with an empty one.
    constexpr milliseconds kFullBatchSlowdown { 40 };
    /// An endpoint with a send that is unanswered for longer than this counts as slow.
    constexpr milliseconds kSlowAnswerThreshold { 1000 };
    /// Reciprocal weight of one observation in the moving average of service times.
    constexpr int kServiceTimeDivisor = 16;

    /// Share of the blocks evicted for an additional copy that another request would have used. Engine memory is assumed to
    /// be full.
    constexpr double kEvictedReuseShare = 0.3;
    /// Tokens whose blocks are transferred per millisecond over an engine's 180 Gbit/s link within a data centre.
    constexpr double kFetchTokensPerMs = 1200;
    /// Factors by which transfers are slower between data centres of a region and between regions.
    constexpr int kRegionTransferFactor = 2;
    constexpr int kInterRegionTransferFactor = 10;
    /// An engine that received the prompt less than this ago is still computing it, so there is nothing to fetch yet.
    constexpr milliseconds kPrefillDuration { 400 };

    /// Minimum length of prompts that wait for capacity at an engine; engines prefill in chunks of this size.
    constexpr std::int64_t kLongPromptTokens = 2048;
    /// An engine with a longer prefill backlog does not accept another long prompt. The limit exceeds the round trip to an
    /// engine in another region, so that engines are rarely idle between two prompts.
    constexpr milliseconds kMaxPrefillBacklog { 150 };
    /// Share of an engine's slots reserved for short prompts, which would otherwise preempt long ones.
    constexpr double kSlotShareForShortPrompts = 0.25;

    /// Long prompts per engine that all daemons together send while few engines have room: one in prefill, and half of one waits.
    constexpr double kLongPromptsPerEngine = 1.5;
    /// Engines compared for a short prompt where requests compete for capacity. Two already spread the load; more find an engine
    /// of the own region with newest weights.
    constexpr std::size_t kSampledNewest = 4;
    constexpr std::size_t kSampledOlder = 2;
    /// An answer expected after this share of the objective counts as late, since the estimate may be too low.
    constexpr double kObjectiveShare = 0.8;
    /// Cost of lateness relative to time before the objective. A late answer is worth a fraction of one in time.
    constexpr int kLatenessWeight = 8;

    Duration durationAtRate(std::int64_t tokens, double tokensPerMs)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(static_cast<double>(tokens) / tokensPerMs));
    }

    /// Endpoints that get no more requests now, because of what they asked for.
    struct LimitedEndpoints {
        void add(double share, std::optional<MonotonicTime> next)
        {
            ++count;
            rate += share;
            if (next)
                nextAdmission = std::min(nextAdmission.value_or(*next), *next);
        }

        Placement refusal(MonotonicTime now) const
        {
            Placement placement;
            placement.refusal = PlacementRefusal::AtLimit;
            placement.admissionRate = rate;
            if (nextAdmission)
                placement.expectedWait = std::chrono::ceil<milliseconds>(*nextAdmission - now);
            return placement;
        }

        std::size_t count = 0;
        double rate = 0; ///< requests per second that they take from this daemon
        std::optional<MonotonicTime> nextAdmission;
    };

    bool hasFreeSlot(const EndpointEntry& entry, const EndpointLoads& loads, MonotonicTime now)
    {
        return !loads.isAvoided(entry.id, now) && loads.load(entry.id, now) + 1 <= std::max(1, entry.slots);
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
    const auto entries = eligible(request, view);
    const auto shared = sharedPrefix(request);
    const auto peers = groupByWeights(entries, request, shared, view, now);
    PacedChoice<Candidate> choice;
    LimitedEndpoints limited;
    const auto size = shared.tokens + shared.ownTokens >= kLongPromptTokens ? RequestSize::Large : RequestSize::Small;
    for (const auto* entry : comparable(entries, request, shared, view, now)) {
        if (request.tried.contains(entry->id))
            continue;
        const auto instance = instanceOf(*entry);
        if (!view.advisories.admits(instance, size, now)) {
            limited.add(view.advisories.admissionRate(instance, now), view.advisories.nextAdmission(instance, size, now));
            continue;
        }
        const auto candidate = estimate(*entry, request, shared, peers, view, now);
        const bool isFree = view.paces && candidate.firstAnswerTime <= request.timeLeft && hasFreeSlot(*entry, view.loads, now);
        choice.add(candidate, view.paces ? view.paces->tierOf(instance, now) : PaceTier::Admitted, isFree);
    }
    const auto& best = choice.best();
    const bool isTooLate = best && best->firstAnswerTime > request.timeLeft;
    if (limited.count > 0 && (!best || isTooLate))
        return limited.refusal(now);
    Placement placement;
    if (!best)
        return placement;
    placement.expectedWait = std::chrono::ceil<milliseconds>(best->firstAnswerTime);
    if (isTooLate) {
        placement.refusal = PlacementRefusal::AllBusy;
        return placement;
    }
    placement.endpoint = best->entry->id;
    placement.isHeldBack = choice.isHeldBack();
    placement.prefillTokens = shared.ownTokens + (shared.isWorthFetching() && best->plan.needsPrefill ? shared.tokens : 0);
    placement.hasRoom = placement.prefillTokens < kLongPromptTokens || hasRoom(*best->entry, view, now);
    if (placement.prefillTokens >= kLongPromptTokens && placement.hasRoom)
        placement.hasRoom = !exceedsShare(entries, request, view, now);
    if (!shared.isWorthFetching())
        return placement;
    placement.blocks = peers.at(weightsOf(*best->entry, request)).blocks;
    if (best->plan.source)
        placement.blockSource = best->plan.source->id;
    return placement;
}

std::vector<const EndpointEntry*> Placer::eligible(const PlacementRequest& request, const EndpointView& view)
{
    std::vector<const EndpointEntry*> entries;
    for (const auto& [id, entry] : view.registry.entries()) {
        if (entry.service != request.service || entry.isLeaving || view.advisories.isLeaving(instanceOf(entry)))
            continue;
        const bool hasExpiredWeights = weightsOf(entry, request) < request.oldestSendable;
        if (!hasExpiredWeights && (!request.versions || request.versions->allows(entry)))
            entries.push_back(&entry);
    }
    const auto isOverdue = [&request](const auto* entry) { return weightsOf(*entry, request) < request.oldestWeights; };
    const auto overdue = static_cast<std::size_t>(std::count_if(entries.begin(), entries.end(), isOverdue));
    // If most engines are overdue, for example during a store outage, excluding them would refuse most requests.
    if (2 * overdue < entries.size())
        std::erase_if(entries, isOverdue);
    return entries;
}

std::vector<const EndpointEntry*> Placer::comparable(const std::vector<const EndpointEntry*>& entries, const PlacementRequest& request, const SharedPrefix& shared, const EndpointView& view, MonotonicTime now)
{
    if (!request.objectiveLeft || shared.isWorthFetching())
        return entries;
    using Ranked = std::vector<std::pair<std::uint64_t, const EndpointEntry*>>;
    Ranked newest;
    Ranked older;
    for (const auto* entry : entries) {
        if (request.tried.contains(entry->id) || view.loads.isAvoided(entry->id, now))
            continue;
        auto& group = weightsOf(*entry, request) < request.newestWeights ? older : newest;
        group.emplace_back(rendezvousScore(entry->id.value(), request.sampleSeed), entry);
    }
    std::vector<const EndpointEntry*> sampled;
    const auto addBest = [&sampled](Ranked& group, std::size_t limit) {
        const auto count = std::min(limit, group.size());
        std::partial_sort(group.begin(), group.begin() + static_cast<std::ptrdiff_t>(count), group.end(), std::greater<>());
        for (std::size_t i = 0; i < count; ++i)
            sampled.push_back(group[i].second);
    };
    addBest(newest, kSampledNewest);
    addBest(older, kSampledOlder);
    return sampled.empty() ? entries : sampled;
}

Placer::PeersByWeights Placer::groupByWeights(const std::vector<const EndpointEntry*>& entries, const PlacementRequest& request, const SharedPrefix& shared, const EndpointView& view, MonotonicTime now)
{
    PeersByWeights groups;
    if (!shared.isWorthFetching())
        return groups;
    for (const auto* entry : entries) {
        auto& peers = groups[weightsOf(*entry, request)];
        // A busy endpoint remains the home, because it still holds its blocks when it becomes free.
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
    candidate.firstAnswerTime = queueDelay(entry, view, now) + candidate.plan.time + prefillTime(entry, shared.ownTokens, view, now);
    candidate.cost = candidate.firstAnswerTime + candidate.plan.copyCost + networkCost(entry);
    candidate.cost += std::chrono::duration_cast<Duration>(kFailurePenalty * view.loads.failureRate(entry.id));
    if (view.loads.isAvoided(entry.id, now))
        candidate.cost += kAvoidedPenalty;
    if (view.loads.oldestUnanswered(entry.id, now) > kSlowAnswerThreshold)
        candidate.cost += kSlowAnswerThreshold;
    if (request.objectiveLeft) {
        const auto limit = std::chrono::duration_cast<Duration>(*request.objectiveLeft * kObjectiveShare);
        candidate.cost += kLatenessWeight * std::max(Duration::zero(), candidate.firstAnswerTime + networkCost(entry) - limit);
    }
    if (weights < request.oldestWeights)
        candidate.cost += kOverdueWeightsPenalty;
    else if (weights < request.newestWeights)
        candidate.cost += kOldWeightsPenalty;
    return candidate;
}

Placer::BlockPlan Placer::planBlocks(const EndpointEntry& entry, const SharedPrefix& shared, const Peers& peers, const EndpointView& view, MonotonicTime now) const
{
    const auto sharedTime = prefillTime(entry, shared.tokens, view, now);
    BlockPlan plan { nullptr, true, sharedTime, std::chrono::duration_cast<Duration>(sharedTime * kEvictedReuseShare) };
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
    // The source is kept as a fallback in case the blocks were evicted.
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

Duration Placer::prefillTime(const EndpointEntry& entry, std::int64_t tokens, const EndpointView& view, MonotonicTime now)
{
    return view.speeds ? view.speeds->prefillTime(entry, tokens, now) : durationAtRate(tokens, kPrefillTokensPerMs);
}

Duration Placer::queueDelay(const EndpointEntry& entry, const EndpointView& view, MonotonicTime now) const
{
    const auto known = m_serviceTimes.find(entry.service);
    const auto serviceTime = known == m_serviceTimes.end() ? Duration(kInitialServiceTime) : known->second;
    const double slots = std::max(1, entry.slots);
    const double load = view.loads.load(entry.id, now);
    const double ahead = std::max(0.0, load + 1 - slots);
    const double fullness = std::min(1.0, load / slots);
    const double slowdown = view.speeds ? view.speeds->slowdown(entry, now) : 1;
    const auto batchTime = (serviceTime * (ahead / slots) + kFullBatchSlowdown * fullness) * slowdown;
    return std::chrono::duration_cast<Duration>(batchTime) + prefillTime(entry, view.loads.pendingPrefillTokens(entry.id, now), view, now);
}

bool Placer::hasRoom(const EndpointEntry& entry, const EndpointView& view, MonotonicTime now)
{
    return prefillTime(entry, view.loads.pendingPrefillTokens(entry.id, now), view, now) <= kMaxPrefillBacklog && view.loads.load(entry.id, now) + 1 <= entry.slots * (1 - kSlotShareForShortPrompts);
}

bool Placer::exceedsShare(const std::vector<const EndpointEntry*>& entries, const PlacementRequest& request, const EndpointView& view, MonotonicTime now)
{
    if (!request.objectiveLeft)
        return false;
    const auto withRoom = std::count_if(entries.begin(), entries.end(), [&](const auto* entry) { return hasRoom(*entry, view, now); });
    if (2 * static_cast<std::size_t>(withRoom) >= entries.size())
        return false;
    std::size_t unread = 0;
    for (const auto* entry : entries)
        unread += view.loads.localUnreadPrompts(entry->id, kLongPromptTokens);
    const double share = kLongPromptsPerEngine * static_cast<double>(entries.size()) / static_cast<double>(std::max<std::size_t>(1, request.daemons));
    return static_cast<double>(unread) >= std::max(1.0, std::ceil(share));
}

WeightsVersion Placer::weightsOf(const EndpointEntry& entry, const PlacementRequest& request)
{
    if (!request.model)
        return {};
    const auto known = entry.weights.find(*request.model);
    return known == entry.weights.end() ? WeightsVersion() : known->second;
}

} // namespace hornbeamgate::gateway
