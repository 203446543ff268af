#include "service/service_server.hpp"

#include "common/main_loop.hpp"

#include <nlohmann/json.hpp>

namespace hornbeamgate::standins {

ServiceServer::ServiceServer(std::chrono::milliseconds serviceTime)
    : m_serviceTime(serviceTime)
    , m_faults({ "bookings", "reads" },
          { FaultKind::Outage, FaultKind::Refuse, FaultKind::Slow, FaultKind::LoseAnswer, FaultKind::Drop, FaultKind::Silent })
{
}

void ServiceServer::serve(ExchangePtr exchange)
{
    const std::string path = exchange->path();
    if (path == "/faults")
        m_faults.serve(*exchange);
    else if (path == "/count")
        exchange->answer(200, m_bookings.counts());
    else if (exchange->method() == "GET")
        serveUnderFaults(m_faults, "reads", std::move(exchange), [this](ExchangePtr served) { read(std::move(served)); });
    else
        serveUnderFaults(m_faults, "bookings", std::move(exchange), [this](ExchangePtr served) { book(std::move(served)); });
}

void ServiceServer::book(ExchangePtr exchange)
{
    const auto key = exchange->header("Idempotency-Key");
    const std::uint64_t runs = m_bookings.run(key.value_or(""));
    const nlohmann::json body { { "booked", key.value_or("") }, { "runs", runs }, { "path", exchange->path() },
        { "body_bytes", exchange->body().size() } };
    answerLater(std::move(exchange), body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void ServiceServer::read(ExchangePtr exchange)
{
    const nlohmann::json body { { "path", exchange->path() }, { "level_cm", exchange->path().size() } };
    answerLater(std::move(exchange), body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void ServiceServer::answerLater(ExchangePtr exchange, std::string body)
{
    runAfter(m_serviceTime, [exchange = std::move(exchange), body = std::move(body)] {
        exchange->answer(200, "application/json", body);
    });
}

} // namespace hornbeamgate::standins
