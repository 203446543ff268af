#include "hornbeamgate/runtime/net/http_call.hpp"

#include <algorithm>

namespace hornbeamgate::gateway {

HttpCall::HttpCall(HttpConnectionPool& pool, const SocketAddress& peer, std::string requestText, const CallLimits& limits, Report report)
    : m_limits(limits)
    , m_report(std::move(report))
    , m_timer([this] { complete(failure(NetError { "no answer in time" })); })
{
    ExchangeRequest request;
    request.peer = peer;
    request.text = std::move(requestText);
    request.connectDeadline = limits.headDeadline;
    request.maxBodyBytes = limits.maxBodyBytes;
    m_timer.set(std::min(limits.deadline, limits.headDeadline));
    m_exchange = std::make_unique<HttpExchange>(pool, std::move(request),
        HttpExchange::Handlers { [this](const HttpResponseHead& head) {
                                    m_answer.status = head.status;
                                    m_answer.fields = head.fields;
                                    onProgress();
                                },
            [this](std::string_view octets) {
                m_answer.body += octets;
                onProgress();
            },
            [this] { complete(std::move(m_answer)); }, [this](ExchangeFailure, const std::string& reason) { complete(failure(NetError { reason })); } });
}

void HttpCall::onProgress()
{
    m_timer.set(m_limits.maxSilence ? std::min(m_limits.deadline, MonotonicClock::now() + *m_limits.maxSilence) : m_limits.deadline);
}

void HttpCall::complete(Result<HttpResponse, NetError> result)
{
    m_timer.clear();
    m_exchange.reset();
    const auto report = std::move(m_report);
    report(std::move(result));
}

void HttpCalls::start(const SocketAddress& peer, std::string requestText, const CallLimits& limits, HttpCall::Report report)
{
    const auto number = ++m_lastNumber;
    auto call = std::make_unique<HttpCall>(m_pool, peer, std::move(requestText), limits, [this, number, report = std::move(report)](Result<HttpResponse, NetError> result) {
        const auto finished = m_calls.extract(number);
        report(std::move(result));
    });
    m_calls.emplace(number, std::move(call));
}

} // namespace hornbeamgate::gateway
