#pragma once

#include "hornbeamgate/gateway/endpoint_loads.hpp"
#include "hornbeamgate/gateway/placement.hpp"
#include "hornbeamgate/runtime/net/http_message.hpp"

#include <chrono>
#include <optional>
#include <string>

namespace hornbeamgate::gateway {

/// What a caller's request says, once decoded.
struct RequestMetadata {
    std::string requestId;
    std::string authority;
    std::string path; ///< without the query
    std::optional<std::string> apiKey;
    std::optional<std::chrono::milliseconds> timeLeft;
    std::optional<ModelId> model;
    std::optional<std::int64_t> tokens; ///< of the prompt and the longest answer together
    std::vector<PromptPart> prompt;
    std::optional<std::uint64_t> lastEventId;
};

/// What an endpoint is told beside the caller's own request.
struct ForwardMetadata {
    EndpointId endpoint; ///< any other endpoint at the address must not run it
    std::optional<WorkspaceId> workspace;
    std::chrono::milliseconds timeLeft {};
    std::optional<int> priority;
    std::string cacheDomain;
    std::optional<std::uint64_t> lastEventId;
    std::optional<SocketAddress> blockSource; ///< where it fetches shared blocks that it lacks
    std::optional<SocketAddress> blockStore; ///< where it saves the blocks that it reads
    std::optional<WeightsVersion> requiredWeights; ///< it must not run the request on others
};

/// What an endpoint's answer says beside its status and body.
struct ResponseMetadata {
    bool isSigned = false; ///< it comes from an endpoint, not from something in between
    bool isNotExecuted = false; ///< the endpoint did not run the request and never will
    std::string requestId;
    EndpointId endpoint; ///< empty if it does not say
    std::optional<LoadReport> load;
    std::optional<WeightsVersion> weights;
};

/// Why a request's head cannot be used.
struct RequestError {
    std::string detail;
};

/// How requests and answers are spelled where the daemon runs.
class WireFormat {
public:
    virtual ~WireFormat() = default;

    virtual Result<RequestMetadata, RequestError> decodeRequest(const HttpRequestHead& head) const = 0;
    /// The caller's head as it goes to an endpoint.
    virtual HttpRequestHead encodeForEndpoint(const HttpRequestHead& head, const ForwardMetadata& metadata) const = 0;
    virtual ResponseMetadata decodeResponse(const HttpResponseHead& head) const = 0;
    /// Fields of an answer of the daemon's own.
    virtual HttpFields encodeRefusal(std::string_view requestId, std::optional<std::chrono::milliseconds> retryAfter) const = 0;
    virtual bool isReadinessCheck(const HttpRequestHead& head) const = 0;
};

} // namespace hornbeamgate::gateway
