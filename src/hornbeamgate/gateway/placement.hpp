#pragma once

#include "hornbeamgate/gateway/endpoint_loads.hpp"
#include "hornbeamgate/gateway/endpoint_roster.hpp"
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
struct PlacementDemand {
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
struct PlaceOfDaemon {
    DataCenterId dataCenter;
    RegionId region;
    std::map<DataCenterId, RegionId> regions;
};

/// Why no endpoint was chosen.
enum class PlacementRefusal {
    NoEndpoint, ///< the service has no endpoint that is up
    AllBusy, ///< no endpoint would answer in the time left
};

struct Placement {
    std::optional<EndpointId> endpoint;
    bool isSharing = false; ///< enough of the prompt is shared to be worth moving
    /// Endpoint that may keep shared blocks which the chosen one lacks.
    std::optional<EndpointId> blockSource;
    std::int64_t tokensToRead = 0; ///< of the prompt, beyond what the endpoint is expected to keep
    PlacementRefusal refusal = PlacementRefusal::NoEndpoint;
    std::chrono::milliseconds expectedWait {}; ///< until the first answer of the best endpoint
};

/// Chooses endpoints by the expected time to the first answer.
///
/// A prompt's home is the endpoint that rendezvous hashing gives for its shared parts, the same in every daemon; blocks
/// are expected there and where this daemon sent the same parts lately. Load moves a request elsewhere as soon as
/// waiting at the home costs more than fetching the blocks from there. Engines with newer weights have homes of their
/// own, since blocks of other weights are of no use.
///
/// Load it answers: long prompts over few prefixes with a hot one, next to many short prompts.
class Placer {
public:
    explicit Placer(PlaceOfDaemon place)
        : m_place(std::move(place))
    {
    }

    Placement choose(const PlacementDemand& demand, const EndpointRoster& roster, const EndpointLoads& loads, MonotonicTime now);

    /// Learns how long answers of a service take to begin, for estimates of waiting.
    void noteServiceTime(const ServiceId& service, Duration time);

private:
    struct Shared {
        std::uint64_t key = 0;
        std::int64_t tokens = 0;
        std::int64_t ownTokens = 0; ///< of the request alone
        bool isWorthMoving() const;
    };
    /// Endpoints with equal weights in the order of rendezvous hashing for one prompt, the home first.
    using Ranking = std::vector<const EndpointEntry*>;
    using Rankings = std::map<WeightsVersion, Ranking>;
    struct Candidate {
        const EndpointEntry* entry = nullptr;
        Duration waiting {}; ///< until the first answer
        Duration cost {}; ///< what is compared
    };

    static Rankings rank(const PlacementDemand& demand, const Shared& shared, const EndpointRoster& roster, const EndpointLoads& loads, MonotonicTime now);
    Candidate estimate(const EndpointEntry& entry, const PlacementDemand& demand, const Shared& shared, const Rankings& rankings, const EndpointLoads& loads, MonotonicTime now) const;
    static bool areOldWeightsExcluded(const PlacementDemand& demand, const EndpointRoster& roster);
    Duration missingBlocksCost(const EndpointEntry& entry, const Shared& shared, const Ranking& ranking, MonotonicTime now) const;
    static const EndpointEntry* blockSource(const EndpointEntry& chosen, const Ranking& ranking, const EndpointLoads& loads, MonotonicTime now);
    void noteSent(const EndpointId& endpoint, const Shared& shared, MonotonicTime now);
    static Shared sharedPrefix(const PlacementDemand& demand);
    static WeightsVersion weightsOf(const EndpointEntry& entry, const PlacementDemand& demand);
    Duration travelCost(const EndpointEntry& entry) const;
    Duration waitingTime(const EndpointEntry& entry, const EndpointLoads& loads, MonotonicTime now) const;
    bool holdsBlocks(const EndpointId& id, std::uint64_t key, MonotonicTime now) const;

    PlaceOfDaemon m_place;
    std::map<ServiceId, Duration> m_serviceTimes;
    std::map<std::pair<EndpointId, std::uint64_t>, MonotonicTime> m_sentLately;
    MonotonicTime m_nextCleaning {};
};

} // namespace hornbeamgate::gateway
