#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/time.hpp"

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace hornbeamgate::gateway {

/// Identifies the cached blocks of one shared prompt for one cache domain and weights version.
using BlockKey = std::uint64_t;

/// Use of cached blocks by a request that was sent to an endpoint.
struct BlockUse {
    EndpointId endpoint;
    BlockKey blocks = 0;
    std::chrono::milliseconds age {};
};

/// Tracks which endpoints are likely to hold the cached blocks of shared prompts.
///
/// A daemon records where it sends shared prompts and receives the same records from the other daemons. Engines are not
/// queried; an entry expires some seconds after its last use, when the engine has probably evicted the blocks. The
/// directory stores one key for each prompt in use, not the blocks themselves.
///
/// Designed for prompts that several daemons request while engines join, leave and change their weights, where the
/// endpoint that computed a prompt is often not the one that hashing selects.
class BlockDirectory {
public:
    struct Holder {
        EndpointId endpoint;
        MonotonicTime since; ///< first use since the blocks were last evicted
        MonotonicTime usedAt;
    };

    /// Records that this daemon sends a request for `blocks` to `endpoint`.
    void recordUse(const EndpointId& endpoint, BlockKey blocks, MonotonicTime now);
    /// Records uses reported by another daemon. Each use is reported several times because reports can be lost.
    void recordPeerUses(const std::vector<BlockUse>& blockUses, MonotonicTime now);
    /// Returns this daemon's own uses since `since`, to be reported to the other daemons.
    std::vector<BlockUse> recentLocalUses(MonotonicTime since, MonotonicTime now) const;

    /// Returns the endpoints that probably hold the blocks or are computing them.
    std::vector<Holder> holders(BlockKey blocks, MonotonicTime now) const;

    /// Removes an endpoint that lost its cache or is unreachable.
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
