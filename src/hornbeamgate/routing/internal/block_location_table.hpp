#pragma once

#include "hornbeamgate/base/time.hpp"
#include "hornbeamgate/routing/prefix_blocks.hpp"

#include <array>
#include <cstdint>
#include <vector>

namespace hornbeamgate::internal {

/// Index of an endpoint in the endpoint table.
using EndpointSlot = std::uint32_t;

/// Changes whenever an endpoint's cache may have been lost. Never repeats within a process.
using CacheEpoch = std::uint64_t;

/// Endpoint that was seen holding a block.
struct BlockLocation {
    EndpointSlot slot = 0;
    CacheEpoch epoch = 0;
    MonotonicTime expiresAt;
};

/// Table of fixed size that remembers which endpoints hold which blocks. Old entries give way to new ones.
class BlockLocationTable {
public:
    /// `entries` is rounded up to a whole number of buckets.
    explicit BlockLocationTable(std::size_t entries);

    /// Remembers the place; an earlier entry of the same block and endpoint keeps the later expiry.
    void addLocation(BlockHash block, const BlockLocation& location);
    void removeLocation(BlockHash block, EndpointSlot slot);

    /// Calls `visit(place)` for every unexpired place of `block`.
    template <typename Visitor>
    void forEach(BlockHash block, MonotonicTime now, Visitor visit) const
    {
        for (const auto& entry : m_buckets[bucketOf(block)])
            if (entry.block == block && entry.location.expiresAt > now)
                visit(entry.location);
    }

    std::size_t stateBytes() const;

private:
    static constexpr std::size_t kWays = 8;

    struct Entry {
        BlockHash block;
        BlockLocation location;
    };
    using Bucket = std::array<Entry, kWays>;

    std::size_t bucketOf(BlockHash block) const { return block.value() % m_buckets.size(); }

    std::vector<Bucket> m_buckets;
};

} // namespace hornbeamgate::internal
