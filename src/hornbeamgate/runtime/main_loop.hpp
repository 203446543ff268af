#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/time.hpp"
#include "hornbeamgate/runtime/glib_support.hpp"

#include <cstdint>
#include <functional>

namespace hornbeamgate {

/// Number for this process start; later starts on the same host have larger numbers.
Incarnation newIncarnation();

/// Random number that no other process start has.
std::uint64_t newUniqueNumber();

/// GLib main loop of a daemon, with termination signals and an orderly end.
class MainLoop {
public:
    MainLoop();
    ~MainLoop();
    MainLoop(const MainLoop&) = delete;
    MainLoop& operator=(const MainLoop&) = delete;

    /// Runs until `quit`; `terminate` is called on SIGTERM and SIGINT.
    void run(std::function<void()> terminate);
    void quit();
    /// Ends the loop once `idle` is true, or at `deadline` in any case.
    void quitWhen(std::function<bool()> idle, MonotonicTime deadline);

private:
    void check();

    GMainLoop* m_loop;
    std::function<bool()> m_idle;
    MonotonicTime m_deadline;
    Timer m_check;
};

} // namespace hornbeamgate
