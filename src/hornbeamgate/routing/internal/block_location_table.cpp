#include "hornbeamgate/routing/internal/block_location_table.hpp"

#include <algorithm>

namespace hornbeamgate::internal {

BlockLocationTable::BlockLocationTable(std::size_t entries)
    : m_buckets(std::max<std::size_t>(1, (entries + kWays - 1) / kWays))
{
}

void BlockLocationTable::addLocation(BlockHash block, const BlockLocation& location)
{
    auto& bucket = m_buckets[bucketOf(block)];
    const auto same = std::find_if(bucket.begin(), bucket.end(),
        [&](const Entry& entry) { return entry.block == block && entry.location.slot == location.slot; });
    const auto oldest = std::min_element(bucket.begin(), bucket.end(),
        [](const Entry& a, const Entry& b) { return a.location.expiresAt < b.location.expiresAt; });
    if (same == bucket.end()) {
        *oldest = { block, location };
        return;
    }
    const auto expiresAt = same->location.epoch == location.epoch ? std::max(same->location.expiresAt, location.expiresAt) : location.expiresAt;
    same->location = { location.slot, location.epoch, expiresAt };
}

void BlockLocationTable::removeLocation(BlockHash block, EndpointSlot slot)
{
    for (auto& entry : m_buckets[bucketOf(block)])
        if (entry.block == block && entry.location.slot == slot)
            entry = {};
}

std::size_t BlockLocationTable::stateBytes() const
{
    return m_buckets.size() * sizeof(Bucket);
}

} // namespace hornbeamgate::internal
