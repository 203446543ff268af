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

/// Part of a route's traffic that one service gets.
struct ServiceShare {
    ServiceId service;
    std::uint64_t weight = 0;
};

/// How requests below one path of one authority are handled.
struct RouteRule {
    std::string name;
    std::string authority; ///< value of the Host field
    std::string pathPrefix;
    std::vector<ServiceShare> services;
    bool isIdempotent = false; ///< may run more than once
    bool isStreaming = false;
    bool isResumable = false; ///< a stream may go on at another endpoint
    bool allowsAnonymous = false; ///< needs no key
    int priority = 0; ///< 0 is the most urgent
    int maxEndpoints = 1; ///< endpoints that one request may be sent to
    std::chrono::milliseconds timeout {};
    std::chrono::milliseconds latencyObjective {};

    bool isRetryable() const { return isIdempotent || (isStreaming && isResumable); }
};

/// What is known of a service before any of its endpoints is.
struct ServiceRule {
    ServiceId id;
    std::size_t maxConnections = 0; ///< an endpoint accepts this many from all daemons together
    std::optional<std::int64_t> cacheTokens; ///< set for model engines
};

/// Store of cached blocks from which engines fetch, and to which they save.
struct BlockStore {
    SocketAddress address;
    DataCenterId dataCenter;
};

/// Customer with its keys and its limit over all daemons.
struct WorkspaceRule {
    WorkspaceId id;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< goes before the route's
    bool isIsolated = false; ///< shares no cached blocks with other workspaces
    double unitsPerSecond = 0; ///< 0 is no limit
    double burst = 0; ///< units
    bool countsTokens = false; ///< a unit is a token, else a request
    std::int64_t defaultUnits = 1; ///< units of a request that states no token usage
};

/// Bounds on what a caller may send.
struct CallerLimits {
    std::size_t maxHeadBytes = 16384;
    std::size_t maxBodyBytes = 4194304;
    std::chrono::milliseconds headTimeout { 3000 };
    std::chrono::milliseconds idleTimeout { 15000 };
};

/// One version of everything that operators decide.
struct FleetConfig {
    ConfigVersion version;
    std::vector<RouteRule> routes;
    std::vector<ServiceRule> services;
    std::vector<WorkspaceRule> workspaces;
    std::vector<BlockStore> blockStores;
    CallerLimits limits;
};

} // namespace hornbeamgate::gateway
