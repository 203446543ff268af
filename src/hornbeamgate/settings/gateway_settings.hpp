#pragma once

#include "hornbeamgate/gateway/service_retry_budget.hpp"
#include "hornbeamgate/settings/common_settings.hpp"

#include <map>

namespace hornbeamgate {

/// Settings of the gateway daemon.
struct GatewaySettings {
    CommonSettings common; ///< `link` is where other daemons reach this one; the platform's addresses are unused
    SocketAddress callers;
    SocketAddress readiness;
    SocketAddress store;
    std::map<DataCenterId, RegionId> regions;
    gateway::RetryLimits retries;
    Duration weightsBound {}; ///< from the naming of weights until no request begins on older ones
    Duration leastMembership {}; ///< shortest lifetime of a group membership that the store takes
    Duration leaderLease {}; ///< orders of two daemons to one engine are at least this far apart
};

/// Checks the text of a settings file; gives every fault in it.
Result<GatewaySettings, std::vector<SettingsFault>> parseGatewaySettings(std::string_view text);

/// Paths of all settings that the gateway daemon knows.
std::vector<std::string> gatewaySettingsKeys();

} // namespace hornbeamgate
