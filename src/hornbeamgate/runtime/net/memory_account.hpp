#pragma once

#include "hornbeamgate/base/time.hpp"
#include "hornbeamgate/runtime/glib_support.hpp"

#include <cstddef>
#include <functional>
#include <optional>
#include <string_view>
#include <unordered_set>

namespace hornbeamgate::gateway {

class MemoryShare;

/// Connection that holds memory for its peer and may be closed to free it.
class MemoryHolder {
public:
    virtual ~MemoryHolder() = default;
    /// Time at which bytes were last exchanged with the peer. Nothing if the connection must not be closed for memory, such
    /// as while it waits for an engine.
    virtual std::optional<MonotonicTime> stalledSince() const = 0;
    /// Closes the connection and frees what it holds before it returns.
    virtual void closeForMemory() = 0;
};

/// Account of the memory that a process holds for its peers: heads, bodies, unsent responses, unread input.
///
/// Designed for crowds of clients that each stay inside the limits of one request and together exceed the machine: when the
/// account is used up, connections without progress are closed, the one that holds most for longest first, and new work is
/// refused. The shares count capacities, so that what the allocator keeps for a growing buffer is included.
class MemoryAccount {
public:
    /// A connection that has exchanged bytes within this time makes progress. It covers the retransmissions of one lost
    /// packet on the longest path.
    static constexpr std::chrono::milliseconds kStallTime { 1000 };

    struct Observer {
        std::function<void(std::string_view reason)> refused; ///< a connection or request was refused
        std::function<void(std::size_t bytes, Duration stalled)> closed; ///< a connection was closed to free its memory
    };

    MemoryAccount(std::size_t limit, Observer observer);
    MemoryAccount(const MemoryAccount&) = delete;
    MemoryAccount& operator=(const MemoryAccount&) = delete;

    void setLimit(std::size_t limit) { m_limit = limit; }
    std::size_t limit() const { return m_limit; }
    std::size_t used() const { return m_used; }
    bool isExceeded() const { return m_used > m_limit; }
    /// Whether so little is left that buffers should not grow while their peers do not read.
    bool isNearlyUsed() const;

    /// Closes stalled connections, but never that of `current`, if the account is exceeded. Returns whether it no longer is.
    /// Only connections that were called by the main loop itself may call this, since any other connection may be closed.
    bool makeRoom(const MemoryShare* current, MonotonicTime now);

    const Observer& observer() const { return m_observer; }

private:
    friend class MemoryShare;

    void closeStalled(const MemoryShare* current, MonotonicTime now);
    /// Gives freed memory back to the system.
    void trim(MonotonicTime now);
    /// Makes room as soon as the main loop runs.
    void scheduleSearch();

    std::size_t m_limit;
    std::size_t m_used = 0;
    Observer m_observer;
    std::unordered_set<MemoryShare*> m_shares;
    MonotonicTime m_nextTrim {};
    MonotonicTime m_nextSearch {}; ///< a search that found too little is not repeated before
    Timer m_searchTimer;
    bool m_isSearchScheduled = false;
};

/// Part of an account that one connection holds; returned at its destruction. Without an account it counts nothing.
class MemoryShare {
public:
    MemoryShare(MemoryAccount* account, MemoryHolder& holder);
    ~MemoryShare();
    MemoryShare(const MemoryShare&) = delete;
    MemoryShare& operator=(const MemoryShare&) = delete;

    void set(std::size_t bytes);
    std::size_t bytes() const { return m_bytes; }
    MemoryHolder& holder() const { return m_holder; }

private:
    MemoryAccount* m_account;
    MemoryHolder& m_holder;
    std::size_t m_bytes = 0;
};

} // namespace hornbeamgate::gateway
