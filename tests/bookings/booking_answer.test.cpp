#include "hornbeamgate/bookings/booking_answer.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate;

TEST_CASE("a failed unkeyed call is reported as not run only if no byte was sent [bookings]")
{
    CHECK(std::holds_alternative<NotRun>(answerForFailedUnkeyedCall(CallFailure::BeforeSending)));
    CHECK(std::holds_alternative<OutcomeUnknown>(answerForFailedUnkeyedCall(CallFailure::OutcomeUnknown)));
}

TEST_CASE("combined answer is NotRun only if every agent answered NotRun [bookings]")
{
    const BookingAnswer refused = NotRun { NotRunReason::LogUnavailable, NotRunScope::Request };
    const BookingAnswer refusedKey = NotRun { NotRunReason::EndpointUnreachable, NotRunScope::Key };
    const BookingAnswer unknown = OutcomeUnknown {};
    const BookingAnswer running = InProgress {};
    const BookingAnswer result = ServiceResult { 201, "text/plain", {}, true };
    struct Case {
        BookingAnswer earlier;
        BookingAnswer last;
        BookingAnswer expected;
    };
    const Case cases[] = {
        { refused, refused, refused },
        { refused, refusedKey, refusedKey },
        { unknown, refused, unknown },
        { unknown, refusedKey, unknown },
        { running, refused, running },
        { unknown, result, result },
        { refused, unknown, unknown },
    };
    for (const auto& row : cases)
        CHECK(combineAnswers(row.earlier, row.last) == row.expected);
}
