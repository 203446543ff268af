#pragma once

#include "hornbeamgate/base/result.hpp"
#include "hornbeamgate/runtime/glib_support.hpp"
#include "hornbeamgate/settings/settings_reader.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

// NOLINTNEXTLINE(bugprone-reserved-identifier): libsoup chose the name.
typedef struct _SoupServer SoupServer;
// NOLINTNEXTLINE(bugprone-reserved-identifier): libsoup chose the name.
typedef struct _SoupServerMessage SoupServerMessage;

namespace hornbeamgate {

class HttpServer;

/// One HTTP request and its answer. Whoever holds it may answer later; destroying it without an answer gives a 500.
class HttpExchange {
public:
    HttpExchange(HttpServer& server, SoupServerMessage* message);
    ~HttpExchange();
    HttpExchange(const HttpExchange&) = delete;
    HttpExchange& operator=(const HttpExchange&) = delete;

    std::string method() const;
    std::string path() const;
    /// Path with the query, as the caller wrote it.
    std::string target() const;
    std::string header(const char* name) const;
    std::string_view body() const;
    bool bodyTooLarge() const;
    /// Frees the request's body; `body` is empty from then on.
    void releaseBody();

    void setHeader(const char* name, const std::string& value);
    /// Gives the whole answer.
    void answer(unsigned status, const std::string& contentType, std::string_view body);

    /// Begins an answer in pieces.
    void startStream(const std::string& contentType);
    void write(std::string_view data);
    void finishStream();
    bool streaming() const { return m_streaming; }
    /// Octets written that the caller has not taken yet.
    std::size_t unsentBytes() const { return m_unsentBytes; }

    /// `gone` is called once when the caller closed its connection; `drained` whenever the caller took some octets.
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

/// HTTP/1.1 server by libsoup on one address.
class HttpServer {
public:
    using Handler = std::function<void(std::unique_ptr<HttpExchange>)>;

    /// Larger request bodies are cut off and their exchange says so. Fails with a text when binding fails.
    static Result<std::unique_ptr<HttpServer>, std::string> create(const SocketAddress& address, std::size_t maxBodyBytes, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    const SocketAddress& address() const { return m_address; }
    /// Takes no more connections; requests on open ones are still served, and their connections close after them.
    void stopAccepting();
    /// Asks callers to close their connections after the next answer.
    void announceClose() { m_closing = true; }
    /// Requests whose answers are not sent whole yet.
    std::size_t openExchanges() const { return *m_openExchanges; }

private:
    friend class HttpExchange;

    HttpServer(const SocketAddress& address, std::size_t maxBodyBytes, Handler handler);

    static void onEarly(SoupServer*, SoupServerMessage* message, const char* path, GHashTable* query, gpointer self);
    static void onRequest(SoupServer*, SoupServerMessage* message, const char* path, GHashTable* query, gpointer self);

    SocketAddress m_address;
    std::size_t m_maxBodyBytes;
    Handler m_handler;
    GObjectPtr<SoupServer> m_server;
    std::shared_ptr<std::size_t> m_openExchanges = std::make_shared<std::size_t>(0); ///< shared with messages in flight
    bool m_closing = false;
};

} // namespace hornbeamgate
