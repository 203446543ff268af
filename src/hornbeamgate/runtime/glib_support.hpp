#pragma once

#include "hornbeamgate/base/time.hpp"

#include <gio/gio.h>

#include <functional>
#include <memory>
#include <utility>

namespace hornbeamgate {

/// Deleter for GObject references.
struct GObjectUnref {
    void operator()(void* object) const { g_object_unref(object); }
};

/// Owned reference to a GObject.
template <typename T>
using GObjectPtr = std::unique_ptr<T, GObjectUnref>;

struct GErrorFree {
    void operator()(GError* error) const { g_error_free(error); }
};
using GErrorPtr = std::unique_ptr<GError, GErrorFree>;

struct GBytesUnref {
    void operator()(GBytes* bytes) const { g_bytes_unref(bytes); }
};
using GBytesPtr = std::unique_ptr<GBytes, GBytesUnref>;

/// Tells callbacks of asynchronous calls whether the object that began them still exists.
class Liveness {
public:
    using Watch = std::weak_ptr<const bool>;

    Watch watch() const { return m_token; }

private:
    std::shared_ptr<const bool> m_token = std::make_shared<const bool>(true);
};

/// Source attached to the default main context; destroyed with this object.
class EventSource {
public:
    EventSource() = default;
    explicit EventSource(GSource* source)
        : m_source(source)
    {
    }
    ~EventSource() { reset(); }
    EventSource(EventSource&& other) noexcept
        : m_source(std::exchange(other.m_source, nullptr))
    {
    }
    EventSource& operator=(EventSource&& other) noexcept
    {
        reset();
        m_source = std::exchange(other.m_source, nullptr);
        return *this;
    }
    EventSource(const EventSource&) = delete;
    EventSource& operator=(const EventSource&) = delete;

    bool active() const { return m_source && !g_source_is_destroyed(m_source); }
    GSource* get() const { return m_source; }
    void reset();

private:
    GSource* m_source = nullptr;
};

/// Calls back once when its deadline has passed; setting a new deadline replaces the old one. A timer that was cleared or
/// set to a later deadline does not call back for the old one, even if that has passed already.
class Timer {
public:
    explicit Timer(std::function<void()> expired);

    void set(MonotonicTime deadline);
    void clear();

private:
    std::function<void()> m_expired;
    EventSource m_source;
};

/// Runs `call` once from the main loop, after the callbacks that are running now have returned.
void post(std::function<void()> call);

/// Calls `call` whenever the socket meets `condition`, until the returned source is destroyed.
EventSource watchSocket(GSocket* socket, GIOCondition condition, std::function<void()> call);

/// Calls `call` whenever `descriptor` can be read, until the returned source is destroyed.
EventSource watchReadable(int descriptor, std::function<void()> call);

/// Calls `call` when the process receives `signal`.
EventSource watchSignal(int signal, std::function<void()> call);

} // namespace hornbeamgate
