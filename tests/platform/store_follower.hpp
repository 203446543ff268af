#pragma once

#include "hornbeamgate/runtime/gateway/directory_task.hpp"

#include "platform/store_standin.hpp"
#include "platform_directory.hpp"
#include "platform_wire_format.hpp"

namespace hornbeamgate::gateway::testing {

/// Time within which an acknowledged configuration has to be in force.
constexpr std::chrono::seconds kConfigBound { 3 };
inline const std::string kOperators = "keyed.op";

/// The part of a gateway that follows the store's records.
struct StoreFollower {
    explicit StoreFollower(const SocketAddress& store, std::optional<VersionRolloutLimits> versionRollouts = std::nullopt)
        : settings(makeSettings(versionRollouts))
        , directory(store)
    {
        task.start();
    }

    static GatewaySettings makeSettings(std::optional<VersionRolloutLimits> versionRollouts)
    {
        using std::chrono::seconds;
        GatewaySettings made;
        made.versionRollouts = versionRollouts;
        made.common.host = HostId("front-1");
        made.configBound = kConfigBound;
        made.leavingBound = seconds(3);
        made.rateWindow = seconds(8);
        made.leaderLease = seconds(3);
        made.weightsBound = seconds(10);
        return made;
    }
    bool hasConfig(int version) const { return state.routes && state.routes->config().version == ConfigVersion(static_cast<std::uint64_t>(version)); }

    GatewaySettings settings;
    platform::PlatformWireFormat wire;
    GatewayState state { settings, wire };
    platform::PlatformDirectory directory;
    DirectoryTask task { state, directory, { HostId("front-1"), Incarnation(5), {} } };
};

inline std::string config(int version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})";
}

} // namespace hornbeamgate::gateway::testing
