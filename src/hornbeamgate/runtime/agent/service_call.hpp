#pragma once

#include "hornbeamgate/bookings/booking_answer.hpp"
#include "hornbeamgate/runtime/http/http_fetch.hpp"
#include "hornbeamgate/streams/run_message.hpp"
#include "hornbeamgate/streams/run_order.hpp"

namespace hornbeamgate {

/// HTTP request that carries a service call to `service`.
HttpRequest serviceRequest(const RunOrder& order, const SocketAddress& service);

/// What the entry daemon is told about a call that needs no booking.
RunMessage serviceOutcome(const Result<HttpResponse, HttpError>& result);

/// What the entry daemon is told about a booking. `called` tells whether this process called the service for it.
RunMessage bookingOutcome(const BookingAnswer& answer, bool called);

} // namespace hornbeamgate
