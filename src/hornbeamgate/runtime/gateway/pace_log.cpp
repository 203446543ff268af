#include "hornbeamgate/runtime/gateway/pace_log.hpp"

#include "hornbeamgate/observability/log.hpp"

namespace hornbeamgate::gateway {

void logPaceChanges(const std::vector<PaceChange>& changes)
{
    for (const auto& change : changes) {
        logEvent(LogEvent::EndpointPaceChanged,
            { { "endpoint", change.endpoint.value() }, { "state", change.isStart ? "start" : "end" }, { "cause", paceCauseName(change.cause) }, { "slots", change.slots },
                { "good", change.credit }, { "good_needed", change.creditNeeded }, { "slowdown", change.slowdown }, { "ms", std::chrono::duration_cast<std::chrono::milliseconds>(change.elapsed).count() } });
    }
}

} // namespace hornbeamgate::gateway
