#pragma once

#include "hornbeamgate/base/cbor.hpp"
#include "hornbeamgate/base/ids.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace hornbeamgate {

/// Stable codes of everything that can end a request without an answer. Callers see them by name.
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

/// Name of `error` as callers see it.
std::string_view runErrorName(RunError error);

/// The endpoint took the run. Sent once before the first piece.
struct RunAccepted {
    Incarnation engine;
    std::uint32_t cachedBlocks = 0; ///< leading prefix blocks found in the engine's cache
    std::uint32_t running = 0; ///< runs on the engine now
    std::uint32_t queued = 0; ///< runs waiting beside the engine now

    bool operator==(const RunAccepted&) const = default;
};

/// One event of the endpoint's stream. Indices count from 0 without gaps.
struct RunPiece {
    std::uint64_t index = 0;
    std::string data;

    bool operator==(const RunPiece&) const = default;
};

/// The stream is complete and had `count` pieces.
struct RunCompleted {
    std::uint64_t count = 0;

    bool operator==(const RunCompleted&) const = default;
};

/// Whole answer of a plain service.
struct ServiceResponse {
    std::uint16_t status = 0;
    std::string contentType;
    std::string body;
    bool replayed = false; ///< answer of an earlier call with the same idempotency key

    bool operator==(const ServiceResponse&) const = default;
};

/// The run ended without a complete answer.
struct RunFailed {
    RunError error = RunError::InternalError;
    bool notRun = false; ///< true only when it is certain that the endpoint never worked on it
    std::string detail;

    bool operator==(const RunFailed&) const = default;
};

/// Message from an agent to an entry daemon about one run.
using RunMessage = std::variant<RunAccepted, RunPiece, RunCompleted, ServiceResponse, RunFailed>;

Bytes encodeRunMessage(const RunMessage& message);
Result<RunMessage, CodecError> decodeRunMessage(BytesView bytes);

} // namespace hornbeamgate
