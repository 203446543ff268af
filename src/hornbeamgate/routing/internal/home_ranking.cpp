#include "hornbeamgate/routing/internal/home_ranking.hpp"

#include "hornbeamgate/base/hash.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace hornbeamgate::internal {

namespace {

    /// Pseudo-count added to the observed requests, so that a short history does not produce large traffic shares.
    constexpr double kPriorRequests = 10;

    /// Decayed number of requests per home above which a block is expected to be cached there.
    constexpr double kMinRequestsPerHome = 0.3;

    struct Scored {
        double score = 0;
        EndpointSlot slot = 0;

        bool operator>(const Scored& other) const { return score > other.score; }
    };

    double scoreOf(const EndpointState& state, BlockHash block, const RoutingPolicy& policy, MonotonicTime now)
    {
        const auto hash = rendezvousScore(state.id.value(), block.value());
        const double uniform = static_cast<double>(hash) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
        const double weight = warmUpWeight(state, policy, now);
        return weight < 1 ? std::pow(uniform, 1 / weight) : uniform;
    }

    std::size_t countHomes(BlockHash block, std::size_t level, std::size_t servers, const PrefixPopularity& popularity,
        const RoutingPolicy& policy, MonotonicTime now)
    {
        if (!policy.usePopularity)
            return 1;
        const double share = popularity.count(block, now) / (popularity.total(now) + kPriorRequests);
        const double factor = policy.replicationFactor * (1 + policy.shortPrefixReplication / static_cast<double>(level + 1));
        const double homes = std::ceil(share * factor * static_cast<double>(servers));
        return std::max<std::size_t>(1, static_cast<std::size_t>(homes));
    }

} // namespace

double warmUpWeight(const EndpointState& state, const RoutingPolicy& policy, MonotonicTime now)
{
    constexpr double kMinWeight = 0.05;
    if (now >= state.readySince + policy.warmUp)
        return 1;
    const auto age = std::chrono::duration<double>(now - state.readySince);
    return std::clamp(age / policy.warmUp, kMinWeight, 1.0);
}

HomeRanking rankHomes(const EndpointTable& endpoints, std::vector<EndpointSlot> servers,
    const std::vector<BlockHash>& blocks, const PrefixPopularity& popularity, const RoutingPolicy& policy, MonotonicTime now)
{
    HomeRanking ranking;
    const std::size_t all = servers.size();
    ranking.homes = std::move(servers);
    const std::size_t firstLevel = policy.useNestedLevels || blocks.empty() ? 0 : blocks.size() - 1;
    std::vector<Scored> scored;
    for (std::size_t level = firstLevel; level < blocks.size(); ++level) {
        const std::size_t keep = countHomes(blocks[level], level, all, popularity, policy, now);
        const auto homes = static_cast<double>(std::min(keep, ranking.homes.size()));
        const bool prefixCached = level == firstLevel || ranking.likelyCachedBlocks == level;
        if (prefixCached && popularity.count(blocks[level], now) >= kMinRequestsPerHome * homes)
            ranking.likelyCachedBlocks = static_cast<std::uint32_t>(level + 1);
        if (keep >= ranking.homes.size())
            continue;
        scored.clear();
        for (const auto slot : ranking.homes)
            scored.push_back({ scoreOf(endpoints[slot], blocks[level], policy, now), slot });
        const std::size_t kept = std::min(scored.size(), keep + policy.homeCandidates);
        std::partial_sort(
            scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(kept), scored.end(), std::greater<>());
        ranking.homes.clear();
        std::vector<Fallback> fallbacks;
        for (std::size_t i = 0; i < keep; ++i)
            ranking.homes.push_back(scored[i].slot);
        for (std::size_t i = keep; i < kept; ++i)
            fallbacks.push_back({ scored[i].slot, static_cast<std::uint32_t>(level) });
        ranking.fallbacks.insert(ranking.fallbacks.begin(), fallbacks.begin(), fallbacks.end());
    }
    return ranking;
}

} // namespace hornbeamgate::internal
