#pragma once

#include "hornbeamgate/gateway/endpoint_pace.hpp"

#include <vector>

namespace hornbeamgate::gateway {

/// Logs starts and ends of slow starts.
void logPaceChanges(const std::vector<PaceChange>& changes);

} // namespace hornbeamgate::gateway
