#include "hornbeamgate/runtime/http/http_client.hpp"

#include "hornbeamgate/runtime/net/http_exchange.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace hornbeamgate {

namespace {

    using gateway::ExchangeFailure;
    using gateway::ExchangeRequest;

    /// Whether a method is idempotent (RFC 9110, 9.2.2).
    bool isIdempotent(std::string_view method)
    {
        constexpr std::array<std::string_view, 6> kMethods { "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE" };
        return std::find(kMethods.begin(), kMethods.end(), method) != kMethods.end();
    }

    bool isTarget(std::string_view target)
    {
        return target.starts_with('/') && std::all_of(target.begin(), target.end(), [](char c) { return c > ' ' && c < '\x7f'; });
    }

    bool isWellFormed(const HttpRequest& request)
    {
        return gateway::isToken(request.method) && isTarget(request.target) && gateway::isFieldValue(request.contentType)
            && std::all_of(request.headers.begin(), request.headers.end(), [](const HttpHeader& header) { return gateway::isToken(header.name) && gateway::isFieldValue(header.value); });
    }

    gateway::HttpRequestHead headOf(const HttpRequest& request)
    {
        gateway::HttpRequestHead head { request.method, request.target, {} };
        head.fields.add("Host", request.address.text());
        for (const auto& header : request.headers)
            head.fields.add(header.name, header.value);
        if (!request.contentType.empty())
            head.fields.add("Content-Type", request.contentType);
        return head;
    }

} // namespace

std::uint16_t HttpResponseHead::status() const
{
    return static_cast<std::uint16_t>(m_head.status);
}

std::string HttpResponseHead::header(const char* name) const
{
    return std::string(m_head.fields.find(name).value_or(""));
}

std::uint64_t HttpResponseHead::number(const char* name) const
{
    const auto text = header(name);
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

HttpCall::HttpCall(HttpRequest request, HttpCallObserver& observer, std::shared_ptr<gateway::HttpConnectionPool> pool)
    : m_request(std::move(request))
    , m_body(std::make_shared<const std::string>(std::exchange(m_request.body, {})))
    , m_observer(&observer)
    , m_pool(std::move(pool))
{
}

HttpCall::~HttpCall() = default;

void HttpCall::start()
{
    if (!isWellFormed(m_request)) {
        post([this, alive = m_liveness.watch()] {
            if (!alive.expired())
                m_observer->callFailed({ HttpErrorKind::NotConnected, "the request is malformed" });
        });
        return;
    }
    ExchangeRequest exchange;
    exchange.peer = m_request.address;
    exchange.text = requestHeadText(headOf(m_request), m_body->size());
    exchange.sharedBody = m_body;
    exchange.isHeadRequest = m_request.method == "HEAD";
    // The caller's deadline ends the call.
    exchange.connectDeadline = MonotonicTime::max();
    exchange.unresponsivePeer = gateway::UnresponsivePeer::Await;
    m_exchange = std::make_unique<gateway::HttpExchange>(*m_pool, std::move(exchange),
        gateway::HttpExchange::Handlers { [this](const gateway::HttpResponseHead& head) { m_observer->responseStarted(HttpResponseHead(head)); },
            [this](std::string_view octets) { m_observer->dataReceived(octets); }, [this] { m_observer->responseCompleted(); },
            [this](ExchangeFailure failure, const std::string& reason) { onFailed(failure, reason); } });
    m_exchange->pauseReading(m_paused);
}

void HttpCall::onFailed(ExchangeFailure failure, const std::string& reason)
{
    // The server may have closed the idle connection before the request arrived.
    if (failure == ExchangeFailure::NoAnswer && m_exchange->isReused() && isIdempotent(m_request.method)) {
        m_pool = std::make_shared<gateway::HttpConnectionPool>();
        start();
        return;
    }
    m_observer->callFailed({ failure == ExchangeFailure::NotSent ? HttpErrorKind::NotConnected : HttpErrorKind::ResponseLost, reason });
}

void HttpCall::pause()
{
    m_paused = true;
    if (m_exchange)
        m_exchange->pauseReading(true);
}

void HttpCall::resume()
{
    m_paused = false;
    if (m_exchange)
        m_exchange->pauseReading(false);
}

HttpClient::HttpClient()
    : m_pool(std::make_shared<gateway::HttpConnectionPool>())
{
}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpCall> HttpClient::start(const HttpRequest& request, HttpCallObserver& observer)
{
    // A pool of its own has no connection to reuse.
    auto pool = request.newConnection ? std::make_shared<gateway::HttpConnectionPool>() : m_pool;
    std::unique_ptr<HttpCall> call(new HttpCall(request, observer, std::move(pool)));
    call->start();
    return call;
}

} // namespace hornbeamgate
