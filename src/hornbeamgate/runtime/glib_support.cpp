#include "hornbeamgate/runtime/glib_support.hpp"

#include <glib-unix.h>

#include <algorithm>

namespace hornbeamgate {

namespace {

    using Call = std::function<void()>;

    /// Longest time that a GLib timer takes.
    constexpr std::chrono::milliseconds kLongestWait { G_MAXINT };

    void deleteCall(gpointer data)
    {
        delete static_cast<Call*>(data);
    }

    gboolean runOnce(gpointer data)
    {
        (*static_cast<Call*>(data))();
        return G_SOURCE_REMOVE;
    }

    gboolean runAgain(gpointer data)
    {
        (*static_cast<Call*>(data))();
        return G_SOURCE_CONTINUE;
    }

    gboolean runForSocket(GSocket*, GIOCondition, gpointer data)
    {
        return runAgain(data);
    }

    gboolean runForDescriptor(gint, GIOCondition, gpointer data)
    {
        return runAgain(data);
    }

    constexpr gint64 kNever = -1;

    /// Dispatches a source that stays and waits for its next ready time.
    gboolean dispatchTimer(GSource* source, GSourceFunc call, gpointer data)
    {
        // GLib dispatches each source that was due when the iteration began, even if a callback has cleared or moved its
        // ready time since.
        const auto readyTime = g_source_get_ready_time(source);
        if (readyTime == kNever || readyTime > g_get_monotonic_time())
            return G_SOURCE_CONTINUE;
        g_source_set_ready_time(source, kNever);
        call(data);
        return G_SOURCE_CONTINUE;
    }

    GSourceFuncs timerFunctions { nullptr, nullptr, dispatchTimer, nullptr, nullptr, nullptr };

    /// Gives the source its callback and attaches it to the default context; keeps the reference.
    GSource* attach(GSource* source, GSourceFunc function, Call call)
    {
        g_source_set_callback(source, function, new Call(std::move(call)), deleteCall);
        g_source_attach(source, nullptr);
        return source;
    }

} // namespace

void EventSource::reset()
{
    if (!m_source)
        return;
    g_source_destroy(m_source);
    g_source_unref(m_source);
    m_source = nullptr;
}

Timer::Timer(std::function<void()> expired)
    : m_expired(std::move(expired))
{
}

void Timer::set(MonotonicTime deadline)
{
    // The difference to a deadline at either end of the clock's range would overflow.
    const auto now = MonotonicClock::now();
    const auto due = std::clamp<MonotonicTime>(deadline, now, now + kLongestWait);
    const auto wait = std::chrono::ceil<std::chrono::microseconds>(due - now).count();
    // Streams move their deadline with every piece, so one source serves for the timer's life.
    if (!m_source.active())
        m_source = EventSource(attach(g_source_new(&timerFunctions, sizeof(GSource)), runAgain, m_expired));
    g_source_set_ready_time(m_source.get(), g_get_monotonic_time() + wait);
}

void Timer::clear()
{
    if (m_source.active())
        g_source_set_ready_time(m_source.get(), kNever);
}

void post(std::function<void()> call)
{
    auto* source = g_idle_source_new();
    g_source_set_priority(source, G_PRIORITY_DEFAULT);
    attach(source, runOnce, std::move(call));
    g_source_unref(source);
}

EventSource watchSocket(GSocket* socket, GIOCondition condition, std::function<void()> call)
{
    auto* source = g_socket_create_source(socket, condition, nullptr);
    return EventSource(attach(source, G_SOURCE_FUNC(runForSocket), std::move(call)));
}

EventSource watchReadable(int descriptor, std::function<void()> call)
{
    return EventSource(attach(g_unix_fd_source_new(descriptor, G_IO_IN), G_SOURCE_FUNC(runForDescriptor), std::move(call)));
}

EventSource watchSignal(int signal, std::function<void()> call)
{
    return EventSource(attach(g_unix_signal_source_new(signal), runAgain, std::move(call)));
}

} // namespace hornbeamgate
