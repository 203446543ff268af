#pragma once

#include "hornbeamgate/base/ids.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace hornbeamgate {

/// Rate limit of one resource across the whole fleet. At most `burst + perSecond * T` is consumed in any window of T
/// seconds.
struct RateLimit {
    double perSecond = 0;
    double burst = 0;

    bool operator==(const RateLimit&) const = default;
};

/// Customer with its fair-queueing weight, priority (higher values are served first) and rate limits.
struct WorkspaceRule {
    WorkspaceId id;
    std::uint32_t weight = 1;
    std::uint32_t priority = 0;
    RateLimit requests;
    RateLimit tokens; ///< sum of prompt and generated tokens

    bool operator==(const WorkspaceRule&) const = default;
};

/// API key of a workspace. Only a keyed hash of the secret is stored.
struct KeyRule {
    KeyId id;
    WorkspaceId workspace;
    std::string hash; ///< lower-case hexadecimal

    bool operator==(const KeyRule&) const = default;
};

/// Model that callers may request, and the weights version that its engines must run.
struct ModelRule {
    ModelId id;
    WeightsVersion weights;

    bool operator==(const ModelRule&) const = default;
};

/// Engine on a host. The address of the host is taken from the host list.
struct EngineRule {
    EndpointId id;
    HostId host;
    std::vector<ModelId> models;
    bool checksFencing = false; ///< whether the engine itself rejects orders with an old fencing token

    bool operator==(const EngineRule&) const = default;
};

/// Endpoint of an application service on a host.
struct ServiceEndpointRule {
    EndpointId id;
    ServiceId service;
    HostId host;

    bool operator==(const ServiceEndpointRule&) const = default;
};

/// Application service. Calls to a service that is not idempotent are executed at most once per idempotency key.
struct ServiceRule {
    ServiceId id;
    bool idempotent = false;

    bool operator==(const ServiceRule&) const = default;
};

/// Path prefix under which requests need no API key. They run in the shared workspace `workspace`.
struct OpenRouteRule {
    std::string pathPrefix;
    WorkspaceId workspace;

    bool operator==(const OpenRouteRule&) const = default;
};

/// All rules of a configuration. Rules of the same kind keep the order of the file.
struct RuleSet {
    std::vector<WorkspaceRule> workspaces;
    std::vector<KeyRule> keys;
    std::vector<ModelRule> models;
    std::vector<EngineRule> engines;
    std::vector<ServiceRule> services;
    std::vector<ServiceEndpointRule> serviceEndpoints;
    std::vector<OpenRouteRule> openRoutes;

    bool operator==(const RuleSet&) const = default;
};

} // namespace hornbeamgate
