#pragma once

#include "hornbeamgate/routing/internal/endpoint_table.hpp"
#include "hornbeamgate/routing/internal/prefix_popularity.hpp"

#include <vector>

namespace hornbeamgate::internal {

/// Endpoint to use when the homes of a prompt are busy.
struct Fallback {
    EndpointSlot slot = 0;
    std::uint32_t sharedBlocks = 0; ///< leading blocks of the prompt for which the endpoint is a home
};

/// Endpoints for a prompt, in the order of preference given by rendezvous hashing.
struct HomeRanking {
    std::vector<EndpointSlot> homes; ///< homes of the whole prompt
    std::vector<Fallback> fallbacks; ///< ordered by descending `sharedBlocks`
    std::uint32_t likelyCachedBlocks = 0; ///< leading blocks requested often enough to be cached at each home
};

/// Ranks `servers` for a prompt. For each block from the first, rendezvous hashing selects, among the endpoints that remain, as
/// many as the block's share of the traffic requires, until one is left. A hot prefix therefore has several homes, a rare prefix
/// has a single home among the homes of the hot prefix that it extends, and daemons agree on them without communication.
/// Endpoints that became ready recently are selected less often.
HomeRanking rankHomes(const EndpointTable& endpoints, std::vector<EndpointSlot> servers,
    const std::vector<BlockHash>& blocks, const PrefixPopularity& popularity, const RoutingPolicy& policy, MonotonicTime now);

/// Returns the weight of an endpoint in rendezvous hashing, which rises from just above 0 to 1 at the end of the warm-up.
double warmUpWeight(const EndpointState& state, const RoutingPolicy& policy, MonotonicTime now);

} // namespace hornbeamgate::internal
