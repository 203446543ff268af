#pragma once

#include "common/faults.hpp"
#include "common/http_server.hpp"
#include "service/booking_counter.hpp"

#include <chrono>
#include <string>

namespace hornbeamgate::standins {

/// Plain application service: POST runs a booking once more each time, GET reads and changes nothing.
/// It does not recognise a repeated booking, so only its callers can prevent one.
class ServiceServer {
public:
    /// `serviceTime` passes between a call and its answer.
    explicit ServiceServer(std::chrono::milliseconds serviceTime);

    void serve(ExchangePtr exchange);

private:
    void book(ExchangePtr exchange);
    void read(ExchangePtr exchange);
    void answerLater(ExchangePtr exchange, std::string body);

    std::chrono::milliseconds m_serviceTime;
    BookingCounter m_bookings;
    FaultTable m_faults;
};

} // namespace hornbeamgate::standins
