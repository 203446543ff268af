#pragma once

#include "hornbeamgate/base/cbor.hpp"
#include "hornbeamgate/base/socket_address.hpp"
#include "hornbeamgate/gateway/block_directory.hpp"
#include "hornbeamgate/gateway/directory_replica.hpp"
#include "hornbeamgate/gateway/weights_rollout.hpp"
#include "hornbeamgate/gateway/workspace_rate_limiter.hpp"

#include <chrono>

namespace hornbeamgate::gateway {

/// Engine that is loading weights and should receive no requests for `remaining`.
struct LoadingEngine {
    EndpointId endpoint;
    std::chrono::milliseconds remaining {};
};

/// Weights version that an engine has recently loaded.
struct LoadedWeights {
    EndpointId endpoint;
    ModelId model;
    WeightsVersion version;
};

/// State that a daemon sends to its peers several times a second.
struct PeerReport {
    HostId host;
    Incarnation incarnation;
    SocketAddress address; ///< address at which the sender receives reports
    std::array<LogOffset, kDirectoryTopics> directoryEnds {};
    bool isRolloutLeader = false; ///< the sender issues the weights orders
    std::uint64_t resignations = 0; ///< number of times the sender gave up leadership of the rollout
    std::vector<RecentOrder> recentOrders;
    bool isLeaving = false; ///< the sender is draining
    DrawnUnits drawn;
    std::vector<LoadingEngine> loading;
    std::vector<LoadedWeights> loaded;
    std::vector<BlockUse> blockUses; ///< recent sends of shared prompts
    std::map<EndpointId, std::int64_t> pendingPrefillTokens; ///< prompt tokens sent to engines that still wait for prefill
};

Bytes encodePeerReport(const PeerReport& report);
Result<PeerReport, CodecError> decodePeerReport(BytesView encoded);

/// Encoding of directory records exchanged between daemons.
Bytes encodeRecords(const std::vector<DirectoryRecord>& records);
Result<std::vector<DirectoryRecord>, CodecError> decodeRecords(BytesView encoded);

} // namespace hornbeamgate::gateway
