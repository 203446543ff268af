#pragma once

#include "hornbeamgate/gateway/prompt_quarantine.hpp"

namespace hornbeamgate::gateway {

/// Logs prompt parts that have entered or left the quarantine.
void logQuarantineChanges(const PromptQuarantine::Changes& changes);

} // namespace hornbeamgate::gateway
