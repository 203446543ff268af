#pragma once

#include "hornbeamgate/gateway/block_directory.hpp"
#include "hornbeamgate/gateway/endpoint_loads.hpp"
#include "hornbeamgate/gateway/endpoint_registry.hpp"
#include "hornbeamgate/gateway/fleet_config.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hornbeamgate::gateway {

/// One part of a prompt. Requests that begin with the same parts share cached blocks.
struct PromptPart {
    std::string id;
    std::int64_t tokens = 0;
};

/// What a request needs of an endpoint.
struct PlacementRequest {
    ServiceId service;
    std::vector<PromptPart> prompt; ///< in order; the last part belongs to this request alone
    std::string cacheDomain; ///< requests of different domains share no blocks
    std::optional<ModelId> model;
    WeightsVersion newestWeights; ///< of the model
    WeightsVersion oldestWeights; ///< of the model, that may still be used if most endpoints have it
    std::set<EndpointId> tried; ///< endpoints that the request was sent to
    Duration timeLeft {};
};

/// Where this daemon stands, which decides what reaching an endpoint costs.
struct DaemonLocation {
    DataCenterId dataCenter;
    RegionId region;
    std::map<DataCenterId, RegionId> regions;
};

/// What a daemon believes of the endpoints.
struct EndpointView {
    const EndpointRegistry& registry;
    const EndpointLoads& loads;
    const BlockDirectory& blocks;
};

/// Why no endpoint was chosen.
enum class PlacementRefusal {
    NoEndpoint, ///< the service has no endpoint that is up
    AllBusy, ///< no endpoint would answer in the time left
};

struct Placement {
    std::optional<EndpointId> endpoint;
    std::optional<BlockKey> blocks; ///< set if enough of the prompt is shared to be worth moving
    /// Endpoint that is likely to keep shared blocks which the chosen one lacks.
    std::optional<EndpointId> blockSource;
    std::int64_t prefillTokens = 0; ///< of the prompt, beyond what the endpoint is expected to hold or fetch
    bool hasRoom = true; ///< false if the prompt is long and the endpoint has enough to read already
    PlacementRefusal refusal = PlacementRefusal::NoEndpoint;
    std::chrono::milliseconds expectedWait {}; ///< until the first answer of the best endpoint
};

/// Chooses endpoints by the expected time to the first answer.
///
/// A prompt goes where its shared blocks are, as the block directory says. Where no endpoint holds them, all daemons agree
/// on a home by rendezvous hashing without a message. Load moves a request elsewhere as soon as waiting costs more than
/// fetching the blocks and the memory that a further copy takes. Engines with other weights have blocks of their own.
///
/// Load it answers: long prompts over few prefixes with a hot one, next to many short prompts, with cold engines after
/// each change of weights.
class Placer {
public:
    explicit Placer(DaemonLocation location)
        : m_location(std::move(location))
    {
    }

    Placement choose(const PlacementRequest& request, const EndpointView& view, MonotonicTime now) const;

    /// Region of a data centre; empty for an unknown one.
    RegionId regionOf(const DataCenterId& dataCenter) const;

    /// Learns how long answers of a service take to begin, for estimates of waiting.
    void recordServiceTime(const ServiceId& service, Duration time);

private:
    /// The part of a prompt that other requests may share.
    struct SharedPrefix {
        std::uint64_t prefix = 0; ///< hash of its parts, the same for all weights
        std::int64_t tokens = 0;
        std::int64_t ownTokens = 0; ///< of the request alone
        bool isWorthFetching() const;
    };
    /// Endpoints with equal weights, for one prompt.
    struct Peers {
        const EndpointEntry* home = nullptr;
        std::uint64_t homeScore = 0;
        BlockKey blocks = 0;
        std::vector<BlockDirectory::Holder> holders;
    };
    using PeersByWeights = std::map<WeightsVersion, Peers>;
    /// How an endpoint gets the shared blocks.
    struct BlockPlan {
        const EndpointEntry* source = nullptr;
        bool needsPrefill = true; ///< from the prompt, since no copy is at hand
        Duration time {}; ///< until the endpoint has them
        Duration copyCost {}; ///< of the memory that a further copy takes
    };
    struct Candidate {
        const EndpointEntry* entry = nullptr;
        BlockPlan plan;
        Duration firstAnswerTime {}; ///< until the first answer
        Duration cost {}; ///< what is compared
    };

    static std::vector<const EndpointEntry*> eligible(const PlacementRequest& request, const EndpointRegistry& registry);
    static PeersByWeights groupByWeights(const std::vector<const EndpointEntry*>& entries, const PlacementRequest& request, const SharedPrefix& shared, const EndpointView& view, MonotonicTime now);
    Candidate estimate(const EndpointEntry& entry, const PlacementRequest& request, const SharedPrefix& shared, const PeersByWeights& peers, const EndpointView& view, MonotonicTime now) const;
    BlockPlan planBlocks(const EndpointEntry& entry, const SharedPrefix& shared, const Peers& peers, const EndpointView& view, MonotonicTime now) const;
    Duration fetchTime(const EndpointEntry& from, const EndpointEntry& to, std::int64_t tokens) const;
    static SharedPrefix sharedPrefix(const PlacementRequest& request);
    static WeightsVersion weightsOf(const EndpointEntry& entry, const PlacementRequest& request);
    Duration networkCost(const EndpointEntry& entry) const;
    /// Whether the endpoint should get a further long prompt now.
    static bool hasRoom(const EndpointEntry& entry, const EndpointLoads& loads, MonotonicTime now);
    Duration queueDelay(const EndpointEntry& entry, const EndpointLoads& loads, MonotonicTime now) const;

    DaemonLocation m_location;
    std::map<ServiceId, Duration> m_serviceTimes;
};

} // namespace hornbeamgate::gateway
