#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/socket_address.hpp"
#include "hornbeamgate/base/time.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamgate::gateway {

/// Share of a route's traffic for one service.
struct ServiceShare {
    ServiceId service;
    std::uint64_t weight = 0;
};

/// Handling of the requests below one path prefix of an authority.
struct RouteRule {
    std::string name;
    std::string authority; ///< value of the Host header field
    std::string pathPrefix;
    std::vector<ServiceShare> services;
    bool isIdempotent = false; ///< may be executed more than once
    bool isStreaming = false;
    bool isResumable = false; ///< a stream may be resumed at another endpoint
    bool allowsAnonymous = false; ///< no API key required
    int priority = 0; ///< 0 is the most urgent
    int maxEndpoints = 1; ///< number of endpoints that one request may be sent to
    std::chrono::milliseconds timeout {};
    std::chrono::milliseconds latencyObjective {};

    bool isRetryable() const { return isIdempotent || (isStreaming && isResumable); }
};

/// Properties of a service that are known before any of its endpoints.
struct ServiceRule {
    ServiceId id;
    std::size_t maxConnections = 0; ///< limit of an endpoint for all daemons together
    std::optional<std::int64_t> cacheTokens; ///< set for model engines
};

/// Store from which engines fetch cached blocks and to which they save them.
struct BlockStore {
    SocketAddress address;
    DataCenterId dataCenter;
};

/// Workspace of a customer, with its API keys and its rate limit across all daemons.
struct WorkspaceRule {
    WorkspaceId id;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< overrides the priority of the route
    bool isIsolated = false; ///< shares no cached blocks with other workspaces
    double unitsPerSecond = 0; ///< 0 means unlimited
    double burst = 0; ///< units
    bool countsTokens = false; ///< units are tokens instead of requests
    std::int64_t defaultUnits = 1; ///< units charged for a request that states no token usage
};

/// Limits on requests and connections of a caller.
struct CallerLimits {
    std::size_t maxHeadBytes = 16384;
    std::size_t maxBodyBytes = 4194304;
    std::chrono::milliseconds headTimeout { 3000 };
    std::chrono::milliseconds idleTimeout { 15000 };
};

/// One version of the complete operator configuration.
struct FleetConfig {
    ConfigVersion version;
    std::vector<RouteRule> routes;
    std::vector<ServiceRule> services;
    std::vector<WorkspaceRule> workspaces;
    /// No request needs an API key, because the configuration does not mention workspaces. An empty list of them lets nobody in
    /// but to routes that allow anonymous requests.
    bool allowsAnonymous = false;
    std::vector<BlockStore> blockStores;
    CallerLimits limits;
};

} // namespace hornbeamgate::gateway
