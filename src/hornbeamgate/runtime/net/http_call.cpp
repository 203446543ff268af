#include "hornbeamgate/runtime/net/http_call.hpp"

namespace hornbeamgate::gateway {

HttpCall::HttpCall(HttpConnectionPool& pool, const SocketAddress& peer, std::string requestText, MonotonicTime deadline, Report report)
    : m_report(std::move(report))
    , m_timer([this] { complete(failure(NetError { "no answer in time" })); })
{
    ExchangeRequest request;
    request.peer = peer;
    request.text = std::move(requestText);
    request.connectDeadline = deadline;
    request.maxBodyBytes = kMaxBodyBytes;
    m_timer.set(deadline);
    m_exchange = std::make_unique<HttpExchange>(pool, std::move(request),
        HttpExchange::Handlers { [this](const HttpResponseHead& head) { m_answer.status = head.status; }, [this](std::string_view octets) { m_answer.body += octets; },
            [this] { complete(std::move(m_answer)); }, [this](ExchangeFailure, const std::string& reason) { complete(failure(NetError { reason })); } });
}

void HttpCall::complete(Result<HttpResponse, NetError> result)
{
    m_timer.clear();
    m_exchange.reset();
    const auto report = std::move(m_report);
    report(std::move(result));
}

void HttpCalls::start(const SocketAddress& peer, std::string requestText, MonotonicTime deadline, HttpCall::Report report)
{
    const auto number = ++m_lastNumber;
    auto call = std::make_unique<HttpCall>(m_pool, peer, std::move(requestText), deadline, [this, number, report = std::move(report)](Result<HttpResponse, NetError> result) {
        const auto finished = m_calls.extract(number);
        report(std::move(result));
    });
    m_calls.emplace(number, std::move(call));
}

} // namespace hornbeamgate::gateway
