#pragma once

#include "hornbeamgate/gateway/prompt_line.hpp"
#include "hornbeamgate/runtime/glib_support.hpp"

#include <functional>
#include <map>

namespace hornbeamgate::gateway {

/// Tries requests of the prompt line again until they leave it.
class PromptQueueDispatcher {
public:
    struct Waiter {
        std::function<bool()> tryAgain; ///< true when the request left the line
        std::function<void()> refuse; ///< it can no longer be answered in time
    };

    PromptQueueDispatcher();

    /// How long a further request would wait.
    Duration expectedWait() const { return m_line.expectedWait(MonotonicClock::now()); }
    PromptLine::Number add(MonotonicTime deadline, Waiter waiter);
    /// An engine had room for the request.
    void depart(PromptLine::Number number);
    void remove(PromptLine::Number number);
    std::size_t size() const { return m_line.size(); }
    /// Gives up all requests that wait, because the daemon ends.
    void refuseAll();

private:
    void tick();
    /// Calls the waiter's `refuse`, which may remove others.
    void refuse(PromptLine::Number number);

    PromptLine m_line;
    std::map<PromptLine::Number, Waiter> m_waiters;
    PromptLine::Number m_lastNumber = 0;
    Timer m_timer;
};

} // namespace hornbeamgate::gateway
