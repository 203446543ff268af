#pragma once

#include "hornbeamgate/base/bytes.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace hornbeamgate {

/// Response of the service. A repeated request receives it without the body if the body was too large to store.
struct ServiceResult {
    std::uint16_t status = 0; ///< HTTP status
    std::string contentType;
    Bytes body;
    bool bodyKept = true; ///< false if `body` was discarded

    bool operator==(const ServiceResult&) const = default;
};

/// Reason why a request was not executed.
enum class NotRunReason : std::uint8_t {
    LogUnavailable, ///< the log did not confirm in time which writer owns the booking
    EndpointUnreachable, ///< the call failed before its first byte was sent
    Overloaded, ///< too many requests are pending
    KeyReused, ///< the key was already used for a different request
    KeyExpired, ///< the key predates the part of the log that this process has read
    KeyNotYetValid, ///< the position in the key is past the end of the log
    HistoryLost, ///< the log trimmed records before this process read them
};

/// What a NotRun answer applies to.
enum class NotRunScope : std::uint8_t {
    Request, ///< this request did not and will not run; an earlier request with the same key may have run
    Key, ///< nothing has run under this key so far
};

/// The service was not called for this request and never will be.
struct NotRun {
    NotRunReason reason = NotRunReason::LogUnavailable;
    NotRunScope scope = NotRunScope::Request;

    bool operator==(const NotRun&) const = default;
};

/// A process owns the booking but has not recorded its outcome. Repeating the request with the same key returns the
/// outcome once it is recorded.
struct InProgress {
    bool operator==(const InProgress&) const = default;
};

/// The call may have been executed, at most once, and will not be executed again under this key.
struct OutcomeUnknown {
    bool operator==(const OutcomeUnknown&) const = default;
};

/// Answer to the caller of a non-idempotent service.
using BookingAnswer = std::variant<ServiceResult, NotRun, InProgress, OutcomeUnknown>;

std::string_view toString(NotRunReason reason);

/// How a call to a service failed.
enum class CallFailure : std::uint8_t {
    BeforeSending, ///< no byte of the request left this process
    OutcomeUnknown, ///< the endpoint may have read the request
};

/// Returns the answer for a failed call that has no idempotency key. Such a call is retried only if the answer is
/// NotRun.
BookingAnswer answerForFailedUnkeyedCall(CallFailure failure);

/// Combines the answers to a keyed request that an entry daemon sent to several agents in turn. NotRun from the last
/// agent applies to the whole request only if every earlier agent also answered NotRun: an agent that did not answer
/// (OutcomeUnknown) may still run the booking.
BookingAnswer combineAnswers(const BookingAnswer& earlier, const BookingAnswer& last);

} // namespace hornbeamgate
