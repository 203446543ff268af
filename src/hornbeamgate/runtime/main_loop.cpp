#include "hornbeamgate/runtime/main_loop.hpp"

#include <csignal>
#include <random>

namespace hornbeamgate {

namespace {

    constexpr std::chrono::milliseconds kIdleCheckInterval { 20 };

} // namespace

Incarnation newIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return Incarnation(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count()));
}

std::uint64_t newUniqueNumber()
{
    constexpr int kHalf = 32;
    std::random_device device;
    return std::uint64_t { device() } << kHalf | device();
}

MainLoop::MainLoop()
    : m_loop(g_main_loop_new(nullptr, FALSE))
    , m_check([this] { check(); })
{
}

MainLoop::~MainLoop()
{
    g_main_loop_unref(m_loop);
}

void MainLoop::run(std::function<void()> terminate)
{
    const auto onTerminate = watchSignal(SIGTERM, terminate);
    const auto onInterrupt = watchSignal(SIGINT, std::move(terminate));
    g_main_loop_run(m_loop);
}

void MainLoop::quit()
{
    g_main_loop_quit(m_loop);
}

void MainLoop::quitWhen(std::function<bool()> idle, MonotonicTime deadline)
{
    m_idle = std::move(idle);
    m_deadline = deadline;
    m_check.set(MonotonicClock::now() + kIdleCheckInterval);
}

void MainLoop::check()
{
    if (m_idle() || MonotonicClock::now() >= m_deadline) {
        quit();
        return;
    }
    m_check.set(MonotonicClock::now() + kIdleCheckInterval);
}

} // namespace hornbeamgate
