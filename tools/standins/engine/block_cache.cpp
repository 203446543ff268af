#include "engine/block_cache.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hornbeamgate::standins {

namespace {

    constexpr std::size_t kKeptEvents = 100000;
    constexpr std::size_t kListedEvents = 10000;

} // namespace

BlockCache::BlockCache(BlockCacheOptions options)
    : m_options(options)
{
}

std::size_t BlockCache::use(const std::vector<std::string>& blocks, MonotonicTime now)
{
    const auto firstMissing = std::find_if(blocks.begin(), blocks.end(),
        [&](const std::string& block) { return !m_index.contains(block); });
    const auto hits = static_cast<std::size_t>(firstMissing - blocks.begin());
    // The deepest block is touched first, so that a chain is evicted from its end.
    for (auto block = blocks.rbegin(); block != blocks.rend(); ++block)
        store(*block, now);
    while (m_entries.size() > m_options.capacity)
        evictLast(now);
    return hits;
}

void BlockCache::evictIdle(MonotonicTime now)
{
    if (m_options.idleLifetime.count() == 0)
        return;
    while (!m_entries.empty() && m_entries.back().expiresAt <= now)
        evictLast(now);
}

void BlockCache::clear(MonotonicTime now)
{
    while (!m_entries.empty())
        evictLast(now);
}

nlohmann::json BlockCache::events(std::uint64_t from, MonotonicTime now) const
{
    auto listed = nlohmann::json::array();
    std::uint64_t next = from;
    for (const Event& event : m_events) {
        if (event.seq < from)
            continue;
        if (event.visibleAt > now || listed.size() == kListedEvents)
            break;
        listed.push_back({ { "seq", event.seq }, { "kind", event.kind }, { "block", event.block } });
        next = event.seq + 1;
    }
    return { { "next", next }, { "events", std::move(listed) } };
}

void BlockCache::store(const std::string& block, MonotonicTime now)
{
    const auto known = m_index.find(block);
    if (known != m_index.end()) {
        known->second->expiresAt = now + m_options.idleLifetime;
        m_entries.splice(m_entries.begin(), m_entries, known->second);
        return;
    }
    m_entries.push_front({ block, now + m_options.idleLifetime });
    m_index[block] = m_entries.begin();
    note("stored", block, now);
}

void BlockCache::evictLast(MonotonicTime now)
{
    const std::string block = std::move(m_entries.back().block);
    m_entries.pop_back();
    m_index.erase(block);
    note("evicted", block, now);
}

void BlockCache::note(const char* kind, const std::string& block, MonotonicTime now)
{
    const std::uint64_t seq = m_nextSeq++;
    const bool lost = m_options.eventGapEvery != 0 && seq % m_options.eventGapEvery == m_options.eventGapEvery - 1;
    if (lost)
        return;
    m_events.push_back({ seq, now + m_options.eventLag, kind, block });
    if (m_events.size() > kKeptEvents)
        m_events.pop_front();
}

} // namespace hornbeamgate::standins
