#pragma once

#include "hornbeamgate/base/result.hpp"
#include "hornbeamgate/routing/prefix_blocks.hpp"
#include "hornbeamgate/routing/routing_policy.hpp"

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace hornbeamgate {

/// Model served by an endpoint, with its weights version.
struct ServedModel {
    ModelId model;
    WeightsVersion weights;

    bool operator==(const ServedModel&) const = default;
};

/// The endpoint accepts requests. A new incarnation or another weights version invalidates what is known of its cache.
struct EndpointUp {
    EndpointId endpoint;
    Incarnation incarnation;
    DataCenterId dataCenter;
    std::vector<ServedModel> models;
    /// Time at which this incarnation became ready; its share of prefixes increases over `RoutingPolicy::warmUp` from then on.
    MonotonicTime readySince;
};

/// The endpoint is down. Ignored if the incarnation is older than the known one.
struct EndpointDown {
    EndpointId endpoint;
    Incarnation incarnation;
};

/// The endpoint is draining: it finishes running requests and accepts no new ones.
struct EndpointLeaving {
    EndpointId endpoint;
    Incarnation incarnation;
};

/// Load of an endpoint at `asOf`, converted to this process's clock. Reports may be delayed and reordered.
struct LoadReported {
    EndpointId endpoint;
    Incarnation incarnation;
    std::uint32_t running = 0;
    Duration queuedWork {}; ///< prefill time of the requests queued at the agent
    MonotonicTime asOf;
};

/// Prefix that is requested often at an endpoint, identified by its last block.
struct HotPrefix {
    BlockHash block;
    double requestsPerSecond = 0; ///< at that endpoint
};

/// Changes of the hottest prefixes in an endpoint's cache; see `DigestWriter`.
struct PrefixDigest {
    EndpointId endpoint;
    Incarnation incarnation;
    std::vector<HotPrefix> prefixes; ///< cached at the endpoint
    std::vector<BlockHash> evicted; ///< announced before and no longer cached
};

/// The KV store holds these blocks, each with all blocks before it.
struct KvBlocksStored {
    std::vector<BlockHash> blocks;
};

/// The first piece of the response arrived. `hitBlocks` is the number of blocks that the agent found cached.
struct FirstPieceSeen {
    RequestId request;
    std::uint32_t hitBlocks = 0;
};

/// The request ended, with any outcome. Unknown requests are ignored.
struct RequestFinished {
    RequestId request;
};

/// Events that update the router's state; none requires a placement.
using RouterEvent = std::variant<EndpointUp, EndpointDown, EndpointLeaving, LoadReported, PrefixDigest, KvBlocksStored,
    FirstPieceSeen, RequestFinished>;

/// Request to place.
struct RequestArrived {
    RequestId request;
    ModelId model;
    WeightsVersion weights; ///< only endpoints that run exactly this version are chosen
    std::vector<BlockHash> blocks; ///< from `chainBlocks` with the same model and weights
    std::size_t promptBytes = 0;
    std::uint32_t priority = 0;
    MonotonicTime firstTokenDeadline;
};

/// The endpoint could not be reached, and the request is known not to have run.
struct PlacementFailed {
    RequestId request;
};

/// The agent refused the request without running it and reported its load and cache hits.
struct PlacementRefused {
    RequestId request;
    Duration queuedWork {};
    std::uint32_t hitBlocks = 0;
};

/// Endpoint chosen for a request, with the conditions for its admission.
struct Placement {
    RequestId request;
    EndpointId endpoint;
    Incarnation incarnation; ///< the agent refuses the request if its engine has another incarnation
    WeightsVersion weights; ///< the agent refuses the request if its engine serves another version
    std::uint32_t expectedHitBlocks = 0;
    std::uint32_t importBlocks = 0; ///< blocks after the expected hits to import from the KV store instead of computing them
    MonotonicTime estimatedFirstToken;
    /// The agent refuses the request if it expects the first token later than this.
    MonotonicTime acceptBefore;
    /// The endpoint is behind a metered link: send the prompt separately, after the agent has admitted the request.
    bool promptAfterAdmission = false;
    std::vector<EndpointId> alternatives; ///< next best first
};

enum class RoutingRefusalReason {
    NoEndpoint, ///< no live endpoint serves the model in this version
    DeadlineUnreachable, ///< the first token would come after the deadline
    AttemptsExhausted, ///< all attempts failed or were refused
    UnknownRequest, ///< the request was never placed, has ended or has produced its first piece
    DuplicateRequest, ///< the request is already placed
};

/// Refusal of a request that has not run.
struct RoutingRefusal {
    RoutingRefusalReason reason = RoutingRefusalReason::NoEndpoint;
    std::optional<MonotonicTime> estimatedFirstToken;
};

/// Describes an invalid router option.
struct RouterOptionsError {
    std::string detail;
};

using PlacementResult = Result<Placement, RoutingRefusal>;

/// Chooses an endpoint for each request of one entry daemon. It has no complete block index: the home of a prefix is determined
/// by rendezvous hashing and refined by responses, digests and load reports.
class Router {
public:
    static Result<Router, RouterOptionsError> create(RouterOptions options, std::mt19937_64 generator);
    Router(Router&&) noexcept;
    Router& operator=(Router&&) noexcept;
    ~Router();

    /// Updates the routing state with an event from an endpoint or a response.
    void handle(const RouterEvent& event, MonotonicTime now);

    /// Places a new request, which counts as in flight until `RequestFinished` or a refusal.
    PlacementResult place(const RequestArrived& request, MonotonicTime now);

    /// Places the request again after a failed attempt or a refusal by the agent. Endpoints that failed are not tried again. If no
    /// placement is found, the request has ended.
    PlacementResult replace(const PlacementFailed& failed, MonotonicTime now);
    PlacementResult replace(const PlacementRefused& refused, MonotonicTime now);

    std::size_t inFlight() const;
    std::size_t inFlight(const EndpointId& endpoint) const;

    /// Returns the estimated size of all tables and requests in flight.
    std::size_t stateBytes() const;

    /// Returns the endpoints with their load and in-flight counts, the state size and the counters for diagnostics.
    nlohmann::json dump(MonotonicTime now) const;

private:
    struct State;
    explicit Router(std::unique_ptr<State> state);

    std::unique_ptr<State> m_state;
};

} // namespace hornbeamgate
