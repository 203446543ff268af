#include "hornbeamgate/runtime/gateway/gateway_state.hpp"

#include "hornbeamgate/observability/log.hpp"

namespace hornbeamgate::gateway {

void GatewayState::onRefused(std::string_view reason)
{
    metrics.add(Counter::ConnectionsRefused);
    if (const auto count = refusals[reason].record(MonotonicClock::now()))
        logEvent(LogEvent::ConnectionRefused, { { "reason", reason }, { "count", count }, { "used_bytes", memory.used() } });
}

void GatewayState::onClosedForMemory(std::size_t bytes, Duration stalled)
{
    metrics.add(Counter::ConnectionsClosedForMemory);
    const auto count = closedForMemory.record(MonotonicClock::now());
    if (count == 0)
        return;
    logEvent(LogEvent::ConnectionClosedForMemory,
        { { "count", count }, { "bytes", bytes }, { "stalled_ms", std::chrono::duration_cast<std::chrono::milliseconds>(stalled).count() }, { "used_bytes", memory.used() } });
}

} // namespace hornbeamgate::gateway
