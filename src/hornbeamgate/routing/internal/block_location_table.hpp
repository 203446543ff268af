#pragma once

#include "hornbeamgate/base/time.hpp"
#include "hornbeamgate/routing/prefix_blocks.hpp"

#include <array>
#include <cstdint>
#include <vector>

namespace hornbeamgate::internal {

/// Index of an endpoint in the endpoint table.
using EndpointSlot = std::uint32_t;

/// Generation of an endpoint's cache; changes whenever the cache may have been lost. Never reused within a process.
using CacheEpoch = std::uint64_t;

/// Endpoint that is known to hold a block.
struct BlockLocation {
    EndpointSlot slot = 0;
    CacheEpoch epoch = 0;
    MonotonicTime expiresAt;
};

/// Fixed-size table of the endpoints that hold each block. When a bucket is full, the entry that expires first is replaced.
class BlockLocationTable {
public:
    /// `entries` is rounded up to a whole number of buckets.
    explicit BlockLocationTable(std::size_t entries);

    /// Adds a location. An existing entry of the same block, endpoint and epoch keeps the later of both expiry times.
    void addLocation(BlockHash block, const BlockLocation& location);
    void removeLocation(BlockHash block, EndpointSlot slot);

    /// Calls `visit(location)` for every unexpired location of `block`.
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
