#pragma once

#include "hornbeamgate/gateway/version_rollout.hpp"

#include <nlohmann/json_fwd.hpp>

namespace hornbeamgate::gateway {

/// Encodes what a daemon reports about version rollouts. Route names are encoded once for each service, since reports are sent
/// to every peer several times a second.
nlohmann::json encodeRolloutReport(const RolloutReport& report);
/// Throws json::exception.
RolloutReport decodeRolloutReport(const nlohmann::json& value);

} // namespace hornbeamgate::gateway
