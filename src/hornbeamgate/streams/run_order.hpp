#pragma once

#include "hornbeamgate/base/cbor.hpp"
#include "hornbeamgate/base/ids.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace hornbeamgate {

/// Names one run in the whole fleet: the entry daemon's process start and its count of requests.
struct RunId {
    Incarnation entry;
    RequestId request;

    auto operator<=>(const RunId&) const = default;
    /// Text form for headers and log lines.
    std::string text() const;
};

enum class RunKind : std::uint8_t { Completion,
    ChatCompletion,
    ServiceCall };

/// Everything an agent needs to run a request on its endpoint. It never holds the caller's key.
struct RunOrder {
    RunId id;
    RunKind kind = RunKind::Completion;
    WorkspaceId workspace;
    std::uint32_t weight = 1; ///< fair-queueing weight of the workspace
    std::uint32_t priority = 0;
    std::uint64_t cost = 0; ///< estimated tokens, for fair queueing
    std::uint64_t maxQueueWaitMs = 0; ///< the agent refuses when the run can't start within this time

    ModelId model; ///< empty for a service call
    WeightsVersion weights; ///< the engine must run exactly this version
    Incarnation engine; ///< the engine must be this process start; 0 accepts any
    std::vector<std::uint64_t> prefixBlocks;
    std::uint64_t resumeFrom = 0; ///< index of the first piece wanted; above 0 an existing run is resumed

    ServiceId service; ///< empty for a model run
    bool idempotent = true; ///< whether the service allows a call to be repeated
    std::string method; ///< HTTP method of a service call
    std::string path; ///< path and query of a service call
    std::string contentType;
    std::string idempotencyKey; ///< empty when the caller gave none
    Bytes body;
};

Bytes encodeRunOrder(const RunOrder& order);
Result<RunOrder, CodecError> decodeRunOrder(BytesView bytes);

} // namespace hornbeamgate
