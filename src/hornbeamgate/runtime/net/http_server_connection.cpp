#include "hornbeamgate/runtime/net/http_server_connection.hpp"

#include <algorithm>
#include <charconv>

namespace hornbeamgate::gateway {

namespace {

    constexpr int kBadRequest = 400;
    constexpr int kRequestTimeout = 408;
    constexpr int kContentTooLarge = 413;
    constexpr int kHeadTooLarge = 431;
    constexpr int kUnavailable = 503;
    /// Bodies up to this size are copied behind their heads, so that both leave in one segment.
    constexpr std::size_t kMaxJoinedBody = 16384;
    /// Estimate of the memory of a connection without a request: its objects, callbacks and event sources.
    constexpr std::size_t kConnectionBytes = 4096;
    /// Retry-After, in seconds, of a refusal for lack of memory: the time after which stalled connections are closed.
    constexpr std::string_view kRetryAfter = "1";
    /// Limit on buffered bytes of pipelined requests while a request is in progress; reading pauses above it.
    constexpr std::size_t kMaxPendingBytes = 65536;
    /// Time that a client has to close its side after the last response.
    constexpr std::chrono::milliseconds kLingerTimeout { 1000 };

} // namespace

HttpServerConnection::HttpServerConnection(std::unique_ptr<TcpStream> stream, const Host& host)
    : m_host(host)
    , m_stream(std::move(stream))
    , m_timer([this] { onTimeout(); })
    , m_memory(m_host.memory, *this)
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
    updateMemory();
}

void HttpServerConnection::onReceived(std::string_view octets)
{
    if (m_isFinishing)
        return;
    m_pending += octets;
    const auto alive = m_liveness.watch();
    if (!m_handler)
        parsePending();
    if (alive.expired() || m_hasEnded)
        return;
    if (m_handler && !m_pending.empty() && (m_pending.size() > kMaxPendingBytes || isMemoryNearlyUsed()))
        m_stream->pauseReading(true);
    updateMemory();
}

std::size_t HttpServerConnection::heldBytes() const
{
    const std::size_t held = kConnectionBytes + m_pending.capacity() + m_parser->heldBytes() + m_message.head.heldBytes() + m_message.body.capacity();
    return held + (m_stream ? m_stream->heldBytes() : 0) + (m_handler ? m_handler->heldBytes() : 0);
}

void HttpServerConnection::updateMemory()
{
    if (m_host.memory && !m_hasEnded)
        m_memory.set(heldBytes());
}

bool HttpServerConnection::makeRoom(std::size_t more)
{
    if (!m_host.memory)
        return true;
    m_memory.set(heldBytes() + more);
    return m_host.memory->makeRoom(&m_memory, MonotonicClock::now());
}

std::optional<MonotonicTime> HttpServerConnection::stalledSince() const
{
    if (m_hasEnded || (m_handler && unsent() == 0))
        return std::nullopt;
    return m_stream->lastProgress();
}

void HttpServerConnection::closeForMemory()
{
    release("the process has too little memory");
}

void HttpServerConnection::release(std::string_view reason)
{
    reportCutOff(reason);
    if (m_handler)
        m_handler->clientDisconnected();
    notifyEnded();
    m_stream.reset();
    m_handler.reset();
    m_message = {};
    std::string().swap(m_pending);
    m_memory.set(0);
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
        if (alive.expired() || m_hasEnded)
            return;
        if (!m_handler && !m_lacksMemory && !makeRoom(0))
            m_lacksMemory = true;
        if (m_lacksMemory) {
            refuseForMemory();
            return;
        }
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
    const auto limits = m_host.limits();
    m_expectedBody = limits.maxBodyBytes;
    if (const auto length = m_message.head.fields.find("Content-Length"))
        std::from_chars(length->data(), length->data() + length->size(), m_expectedBody);
    if (!makeRoom(0)) {
        m_lacksMemory = true;
        return;
    }
    if (m_message.head.fields.listContains("Expect", "100-continue"))
        m_stream->send("HTTP/1.1 100 Continue\r\n\r\n");
    // A long body may take as long as the idle timeout allows.
    m_timer.set(MonotonicClock::now() + limits.idleTimeout);
}

void HttpServerConnection::onBody(std::string_view octets)
{
    if (m_lacksMemory || !growBody(octets.size())) {
        m_lacksMemory = true;
        return;
    }
    m_message.body += octets;
}

bool HttpServerConnection::growBody(std::size_t more)
{
    auto& body = m_message.body;
    const auto needed = body.size() + more;
    if (needed <= body.capacity())
        return true;
    // Doubling without regard to the expected size would take up to twice the memory of the body.
    const auto capacity = std::max(needed, std::min(2 * body.capacity(), m_expectedBody));
    if (!makeRoom(capacity - body.capacity()))
        return false;
    body.reserve(capacity);
    return true;
}

void HttpServerConnection::onRequest()
{
    if (m_lacksMemory)
        return;
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
    const bool isJoined = m_hasNoBody || body.size() <= kMaxJoinedBody;
    if (isJoined && !m_hasNoBody)
        text += body;
    m_stream->send(text);
    if (!isJoined)
        m_stream->send(body);
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
    updateMemory();
}

void HttpServerConnection::sendChunk(std::string_view octets)
{
    if (!m_hasNoBody)
        m_stream->send(chunkText(octets));
    updateMemory();
}

void HttpServerConnection::finishResponse()
{
    if (!m_hasNoBody)
        m_stream->send(kLastChunk);
    completeResponse();
}

void HttpServerConnection::completeResponse()
{
    updateMemory();
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
    updateMemory();
    if (!m_keepsAlive) {
        finish();
        return;
    }
    m_timer.set(MonotonicClock::now() + m_host.limits().idleTimeout);
    m_stream->pauseReading(false);
    const auto alive = m_liveness.watch();
    parsePending();
    if (!alive.expired())
        updateMemory();
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

void HttpServerConnection::refuse(int status, HttpFields fields)
{
    m_keepsAlive = false;
    m_isReadingRequest = false;
    // What was read of the request is not needed any more, and the client may take its time to close the connection.
    m_message = {};
    m_parser = HttpParser::forRequests({}, {});
    std::string().swap(m_pending);
    answer(status, std::move(fields), {});
    m_isFinishing = true;
}

void HttpServerConnection::refuseForMemory()
{
    HttpFields fields;
    if (m_host.refusalFields)
        fields = m_host.refusalFields(m_message.head);
    else
        fields.add("Retry-After", kRetryAfter);
    if (m_host.memory->observer().refused)
        m_host.memory->observer().refused("memory");
    refuse(kUnavailable, std::move(fields));
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
