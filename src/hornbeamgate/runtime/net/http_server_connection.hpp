#pragma once

#include "hornbeamgate/runtime/net/http_parser.hpp"
#include "hornbeamgate/runtime/net/memory_account.hpp"
#include "hornbeamgate/runtime/net/tcp_stream.hpp"

#include <functional>
#include <memory>

namespace hornbeamgate::gateway {

class HttpServerConnection;

/// Size limits and timeouts for client requests.
struct HttpServerLimits {
    std::size_t maxHeadBytes = 16384;
    std::size_t maxBodyBytes = 4194304;
    std::chrono::milliseconds headTimeout { 3000 };
    std::chrono::milliseconds idleTimeout { 15000 };
};

/// Complete request of a client.
struct HttpRequestMessage {
    HttpRequestHead head;
    std::string body;
    MonotonicTime headArrived {};
};

/// Handles one request. Destroying the handler abandons the request.
class HttpRequestHandler {
public:
    virtual ~HttpRequestHandler() = default;
    /// Starts handling the request; a response may be sent from now on.
    virtual void start() = 0;
    /// The client closed its connection. No response can be sent any more.
    virtual void clientDisconnected() = 0;
    /// The socket has accepted the whole response.
    virtual void responseSent() { }
    /// Memory that the handler holds, with the capacity of its buffers.
    virtual std::size_t heldBytes() const { return 0; }
    /// The connection ends before `unsent` bytes of the complete response were sent.
    virtual void responseCutOff([[maybe_unused]] std::size_t unsent, [[maybe_unused]] std::string_view reason) { }
};

/// Server side of one HTTP/1.1 connection. Reads one request at a time and sends its response.
///
/// A response belongs to its request until the socket has accepted its last byte: until then the connection is busy, the
/// handler lives, no further request is read, and no timeout but that of a client that reads nothing ends the connection.
///
/// With a MemoryAccount, a request for which there is no memory is refused with 503 before its handler exists, and a
/// connection without progress may be closed while it waits for its client.
class HttpServerConnection : private MemoryHolder {
public:
    /// Creates the handler of a request, which sends the response over the connection.
    using Accept = std::function<std::unique_ptr<HttpRequestHandler>(HttpServerConnection&, HttpRequestMessage)>;

    struct Host {
        Accept accept;
        std::function<void(HttpServerConnection&)> ended; ///< the connection may be destroyed after the current callback
        std::function<HttpServerLimits()> limits;
        std::function<bool()> isClosing; ///< if true, responses carry `Connection: close`
        MemoryAccount* memory = nullptr; ///< optional
        /// Fields of a refusal for lack of memory, such as Retry-After; optional.
        std::function<HttpFields(const HttpRequestHead&)> refusalFields;
    };

    HttpServerConnection(std::unique_ptr<TcpStream> stream, const Host& host);
    ~HttpServerConnection() override = default;
    HttpServerConnection(const HttpServerConnection&) = delete;
    HttpServerConnection& operator=(const HttpServerConnection&) = delete;

    /// Sends a complete response.
    void answer(int status, HttpFields fields, std::string_view body);
    /// Starts a chunked response.
    void beginResponse(int status, HttpFields fields);
    void sendChunk(std::string_view octets);
    void finishResponse();
    /// Closes the connection, so that the client does not take a partial response for a complete one.
    void abort();

    /// Number of response bytes that have not been written to the socket yet.
    std::size_t unsent() const { return m_stream ? m_stream->unsent() : 0; }
    bool hasRequest() const { return m_handler != nullptr || m_isReadingRequest || m_isSendingRest; }
    /// Tells the handler of a response that is not sent yet that the connection is about to end.
    void reportCutOff(std::string_view reason);
    /// Closes the connection unless a request is in progress.
    void closeIfIdle();
    /// Whether so little memory is left that responses should wait in the kernel rather than here.
    bool isMemoryNearlyUsed() const { return m_host.memory && m_host.memory->isNearlyUsed(); }
    bool isMemoryExceeded() const { return m_host.memory && m_host.memory->isExceeded(); }
    /// Counts the memory that the connection and its handler hold now.
    void updateMemory();
    /// See MemoryHolder: nothing while a handler waits for something else than the client.
    std::optional<MonotonicTime> stalledSince() const override;
    bool isAccepted() const { return m_handler != nullptr; }
    bool hasEnded() const { return m_hasEnded; }
    /// Closes the socket and frees all that the connection holds at once. Must not be called from a callback of this
    /// connection.
    void release(std::string_view reason);

private:
    void onReceived(std::string_view octets);
    void parsePending();
    void onHead(HttpRequestHead head);
    void onBody(std::string_view octets);
    void onRequest();
    void onEnded();
    void onTimeout();
    void refuse(int status, HttpFields fields = {});
    void refuseForMemory();
    void closeForMemory() override;
    std::size_t heldBytes() const;
    /// Returns whether the account has room for `more` bytes, closing other connections where that helps.
    bool makeRoom(std::size_t more);
    /// Grows the buffer of the body for `more` bytes.
    bool growBody(std::size_t more);
    void completeResponse();
    void onSent();
    void finish();
    void close();
    void notifyEnded();

    const Host& m_host;
    std::unique_ptr<TcpStream> m_stream;
    std::unique_ptr<HttpParser> m_parser;
    std::unique_ptr<HttpRequestHandler> m_handler;
    HttpRequestMessage m_message;
    std::size_t m_expectedBody = 0; ///< size of the body that is being read, or the largest allowed if it is unknown
    bool m_lacksMemory = false; ///< the request that is being read will be refused
    std::string m_pending; ///< received bytes that have not been parsed yet
    bool m_isReadingRequest = false;
    bool m_keepsAlive = true;
    bool m_isHeadRequest = false;
    bool m_hasNoBody = false; ///< no bytes follow the head of the current response, whatever its fields say
    bool m_isSendingRest = false; ///< the response is complete, and a part of it waits for the client to read
    std::size_t m_unsentBefore = 0; ///< bytes that waited when the timer was set last
    bool m_isFinishing = false; ///< no further input is processed
    bool m_hasEnded = false;
    Timer m_timer;
    MemoryShare m_memory;
    Liveness m_liveness;
};

} // namespace hornbeamgate::gateway
