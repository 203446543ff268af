#pragma once

#include "hornbeamgate/runtime/net/http_parser.hpp"
#include "hornbeamgate/runtime/net/tcp_stream.hpp"

#include <functional>
#include <memory>

namespace hornbeamgate::gateway {

class HttpServerConnection;

/// Bounds on what a client may send.
struct HttpServerLimits {
    std::size_t maxHeadBytes = 16384;
    std::size_t maxBodyBytes = 4194304;
    std::chrono::milliseconds headTimeout { 3000 };
    std::chrono::milliseconds idleTimeout { 15000 };
};

/// Whole request of a client.
struct HttpRequestMessage {
    HttpRequestHead head;
    std::string body;
    MonotonicTime headArrived {};
};

/// Work for one request. Destroying it gives the request up.
class HttpRequestHandler {
public:
    virtual ~HttpRequestHandler() = default;
    /// Begins the work; an answer may be sent from here on.
    virtual void start() = 0;
    /// The client closed its connection. No answer can be sent any more.
    virtual void clientDisconnected() = 0;
};

/// Server side of one HTTP/1.1 connection: reads one request at a time and sends its answer.
class HttpServerConnection {
public:
    /// Makes the handler of a request, which answers through the connection.
    using Accept = std::function<std::unique_ptr<HttpRequestHandler>(HttpServerConnection&, HttpRequestMessage)>;

    struct Host {
        Accept accept;
        std::function<void(HttpServerConnection&)> ended; ///< the connection can be destroyed, after the current callback
        std::function<HttpServerLimits()> limits;
        std::function<bool()> isClosing; ///< answers tell clients to open new connections
    };

    HttpServerConnection(std::unique_ptr<TcpStream> stream, const Host& host);
    HttpServerConnection(const HttpServerConnection&) = delete;
    HttpServerConnection& operator=(const HttpServerConnection&) = delete;

    /// Sends a whole answer.
    void answer(int status, HttpFields fields, std::string_view body);
    /// Begins an answer of unknown length.
    void beginResponse(int status, HttpFields fields);
    void sendChunk(std::string_view octets);
    void finishResponse();
    /// Closes the connection, so that an answer that has begun does not look complete.
    void abort();

    /// Octets of the answer that the client has not taken yet.
    std::size_t unsent() const { return m_stream ? m_stream->unsent() : 0; }
    bool hasRequest() const { return m_handler != nullptr || m_isReadingRequest; }
    /// Closes the connection unless a request is in progress.
    void closeIfIdle();

private:
    void onReceived(std::string_view octets);
    void parsePending();
    void onHead(HttpRequestHead head);
    void onBody(std::string_view octets);
    void onRequest();
    void onEnded();
    void onTimeout();
    void refuse(int status);
    void completeResponse();
    void finish();
    void close();
    void notifyEnded();

    const Host& m_host;
    std::unique_ptr<TcpStream> m_stream;
    std::unique_ptr<HttpParser> m_parser;
    std::unique_ptr<HttpRequestHandler> m_handler;
    HttpRequestMessage m_message;
    std::string m_pending; ///< octets after the request in progress
    bool m_isReadingRequest = false;
    bool m_keepsAlive = true;
    bool m_isHeadRequest = false;
    bool m_isFinishing = false; ///< nothing more is read
    bool m_hasEnded = false;
    Timer m_timer;
    Liveness m_liveness;
};

} // namespace hornbeamgate::gateway
