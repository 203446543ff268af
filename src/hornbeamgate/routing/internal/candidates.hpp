#pragma once

#include "hornbeamgate/routing/internal/block_location_table.hpp"
#include "hornbeamgate/routing/internal/endpoint_table.hpp"
#include "hornbeamgate/routing/internal/home_ranking.hpp"
#include "hornbeamgate/routing/internal/prefix_popularity.hpp"

#include <random>
#include <vector>

namespace hornbeamgate::internal {

/// Endpoint that a request may be placed on, with the estimates for it.
struct Candidate {
    EndpointSlot slot = 0;
    bool home = false;
    std::uint32_t hitBlocks = 0;
    std::uint32_t importBlocks = 0;
    Duration work {}; ///< prefill time of this request at the endpoint
    Duration firstToken {}; ///< estimated time to first token
    Duration score {}; ///< cost estimate weighted by the routing policy; the lowest is chosen
};

/// Number of cached blocks that an agent reported when it refused the request.
struct ReportedHit {
    EndpointSlot slot = 0;
    std::uint32_t hitBlocks = 0;
};

/// Results of the earlier placement attempts of one request.
struct AttemptHistory {
    std::vector<EndpointSlot> failed;
    std::vector<ReportedHit> reportedHits;
};

/// Routing state that is used to compare endpoints.
struct RoutingTables {
    EndpointTable endpoints;
    BlockLocationTable blockLocations;
    BlockLocationTable kvStoreBlocks; ///< blocks in the KV store; the endpoint slot is unused
    PrefixPopularity popularity;
};

/// Returns the candidates for a request, best first. Empty if no endpoint serves the model in the requested version.
std::vector<Candidate> rankCandidates(RoutingTables& tables, const RouterOptions& options,
    const RequestArrived& request, const AttemptHistory& history, std::mt19937_64& generator, MonotonicTime now);

} // namespace hornbeamgate::internal
