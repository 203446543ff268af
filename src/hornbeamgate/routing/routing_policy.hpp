#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace hornbeamgate {

/// What it costs to reach the endpoints of one data centre from this daemon.
struct DataCenterPath {
    DataCenterId dataCenter;
    Duration roundTrip = std::chrono::milliseconds(3);
    double bytesPerSecond = 1e9;
    /// Added to the estimate for each megabyte sent, so that the paid link is used only when it gains more than this.
    Duration penaltyPerMegabyte = Duration::zero();
    /// Time for an engine there to import one block from the store of kept KV cache; zero means that it never imports.
    Duration importPerBlock = Duration::zero();

    bool metered() const { return penaltyPerMegabyte > Duration::zero(); }
};

/// Cost formula of an engine: time to first token = queue + `firstTokenOverhead` + `prefillPerBlock` x missed blocks.
struct EngineCosts {
    Duration firstTokenOverhead = std::chrono::milliseconds(10);
    Duration prefillPerBlock = std::chrono::milliseconds(40);
    std::uint32_t decodeSlots = 128;
    /// Time until a decode slot becomes free while all are taken.
    Duration slotTurnover = std::chrono::milliseconds(100);
};

/// Weights of a routing decision. `docs/design/routing.md` gives the reason for each value.
struct RoutingPolicy {
    /// Factor on missed blocks when engines are compared: a recomputed block also evicts a block of somebody else.
    double missWeight = 1;
    /// Share of a prompt's recomputation that its home engine may be slower than another engine and still be chosen.
    double homePreference = 0.25;
    /// Engines that hold a prefix, relative to the engines that its share of the traffic fills.
    double replicationFactor = 1;
    /// How much wider short prefixes are spread: a prefix of n blocks gets (1 + shortPrefixReplication / n) times the homes, since a
    /// copy of it takes little cache and narrow choices unbalance the engines.
    double shortPrefixReplication = 12;
    /// Refuse when the estimate is later than the deadline by this share of the time left.
    double refusalMargin = 0.25;
    /// Largest random amount added to an estimate.
    Duration jitter = std::chrono::milliseconds(4);
    Duration popularityHalfLife = std::chrono::seconds(15);
    Duration locationLifetime = std::chrono::seconds(10); ///< of what the daemon's own requests left in a cache
    Duration digestLifetime = std::chrono::seconds(40); ///< of what a digest told and no later one took back
    Duration kvStoreLifetime = std::chrono::seconds(120); ///< of what the store of kept KV cache was said to hold
    Duration warmUp = std::chrono::seconds(8);
    Duration avoidAfterFailure = std::chrono::seconds(2);
    std::uint32_t homeCandidates = 3;
    std::uint32_t sampledCandidates = 2;
    std::uint32_t maxAttempts = 8;
    /// The switches exist so that the bench can show what each mechanism adds.
    bool useNestedLevels = true;
    bool useBlockLocations = true;
    bool usePopularity = true;
    bool useBoundedLoad = true;
    bool useAgentRedirect = true;

    /// Weighs the worst-served workspace and wrongful refusals most.
    static RoutingPolicy forFairness();
    /// Weighs tail latency of time to first token most.
    static RoutingPolicy forTailLatency();
};

/// Settings of one router.
struct RouterOptions {
    RoutingPolicy policy;
    EngineCosts costs;
    /// Paths to all data centres, the daemon's own included. Endpoints elsewhere are never chosen.
    std::vector<DataCenterPath> paths;
    std::size_t blockLocationEntries = 32768;
    std::size_t popularityEntries = 16384;
    std::size_t kvStoreEntries = 8192;
};

} // namespace hornbeamgate
