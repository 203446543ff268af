#pragma once

#include "hornbeamgate/routing/engine_index.hpp"

#include <cstddef>
#include <map>

namespace hornbeamgate {

/// Settings of the prefix digests that an agent sends to the entry daemons.
struct DigestOptions {
    std::size_t maxAnnounced = 64; ///< hot prefixes that are kept announced to the receivers
    std::size_t maxEntries = 16; ///< entries in one digest; limits the traffic at each receiver
    /// Interval after which an announced prefix is repeated. Must be shorter than `RoutingPolicy::digestLifetime`, so that
    /// receivers do not expire a prefix that is still cached.
    Duration refreshAfter = std::chrono::seconds(15);
};

/// Produces incremental digests of an engine index: newly hot prefixes and announced prefixes that were evicted since. The
/// periodic repetition of announced prefixes makes up for lost digests.
class DigestWriter {
public:
    explicit DigestWriter(DigestOptions options);

    /// Returns the next digest, which is empty when nothing changed. A new incarnation resets the announced prefixes.
    PrefixDigest next(const EndpointId& endpoint, const EngineIndex& index, MonotonicTime now);

private:
    DigestOptions m_options;
    Incarnation m_incarnation;
    std::map<BlockHash, MonotonicTime> m_repeatAt;
};

} // namespace hornbeamgate
