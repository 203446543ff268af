#pragma once

#include "hornbeamgate/gateway/prompt_queue.hpp"
#include "hornbeamgate/runtime/glib_support.hpp"

#include <functional>
#include <map>
#include <utility>

namespace hornbeamgate::gateway {

/// Periodically retries queued requests until each is sent, refused or removed.
class PromptQueueDispatcher {
public:
    /// What a request waits for.
    enum class Reason {
        Room, ///< an engine that has little left to prefill
        Admission, ///< an endpoint that has named a limit
    };

    struct Waiter {
        Reason reason;
        std::function<bool()> tryAgain; ///< returns true if the request has left the queue
        std::function<void()> refuse; ///< called when the request can no longer be completed in time
    };

    /// Place of a waiter in the queue. Destroying it removes the waiter, so that no callback outlives its request.
    class Ticket {
    public:
        Ticket() = default;
        ~Ticket() { release(); }
        Ticket(Ticket&& other) noexcept
            : m_dispatcher(std::exchange(other.m_dispatcher, nullptr))
            , m_number(other.m_number)
        {
        }
        Ticket& operator=(Ticket&& other) noexcept
        {
            std::swap(m_dispatcher, other.m_dispatcher);
            std::swap(m_number, other.m_number);
            other.release();
            return *this;
        }
        Ticket(const Ticket&) = delete;
        Ticket& operator=(const Ticket&) = delete;

        /// Leaves the queue because an engine had capacity. No effect on a waiter that has left the queue.
        void dispatch();
        /// Leaves the queue for any other reason.
        void release();
        bool isHeld() const { return m_dispatcher != nullptr; }

    private:
        friend PromptQueueDispatcher;
        Ticket(PromptQueueDispatcher& dispatcher, PromptQueue::Number number)
            : m_dispatcher(&dispatcher)
            , m_number(number)
        {
        }

        PromptQueueDispatcher* m_dispatcher = nullptr; ///< null if the ticket holds no place
        PromptQueue::Number m_number = 0;
    };

    PromptQueueDispatcher();

    /// Returns the expected wait of a newly added request.
    Duration expectedWait() const { return m_queue.expectedWait(MonotonicClock::now()); }
    [[nodiscard]] Ticket add(MonotonicTime deadline, Waiter waiter);
    std::size_t size() const { return m_queue.size(); }
    /// Returns whether a request waits for `reason`.
    bool hasWaiters(Reason reason) const;
    /// Refuses all queued requests, because the daemon shuts down.
    void refuseAll();

private:
    void dispatch(PromptQueue::Number number);
    void remove(PromptQueue::Number number);
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
