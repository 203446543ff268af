#pragma once

#include "hornbeamgate/base/result.hpp"
#include "hornbeamgate/runtime/glib_support.hpp"
#include "hornbeamgate/settings/settings_reader.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

// NOLINTNEXTLINE(bugprone-reserved-identifier): the name is defined by libsoup.
typedef struct _SoupServer SoupServer;
// NOLINTNEXTLINE(bugprone-reserved-identifier): the name is defined by libsoup.
typedef struct _SoupServerMessage SoupServerMessage;

namespace hornbeamgate {

class HttpServer;

/// One HTTP request and its response. The owner may respond later; destroying it without a response sends status 500.
class HttpExchange {
public:
    HttpExchange(HttpServer& server, SoupServerMessage* message);
    ~HttpExchange();
    HttpExchange(const HttpExchange&) = delete;
    HttpExchange& operator=(const HttpExchange&) = delete;

    std::string method() const;
    std::string path() const;
    /// Path and query as sent by the client.
    std::string target() const;
    std::string header(const char* name) const;
    std::string_view body() const;
    bool bodyTooLarge() const;
    /// Frees the request body; `body` is empty afterwards.
    void releaseBody();

    void setHeader(const char* name, const std::string& value);
    /// Sends a complete response.
    void answer(unsigned status, const std::string& contentType, std::string_view body);

    /// Starts a chunked response.
    void startStream(const std::string& contentType);
    void write(std::string_view data);
    void finishStream();
    bool streaming() const { return m_streaming; }
    /// Number of response bytes that have not been written to the socket yet.
    std::size_t unsentBytes() const { return m_unsentBytes; }

    /// `gone` is called once when the client closes its connection or the message is finished; `drained` whenever
    /// response bytes have been written to the socket.
    void watch(std::function<void()> gone, std::function<void()> drained);

private:
    friend class HttpServer;

    void checkForDisconnect();
    void notifyDisconnected();
    static void onWrote(SoupServerMessage*, unsigned size, gpointer self);
    static void onDisconnected(SoupServerMessage*, gpointer self);
    static void onFinished(SoupServerMessage*, gpointer self);

    HttpServer* m_server;
    GObjectPtr<SoupServerMessage> m_message;
    std::function<void()> m_onDisconnected;
    std::function<void()> m_onDrained;
    EventSource m_socketWatch;
    std::size_t m_unsentBytes = 0;
    bool m_streaming = false;
    bool m_answered = false;
    bool m_isFinished = false;
};

/// HTTP/1.1 server on one address, based on libsoup.
class HttpServer {
public:
    using Handler = std::function<void(std::unique_ptr<HttpExchange>)>;

    /// Bodies larger than `maxBodyBytes` are discarded and `HttpExchange::bodyTooLarge` returns true. Returns an error
    /// message if the address cannot be bound.
    static Result<std::unique_ptr<HttpServer>, std::string> create(const SocketAddress& address, std::size_t maxBodyBytes, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    const SocketAddress& address() const { return m_address; }
    /// Stops accepting connections, after those that wait in the backlog: closing the listener resets what it has not
    /// accepted, also where a request was sent already. Requests on open connections are still served; each of these connections closes
    /// after its next response.
    void stopAccepting();
    /// Sends `Connection: close` with all further responses.
    void announceClose() { m_closing = true; }
    /// Number of requests whose responses have not been sent completely.
    std::size_t openExchanges() const { return *m_openExchanges; }

private:
    friend class HttpExchange;

    HttpServer(const SocketAddress& address, std::size_t maxBodyBytes, Handler handler);

    void acceptWaiting(GSocket* listener);

    static void onEarly(SoupServer*, SoupServerMessage* message, const char* path, GHashTable* query, gpointer self);
    static void onRequest(SoupServer*, SoupServerMessage* message, const char* path, GHashTable* query, gpointer self);

    SocketAddress m_address;
    std::size_t m_maxBodyBytes;
    Handler m_handler;
    GObjectPtr<SoupServer> m_server;
    std::shared_ptr<std::size_t> m_openExchanges = std::make_shared<std::size_t>(0); ///< shared with messages in progress
    bool m_closing = false;
};

} // namespace hornbeamgate
