#pragma once

#include "hornbeamgate/runtime/net/http_server_connection.hpp"
#include "hornbeamgate/runtime/net/tcp_listener.hpp"

#include <unordered_map>

namespace hornbeamgate::gateway {

/// Listens on one address and owns the connections accepted there.
class HttpAcceptor {
public:
    /// Callbacks shared by all connections of the acceptor. All but `accept` are optional.
    struct Service {
        HttpServerConnection::Accept accept;
        std::function<HttpServerLimits()> limits;
        std::function<bool()> isClosing;
        MemoryAccount* memory = nullptr;
        std::function<HttpFields(const HttpRequestHead&)> refusalFields {};
        /// Number of connections above which one without progress is closed for each new one, or the new one is refused.
        std::function<std::size_t()> maxConnections {};
    };

    static Result<std::unique_ptr<HttpAcceptor>, NetError> create(const SocketAddress& address, Service service);

    const SocketAddress& address() const { return m_listener->address(); }
    std::size_t connections() const { return m_connections.size(); }
    /// Number of connections with a request in progress, or a response that is not sent yet.
    std::size_t busyConnections() const;
    void closeIdleConnections();
    /// Tells the handlers of responses that are not sent yet that their connections are about to end.
    void reportCutOffResponses(std::string_view reason);

private:
    explicit HttpAcceptor(Service service);
    void add(std::unique_ptr<TcpStream> stream);
    /// Makes room for one more connection. Returns false if every connection has a request or makes progress.
    bool makeRoom();
    void refuse(TcpStream& stream) const;
    void reportRefused(std::string_view reason) const;

    HttpServerConnection::Host m_host;
    std::function<std::size_t()> m_maxConnections;
    std::size_t m_endedConnections = 0; ///< that wait for their destruction
    MonotonicTime m_nextSearch {}; ///< a search without a connection that could be closed is not repeated before
    std::unique_ptr<TcpListener> m_listener;
    std::unordered_map<const HttpServerConnection*, std::unique_ptr<HttpServerConnection>> m_connections;
    Liveness m_liveness;
};

/// Response that a request handler computes synchronously.
struct HttpSimpleResponse {
    int status = 200;
    std::string contentType;
    std::string body;
};

/// Returns an accept function that sends the result of `answer` as the response as soon as the request has arrived.
HttpServerConnection::Accept respondImmediately(std::function<HttpSimpleResponse(const HttpRequestMessage&)> answer);

} // namespace hornbeamgate::gateway
