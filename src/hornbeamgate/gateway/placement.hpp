#pragma once

#include "hornbeamgate/gateway/block_directory.hpp"
#include "hornbeamgate/gateway/endpoint_advisories.hpp"
#include "hornbeamgate/gateway/endpoint_loads.hpp"
#include "hornbeamgate/gateway/endpoint_pace.hpp"
#include "hornbeamgate/gateway/endpoint_registry.hpp"
#include "hornbeamgate/gateway/engine_speeds.hpp"
#include "hornbeamgate/gateway/fleet_config.hpp"
#include "hornbeamgate/gateway/version_rollout.hpp"

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

/// Requirements of a request on its endpoint.
struct PlacementRequest {
    ServiceId service;
    std::vector<PromptPart> prompt; ///< in order; the last part is specific to this request
    std::string cacheDomain; ///< requests in different domains never share blocks
    std::optional<ModelId> model;
    WeightsVersion newestWeights; ///< of the model
    WeightsVersion oldestWeights; ///< oldest version of the model that may be used, unless other endpoints answer much sooner
    WeightsVersion oldestSendable; ///< endpoints with older weights are not used at all
    std::set<EndpointId> tried; ///< endpoints to which the request was already sent
    Duration timeLeft {};
    /// Time left until the latency objective; set where requests compete for capacity, so that engines are compared by what
    /// they can still answer in time.
    std::optional<Duration> objectiveLeft {};
    std::size_t daemons = 1; ///< that may be running, including this one; they share scarce capacity equally
    std::uint64_t sampleSeed = 0; ///< selects the engines that are compared for a short prompt; differs between requests
    std::optional<VersionChoice> versions; ///< versions that the request may run on; any if not set
};

/// Location of this daemon, which determines the network cost of reaching an endpoint.
struct DaemonLocation {
    DataCenterId dataCenter;
    RegionId region;
    std::map<DataCenterId, RegionId> regions;
};

/// A daemon's current knowledge of the endpoints.
struct EndpointView {
    const EndpointRegistry& registry;
    const EndpointLoads& loads;
    const EndpointAdvisories& advisories;
    const BlockDirectory& blocks;
    const EngineSpeeds* speeds = nullptr; ///< null: all engines are assumed to have the same speed
    const EndpointPaces* paces = nullptr; ///< null if endpoints of the service have no slow start
};

/// Why no endpoint was chosen.
enum class PlacementRefusal {
    NoEndpoint, ///< the service has no available endpoint
    AllBusy, ///< no endpoint is expected to answer in the remaining time
    AtLimit, ///< the endpoints that could answer in time get no more requests now, because of the limits or pauses they asked for
};

struct Placement {
    std::optional<EndpointId> endpoint;
    std::optional<BlockKey> blocks; ///< set if the shared prefix is long enough to be worth fetching
    /// Endpoint that probably holds shared blocks which the chosen endpoint lacks.
    std::optional<EndpointId> blockSource;
    std::int64_t prefillTokens = 0; ///< prompt tokens that the endpoint is expected neither to hold nor to fetch
    bool hasRoom = true; ///< false for a long prompt if the endpoint's prefill backlog is full
    PlacementRefusal refusal = PlacementRefusal::NoEndpoint;
    std::chrono::milliseconds expectedWait {}; ///< until the first response of the best endpoint, or until one admits a request
    bool isHeldBack = false; ///< a better endpoint is in slow start and gets no more requests now
    double admissionRate = 0; ///< requests per second that the endpoints which admit none now take from this daemon
};

/// Chooses endpoints by the expected time to the first response.
///
/// A prompt is sent to an endpoint that holds its shared blocks according to the block directory. If there is none, all
/// daemons select the same home endpoint by rendezvous hashing, without exchanging messages. A loaded endpoint is passed
/// over once waiting costs more than fetching the blocks plus the memory taken by another copy. Blocks are not shared
/// between engines with different weights.
///
/// Designed for long prompts with few shared prefixes, one of them hot, mixed with many short prompts, and for engines
/// whose caches are empty after each change of weights.
///
/// Where requests compete for capacity, a short prompt is compared at a few engines only, which its seed selects: a daemon
/// knows the load of an engine that does not answer too late, and all daemons would choose the one that looks idle. An answer
/// after the objective costs more than one on weights that are not the newest.
class Placer {
public:
    explicit Placer(DaemonLocation location)
        : m_location(std::move(location))
    {
    }

    Placement choose(const PlacementRequest& request, const EndpointView& view, MonotonicTime now) const;

    /// Returns the region of a data centre, or an empty ID if it is unknown.
    RegionId regionOf(const DataCenterId& dataCenter) const;

    /// Records the time to the first response of a service, which is used to estimate queueing delays.
    void recordServiceTime(const ServiceId& service, Duration time);

private:
    /// Prefix of a prompt that other requests may share.
    struct SharedPrefix {
        std::uint64_t prefix = 0; ///< hash of its parts, independent of the weights
        std::int64_t tokens = 0;
        std::int64_t ownTokens = 0; ///< tokens specific to the request
        bool isWorthFetching() const;
    };
    /// Endpoints with the same weights version, for one prompt.
    struct Peers {
        const EndpointEntry* home = nullptr;
        std::uint64_t homeScore = 0;
        BlockKey blocks = 0;
        std::vector<BlockDirectory::Holder> holders;
    };
    using PeersByWeights = std::map<WeightsVersion, Peers>;
    /// How an endpoint obtains the shared blocks.
    struct BlockPlan {
        const EndpointEntry* source = nullptr;
        bool needsPrefill = true; ///< no copy is available, so the blocks are computed from the prompt
        Duration time {}; ///< until the endpoint has the blocks
        Duration copyCost {}; ///< cost of the memory taken by another copy
    };
    struct Candidate {
        const EndpointEntry* entry = nullptr;
        BlockPlan plan;
        Duration firstAnswerTime {}; ///< expected time to the first response
        Duration cost {}; ///< total cost by which candidates are compared
    };

    static std::vector<const EndpointEntry*> eligible(const PlacementRequest& request, const EndpointView& view);
    /// Returns the engines that are compared for the request.
    static std::vector<const EndpointEntry*> comparable(const std::vector<const EndpointEntry*>& entries, const PlacementRequest& request, const SharedPrefix& shared, const EndpointView& view, MonotonicTime now);
    static PeersByWeights groupByWeights(const std::vector<const EndpointEntry*>& entries, const PlacementRequest& request, const SharedPrefix& shared, const EndpointView& view, MonotonicTime now);
    Candidate estimate(const EndpointEntry& entry, const PlacementRequest& request, const SharedPrefix& shared, const PeersByWeights& peers, const EndpointView& view, MonotonicTime now) const;
    BlockPlan planBlocks(const EndpointEntry& entry, const SharedPrefix& shared, const Peers& peers, const EndpointView& view, MonotonicTime now) const;
    Duration fetchTime(const EndpointEntry& from, const EndpointEntry& to, std::int64_t tokens) const;
    static SharedPrefix sharedPrefix(const PlacementRequest& request);
    static WeightsVersion weightsOf(const EndpointEntry& entry, const PlacementRequest& request);
    Duration networkCost(const EndpointEntry& entry) const;
    /// Returns whether the endpoint can accept another long prompt now.
    static bool hasRoom(const EndpointEntry& entry, const EndpointView& view, MonotonicTime now);
    /// Returns whether another long prompt would exceed this daemon's share of the engines while few of them have room. Daemons
    /// learn of each other's sends after some hundred milliseconds, and all of them would use the same engine meanwhile.
    static bool exceedsShare(const std::vector<const EndpointEntry*>& entries, const PlacementRequest& request, const EndpointView& view, MonotonicTime now);
    Duration queueDelay(const EndpointEntry& entry, const EndpointView& view, MonotonicTime now) const;
    static Duration prefillTime(const EndpointEntry& entry, std::int64_t tokens, const EndpointView& view, MonotonicTime now);

    DaemonLocation m_location;
    std::map<ServiceId, Duration> m_serviceTimes;
};

} // namespace hornbeamgate::gateway
