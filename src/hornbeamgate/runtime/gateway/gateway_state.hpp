#pragma once

#include "hornbeamgate/event_log/store_era.hpp"
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
#include "hornbeamgate/runtime/net/memory_account.hpp"
#include "hornbeamgate/settings/gateway_settings.hpp"

#include <memory>
#include <optional>
#include <utility>

namespace hornbeamgate::gateway {

/// Contract under which callers compete for capacity.
inline constexpr const char* kOverloadContract = "pressure";

/// Bounds the lines of an event that a crowd of clients can cause at will, so that they leave room for other lines.
class RepeatedEvent {
public:
    /// Returns how many events the line for this one stands for, or 0 if no line is due.
    std::uint64_t record(MonotonicTime now)
    {
        ++m_unlogged;
        if (now < m_nextLine)
            return 0;
        m_nextLine = now + kLineInterval;
        return std::exchange(m_unlogged, 0);
    }

private:
    /// Ten lines a second of the 200 that a process may write.
    static constexpr std::chrono::milliseconds kLineInterval { 100 };

    std::uint64_t m_unlogged = 0;
    MonotonicTime m_nextLine {};
};

/// State shared by the tasks of a gateway daemon. All tasks run on the same main loop.
struct GatewayState {
    GatewayState(const GatewaySettings& configured, const WireFormat& format)
        : settings(configured)
        , wire(format)
        , memory(configured.machine.peerBytes(), { [this](std::string_view reason) { onRefused(reason); }, [this](std::size_t bytes, Duration stalled) { onClosedForMemory(bytes, stalled); } })
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

    void onRefused(std::string_view reason);
    void onClosedForMemory(std::size_t bytes, Duration stalled);

    /// Returns the requests of a service that wait for capacity.
    PromptQueueDispatcher& queueOf(const ServiceId& service) { return waiting.try_emplace(service).first->second; }

    /// Returns what is known of the endpoints, as far as it counts for requests to the service.
    EndpointView viewFor(const ServiceId& service) const
    {
        const bool isOverloadControlled = overload.isOn(service);
        return { registry, loads, advisories, blocks, isOverloadControlled ? &speeds : nullptr, isOverloadControlled ? &paces : nullptr };
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
    MemoryAccount memory; ///< of all that the process holds for callers, other gateways and administrators
    std::shared_ptr<const RouteTable> routes; ///< null until the first configuration is received; shared with requests in progress
    std::optional<StoreEra> storeEra; ///< of the newest records that this daemon has read
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
    std::map<std::string_view, RepeatedEvent> refusals; ///< by reason
    RepeatedEvent closedForMemory;
    bool isDraining = false;
    bool isClosing = false; ///< draining has progressed so far that a new request could not finish
};

} // namespace hornbeamgate::gateway
