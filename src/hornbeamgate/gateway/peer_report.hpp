#pragma once

#include "hornbeamgate/base/cbor.hpp"
#include "hornbeamgate/base/socket_address.hpp"
#include "hornbeamgate/gateway/block_directory.hpp"
#include "hornbeamgate/gateway/directory_replica.hpp"
#include "hornbeamgate/gateway/endpoint_advisories.hpp"
#include "hornbeamgate/gateway/endpoint_pace.hpp"
#include "hornbeamgate/gateway/prompt_quarantine.hpp"
#include "hornbeamgate/gateway/rollout_election.hpp"
#include "hornbeamgate/gateway/version_rollout.hpp"
#include "hornbeamgate/gateway/weights_rollout.hpp"
#include "hornbeamgate/gateway/workspace_rate_limiter.hpp"

#include <chrono>
#include <variant>

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
    LeadershipReport leadership;
    std::vector<OrderAge> orderAges; ///< of orders that the sender knows as rollout leader or, in an answer, has heard
    bool isAskingForOrderAges = false; ///< the sender is a new leader; whoever heard the previous one's reports answers
    std::vector<TargetAge> targetAges;
    bool isLeaving = false; ///< the sender is draining
    DrawnUnits drawn;
    std::vector<LoadingEngine> loading;
    std::vector<LoadedWeights> loaded;
    std::vector<BlockUse> blockUses; ///< recent sends of shared prompts
    std::map<EndpointId, std::int64_t> pendingPrefillTokens; ///< prompt tokens sent to engines that still wait for prefill
    QuarantineReport quarantine;
    AdvisoryReport advisories;
    RolloutReport rollouts;
    PaceReport pace; ///< encoded last, and only if an endpoint is in slow start
};

/// What a rollout leader tells its peers between two reports. In a large fleet it starts many loads a second, and a full report
/// for each of them would fill its link.
struct LoadingNotice {
    HostId host;
    std::vector<LoadingEngine> loading;
    std::vector<LoadedWeights> loaded;
    std::vector<OrderAge> orderAges;
};

using PeerMessage = std::variant<PeerReport, LoadingNotice>;

Bytes encodePeerReport(const PeerReport& report);
Result<PeerReport, CodecError> decodePeerReport(BytesView encoded);
Bytes encodeLoadingNotice(const LoadingNotice& notice);
Result<PeerMessage, CodecError> decodePeerMessage(BytesView encoded);

/// Encoding of directory records exchanged between daemons.
Bytes encodeRecords(const std::vector<DirectoryRecord>& records);
Result<std::vector<DirectoryRecord>, CodecError> decodeRecords(BytesView encoded);

} // namespace hornbeamgate::gateway
