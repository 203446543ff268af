#pragma once

#include "hornbeamgate/base/cbor.hpp"
#include "hornbeamgate/base/ids.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace hornbeamgate {

/// Reasons why a request ends without a complete response. The values are encoded in messages between daemons and agents
/// and must not change; callers receive the name of the code.
enum class RunError : std::uint8_t {
    BadRequest,
    BodyTooLarge,
    UnknownRoute,
    UnknownModel,
    KeyMissing,
    KeyRefused,
    KeysUnverified,
    RateExceeded,
    RateUnavailable,
    NoEndpoint,
    QueueFull,
    DeadlineUnreachable,
    EndpointLeaving,
    EngineChanged,
    RunUnknown,
    EndpointFailed,
    StreamInterrupted,
    OutcomeUnknown,
    InProgress,
    KeyReused,
    KeyTooOld,
    BookingUnavailable,
    NotReady,
    InternalError,
    ErrorCount,
};

/// Name of `error` in responses to callers.
std::string_view runErrorName(RunError error);

/// The endpoint accepted the run. Sent once, before the first piece.
struct RunAccepted {
    Incarnation engine;
    std::uint32_t cachedBlocks = 0; ///< number of leading prefix blocks found in the engine's cache
    std::uint32_t running = 0; ///< number of runs that the engine executes now
    std::uint32_t queued = 0; ///< number of runs that wait in the agent's queue now

    bool operator==(const RunAccepted&) const = default;
};

/// One event of the endpoint's stream. Indices are consecutive and start at 0.
struct RunPiece {
    std::uint64_t index = 0;
    std::string data;

    bool operator==(const RunPiece&) const = default;
};

/// The stream is complete and consists of `count` pieces.
struct RunCompleted {
    std::uint64_t count = 0;

    bool operator==(const RunCompleted&) const = default;
};

/// Complete response of a service that does not stream.
struct ServiceResponse {
    std::uint16_t status = 0;
    std::string contentType;
    std::string body;
    bool replayed = false; ///< response of an earlier call with the same idempotency key

    bool operator==(const ServiceResponse&) const = default;
};

/// The run ended without a complete response.
struct RunFailed {
    RunError error = RunError::InternalError;
    bool notRun = false; ///< true only if the endpoint certainly did not execute any part of the run
    std::string detail;

    bool operator==(const RunFailed&) const = default;
};

/// Message about one run, sent by an agent to an entry daemon.
using RunMessage = std::variant<RunAccepted, RunPiece, RunCompleted, ServiceResponse, RunFailed>;

Bytes encodeRunMessage(const RunMessage& message);
Result<RunMessage, CodecError> decodeRunMessage(BytesView bytes);

} // namespace hornbeamgate
