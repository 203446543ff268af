#pragma once

#include "hornbeamgate/base/time.hpp"
#include "hornbeamgate/runtime/glib_support.hpp"
#include "hornbeamgate/settings/settings_reader.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// NOLINTNEXTLINE(bugprone-reserved-identifier): the name is defined by libsoup.
typedef struct _SoupSession SoupSession;
// NOLINTNEXTLINE(bugprone-reserved-identifier): the name is defined by libsoup.
typedef struct _SoupMessage SoupMessage;

namespace hornbeamgate {

struct HttpHeader {
    std::string name;
    std::string value;
};

/// Request to a server identified by its IP address.
struct HttpRequest {
    std::string method = "GET";
    SocketAddress address;
    std::string target = "/"; ///< path and query
    std::string contentType {}; ///< empty if there is no body
    std::string body {};
    std::vector<HttpHeader> headers {};
    bool newConnection = false; ///< whether to open a new connection instead of reusing one
};

/// Status line and headers of a response.
class HttpResponseHead {
public:
    explicit HttpResponseHead(SoupMessage* message)
        : m_message(message)
    {
    }

    std::uint16_t status() const;
    std::string header(const char* name) const;
    /// Value of an integer header; 0 if it is missing or malformed.
    std::uint64_t number(const char* name) const;

private:
    SoupMessage* m_message;
};

enum class HttpErrorKind : std::uint8_t {
    NotConnected, ///< no connection was established, so the request was not sent
    ResponseLost, ///< the connection broke; the request may have been executed
    DeadlinePassed, ///< no complete response before the deadline; the request may have been executed
    TooLarge, ///< the response exceeds the size limit; the request may have been executed
};

/// Reason why a call has no complete response.
struct HttpError {
    HttpErrorKind kind = HttpErrorKind::ResponseLost;
    std::string detail;

    /// Whether any byte of the request may have reached the server.
    bool sent() const { return kind != HttpErrorKind::NotConnected; }
};

/// Receives the response of one call. Any function may destroy the call.
class HttpCallObserver {
public:
    virtual ~HttpCallObserver() = default;
    virtual void responseStarted(const HttpResponseHead& head) = 0;
    virtual void dataReceived(std::string_view data) = 0;
    virtual void responseCompleted() = 0;
    virtual void callFailed(const HttpError& error) = 0;
};

/// One request in progress. Destroying it closes the connection unless the response is complete.
class HttpCall {
public:
    ~HttpCall();
    HttpCall(const HttpCall&) = delete;
    HttpCall& operator=(const HttpCall&) = delete;

    /// Stops reading the response until `resume` is called, which applies backpressure to the server.
    void pause() { m_paused = true; }
    void resume();

private:
    friend class HttpClient;

    HttpCall(GObjectPtr<SoupMessage> message, HttpCallObserver& observer, std::shared_ptr<std::size_t> callsOfSession);
    void start(SoupSession* session);
    void read();
    void fail(const GError& error);

    static void onSent(GObject* session, GAsyncResult* result, gpointer reference);
    static void onRead(GObject* stream, GAsyncResult* result, gpointer reference);

    /// User data of asynchronous GIO operations; detects a call that was destroyed in the meantime.
    struct Reference {
        Liveness::Watch alive;
        HttpCall* call;
    };
    Reference* makeReference() { return new Reference { m_liveness.watch(), this }; }
    static HttpCall* takeReference(gpointer reference);

    HttpCallObserver* m_observer;
    std::shared_ptr<std::size_t> m_callsOfSession; ///< number of calls of the session, including this one
    Liveness m_liveness;
    GObjectPtr<SoupMessage> m_message;
    GObjectPtr<GCancellable> m_cancellable;
    GObjectPtr<GInputStream> m_stream;
    bool m_paused = false;
    bool m_reading = false;
};

/// HTTP/1.1 client based on libsoup. It does not follow redirects, store cookies or retry requests.
class HttpClient {
public:
    HttpClient();
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    std::unique_ptr<HttpCall> start(const HttpRequest& request, HttpCallObserver& observer);

private:
    /// libsoup iterates over all calls of a session whenever one of them changes state, so the number of calls per
    /// session is limited.
    struct Session {
        GObjectPtr<SoupSession> session;
        std::shared_ptr<std::size_t> calls;
    };

    Session& sessionWithRoom();

    std::vector<Session> m_sessions;
};

} // namespace hornbeamgate
