#pragma once

#include "hornbeamgate/gateway/prompt_queue.hpp"
#include "hornbeamgate/runtime/glib_support.hpp"

#include <functional>
#include <map>

namespace hornbeamgate::gateway {

/// Periodically retries queued requests until each is sent, refused or removed.
class PromptQueueDispatcher {
public:
    struct Waiter {
        std::function<bool()> tryAgain; ///< returns true if the request has left the queue
        std::function<void()> refuse; ///< called when the request can no longer be completed in time
    };

    PromptQueueDispatcher();

    /// Returns the expected wait of a newly added request.
    Duration expectedWait() const { return m_queue.expectedWait(MonotonicClock::now()); }
    PromptQueue::Number add(MonotonicTime deadline, Waiter waiter);
    /// Removes a request that an engine had capacity for.
    void dispatch(PromptQueue::Number number);
    void remove(PromptQueue::Number number);
    std::size_t size() const { return m_queue.size(); }
    /// Refuses all queued requests, because the daemon shuts down.
    void refuseAll();

private:
    /// Refuses requests that can no longer be answered in time, then retries others by deadline until too many fail.
    void retryQueued();
    /// Removes the waiter and calls its `refuse` callback, which may remove other waiters.
    void refuse(PromptQueue::Number number);

    PromptQueue m_queue;
    std::map<PromptQueue::Number, Waiter> m_waiters;
    PromptQueue::Number m_lastNumber = 0;
    Timer m_timer;
};

} // namespace hornbeamgate::gateway
