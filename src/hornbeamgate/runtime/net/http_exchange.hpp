#pragma once

#include "hornbeamgate/runtime/net/http_connection_pool.hpp"
#include "hornbeamgate/runtime/net/http_parser.hpp"

#include <deque>
#include <vector>

namespace hornbeamgate::gateway {

/// Reason why an exchange has no complete response.
enum class ExchangeFailure {
    NotSent, ///< no byte of the request left this host
    NoAnswer, ///< the connection ended before a response started
    BrokenAnswer, ///< the response started but was not completed
    MalformedAnswer,
};

std::string_view exchangeFailureName(ExchangeFailure failure);

/// Request of one exchange.
struct ExchangeRequest {
    SocketAddress peer;
    std::string text; ///< serialized head, and the body unless it is shared
    std::shared_ptr<const std::string> sharedBody; ///< optional; follows `text`, and is not copied
    bool isHeadRequest = false;
    MonotonicTime connectDeadline {};
    UnresponsivePeer unresponsivePeer = UnresponsivePeer::Disconnect; ///< for a new connection
    std::size_t maxBodyBytes = SIZE_MAX; ///< a larger response body is a failure
    /// Connections that are not used, such as those that carried the same request before: a late second copy of its earlier
    /// response there could not be told from the new one.
    std::vector<ConnectionNumber> excludedConnections;
    /// Responses for which this returns false belong to an earlier exchange and are skipped. Empty: every response
    /// matches.
    std::function<bool(const HttpResponseHead&)> isMatchingResponse;
};

/// One HTTP/1.1 request and its response over a pooled connection. The request is never retried. Destroying the exchange
/// before its end closes the connection.
class HttpExchange {
public:
    /// Any callback may destroy the exchange. The last callback is a single call of `complete` or `failed`.
    struct Handlers {
        std::function<void(HttpResponseHead)> head;
        std::function<void(std::string_view)> body;
        std::function<void()> complete;
        std::function<void(ExchangeFailure, const std::string& reason)> failed;
        std::function<void()> received {}; ///< optional; something was read that has led to no other callback
    };

    HttpExchange(HttpConnectionPool& pool, ExchangeRequest request, Handlers handlers);
    HttpExchange(const HttpExchange&) = delete;
    HttpExchange& operator=(const HttpExchange&) = delete;

    void pauseReading(bool paused);
    /// Memory of the unsent request without its shared body, and of the unfinished head of the response.
    std::size_t heldBytes() const;

    /// Whether the request was sent over a pooled connection.
    bool isReused() const { return m_isReused; }
    /// Connection over which the request is sent; none if it could not be opened.
    std::optional<ConnectionNumber> connection() const { return m_number; }

private:
    struct Event {
        enum class Kind { Head,
            Body,
            Complete } kind;
        HttpResponseHead head;
        std::string octets;
    };

    void open();
    void send();
    void onReceived(std::string_view octets);
    void onEnded(StreamEnd how, const std::string& reason);
    void onHead(HttpResponseHead head);
    void onComplete();
    void deliver();
    void releaseConnection();
    void fail(ExchangeFailure failure, const std::string& reason);

    HttpConnectionPool& m_pool;
    ExchangeRequest m_request;
    std::shared_ptr<const Handlers> m_handlers; ///< shared so that a running callback may destroy the exchange
    std::unique_ptr<TcpStream> m_stream;
    std::optional<ConnectionNumber> m_number;
    std::unique_ptr<HttpParser> m_parser;
    std::deque<Event> m_events;
    bool m_isReused = false;
    Duration m_idleTime {};
    bool m_isSent = false;
    bool m_hasAnswer = false;
    bool m_isSkipping = false;
    bool m_isDone = false;
    bool m_hasTrailingOctets = false;
    bool m_keepsAlive = false;
    Duration m_keepAliveTime {};
    Liveness m_liveness;
};

} // namespace hornbeamgate::gateway
