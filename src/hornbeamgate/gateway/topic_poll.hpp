#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/time.hpp"

#include <cstdint>
#include <optional>

namespace hornbeamgate::gateway {

/// How a daemon follows a topic, and the time within which it must know of a change there.
struct PollPolicy {
    /// The store holds each call until there is a change. The pause collects changes that come in quick succession.
    static PollPolicy longPoll(Duration bound, Duration pause) { return { bound, pause, true }; }
    /// The store answers each call at once.
    static PollPolicy periodic(Duration bound, Duration pause) { return { bound, pause, false }; }

    Duration bound;
    Duration pause; ///< between an answer and the next call, or less where the bound requires it
    bool isHeld;
};

/// Decides when to ask the store for the records of a topic, how long the store may hold a call, and when to give it up.
///
/// A call that gets no answer hides all changes until it is given up. The policy's bound is therefore divided among
/// everything that can follow a change: the lost call, the delay before the next one, and its answer. This holds after any
/// number of lost calls, counted from the end of an outage.
///
/// Designed for a store that falls silent, leaves single calls unanswered or answers slowly, for all daemons at once.
class TopicPoll {
public:
    struct Call {
        bool isListing = false; ///< asks for all records instead of those from `from`
        LogOffset from;
        Duration wait {}; ///< how long the store may hold the call
        Duration timeout {}; ///< maximum silence beyond `wait`
    };

    /// Starts a call. `policy` may change from call to call.
    Call start(const PollPolicy& policy, MonotonicTime now);
    /// Handles the answer to the last call, after which reading continues at `next`. Returns the time of the next call.
    MonotonicTime onAnswer(const PollPolicy& policy, LogOffset next, bool hasRecords, MonotonicTime now);
    /// Handles the failure of the last call. Returns the time of the next call, which depends on `random` so that daemons
    /// that lost the store together do not return together.
    MonotonicTime onFailure(const PollPolicy& policy, std::uint64_t random, MonotonicTime now);
    /// Makes the next call a listing, because records have been deleted that were not read.
    void restart() { m_next.reset(); }

    bool hasListing() const { return m_next.has_value(); }
    int failuresInRow() const { return m_failuresInRow; }
    Duration pendingTime(MonotonicTime now) const { return now - m_startedAt; }
    /// Returns true if an answer is overdue, so that other daemons may have newer records.
    bool isStale(const PollPolicy& policy, MonotonicTime now) const;

private:
    Duration timeout(const PollPolicy& policy) const;
    Duration pause(const PollPolicy& policy) const;
    /// Maximum time from an answer to the end of the next call's wait.
    Duration maxSpacing(const PollPolicy& policy) const;

    std::optional<LogOffset> m_next; ///< where reading continues; none until the topic has been listed
    MonotonicTime m_startedAt {};
    Duration m_wait {}; ///< of the last call
    Duration m_responseTime {}; ///< recent response time of the store
    int m_failuresInRow = 0;
    std::optional<MonotonicTime> m_answeredAt;
};

} // namespace hornbeamgate::gateway
