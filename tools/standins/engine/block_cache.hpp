#pragma once

#include "hornbeamgate/base/time.hpp"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace hornbeamgate::standins {

/// How much an engine's cache holds, and how badly it tells of it.
struct BlockCacheOptions {
    std::size_t capacity = 4000; ///< blocks
    std::chrono::milliseconds idleLifetime { 0 }; ///< a block unused for longer is evicted; 0: no limit
    std::chrono::milliseconds eventLag { 0 };
    std::uint64_t eventGapEvery = 0; ///< every n-th event is never listed; 0: none is lost
};

/// Prefix cache with least-recently-used eviction and a list of what it stored and evicted.
/// A block is named by 16 hexadecimal digits.
class BlockCache {
public:
    explicit BlockCache(BlockCacheOptions options);

    /// Uses the chain of blocks `blocks`, stores the missing ones and returns how many leading ones were there.
    std::size_t use(const std::vector<std::string>& blocks, MonotonicTime now);

    void evictIdle(MonotonicTime now);
    void clear(MonotonicTime now);
    std::size_t size() const { return m_entries.size(); }

    /// Events from sequence number `from` on that are visible at `now`: `{"next":X,"events":[..]}`.
    nlohmann::json events(std::uint64_t from, MonotonicTime now) const;

private:
    struct Entry {
        std::string block;
        MonotonicTime expiresAt;
    };
    struct Event {
        std::uint64_t seq = 0;
        MonotonicTime visibleAt;
        const char* kind = "";
        std::string block;
    };

    void store(const std::string& block, MonotonicTime now);
    void evictLast(MonotonicTime now);
    void note(const char* kind, const std::string& block, MonotonicTime now);

    BlockCacheOptions m_options;
    std::list<Entry> m_entries; ///< most recently used first
    std::unordered_map<std::string, std::list<Entry>::iterator> m_index;
    std::deque<Event> m_events;
    std::uint64_t m_nextSeq = 0;
};

} // namespace hornbeamgate::standins
