#pragma once

#include "hornbeamgate/gateway/endpoint_loads.hpp"
#include "hornbeamgate/gateway/endpoint_registry.hpp"
#include "hornbeamgate/gateway/peer_table.hpp"
#include "hornbeamgate/gateway/placement.hpp"
#include "hornbeamgate/gateway/route_table.hpp"
#include "hornbeamgate/gateway/service_retry_budget.hpp"
#include "hornbeamgate/gateway/weights_rollout.hpp"
#include "hornbeamgate/gateway/workspace_rate_limiter.hpp"
#include "hornbeamgate/observability/metrics.hpp"
#include "hornbeamgate/runtime/gateway/waiting_prompts.hpp"
#include "hornbeamgate/runtime/gateway/wire_format.hpp"
#include "hornbeamgate/runtime/net/http_connection_pool.hpp"
#include "hornbeamgate/settings/gateway_settings.hpp"

#include <memory>

namespace hornbeamgate::gateway {

/// What the tasks of a gateway daemon share. They all run on one main loop.
struct GatewayState {
    GatewayState(const GatewaySettings& configured, const WireFormat& format)
        : settings(configured)
        , wire(format)
        , placer(DaemonLocation { configured.common.dataCenter, configured.common.region, configured.regions })
        , weightsRollout(configured.dutyLease, configured.weightsBound)
    {
    }

    /// Repeats of sends to one service.
    ServiceRetryBudget& retryBudget(const ServiceId& service)
    {
        return retryBudgets.try_emplace(service, settings.retries).first->second;
    }

    const GatewaySettings& settings;
    const WireFormat& wire;
    std::shared_ptr<const RouteTable> routes; ///< null until a configuration is known; shared with requests in progress
    EndpointRegistry registry;
    EndpointLoads loads;
    BlockDirectory blocks;
    Placer placer;
    WaitingPrompts waiting;
    WorkspaceRateLimiter rates;
    PeerTable peers;
    WeightsRollout weightsRollout;
    std::map<ServiceId, ServiceRetryBudget> retryBudgets;
    HttpConnectionPool endpointConnections;
    Metrics metrics;
    std::uint64_t sends = 0; ///< numbers the sends to endpoints
    bool isDraining = false;
    bool isClosing = false; ///< draining for so long that no new request can be finished
};

} // namespace hornbeamgate::gateway
