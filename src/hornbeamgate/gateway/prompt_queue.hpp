#pragma once

#include "hornbeamgate/base/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace hornbeamgate::gateway {

/// Queue of requests that wait in this daemon until an engine has capacity to prefill their prompts.
///
/// An engine prefills prompts in order of arrival, so short urgent requests would wait behind all earlier prompts. A daemon
/// therefore sends an engine little more than it can prefill at once and queues the rest, which urgent requests bypass.
/// Requests are tried in order of their deadlines, and those that can no longer be answered in time are removed.
///
/// Designed for long prompts that must all be recomputed, after a change of weights or the loss of engines, mixed with
/// many short requests.
class PromptQueue {
public:
    using Number = std::uint64_t;

    /// A request with less time left is abandoned: an engine first finishes its current prefill, up to 0.15 s, then needs
    /// about 0.45 s for a long prompt, and serves short prompts in between.
    static constexpr std::chrono::milliseconds kMinTimeLeft { 1000 };

    /// Returns the deadline with which a request waits where requests compete for capacity: a prompt that starts too late for its
    /// objective delays others that could be in time. Prompts of any size may wait for a part of their objective.
    static MonotonicTime usefulDeadline(MonotonicTime arrived, Duration objective, Duration prefillTime, MonotonicTime deadline);

    /// Returns the expected wait of another request, based on the recent dispatch rate, or zero while the rate is unknown.
    Duration expectedWait(MonotonicTime now) const;

    /// Adds a request that must be answered before `deadline`.
    void add(Number number, MonotonicTime deadline, MonotonicTime now);
    /// Removes a request that is sent to an engine and counts it in the dispatch rate.
    void dispatch(Number number, MonotonicTime now);
    /// Removes a request for any other reason.
    void remove(Number number);

    /// Returns the queued requests, earliest deadline first.
    std::vector<Number> byDeadline() const;
    /// Removes and returns the requests that can no longer be answered in time.
    std::vector<Number> takeExpired(MonotonicTime now);
    std::size_t size() const { return m_deadlines.size(); }

private:
    std::multimap<MonotonicTime, Number> m_deadlines;
    std::deque<MonotonicTime> m_dispatches; ///< times within the rate window
    MonotonicTime m_nonEmptySince {}; ///< start of the current non-empty period
};

} // namespace hornbeamgate::gateway
