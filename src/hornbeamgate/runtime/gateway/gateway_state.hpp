#pragma once

#include "hornbeamgate/gateway/endpoint_advisories.hpp"
#include "hornbeamgate/gateway/endpoint_loads.hpp"
#include "hornbeamgate/gateway/endpoint_pace.hpp"
#include "hornbeamgate/gateway/endpoint_registry.hpp"
#include "hornbeamgate/gateway/overload_control.hpp"
#include "hornbeamgate/gateway/peer_table.hpp"
#include "hornbeamgate/gateway/placement.hpp"
#include "hornbeamgate/gateway/prompt_quarantine.hpp"
#include "hornbeamgate/gateway/route_table.hpp"
#include "hornbeamgate/gateway/service_retry_budget.hpp"
#include "hornbeamgate/gateway/version_rollout.hpp"
#include "hornbeamgate/gateway/weights_rollout.hpp"
#include "hornbeamgate/gateway/workspace_rate_limiter.hpp"
#include "hornbeamgate/observability/metrics.hpp"
#include "hornbeamgate/runtime/gateway/prompt_queue_dispatcher.hpp"
#include "hornbeamgate/runtime/gateway/wire_format.hpp"
#include "hornbeamgate/runtime/net/http_connection_pool.hpp"
#include "hornbeamgate/settings/gateway_settings.hpp"

#include <memory>
#include <optional>

namespace hornbeamgate::gateway {

/// Contract under which callers compete for capacity.
inline constexpr const char* kOverloadContract = "pressure";

/// State shared by the tasks of a gateway daemon. All tasks run on the same main loop.
struct GatewayState {
    GatewayState(const GatewaySettings& configured, const WireFormat& format)
        : settings(configured)
        , wire(format)
        , overload(configured.contracts.contains(kOverloadContract))
        , advisories(configured.common.host)
        , paces(configured.common.host)
        , placer(DaemonLocation { configured.common.dataCenter, configured.common.region, configured.regions })
        , weightsRollout(configured.common.host, configured.leaderLease, configured.weightsBound)
    {
        if (configured.versionRollouts)
            versionRollouts.emplace(*configured.versionRollouts, configured.common.host);
    }

    /// Returns the retry allowance of a service.
    ServiceRetryBudget& retryBudget(const ServiceId& service)
    {
        return retryBudgets.try_emplace(service, settings.retries).first->second;
    }

    /// Returns the requests of a service that wait for capacity.
    PromptQueueDispatcher& queueOf(const ServiceId& service) { return waiting.try_emplace(service).first->second; }

    /// Returns what is known of the endpoints, as far as it counts for requests to the service.
    EndpointView viewFor(const ServiceId& service) const
    {
        return { registry, loads, advisories, blocks, overload.isOn(service) ? &speeds : nullptr, overload.isOn(service) ? &paces : nullptr };
    }

    /// Starts the slow start of an endpoint where overload control is on for its service.
    void startPace(const EndpointInstance& endpoint, int slots, PaceCause cause, MonotonicTime now)
    {
        if (overload.isOn(endpoint.service))
            paces.appeared(endpoint, slots, cause, now);
    }

    /// Records the weights that an endpoint states. If they are newer than those known, it has just loaded them.
    void recordWeights(const EndpointId& id, const ModelId& model, WeightsVersion version, MonotonicTime now)
    {
        if (const auto* entry = registry.find(id)) {
            const auto known = entry->weights.find(model);
            if (known != entry->weights.end() && known->second < version)
                startPace(instanceOf(*entry), entry->slots, PaceCause::WeightsLoaded, now);
        }
        registry.recordWeights(id, model, version);
    }

    /// Returns the time since the configuration was last confirmed to be the newest, or -1 ms if it never was.
    std::chrono::milliseconds configAge(MonotonicTime now) const
    {
        return configConfirmedAt ? std::chrono::duration_cast<std::chrono::milliseconds>(now - *configConfirmedAt) : std::chrono::milliseconds(-1);
    }

    const GatewaySettings& settings;
    const WireFormat& wire;
    std::shared_ptr<const RouteTable> routes; ///< null until the first configuration is received; shared with requests in progress
    std::optional<MonotonicTime> configConfirmedAt; ///< last time the store reported all operators' records
    EndpointRegistry registry;
    OverloadControl overload;
    EndpointLoads loads;
    EngineSpeeds speeds;
    EndpointAdvisories advisories;
    EndpointPaces paces; ///< of endpoints of services under overload control
    BlockDirectory blocks;
    Placer placer;
    std::map<ServiceId, PromptQueueDispatcher> waiting; ///< requests of each service that wait for capacity
    PromptQuarantine quarantine;
    WorkspaceRateLimiter rates;
    PeerTable peers;
    WeightsRollout weightsRollout;
    std::optional<VersionRollouts> versionRollouts; ///< none if version rollouts are off
    std::map<ServiceId, ServiceRetryBudget> retryBudgets;
    HttpConnectionPool endpointConnections;
    Metrics metrics;
    std::uint64_t sendCount = 0; ///< number of sends so far; identifies each send
    bool isDraining = false;
    bool isClosing = false; ///< draining has progressed so far that a new request could not finish
};

} // namespace hornbeamgate::gateway
