#include "hornbeamgate/runtime/net/http_server_connection.hpp"

namespace hornbeamgate::gateway {

namespace {

    constexpr int kBadRequest = 400;
    constexpr int kRequestTimeout = 408;
    constexpr int kContentTooLarge = 413;
    constexpr int kHeadTooLarge = 431;
    /// Limit on buffered bytes of pipelined requests while a request is in progress; reading pauses above it.
    constexpr std::size_t kMaxPendingBytes = 65536;
    /// Time that a client has to close its side after the last response.
    constexpr std::chrono::milliseconds kLingerTimeout { 1000 };

} // namespace

HttpServerConnection::HttpServerConnection(std::unique_ptr<TcpStream> stream, const Host& host)
    : m_host(host)
    , m_stream(std::move(stream))
    , m_timer([this] { onTimeout(); })
{
    const auto limits = m_host.limits();
    m_parser = HttpParser::forRequests({ limits.maxHeadBytes, limits.maxBodyBytes },
        { [this](HttpRequestHead head) { onHead(std::move(head)); }, {}, [this](std::string_view octets) { onBody(octets); }, [this] { onRequest(); } });
    m_stream->setHandlers({ {}, [this](std::string_view octets) { onReceived(octets); }, [this](StreamEnd, const std::string&) { onEnded(); },
        [this] {
            if (m_isSendingRest)
                onSent();
        } });
    m_timer.set(MonotonicClock::now() + limits.idleTimeout);
}

void HttpServerConnection::onReceived(std::string_view octets)
{
    if (m_isFinishing)
        return;
    m_pending += octets;
    if (!m_handler)
        parsePending();
    if (m_stream && m_handler && m_pending.size() > kMaxPendingBytes)
        m_stream->pauseReading(true);
}

void HttpServerConnection::parsePending()
{
    const auto alive = m_liveness.watch();
    while (!m_pending.empty() && !m_handler && !m_hasEnded && !m_isFinishing) {
        if (!m_isReadingRequest) {
            m_isReadingRequest = true;
            m_timer.set(MonotonicClock::now() + m_host.limits().headTimeout);
        }
        // The parser passes views of its input to callbacks, which may append to m_pending, so it gets its own buffer.
        const auto octets = std::exchange(m_pending, {});
        const auto taken = m_parser->feed(octets);
        if (alive.expired())
            return;
        if (!taken) {
            const bool inBody = !m_message.head.method.empty();
            refuse(!taken.error().isTooLarge ? kBadRequest : inBody ? kContentTooLarge
                                                                    : kHeadTooLarge);
            return;
        }
        m_pending.insert(0, octets, *taken);
    }
}

void HttpServerConnection::onHead(HttpRequestHead head)
{
    m_message = { std::move(head), {}, MonotonicClock::now() };
    m_isHeadRequest = m_message.head.method == "HEAD";
    m_keepsAlive = m_message.head.keepsAlive;
    if (m_message.head.fields.listContains("Expect", "100-continue"))
        m_stream->send("HTTP/1.1 100 Continue\r\n\r\n");
    // A long body may take as long as the idle timeout allows.
    m_timer.set(MonotonicClock::now() + m_host.limits().idleTimeout);
}

void HttpServerConnection::onBody(std::string_view octets)
{
    m_message.body += octets;
}

void HttpServerConnection::onRequest()
{
    m_timer.clear();
    m_isReadingRequest = false;
    m_handler = m_host.accept(*this, std::exchange(m_message, {}));
    m_handler->start();
}

void HttpServerConnection::answer(int status, HttpFields fields, std::string_view body)
{
    m_hasNoBody = m_isHeadRequest || isBodylessStatus(status);
    if (!isBodylessStatus(status))
        fields.add("Content-Length", std::to_string(body.size()));
    if (m_host.isClosing())
        m_keepsAlive = false;
    if (!m_keepsAlive)
        fields.add("Connection", "close");
    auto text = responseHeadText(status, fields);
    if (!m_hasNoBody)
        text += body;
    m_stream->send(text);
    completeResponse();
}

void HttpServerConnection::beginResponse(int status, HttpFields fields)
{
    m_hasNoBody = m_isHeadRequest || isBodylessStatus(status);
    if (!isBodylessStatus(status))
        fields.add("Transfer-Encoding", "chunked");
    if (m_host.isClosing())
        m_keepsAlive = false;
    if (!m_keepsAlive)
        fields.add("Connection", "close");
    m_stream->send(responseHeadText(status, fields));
}

void HttpServerConnection::sendChunk(std::string_view octets)
{
    if (!m_hasNoBody)
        m_stream->send(chunkText(octets));
}

void HttpServerConnection::finishResponse()
{
    if (!m_hasNoBody)
        m_stream->send(kLastChunk);
    completeResponse();
}

void HttpServerConnection::completeResponse()
{
    // This may run inside a callback of the handler, so its destruction is deferred until the callback has returned.
    post([this, alive = m_liveness.watch()] {
        if (alive.expired() || m_hasEnded)
            return;
        if (unsent() == 0) {
            onSent();
            return;
        }
        m_isSendingRest = true;
        m_unsentBefore = unsent();
        m_timer.set(MonotonicClock::now() + m_host.limits().idleTimeout);
    });
}

void HttpServerConnection::onSent()
{
    m_isSendingRest = false;
    if (m_handler)
        m_handler->responseSent();
    m_handler.reset();
    if (!m_keepsAlive) {
        finish();
        return;
    }
    m_timer.set(MonotonicClock::now() + m_host.limits().idleTimeout);
    m_stream->pauseReading(false);
    parsePending();
}

void HttpServerConnection::reportCutOff(std::string_view reason)
{
    if (std::exchange(m_isSendingRest, false) && m_handler)
        m_handler->responseCutOff(unsent(), reason);
}

void HttpServerConnection::abort()
{
    close();
}

void HttpServerConnection::closeIfIdle()
{
    if (!hasRequest() && !m_hasEnded && !m_isFinishing)
        finish();
}

void HttpServerConnection::finish()
{
    m_isFinishing = true;
    m_stream->finishSending();
    m_timer.set(MonotonicClock::now() + kLingerTimeout);
}

void HttpServerConnection::onEnded()
{
    reportCutOff("the client closed the connection");
    if (m_handler)
        m_handler->clientDisconnected();
    notifyEnded();
}

void HttpServerConnection::onTimeout()
{
    if (m_isReadingRequest && !m_hasEnded) {
        refuse(kRequestTimeout);
        return;
    }
    if (m_isSendingRest && unsent() < m_unsentBefore) {
        m_unsentBefore = unsent();
        m_timer.set(MonotonicClock::now() + m_host.limits().idleTimeout);
        return;
    }
    reportCutOff("the client read nothing for the idle timeout");
    close();
}

void HttpServerConnection::refuse(int status)
{
    m_keepsAlive = false;
    m_isReadingRequest = false;
    m_pending.clear();
    answer(status, {}, {});
    m_isFinishing = true;
}

void HttpServerConnection::close()
{
    if (m_hasEnded)
        return;
    notifyEnded();
}

void HttpServerConnection::notifyEnded()
{
    if (std::exchange(m_hasEnded, true))
        return;
    m_timer.clear();
    m_host.ended(*this);
}

} // namespace hornbeamgate::gateway
