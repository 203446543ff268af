#pragma once

#include "hornbeamgate/base/time.hpp"
#include "hornbeamgate/routing/router.hpp"

#include <array>
#include <vector>

namespace hornbeamgate::internal {

/// Fixed-size table of exponentially decaying request counts per block.
class PrefixPopularity {
public:
    PrefixPopularity(std::size_t entries, Duration halfLife);

    /// Records one request whose prompt consists of these blocks.
    void record(const std::vector<BlockHash>& blocks, MonotonicTime now);

    /// Returns the decayed number of requests that contained `block`; zero if it is not in the table.
    double count(BlockHash block, MonotonicTime now) const;

    /// Returns the decayed number of all requests.
    double total(MonotonicTime now) const;

    /// Returns all blocks in the table, hottest first, except those whose requests nearly all continue with the same next block.
    std::vector<HotPrefix> hottest(MonotonicTime now) const;

    std::size_t stateBytes() const;

private:
    static constexpr std::size_t kWays = 8;

    struct Entry {
        BlockHash block;
        BlockHash parent; ///< preceding block; zero for the first
        double count = 0;
        MonotonicTime countedAt;
    };
    using Bucket = std::array<Entry, kWays>;

    double decayed(const Entry& entry, MonotonicTime now) const;
    void increment(Entry& entry, MonotonicTime now) const;
    Entry& entryFor(BlockHash block, MonotonicTime now);

    Duration m_halfLife;
    Entry m_total;
    std::vector<Bucket> m_buckets;
};

} // namespace hornbeamgate::internal
