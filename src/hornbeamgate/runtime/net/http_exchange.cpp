#include "hornbeamgate/runtime/net/http_exchange.hpp"

#include <array>
#include <charconv>

namespace hornbeamgate::gateway {

namespace {

    /// Keep-alive time for peers that do not announce one.
    constexpr std::chrono::seconds kDefaultKeepAlive { 10 };
    /// Subtracted from the announced keep-alive time to cover the network latency of the next request.
    constexpr std::chrono::milliseconds kKeepAliveMargin { 300 };

    /// Keep-alive time announced by the `timeout` parameter of the Keep-Alive field.
    Duration keepAliveTime(const HttpFields& fields)
    {
        constexpr std::string_view kParameter = "timeout=";
        const auto value = fields.find("Keep-Alive");
        if (!value)
            return kDefaultKeepAlive;
        const auto start = value->find(kParameter);
        if (start == std::string_view::npos)
            return kDefaultKeepAlive;
        int seconds = 0;
        const auto digits = value->substr(start + kParameter.size());
        if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec != std::errc())
            return kDefaultKeepAlive;
        return std::chrono::seconds(seconds) - kKeepAliveMargin;
    }

} // namespace

std::string_view exchangeFailureName(ExchangeFailure failure)
{
    constexpr std::array<std::string_view, 4> kNames { "not_sent", "no_answer", "broken_answer", "malformed_answer" };
    return kNames[static_cast<std::size_t>(failure)];
}

HttpExchange::HttpExchange(HttpConnectionPool& pool, ExchangeRequest request, Handlers handlers)
    : m_pool(pool)
    , m_request(std::move(request))
    , m_handlers(std::make_shared<const Handlers>(std::move(handlers)))
{
    m_parser = HttpParser::forResponses({ HttpParserLimits().maxHeadBytes, m_request.maxBodyBytes }, { {}, [this](HttpResponseHead head) { onHead(std::move(head)); }, [this](std::string_view octets) {
                                                 if (!m_isSkipping)
                                                     m_events.push_back({ Event::Kind::Body, {}, std::string(octets) }); }, [this] { onComplete(); } });
    m_parser->expectNoBody(m_request.isHeadRequest);
    open();
}

void HttpExchange::open()
{
    if (auto pooled = m_pool.take(m_request.peer, MonotonicClock::now(), m_request.excludedConnections)) {
        m_isReused = true;
        m_idleTime = m_pool.lastIdleTime();
        m_stream = std::move(pooled->stream);
        m_number = pooled->number;
    } else {
        auto connected = TcpStream::connect(m_request.peer, m_request.connectDeadline, m_request.unresponsivePeer);
        if (!connected) {
            // Report asynchronously, since the caller has no pointer to this exchange yet.
            post([this, reason = connected.error().detail, alive = m_liveness.watch()] {
                if (!alive.expired())
                    fail(ExchangeFailure::NotSent, reason);
            });
            return;
        }
        m_number = m_pool.recordOpened();
        m_stream = std::move(*connected);
    }
    m_stream->setHandlers({ [this] { send(); }, [this](std::string_view octets) { onReceived(octets); },
        [this](StreamEnd how, const std::string& reason) { onEnded(how, reason); } });
    if (m_isReused)
        send();
}

void HttpExchange::send()
{
    m_isSent = true;
    if (m_request.sharedBody)
        m_stream->send(m_request.text, std::move(m_request.sharedBody));
    else
        m_stream->send(m_request.text);
    std::string().swap(m_request.text);
}

void HttpExchange::pauseReading(bool paused)
{
    if (m_stream)
        m_stream->pauseReading(paused);
}

void HttpExchange::onReceived(std::string_view octets)
{
    while (!octets.empty() && !m_isDone) {
        const auto taken = m_parser->feed(octets);
        if (!taken) {
            // Deliver what was parsed before the error.
            const auto alive = m_liveness.watch();
            deliver();
            if (!alive.expired())
                fail(m_hasAnswer ? ExchangeFailure::BrokenAnswer : ExchangeFailure::MalformedAnswer, taken.error().detail);
            return;
        }
        octets.remove_prefix(*taken);
    }
    m_hasTrailingOctets = !octets.empty();
    if (!m_events.empty())
        deliver();
    else if (const auto handlers = m_handlers; handlers->received)
        handlers->received();
}

std::size_t HttpExchange::heldBytes() const
{
    return m_request.text.capacity() + m_parser->heldBytes() + (m_stream ? m_stream->heldBytes() : 0);
}

void HttpExchange::onEnded(StreamEnd how, const std::string& reason)
{
    if (how == StreamEnd::Finished && m_hasAnswer && !m_isDone && m_parser->finish() && m_isDone) {
        m_keepsAlive = false;
        deliver();
        return;
    }
    if (how == StreamEnd::Refused || !m_isSent) {
        fail(ExchangeFailure::NotSent, reason);
        return;
    }
    if (m_isReused && !m_hasAnswer)
        m_pool.recordFailedReuse(m_request.peer, m_idleTime);
    fail(m_hasAnswer ? ExchangeFailure::BrokenAnswer : ExchangeFailure::NoAnswer, reason);
}

void HttpExchange::onHead(HttpResponseHead head)
{
    m_isSkipping = m_request.isMatchingResponse && !m_request.isMatchingResponse(head);
    m_keepsAlive = head.keepsAlive && !head.endsWithConnection;
    if (m_isSkipping) {
        m_pool.recordSkippedResponse();
        return;
    }
    m_hasAnswer = true;
    if (head.endsWithConnection)
        m_stream->endAfterAcknowledgement();
    m_keepAliveTime = keepAliveTime(head.fields);
    m_events.push_back({ Event::Kind::Head, std::move(head), {} });
}

void HttpExchange::onComplete()
{
    if (std::exchange(m_isSkipping, false))
        return;
    m_isDone = true;
    m_events.push_back({ Event::Kind::Complete, {}, {} });
}

void HttpExchange::deliver()
{
    const auto alive = m_liveness.watch();
    const auto handlers = m_handlers;
    while (!m_events.empty()) {
        auto event = std::move(m_events.front());
        m_events.pop_front();
        if (event.kind == Event::Kind::Head) {
            handlers->head(std::move(event.head));
        } else if (event.kind == Event::Kind::Body) {
            handlers->body(event.octets);
        } else {
            releaseConnection();
            handlers->complete();
            return;
        }
        if (alive.expired())
            return;
    }
}

void HttpExchange::releaseConnection()
{
    const bool isClean = m_keepsAlive && !m_hasTrailingOctets && m_stream->unsent() == 0;
    const auto now = MonotonicClock::now();
    if (isClean && m_keepAliveTime > Duration::zero()) {
        m_pool.put(m_request.peer, { std::move(m_stream), *m_number }, now + m_keepAliveTime, now);
        return;
    }
    // The stream's callbacks refer to this exchange, so the stream must not outlive it.
    m_stream.reset();
}

void HttpExchange::fail(ExchangeFailure failure, const std::string& reason)
{
    m_isDone = true;
    m_events.clear();
    // Without its connection the exchange cannot report the end of the connection as a second failure.
    m_stream.reset();
    const auto handlers = m_handlers;
    handlers->failed(failure, reason);
}

} // namespace hornbeamgate::gateway
