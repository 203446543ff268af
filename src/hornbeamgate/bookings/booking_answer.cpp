#include "hornbeamgate/bookings/booking_answer.hpp"

namespace hornbeamgate {

std::string_view toString(NotRunReason reason)
{
    switch (reason) {
    case NotRunReason::LogUnavailable:
        return "log_unavailable";
    case NotRunReason::EndpointUnreachable:
        return "endpoint_unreachable";
    case NotRunReason::Overloaded:
        return "overloaded";
    case NotRunReason::KeyReused:
        return "key_reused";
    case NotRunReason::KeyExpired:
        return "key_expired";
    case NotRunReason::KeyNotYetValid:
        return "key_not_yet_valid";
    case NotRunReason::HistoryLost:
        return "history_lost";
    }
    return "unknown";
}

BookingAnswer answerForFailedUnkeyedCall(CallFailure failure)
{
    if (failure == CallFailure::BeforeSending)
        return NotRun { NotRunReason::EndpointUnreachable, NotRunScope::Request };
    return OutcomeUnknown {};
}

BookingAnswer combineAnswers(const BookingAnswer& earlier, const BookingAnswer& last)
{
    if (!std::holds_alternative<NotRun>(last) || std::holds_alternative<NotRun>(earlier))
        return last;
    return earlier;
}

} // namespace hornbeamgate
