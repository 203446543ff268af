#pragma once

#include "hornbeamgate/base/bytes.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace hornbeamgate {

/// Answer of the service. A repeat gets it without its body when the body was too large to keep.
struct ServiceResult {
    std::uint16_t status = 0; ///< HTTP status
    std::string contentType;
    Bytes body;
    bool bodyKept = true; ///< false when `body` was dropped

    bool operator==(const ServiceResult&) const = default;
};

/// Why a request was not run.
enum class NotRunReason : std::uint8_t {
    LogUnavailable, ///< the log could not settle in time who may run the booking
    EndpointUnreachable, ///< the call failed before its first byte was sent
    Overloaded, ///< too many bookings wait
    KeyReused, ///< the key belongs to another request
    KeyExpired, ///< the key is older than what this process knows of the log
    KeyNotYetValid, ///< the position in the key lies past the end of the log
    HistoryLost, ///< the log trimmed records that had not been read
};

/// What a "not run" speaks of.
enum class NotRunScope : std::uint8_t {
    Request, ///< this request did not run and never will; an earlier request under the same key may have run
    Key, ///< nothing has run under this key so far
};

/// The service was not called for this request and will not be.
struct NotRun {
    NotRunReason reason = NotRunReason::LogUnavailable;
    NotRunScope scope = NotRunScope::Request;

    bool operator==(const NotRun&) const = default;
};

/// A process owns the booking and has recorded no outcome yet. A repeat under the same key gets the outcome.
struct InProgress {
    bool operator==(const InProgress&) const = default;
};

/// The call may have run, once at most, and nobody will run it a second time under this key.
struct OutcomeUnknown {
    bool operator==(const OutcomeUnknown&) const = default;
};

/// What the caller of a non-idempotent service is told.
using BookingAnswer = std::variant<ServiceResult, NotRun, InProgress, OutcomeUnknown>;

std::string_view toString(NotRunReason reason);

/// How a call to a service failed.
enum class CallFailure : std::uint8_t {
    BeforeSending, ///< no byte of the request left this process
    OutcomeUnknown, ///< the endpoint may have read the request
};

/// Answer for a call without a key that failed. Such a call is never repeated unless this is NotRun.
BookingAnswer answerForFailedUnkeyedCall(CallFailure failure);

/// Answer that an entry daemon gives after it sent one keyed request to several agents in turn. A "not run" of the last
/// one holds for the whole request only if every earlier agent also said "not run": an agent that did not answer
/// (OutcomeUnknown) may still run the booking.
BookingAnswer combineAnswers(const BookingAnswer& earlier, const BookingAnswer& last);

} // namespace hornbeamgate
