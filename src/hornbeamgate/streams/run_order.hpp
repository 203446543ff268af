#pragma once

#include "hornbeamgate/base/cbor.hpp"
#include "hornbeamgate/base/ids.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace hornbeamgate {

/// Fleet-wide unique ID of a run: the incarnation of the entry daemon and its request counter.
struct RunId {
    Incarnation entry;
    RequestId request;

    auto operator<=>(const RunId&) const = default;
    /// Text form used in headers and log lines.
    std::string text() const;
};

enum class RunKind : std::uint8_t { Completion,
    ChatCompletion,
    ServiceCall };

/// Instruction from an entry daemon to an agent to run a request on the agent's endpoint. It never contains the caller's
/// API key.
struct RunOrder {
    RunId id;
    RunKind kind = RunKind::Completion;
    WorkspaceId workspace;
    std::uint32_t weight = 1; ///< weight of the workspace in fair queueing
    std::uint32_t priority = 0;
    std::uint64_t cost = 0; ///< estimated tokens, used by fair queueing
    std::uint64_t maxQueueWaitMs = 0; ///< the agent refuses the run if it cannot start within this time

    ModelId model; ///< empty for a service call
    WeightsVersion weights; ///< exact weights version that the engine must serve
    Incarnation engine; ///< required engine incarnation; 0 accepts any
    std::vector<std::uint64_t> prefixBlocks;
    std::uint64_t resumeFrom = 0; ///< index of the first piece to send; above 0 resumes an existing run

    ServiceId service; ///< empty for a model run
    bool idempotent = true; ///< whether the service allows a call to be retried
    std::string method; ///< HTTP method of a service call
    std::string path; ///< path and query of a service call
    std::string contentType;
    std::string idempotencyKey; ///< empty if the caller sent none
    Bytes body;
};

Bytes encodeRunOrder(const RunOrder& order);
Result<RunOrder, CodecError> decodeRunOrder(BytesView bytes);

} // namespace hornbeamgate
