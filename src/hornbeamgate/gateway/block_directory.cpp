#include "hornbeamgate/gateway/block_directory.hpp"

#include <algorithm>

namespace hornbeamgate::gateway {

namespace {

    using std::chrono::milliseconds;

    /// Engines evict blocks about so long after their last use when prompts fill their memory.
    constexpr milliseconds kBlocksKept { 8000 };
    constexpr milliseconds kCleaningInterval { 1000 };

} // namespace

void BlockDirectory::noteUse(const EndpointId& endpoint, BlockKey blocks, MonotonicTime now)
{
    put(endpoint, blocks, now);
    m_ownUses.push_back({ endpoint, blocks, now });
    while (m_ownUses.front().at + kBlocksKept < now)
        m_ownUses.pop_front();
    dropExpired(now);
}

void BlockDirectory::noteSightings(const std::vector<BlockSighting>& sightings, MonotonicTime now)
{
    for (const auto& sighting : sightings)
        put(sighting.endpoint, sighting.blocks, now - sighting.age);
}

std::vector<BlockSighting> BlockDirectory::ownSightings(MonotonicTime since, MonotonicTime now) const
{
    std::vector<BlockSighting> recent;
    for (auto use = m_ownUses.rbegin(); use != m_ownUses.rend() && use->at >= since; ++use)
        recent.push_back({ use->endpoint, use->blocks, std::chrono::floor<milliseconds>(now - use->at) });
    return recent;
}

std::vector<BlockDirectory::Holder> BlockDirectory::holders(BlockKey blocks, MonotonicTime now) const
{
    std::vector<Holder> current;
    if (const auto found = m_holders.find(blocks); found != m_holders.end())
        std::copy_if(found->second.begin(), found->second.end(), std::back_inserter(current), [now](const auto& holder) { return now < holder.usedAt + kBlocksKept; });
    return current;
}

void BlockDirectory::forget(const EndpointId& endpoint)
{
    for (auto& [blocks, holders] : m_holders)
        std::erase_if(holders, [&endpoint](const auto& holder) { return holder.endpoint == endpoint; });
    std::erase_if(m_ownUses, [&endpoint](const auto& use) { return use.endpoint == endpoint; });
}

void BlockDirectory::put(const EndpointId& endpoint, BlockKey blocks, MonotonicTime at)
{
    auto& holders = m_holders[blocks];
    const auto known = std::find_if(holders.begin(), holders.end(), [&endpoint](const auto& holder) { return holder.endpoint == endpoint; });
    if (known == holders.end()) {
        holders.push_back({ endpoint, at, at });
        return;
    }
    if (known->usedAt + kBlocksKept <= at)
        known->since = at;
    known->since = std::min(known->since, at);
    known->usedAt = std::max(known->usedAt, at);
}

void BlockDirectory::dropExpired(MonotonicTime now)
{
    if (now < m_nextCleaning)
        return;
    m_nextCleaning = now + kCleaningInterval;
    for (auto& [blocks, holders] : m_holders)
        std::erase_if(holders, [now](const auto& holder) { return holder.usedAt + kBlocksKept <= now; });
    std::erase_if(m_holders, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace hornbeamgate::gateway
