#include "hornbeamgate/runtime/net/memory_account.hpp"

#include <malloc.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace hornbeamgate::gateway {

namespace {

    /// Part of the limit that a search for stalled connections frees. Searches cost time in proportion to the connections,
    /// so each one has to free enough for many requests.
    constexpr std::size_t kFreedParts = 16;
    /// Above this share of the limit, buffers for peers that do not read stay small.
    constexpr double kNearlyUsedShare = 0.75;
    /// Bounds the cost of searches while no connection may be closed.
    constexpr std::chrono::milliseconds kSearchInterval { 50 };
    /// Bounds the cost of giving memory back, which takes some milliseconds.
    constexpr std::chrono::milliseconds kTrimInterval { 500 };

} // namespace

MemoryAccount::MemoryAccount(std::size_t limit, Observer observer)
    : m_limit(limit)
    , m_observer(std::move(observer))
    , m_searchTimer([this] {
        m_isSearchScheduled = false;
        makeRoom(nullptr, MonotonicClock::now());
        if (isExceeded())
            scheduleSearch();
    })
{
}

bool MemoryAccount::isNearlyUsed() const
{
    return static_cast<double>(m_used) > kNearlyUsedShare * static_cast<double>(m_limit);
}

bool MemoryAccount::makeRoom(const MemoryShare* current, MonotonicTime now)
{
    if (isExceeded() && now >= m_nextSearch)
        closeStalled(current, now);
    return !isExceeded();
}

void MemoryAccount::scheduleSearch()
{
    if (std::exchange(m_isSearchScheduled, true))
        return;
    m_searchTimer.set(std::max(m_nextSearch, MonotonicClock::now()));
}

void MemoryAccount::closeStalled(const MemoryShare* current, MonotonicTime now)
{
    struct Candidate {
        MemoryShare* share;
        Duration stalled;
        double rank;
    };
    std::vector<Candidate> candidates;
    for (auto* share : m_shares) {
        const auto since = share == current ? std::nullopt : share->holder().stalledSince();
        if (!since || share->bytes() == 0 || now - *since < kStallTime)
            continue;
        const std::chrono::duration<double> stalled = now - *since;
        candidates.push_back({ share, now - *since, static_cast<double>(share->bytes()) * stalled.count() });
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) { return left.rank > right.rank; });
    const std::size_t goal = m_limit - m_limit / kFreedParts;
    for (const auto& candidate : candidates) {
        if (m_used <= goal)
            break;
        const auto bytes = candidate.share->bytes();
        candidate.share->holder().closeForMemory();
        if (m_observer.closed)
            m_observer.closed(bytes, candidate.stalled);
    }
    if (m_used > goal)
        m_nextSearch = now + kSearchInterval;
    trim(now);
}

void MemoryAccount::trim(MonotonicTime now)
{
    if (now < m_nextTrim)
        return;
    // Freed blocks between blocks in use would otherwise stay resident.
    malloc_trim(0);
    m_nextTrim = now + kTrimInterval;
}

MemoryShare::MemoryShare(MemoryAccount* account, MemoryHolder& holder)
    : m_account(account)
    , m_holder(holder)
{
    if (m_account)
        m_account->m_shares.insert(this);
}

MemoryShare::~MemoryShare()
{
    if (!m_account)
        return;
    set(0);
    m_account->m_shares.erase(this);
}

void MemoryShare::set(std::size_t bytes)
{
    const auto before = std::exchange(m_bytes, bytes);
    if (!m_account)
        return;
    m_account->m_used += bytes - before;
    if (bytes > before && m_account->isExceeded())
        m_account->scheduleSearch();
}

} // namespace hornbeamgate::gateway
