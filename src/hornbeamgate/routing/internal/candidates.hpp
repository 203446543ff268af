#pragma once

#include "hornbeamgate/routing/internal/block_location_table.hpp"
#include "hornbeamgate/routing/internal/endpoint_table.hpp"
#include "hornbeamgate/routing/internal/home_ranking.hpp"
#include "hornbeamgate/routing/internal/prefix_popularity.hpp"

#include <random>
#include <vector>

namespace hornbeamgate::internal {

/// Endpoint that a request may go to, with what is expected there.
struct Candidate {
    EndpointSlot slot = 0;
    bool home = false;
    std::uint32_t hitBlocks = 0;
    std::uint32_t importBlocks = 0;
    Duration work {}; ///< prefill time of this request at the endpoint
    Duration firstToken {}; ///< estimated time to first token
    Duration score {}; ///< estimate with the policy's weights; the lowest is chosen
};

/// Cache content that an agent stated when it turned the request away.
struct ReportedHit {
    EndpointSlot slot = 0;
    std::uint32_t hitBlocks = 0;
};

/// Endpoints of one request that earlier attempts have ruled out or told about.
struct AttemptHistory {
    std::vector<EndpointSlot> failed;
    std::vector<ReportedHit> reportedHits;
};

/// What a router has learned, as needed to compare endpoints.
struct RoutingTables {
    EndpointTable endpoints;
    BlockLocationTable blockLocations;
    BlockLocationTable kvStoreBlocks; ///< blocks in the store of kept KV cache; the slot means nothing
    PrefixPopularity popularity;
};

/// Candidates for a request, best first. Empty when no endpoint serves the model in the wanted version.
std::vector<Candidate> rankCandidates(RoutingTables& tables, const RouterOptions& options,
    const RequestArrived& request, const AttemptHistory& history, std::mt19937_64& generator, MonotonicTime now);

} // namespace hornbeamgate::internal
