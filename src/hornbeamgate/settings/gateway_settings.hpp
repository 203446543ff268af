#pragma once

#include "hornbeamgate/gateway/service_retry_budget.hpp"
#include "hornbeamgate/gateway/version_rollout.hpp"
#include "hornbeamgate/settings/common_settings.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace hornbeamgate {

/// Settings of the gateway daemon.
struct GatewaySettings {
    CommonSettings common; ///< `link` is the listening address for other daemons; the platform addresses are unused
    SocketAddress callers;
    SocketAddress readiness;
    SocketAddress store;
    std::map<DataCenterId, RegionId> regions;
    gateway::RetryLimits retries;
    Duration configBound {}; ///< maximum time from the acknowledgement of a configuration until it is in force
    Duration leavingBound {}; ///< maximum time from the report that an endpoint leaves until it gets no more requests
    Duration rateWindow {}; ///< window in which the rates of the workspaces hold over all daemons
    Duration weightsBound {}; ///< maximum time from a change of a model's weights until no new request starts on older ones
    std::optional<gateway::VersionRolloutLimits> versionRollouts; ///< versions of services are ignored without it
    Duration minMembershipLifetime {}; ///< shortest lifetime of a group membership that the store accepts
    std::set<std::string> contracts; ///< contracts in force; a contract may enable a feature
    Duration leaderLease {}; ///< minimum time between orders from two different daemons to the same engine
};

/// Parses and validates the text of a settings file. On failure, returns all faults.
Result<GatewaySettings, std::vector<SettingsFault>> parseGatewaySettings(std::string_view text);

/// Paths of all supported settings.
std::vector<std::string> gatewaySettingsKeys();

} // namespace hornbeamgate
