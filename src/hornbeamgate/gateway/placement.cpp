#include "hornbeamgate/gateway/placement.hpp"

#include "hornbeamgate/base/hash.hpp"

#include <algorithm>

namespace hornbeamgate {

namespace {

    using std::chrono::microseconds;
    using std::chrono::milliseconds;

    /// Tokens that an engine reads in a millisecond; the lowest rate among the engines in use.
    constexpr double kTokensReadPerMs = 38;
    /// Shared prefixes shorter than this are read faster than a detour to their home takes.
    constexpr std::int64_t kLeastSharedTokens = 512;
    /// Engines evict blocks some seconds after their last use.
    constexpr milliseconds kBlocksKept { 8000 };
    /// There and back within a data centre, between two of a region, and between regions. Bytes between regions are
    /// paid for, so that way counts twice its time.
    constexpr microseconds kTravelInDataCenter { 500 };
    constexpr milliseconds kTravelInRegion { 3 };
    constexpr milliseconds kTravelBetweenRegions { 120 };
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

    Duration readingTime(std::int64_t tokens)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(static_cast<double>(tokens) / kTokensReadPerMs));
    }

} // namespace

Placement Placer::choose(const PlacementDemand& demand, const EndpointRoster& roster, const EndpointLoads& loads, MonotonicTime now)
{
    const auto shared = sharedPrefix(demand);
    std::int64_t allTokens = 0;
    for (const auto& part : demand.prompt)
        allTokens += part.tokens;

    std::vector<const EndpointEntry*> candidates;
    const EndpointEntry* home = nullptr;
    std::uint64_t homeScore = 0;
    for (const auto& [id, entry] : roster.entries()) {
        if (entry.service != demand.service || entry.isLeaving || demand.tried.contains(id))
            continue;
        candidates.push_back(&entry);
        const auto score = rendezvousScore(id.value(), shared.key);
        if (!home || score > homeScore) {
            home = &entry;
            homeScore = score;
        }
    }

    Placement placement;
    std::optional<Duration> lowestCost;
    Duration waitAtBest {};
    for (const auto* entry : candidates) {
        const bool isCached = shared.tokens >= kLeastSharedTokens && (entry == home || holdsBlocks(entry->id, shared.key, now));
        const auto waiting = waitingTime(*entry, loads, now) + readingTime(allTokens - (isCached ? shared.tokens : 0));
        auto cost = waiting + travelCost(*entry);
        cost += std::chrono::duration_cast<Duration>(kFailureCost * loads.failureShare(entry->id));
        if (loads.isAvoided(entry->id, now))
            cost += kAvoidedCost;
        if (loads.oldestUnanswered(entry->id, now) > kSlowAnswer)
            cost += kSlowAnswer;
        if (demand.model) {
            const auto known = entry->weights.find(*demand.model);
            if (known != entry->weights.end() && known->second < demand.newestWeights)
                cost += kOldWeightsCost;
        }
        if (!lowestCost || cost < *lowestCost) {
            lowestCost = cost;
            waitAtBest = waiting;
            placement.endpoint = entry->id;
        }
    }
    placement.expectedWait = std::chrono::ceil<milliseconds>(waitAtBest);
    if (!placement.endpoint)
        return placement;
    if (waitAtBest > demand.timeLeft) {
        placement.endpoint.reset();
        placement.refusal = PlacementRefusal::AllBusy;
        return placement;
    }
    if (shared.tokens >= kLeastSharedTokens)
        m_sentLately[{ *placement.endpoint, shared.key }] = now;
    if (now >= m_nextCleaning) {
        std::erase_if(m_sentLately, [now](const auto& item) { return item.second + kBlocksKept < now; });
        m_nextCleaning = now + kBlocksKept;
    }
    return placement;
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
    return std::chrono::duration_cast<Duration>(serviceTime * (ahead / slots) + kFullBatchCost * fullness);
}

bool Placer::holdsBlocks(const EndpointId& id, std::uint64_t key, MonotonicTime now) const
{
    const auto found = m_sentLately.find({ id, key });
    return found != m_sentLately.end() && now < found->second + kBlocksKept;
}

} // namespace hornbeamgate
