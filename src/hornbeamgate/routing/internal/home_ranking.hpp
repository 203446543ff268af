#pragma once

#include "hornbeamgate/routing/internal/endpoint_table.hpp"
#include "hornbeamgate/routing/internal/prefix_popularity.hpp"

#include <vector>

namespace hornbeamgate::internal {

/// Endpoint that is next in line when the homes are busy.
struct Fallback {
    EndpointSlot slot = 0;
    std::uint32_t sharedBlocks = 0; ///< leading blocks of the prompt for which it is a home
};

/// Endpoints in the order in which rendezvous hashing prefers them for a prompt.
struct HomeRanking {
    std::vector<EndpointSlot> homes; ///< homes of the whole prompt
    std::vector<Fallback> fallbacks; ///< those that share more blocks come first
    std::uint32_t likelyCachedBlocks = 0; ///< leading blocks that were asked for often enough to be cached at each home
};

/// Ranks `servers` for a prompt. From the first block on, each level keeps as many endpoints as the block's share of the
/// traffic fills and picks them by rendezvous hashing, until one endpoint is left. So a hot prefix has several
/// homes, a rare one has a single home among the homes of the hot prefix that it extends, and daemons agree without
/// talking. An endpoint that became ready a short time ago wins less often.
HomeRanking rankHomes(const EndpointTable& endpoints, std::vector<EndpointSlot> servers,
    const std::vector<BlockHash>& blocks, const PrefixPopularity& popularity, const RoutingPolicy& policy, MonotonicTime now);

/// Weight of an endpoint in rendezvous hashing, from just above 0 to 1 at the end of the warm-up.
double warmUpWeight(const EndpointState& state, const RoutingPolicy& policy, MonotonicTime now);

} // namespace hornbeamgate::internal
