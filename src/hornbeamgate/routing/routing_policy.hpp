#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace hornbeamgate {

/// Cost of reaching the endpoints of one data centre from this daemon.
struct DataCenterPath {
    DataCenterId dataCenter;
    Duration roundTrip = std::chrono::milliseconds(3);
    double bytesPerSecond = 1e9;
    /// Added to the estimate for each megabyte sent, so that a metered link is only used if it saves more time than this.
    Duration penaltyPerMegabyte = Duration::zero();
    /// Time for an engine in the data centre to import one block from the KV store; zero disables imports.
    Duration importPerBlock = Duration::zero();

    bool metered() const { return penaltyPerMegabyte > Duration::zero(); }
};

/// Cost model of an engine: time to first token = queue + `firstTokenOverhead` + `prefillPerBlock` x missed blocks.
struct EngineCosts {
    Duration firstTokenOverhead = std::chrono::milliseconds(10);
    Duration prefillPerBlock = std::chrono::milliseconds(40);
    std::uint32_t decodeSlots = 128;
    /// Expected time until a decode slot becomes free when all are occupied.
    Duration slotTurnover = std::chrono::milliseconds(100);
};

/// Parameters of routing decisions. `docs/design/routing.md` gives the reason for each value.
struct RoutingPolicy {
    /// Factor for the cost of missed blocks when engines are compared. Recomputing a block also evicts a block that another request
    /// may need.
    double missWeight = 1;
    /// Preference for the home engine: it is chosen even if it is slower than another engine by up to this share of the time for
    /// recomputing the prompt there.
    double homePreference = 0.25;
    /// Number of engines that hold a prefix, relative to the number that its share of the traffic requires.
    double replicationFactor = 1;
    /// Additional replication of short prefixes: a prefix of n blocks gets (1 + shortPrefixReplication / n) times the homes. A copy
    /// of a short prefix takes little cache, and too few homes cause load imbalance between engines.
    double shortPrefixReplication = 12;
    /// A request is refused if its estimate exceeds the time left until the deadline by more than this share.
    double refusalMargin = 0.25;
    /// Upper bound of the random amount that is added to each estimate.
    Duration jitter = std::chrono::milliseconds(4);
    Duration popularityHalfLife = std::chrono::seconds(15);
    Duration locationLifetime = std::chrono::seconds(10); ///< of blocks cached by the daemon's own requests
    Duration digestLifetime = std::chrono::seconds(40); ///< of prefixes announced in a digest and not reported as evicted
    Duration kvStoreLifetime = std::chrono::seconds(120); ///< of blocks reported as held by the KV store
    Duration warmUp = std::chrono::seconds(8);
    Duration avoidAfterFailure = std::chrono::seconds(2);
    std::uint32_t homeCandidates = 3;
    std::uint32_t sampledCandidates = 2;
    std::uint32_t maxAttempts = 8;
    /// These switches allow the benchmark to measure the effect of each mechanism.
    bool useNestedLevels = true;
    bool useBlockLocations = true;
    bool usePopularity = true;
    bool useBoundedLoad = true;
    bool useAgentRedirect = true;

    /// Optimises for the worst-served workspace and for few unnecessary refusals.
    static RoutingPolicy forFairness();
    /// Optimises for the tail latency of the time to first token.
    static RoutingPolicy forTailLatency();
};

struct RouterOptions {
    RoutingPolicy policy;
    EngineCosts costs;
    /// Paths to all data centres, including the daemon's own. Endpoints in other data centres are never chosen.
    std::vector<DataCenterPath> paths;
    std::size_t blockLocationEntries = 32768;
    std::size_t popularityEntries = 16384;
    std::size_t kvStoreEntries = 8192;
};

} // namespace hornbeamgate
