#include "hornbeamgate/runtime/gateway/suspension.hpp"

#include <ctime>

namespace hornbeamgate::gateway {

namespace {

    Duration readClock(clockid_t clock)
    {
        timespec time {};
        clock_gettime(clock, &time);
        return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    }

} // namespace

Duration suspendedTime()
{
    return readClock(CLOCK_BOOTTIME) - readClock(CLOCK_MONOTONIC);
}

} // namespace hornbeamgate::gateway
