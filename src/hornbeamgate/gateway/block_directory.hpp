#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/time.hpp"

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace hornbeamgate::gateway {

/// Names the cached blocks of one shared prompt for one cache domain and version of the weights.
using BlockKey = std::uint64_t;

/// A request for these blocks went to an endpoint.
struct BlockUse {
    EndpointId endpoint;
    BlockKey blocks = 0;
    std::chrono::milliseconds age {};
};

/// Which endpoints are likely to hold the cached blocks of shared prompts.
///
/// A daemon notes where it sends shared prompts and hears from the others where they sent theirs; engines evict blocks
/// some seconds after their last use. Nothing is asked of the engines. The directory holds a key for each prompt in use,
/// not the blocks.
///
/// Load it answers: prompts that several daemons ask for while engines come, leave and change their weights, so that
/// the endpoint where a prompt was read is not the one where hashing would expect it.
class BlockDirectory {
public:
    struct Holder {
        EndpointId endpoint;
        MonotonicTime since; ///< of the first request in a row
        MonotonicTime usedAt;
    };

    /// Notes that this daemon sends a request for `blocks` to `endpoint`.
    void recordUse(const EndpointId& endpoint, BlockKey blocks, MonotonicTime now);
    /// Takes what another daemon noted. Sightings come several times, since reports get lost.
    void recordPeerUses(const std::vector<BlockUse>& blockUses, MonotonicTime now);
    /// This daemon's own sends since `since`, for the other daemons.
    std::vector<BlockUse> recentLocalUses(MonotonicTime since, MonotonicTime now) const;

    /// Endpoints that probably still hold the blocks, or read them now.
    std::vector<Holder> holders(BlockKey blocks, MonotonicTime now) const;

    /// The endpoint lost its memory or cannot be reached.
    void forget(const EndpointId& endpoint);

private:
    struct LocalUse {
        EndpointId endpoint;
        BlockKey blocks;
        MonotonicTime at;
    };

    void put(const EndpointId& endpoint, BlockKey blocks, MonotonicTime at);
    void dropExpired(MonotonicTime now);

    std::unordered_map<BlockKey, std::vector<Holder>> m_holders;
    std::deque<LocalUse> m_localUses;
    MonotonicTime m_nextCleanup {};
};

} // namespace hornbeamgate::gateway
