#pragma once

#include "hornbeamgate/bookings/booking_answer.hpp"
#include "hornbeamgate/runtime/http/http_fetch.hpp"
#include "hornbeamgate/streams/run_message.hpp"
#include "hornbeamgate/streams/run_order.hpp"

namespace hornbeamgate {

/// Builds the HTTP request that forwards a service call to `service`.
HttpRequest makeServiceRequest(const RunOrder& order, const SocketAddress& service);

/// Converts the result of a call without a booking to the message for the entry daemon.
RunMessage serviceOutcome(const Result<HttpResponse, HttpError>& result);

/// Converts the outcome of a booking to the message for the entry daemon. `called` tells whether this process called the
/// service for it; if not, a result is marked as replayed.
RunMessage bookingOutcome(const BookingAnswer& answer, bool called);

} // namespace hornbeamgate
