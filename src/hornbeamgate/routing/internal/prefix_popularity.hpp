#pragma once

#include "hornbeamgate/base/time.hpp"
#include "hornbeamgate/routing/router.hpp"

#include <array>
#include <vector>

namespace hornbeamgate::internal {

/// Table of fixed size with exponentially decaying counts of how often blocks were asked for.
class PrefixPopularity {
public:
    PrefixPopularity(std::size_t entries, Duration halfLife);

    /// Counts one request whose prompt has these blocks.
    void record(const std::vector<BlockHash>& blocks, MonotonicTime now);

    /// Decayed number of requests that had `block`; zero when it is unknown.
    double count(BlockHash block, MonotonicTime now) const;

    /// Decayed number of all requests.
    double total(MonotonicTime now) const;

    /// All known blocks, hottest first, without those whose requests nearly all go on to one longer known prefix.
    std::vector<HotPrefix> hottest(MonotonicTime now) const;

    std::size_t stateBytes() const;

private:
    static constexpr std::size_t kWays = 8;

    struct Entry {
        BlockHash block;
        BlockHash parent; ///< the block before it, zero for the first
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
