#pragma once

#include "hornbeamgate/base/cbor.hpp"
#include "hornbeamgate/base/socket_address.hpp"
#include "hornbeamgate/gateway/block_directory.hpp"
#include "hornbeamgate/gateway/directory_replica.hpp"
#include "hornbeamgate/gateway/weights_rollout.hpp"
#include "hornbeamgate/gateway/workspace_rate_limiter.hpp"

#include <chrono>

namespace hornbeamgate::gateway {

/// Engine that loads weights and should get no requests for a while.
struct LoadingEngine {
    EndpointId endpoint;
    std::chrono::milliseconds remaining {};
};

/// Weights that an engine has just loaded.
struct LoadedWeights {
    EndpointId endpoint;
    ModelId model;
    WeightsVersion version;
};

/// What a daemon tells the others several times a second.
struct PeerReport {
    HostId host;
    Incarnation incarnation;
    SocketAddress address; ///< where the sender takes reports
    std::array<LogOffset, kDirectoryTopics> directoryEnds {};
    bool isRolloutLeader = false; ///< it gives the weights orders
    std::uint64_t resignations = 0; ///< how often it gave the duty up
    std::vector<RecentOrder> recentOrders;
    bool isLeaving = false; ///< it drains
    DrawnUnits drawn;
    std::vector<LoadingEngine> loading;
    std::vector<LoadedWeights> loaded;
    std::vector<BlockUse> blockUses; ///< shared prompts that went to engines lately
    std::map<EndpointId, std::int64_t> pendingPrefillTokens; ///< prompt tokens sent to engines and not read yet
};

Bytes encodePeerReport(const PeerReport& report);
Result<PeerReport, CodecError> decodePeerReport(BytesView encoded);

/// Directory records on their way from one daemon to another.
Bytes encodeRecords(const std::vector<DirectoryRecord>& records);
Result<std::vector<DirectoryRecord>, CodecError> decodeRecords(BytesView encoded);

} // namespace hornbeamgate::gateway
