#pragma once

#include "hornbeamgate/gateway/endpoint_loads.hpp"
#include "hornbeamgate/gateway/endpoint_roster.hpp"
#include "hornbeamgate/gateway/peer_table.hpp"
#include "hornbeamgate/gateway/placement.hpp"
#include "hornbeamgate/gateway/rate_keeper.hpp"
#include "hornbeamgate/gateway/retry_allowance.hpp"
#include "hornbeamgate/gateway/route_table.hpp"
#include "hornbeamgate/gateway/weights_duty.hpp"
#include "hornbeamgate/observability/metrics.hpp"
#include "hornbeamgate/runtime/gateway/prompt_queue_dispatcher.hpp"
#include "hornbeamgate/runtime/gateway/wire_format.hpp"
#include "hornbeamgate/runtime/net/http_connection_pool.hpp"
#include "hornbeamgate/settings/gateway_settings.hpp"

#include <memory>

namespace hornbeamgate::gateway {

/// State shared by the tasks of a gateway daemon. All tasks run on the same main loop.
struct GatewayState {
    GatewayState(const GatewaySettings& configured, const WireFormat& format)
        : settings(configured)
        , wire(format)
        , placer(PlaceOfDaemon { configured.common.dataCenter, configured.common.region, configured.regions })
        , duty(configured.dutyLease, configured.weightsBound)
    {
    }

    /// Returns the retry allowance of a service.
    RetryAllowance& retryAllowance(const ServiceId& service)
    {
        return retryAllowances.try_emplace(service, settings.retries).first->second;
    }

    const GatewaySettings& settings;
    const WireFormat& wire;
    std::shared_ptr<const RouteTable> routes; ///< null until the first configuration is received; shared with requests in progress
    EndpointRoster roster;
    EndpointLoads loads;
    BlockDirectory blocks;
    Placer placer;
    PromptQueueDispatcher waiting;
    RateKeeper rates;
    PeerTable peers;
    WeightsDuty duty;
    std::map<ServiceId, RetryAllowance> retryAllowances;
    HttpConnectionPool endpointConnections;
    Metrics metrics;
    std::uint64_t sendCount = 0; ///< number of sends so far; identifies each send
    bool isDraining = false;
    bool isClosing = false; ///< draining has progressed so far that a new request could not finish
};

} // namespace hornbeamgate::gateway
