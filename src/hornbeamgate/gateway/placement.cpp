#include "hornbeamgate/gateway/placement.hpp"

#include "hornbeamgate/base/hash.hpp"

#include <algorithm>

namespace hornbeamgate::gateway {

namespace {

    using std::chrono::microseconds;
    using std::chrono::milliseconds;

    /// Tokens that an engine reads in a millisecond; the lowest rate among the engines in use.
    constexpr double kTokensReadPerMs = 38;
    /// Shared prefixes shorter than this are read faster than a detour to their home takes.
    constexpr std::int64_t kLeastSharedTokens = 512;
    /// Engines evict blocks some seconds after their last use.
    constexpr milliseconds kBlocksKept { 8000 };
    /// There and back within a data centre, between two of a region, and between regions. It must stay below the time
    /// for fetching a long prompt's blocks, so that daemons of both regions agree on its home.
    constexpr microseconds kTravelInDataCenter { 500 };
    constexpr milliseconds kTravelInRegion { 3 };
    constexpr milliseconds kTravelBetweenRegions { 62 };
    /// Added for an endpoint that fails all its sends; about what a repeated send costs.
    constexpr milliseconds kFailureCost { 1500 };
    /// Added where a request would run on weights that are no longer the newest.
    constexpr milliseconds kOldWeightsCost { 400 };
    /// Added where a request that should be avoided goes for lack of others.
    constexpr milliseconds kAvoidedCost { 5000 };
    /// Answer times until the first one was observed.
    constexpr milliseconds kFirstServiceTime { 60 };
    /// Slowdown of a full batch against an empty one, in milliseconds of the first answer.
    constexpr milliseconds kFullBatchCost { 40 };
    /// Unanswered longer than this marks an endpoint as slow.
    constexpr milliseconds kSlowAnswer { 1000 };
    /// Weight of one observation in the mean answer time.
    constexpr int kServiceTimeDivisor = 16;

    /// Weight of reading shared blocks once more at an endpoint that is neither first nor second in rank: besides the
    /// time, the copy there evicts others.
    constexpr int kCopyCost = 3;
    /// Tokens whose blocks an engine fetches in a millisecond from another one, with some distance and other transfers.
    constexpr double kTokensFetchedPerMs = 200;

    Duration timeFor(std::int64_t tokens, double tokensPerMs)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(static_cast<double>(tokens) / tokensPerMs));
    }

    Duration readingTime(std::int64_t tokens)
    {
        return timeFor(tokens, kTokensReadPerMs);
    }

    Duration fetchingTime(std::int64_t tokens)
    {
        return timeFor(tokens, kTokensFetchedPerMs);
    }

} // namespace

bool Placer::Shared::isWorthMoving() const
{
    return tokens >= kLeastSharedTokens;
}

Placement Placer::choose(const PlacementDemand& demand, const EndpointRoster& roster, const EndpointLoads& loads, MonotonicTime now)
{
    const auto shared = sharedPrefix(demand);
    const auto rankings = rank(demand, shared, roster, loads, now);
    const bool excludesOldWeights = areOldWeightsExcluded(demand, roster);
    std::optional<Candidate> best;
    for (const auto& [id, entry] : roster.entries()) {
        if (entry.service != demand.service || entry.isLeaving || demand.tried.contains(id))
            continue;
        if (excludesOldWeights && weightsOf(entry, demand) < demand.oldestWeights)
            continue;
        const auto candidate = estimate(entry, demand, shared, rankings, loads, now);
        if (!best || candidate.cost < best->cost)
            best = candidate;
    }
    Placement placement;
    if (!best)
        return placement;
    placement.expectedWait = std::chrono::ceil<milliseconds>(best->waiting);
    if (best->waiting > demand.timeLeft) {
        placement.refusal = PlacementRefusal::AllBusy;
        return placement;
    }
    placement.endpoint = best->entry->id;
    placement.tokensToRead = shared.ownTokens;
    if (!shared.isWorthMoving())
        return placement;
    placement.isSharing = true;
    const auto ranking = rankings.find(weightsOf(*best->entry, demand));
    if (ranking != rankings.end()) {
        if (const auto* source = blockSource(*best->entry, ranking->second, loads, now))
            placement.blockSource = source->id;
    }
    noteSent(best->entry->id, shared, now);
    return placement;
}

bool Placer::areOldWeightsExcluded(const PlacementDemand& demand, const EndpointRoster& roster)
{
    // While most engines lag, as in an outage of the store, leaving them out would refuse most requests.
    std::size_t current = 0;
    std::size_t old = 0;
    for (const auto& [id, entry] : roster.entries()) {
        if (entry.service == demand.service && !entry.isLeaving)
            ++(weightsOf(entry, demand) < demand.oldestWeights ? old : current);
    }
    return current > old;
}

Placer::Rankings Placer::rank(const PlacementDemand& demand, const Shared& shared, const EndpointRoster& roster, const EndpointLoads& loads, MonotonicTime now)
{
    Rankings rankings;
    if (!shared.isWorthMoving())
        return rankings;
    std::map<const EndpointEntry*, std::uint64_t> scores;
    for (const auto& [id, entry] : roster.entries()) {
        // An endpoint that is only busy stays a home; its blocks are there when it is free again.
        if (entry.service != demand.service || entry.isLeaving || loads.isFailing(id, now))
            continue;
        scores[&entry] = rendezvousScore(id.value(), shared.key);
        rankings[weightsOf(entry, demand)].push_back(&entry);
    }
    for (auto& [weights, ranking] : rankings)
        std::sort(ranking.begin(), ranking.end(), [&scores](const auto* left, const auto* right) { return scores[left] > scores[right]; });
    return rankings;
}

Placer::Candidate Placer::estimate(const EndpointEntry& entry, const PlacementDemand& demand, const Shared& shared, const Rankings& rankings, const EndpointLoads& loads, MonotonicTime now) const
{
    const auto weights = weightsOf(entry, demand);
    Candidate candidate { &entry, waitingTime(entry, loads, now) + readingTime(shared.ownTokens), {} };
    candidate.cost = candidate.waiting + travelCost(entry);
    if (const auto ranking = rankings.find(weights); ranking != rankings.end())
        candidate.cost += missingBlocksCost(entry, shared, ranking->second, now);
    candidate.cost += std::chrono::duration_cast<Duration>(kFailureCost * loads.failureShare(entry.id));
    if (loads.isAvoided(entry.id, now))
        candidate.cost += kAvoidedCost;
    if (loads.oldestUnanswered(entry.id, now) > kSlowAnswer)
        candidate.cost += kSlowAnswer;
    if (weights < demand.newestWeights)
        candidate.cost += kOldWeightsCost;
    return candidate;
}

Duration Placer::missingBlocksCost(const EndpointEntry& entry, const Shared& shared, const Ranking& ranking, MonotonicTime now) const
{
    if (&entry == ranking.front())
        return {};
    if (holdsBlocks(entry.id, shared.key, now))
        return fetchingTime(shared.tokens) / 2;
    if (ranking.size() > 1 && &entry == ranking[1])
        return fetchingTime(shared.tokens);
    return readingTime(shared.tokens) * kCopyCost;
}

const EndpointEntry* Placer::blockSource(const EndpointEntry& chosen, const Ranking& ranking, const EndpointLoads& loads, MonotonicTime now)
{
    // The home fetches from the second in rank, which was the home before the first one came or got its weights.
    const EndpointEntry* source = ranking.front();
    if (source == &chosen)
        source = ranking.size() > 1 ? ranking[1] : nullptr;
    if (!source || loads.oldestUnanswered(source->id, now) > kSlowAnswer)
        return nullptr;
    return source;
}

void Placer::noteSent(const EndpointId& endpoint, const Shared& shared, MonotonicTime now)
{
    m_sentLately[{ endpoint, shared.key }] = now;
    if (now < m_nextCleaning)
        return;
    std::erase_if(m_sentLately, [now](const auto& item) { return item.second + kBlocksKept < now; });
    m_nextCleaning = now + kBlocksKept;
}

void Placer::noteServiceTime(const ServiceId& service, Duration time)
{
    auto [found, isFirst] = m_serviceTimes.try_emplace(service, time);
    if (!isFirst)
        found->second += (time - found->second) / kServiceTimeDivisor;
}

Placer::Shared Placer::sharedPrefix(const PlacementDemand& demand)
{
    Shared shared;
    shared.key = stableHash(demand.cacheDomain);
    for (std::size_t i = 0; i + 1 < demand.prompt.size(); ++i) {
        shared.key = stableHash(demand.prompt[i].id, shared.key);
        shared.tokens += demand.prompt[i].tokens;
    }
    if (!demand.prompt.empty())
        shared.ownTokens = demand.prompt.back().tokens;
    if (!shared.isWorthMoving())
        shared.ownTokens += shared.tokens;
    return shared;
}

Duration Placer::travelCost(const EndpointEntry& entry) const
{
    if (entry.dataCenter == m_place.dataCenter)
        return kTravelInDataCenter;
    const auto region = m_place.regions.find(entry.dataCenter);
    return region != m_place.regions.end() && region->second == m_place.region ? Duration(kTravelInRegion) : Duration(kTravelBetweenRegions);
}

Duration Placer::waitingTime(const EndpointEntry& entry, const EndpointLoads& loads, MonotonicTime now) const
{
    const auto known = m_serviceTimes.find(entry.service);
    const auto serviceTime = known == m_serviceTimes.end() ? Duration(kFirstServiceTime) : known->second;
    const double slots = std::max(1, entry.slots);
    const double load = loads.load(entry.id, now);
    const double ahead = std::max(0.0, load + 1 - slots);
    const double fullness = std::min(1.0, load / slots);
    return std::chrono::duration_cast<Duration>(serviceTime * (ahead / slots) + kFullBatchCost * fullness) + readingTime(loads.unreadTokens(entry.id, now));
}

WeightsVersion Placer::weightsOf(const EndpointEntry& entry, const PlacementDemand& demand)
{
    if (!demand.model)
        return {};
    const auto known = entry.weights.find(*demand.model);
    return known == entry.weights.end() ? WeightsVersion() : known->second;
}

bool Placer::holdsBlocks(const EndpointId& id, std::uint64_t key, MonotonicTime now) const
{
    const auto found = m_sentLately.find({ id, key });
    return found != m_sentLately.end() && now < found->second + kBlocksKept;
}

} // namespace hornbeamgate::gateway
