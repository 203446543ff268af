#pragma once

#include "hornbeamgate/base/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace hornbeamgate::gateway {

/// Requests that wait in this daemon until an engine has room to read their prompts.
///
/// An engine reads prompts in the order in which it got them, and short urgent requests stand behind all of them. So a
/// daemon sends an engine little more than it reads at once, and keeps the rest here, where urgent requests pass them. The
/// request whose time ends first is tried first. One that can no longer be answered in time is given up.
///
/// Load it answers: long prompts that must all be read anew, after a change of weights or the loss of engines, next to
/// many short requests.
class PromptQueue {
public:
    using Number = std::uint64_t;

    /// A request with less time left is given up: an engine first finishes what it reads, up to 0.15 s, needs about 0.45 s
    /// for a long prompt, and has short ones in between.
    static constexpr std::chrono::milliseconds kMinTimeLeft { 1000 };

    /// How long a further request would wait, going by those that left lately for an engine; zero while that is unknown.
    Duration expectedWait(MonotonicTime now) const;

    /// The request waits from now on. It must be answered before `deadline`.
    void add(Number number, MonotonicTime deadline, MonotonicTime now);
    /// An engine had room for the request.
    void dispatch(Number number, MonotonicTime now);
    /// The request waits no longer, for another reason.
    void remove(Number number);

    /// The requests that are to be tried now, in order.
    std::vector<Number> byDeadline() const;
    /// Takes the requests out that can no longer be answered in time.
    std::vector<Number> takeExpired(MonotonicTime now);
    std::size_t size() const { return m_deadlines.size(); }

private:
    std::multimap<MonotonicTime, Number> m_deadlines;
    std::deque<MonotonicTime> m_dispatches; ///< within the time over which the rate is taken
    MonotonicTime m_nonEmptySince {}; ///< the line was not empty since then
};

} // namespace hornbeamgate::gateway
