#pragma once

#include "hornbeamgate/gateway/prompt_queue.hpp"
#include "hornbeamgate/runtime/glib_support.hpp"

#include <functional>
#include <map>

namespace hornbeamgate::gateway {

/// Tries requests of the prompt line again until they leave it.
class WaitingPrompts {
public:
    struct Waiter {
        std::function<bool()> tryAgain; ///< true when the request left the line
        std::function<void()> giveUp; ///< it can no longer be answered in time
    };

    WaitingPrompts();

    /// How long a further request would wait.
    Duration expectedWait() const { return m_line.expectedWait(MonotonicClock::now()); }
    PromptQueue::Number add(MonotonicTime deadline, Waiter waiter);
    /// An engine had room for the request.
    void dispatch(PromptQueue::Number number);
    void remove(PromptQueue::Number number);
    std::size_t size() const { return m_line.size(); }
    /// Gives up all requests that wait, because the daemon ends.
    void giveUpAll();

private:
    void tick();
    /// Calls the waiter's `giveUp`, which may remove others.
    void giveUp(PromptQueue::Number number);

    PromptQueue m_line;
    std::map<PromptQueue::Number, Waiter> m_waiters;
    PromptQueue::Number m_lastNumber = 0;
    Timer m_timer;
};

} // namespace hornbeamgate::gateway
