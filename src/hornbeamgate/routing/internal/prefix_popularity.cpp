#include "hornbeamgate/routing/internal/prefix_popularity.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <unordered_map>

namespace hornbeamgate::internal {

PrefixPopularity::PrefixPopularity(std::size_t entries, Duration halfLife)
    : m_halfLife(halfLife)
    , m_buckets(std::max<std::size_t>(1, (entries + kWays - 1) / kWays))
{
}

void PrefixPopularity::record(const std::vector<BlockHash>& blocks, MonotonicTime now)
{
    increment(m_total, now);
    BlockHash parent;
    for (const auto block : blocks) {
        auto& entry = entryFor(block, now);
        entry.parent = parent;
        increment(entry, now);
        parent = block;
    }
}

double PrefixPopularity::count(BlockHash block, MonotonicTime now) const
{
    const auto& bucket = m_buckets[block.value() % m_buckets.size()];
    for (const auto& entry : bucket)
        if (entry.block == block)
            return decayed(entry, now);
    return 0;
}

double PrefixPopularity::total(MonotonicTime now) const
{
    return decayed(m_total, now);
}

std::vector<HotPrefix> PrefixPopularity::hottest(MonotonicTime now) const
{
    constexpr double kNearlyAll = 0.8;
    const double perSecond = std::log(2.0) / std::chrono::duration<double>(m_halfLife).count();
    std::unordered_map<BlockHash, double> largestChild;
    std::vector<HotPrefix> prefixes;
    for (const auto& bucket : m_buckets) {
        for (const auto& entry : bucket) {
            const double rate = decayed(entry, now) * perSecond;
            if (rate <= 0)
                continue;
            prefixes.push_back({ entry.block, rate });
            auto& largest = largestChild[entry.parent];
            largest = std::max(largest, rate);
        }
    }
    std::erase_if(prefixes, [&](const HotPrefix& prefix) {
        const auto child = largestChild.find(prefix.block);
        return child != largestChild.end() && child->second >= kNearlyAll * prefix.requestsPerSecond;
    });
    std::sort(prefixes.begin(), prefixes.end(), [](const HotPrefix& a, const HotPrefix& b) {
        return std::tie(b.requestsPerSecond, a.block) < std::tie(a.requestsPerSecond, b.block);
    });
    return prefixes;
}

std::size_t PrefixPopularity::stateBytes() const
{
    return m_buckets.size() * sizeof(Bucket);
}

double PrefixPopularity::decayed(const Entry& entry, MonotonicTime now) const
{
    if (entry.count == 0 || now <= entry.countedAt)
        return entry.count;
    const auto halfLives = std::chrono::duration<double>(now - entry.countedAt) / m_halfLife;
    return entry.count * std::exp2(-halfLives);
}

void PrefixPopularity::increment(Entry& entry, MonotonicTime now) const
{
    entry.count = decayed(entry, now) + 1;
    entry.countedAt = now;
}

PrefixPopularity::Entry& PrefixPopularity::entryFor(BlockHash block, MonotonicTime now)
{
    auto& bucket = m_buckets[block.value() % m_buckets.size()];
    for (auto& entry : bucket)
        if (entry.block == block)
            return entry;
    auto& coldest = *std::min_element(bucket.begin(), bucket.end(),
        [&](const Entry& a, const Entry& b) { return decayed(a, now) < decayed(b, now); });
    coldest = { block, {}, 0, now };
    return coldest;
}

} // namespace hornbeamgate::internal
