#pragma once

#include "hornbeamgate/gateway/service_retry_budget.hpp"
#include "hornbeamgate/gateway/version_rollout.hpp"
#include "hornbeamgate/settings/common_settings.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace hornbeamgate {

/// What the machine has for the process, and what of it callers may take.
///
/// Designed for crowds of clients that each stay inside the limits of one request; see docs/operators/limits.md.
struct MachineLimits {
    static constexpr std::size_t kDefaultMemoryMegabytes = 256;
    /// Above the descriptors of an ordinary host, so that the limit of the process decides.
    static constexpr std::size_t kDefaultFileDescriptors = 65536;
    /// With fewer, less than 25 would be left for callers.
    static constexpr std::size_t kMinFileDescriptors = 300;
    /// Descriptors kept for files, and for the admin and readiness addresses.
    static constexpr std::size_t kFileDescriptorsKept = 200;

    /// Connections of callers that leave the kept descriptors and a quarter for engines, other gateways and the store.
    static constexpr std::size_t callerShare(std::size_t descriptors) { return descriptors - kFileDescriptorsKept - descriptors / 4; }

    std::size_t memoryMegabytes = kDefaultMemoryMegabytes; ///< of the machine; half of it is for peers
    std::size_t fileDescriptors = kDefaultFileDescriptors;
    std::size_t maxCallerConnections = callerShare(kDefaultFileDescriptors);

    std::size_t peerBytes() const { return memoryMegabytes * 1024 * 1024 / 2; }
};

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
    MachineLimits machine;
    Duration leaderLease {}; ///< minimum time between orders from two different daemons to the same engine
};

/// Parses and validates the text of a settings file. On failure, returns all faults.
Result<GatewaySettings, std::vector<SettingsFault>> parseGatewaySettings(std::string_view text);

/// Paths of all supported settings.
std::vector<std::string> gatewaySettingsKeys();

} // namespace hornbeamgate
