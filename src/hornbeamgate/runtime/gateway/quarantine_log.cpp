#include "hornbeamgate/runtime/gateway/quarantine_log.hpp"

#include "hornbeamgate/observability/log.hpp"

namespace hornbeamgate::gateway {

void logQuarantineChanges(const PromptQuarantine::Changes& changes)
{
    for (const auto& change : changes) {
        std::string parts;
        for (const auto part : change.parts) {
            if (!parts.empty())
                parts.push_back(',');
            parts.append(std::to_string(part));
        }
        logEvent(LogEvent::QuarantineChanged, { { "part_hashes", parts }, { "quarantined", change.isQuarantined ? 1 : 0 }, { "engines", change.engines } });
    }
}

} // namespace hornbeamgate::gateway
