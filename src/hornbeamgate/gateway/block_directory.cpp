#include "hornbeamgate/gateway/block_directory.hpp"

#include <algorithm>

namespace hornbeamgate::gateway {

namespace {

    using std::chrono::milliseconds;

    /// Approximate time from the last use of a block until an engine evicts it while prompts fill the engine's memory.
    constexpr milliseconds kBlockRetention { 8000 };
    constexpr milliseconds kCleanupInterval { 1000 };

} // namespace

void BlockDirectory::recordUse(const EndpointId& endpoint, BlockKey blocks, MonotonicTime now)
{
    put(endpoint, blocks, now);
    m_localUses.push_back({ endpoint, blocks, now });
    while (m_localUses.front().at + kBlockRetention < now)
        m_localUses.pop_front();
    dropExpired(now);
}

void BlockDirectory::recordPeerUses(const std::vector<BlockUse>& blockUses, MonotonicTime now)
{
    for (const auto& blockUse : blockUses)
        put(blockUse.endpoint, blockUse.blocks, now - blockUse.age);
}

std::vector<BlockUse> BlockDirectory::recentLocalUses(MonotonicTime since, MonotonicTime now) const
{
    std::vector<BlockUse> recent;
    for (auto use = m_localUses.rbegin(); use != m_localUses.rend() && use->at >= since; ++use)
        recent.push_back({ use->endpoint, use->blocks, std::chrono::floor<milliseconds>(now - use->at) });
    return recent;
}

std::vector<BlockDirectory::Holder> BlockDirectory::holders(BlockKey blocks, MonotonicTime now) const
{
    std::vector<Holder> current;
    if (const auto found = m_holders.find(blocks); found != m_holders.end())
        std::copy_if(found->second.begin(), found->second.end(), std::back_inserter(current), [now](const auto& holder) { return now < holder.usedAt + kBlockRetention; });
    return current;
}

void BlockDirectory::forget(const EndpointId& endpoint)
{
    for (auto& [blocks, holders] : m_holders)
        std::erase_if(holders, [&endpoint](const auto& holder) { return holder.endpoint == endpoint; });
    std::erase_if(m_localUses, [&endpoint](const auto& use) { return use.endpoint == endpoint; });
}

void BlockDirectory::put(const EndpointId& endpoint, BlockKey blocks, MonotonicTime at)
{
    auto& holders = m_holders[blocks];
    const auto known = std::find_if(holders.begin(), holders.end(), [&endpoint](const auto& holder) { return holder.endpoint == endpoint; });
    if (known == holders.end()) {
        holders.push_back({ endpoint, at, at });
        return;
    }
    if (known->usedAt + kBlockRetention <= at)
        known->since = at;
    known->since = std::min(known->since, at);
    known->usedAt = std::max(known->usedAt, at);
}

void BlockDirectory::dropExpired(MonotonicTime now)
{
    if (now < m_nextCleanup)
        return;
    m_nextCleanup = now + kCleanupInterval;
    for (auto& [blocks, holders] : m_holders)
        std::erase_if(holders, [now](const auto& holder) { return holder.usedAt + kBlockRetention <= now; });
    std::erase_if(m_holders, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace hornbeamgate::gateway
