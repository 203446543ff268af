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

// NOLINTNEXTLINE(bugprone-reserved-identifier): libsoup chose the name.
typedef struct _SoupSession SoupSession;
// NOLINTNEXTLINE(bugprone-reserved-identifier): libsoup chose the name.
typedef struct _SoupMessage SoupMessage;

namespace hornbeamgate {

struct HttpHeader {
    std::string name;
    std::string value;
};

/// Request to a server named by its IP number.
struct HttpRequest {
    std::string method = "GET";
    SocketAddress address;
    std::string target = "/"; ///< path and query
    std::string contentType {}; ///< empty when there is no body
    std::string body {};
    std::vector<HttpHeader> headers {};
    bool newConnection = false; ///< whether a connection that was used before must not be used
};

/// Status line and headers of an answer.
class HttpResponseHead {
public:
    explicit HttpResponseHead(SoupMessage* message)
        : m_message(message)
    {
    }

    std::uint16_t status() const;
    std::string header(const char* name) const;
    /// Value of a header that holds a whole number; 0 when it is missing or malformed.
    std::uint64_t number(const char* name) const;

private:
    SoupMessage* m_message;
};

enum class HttpErrorKind : std::uint8_t {
    NotConnected, ///< the request certainly never left this process
    ResponseLost, ///< the connection broke; the request may have been carried out
    DeadlinePassed, ///< as ResponseLost, after the deadline
    TooLarge, ///< as ResponseLost, because the answer was larger than allowed
};

/// Why a call gave no complete answer.
struct HttpError {
    HttpErrorKind kind = HttpErrorKind::ResponseLost;
    std::string detail;

    /// Whether any octet of the request may have reached the server.
    bool sent() const { return kind != HttpErrorKind::NotConnected; }
};

/// Receives the answer to one call. A call may be destroyed from within.
class HttpCallObserver {
public:
    virtual ~HttpCallObserver() = default;
    virtual void responseStarted(const HttpResponseHead& head) = 0;
    virtual void dataReceived(std::string_view data) = 0;
    virtual void responseCompleted() = 0;
    virtual void callFailed(const HttpError& error) = 0;
};

/// One request on its way. Destroying it closes its connection unless the answer has ended.
class HttpCall {
public:
    ~HttpCall();
    HttpCall(const HttpCall&) = delete;
    HttpCall& operator=(const HttpCall&) = delete;

    /// Stops reading the answer, so that the server has to wait, until `resume`.
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

    /// Passed through the asynchronous calls in place of a bare pointer.
    struct Reference {
        Liveness::Watch alive;
        HttpCall* call;
    };
    Reference* makeReference() { return new Reference { m_liveness.watch(), this }; }
    static HttpCall* takeReference(gpointer reference);

    HttpCallObserver* m_observer;
    std::shared_ptr<std::size_t> m_callsOfSession; ///< counts this call while it exists
    Liveness m_liveness;
    GObjectPtr<SoupMessage> m_message;
    GObjectPtr<GCancellable> m_cancellable;
    GObjectPtr<GInputStream> m_stream;
    bool m_paused = false;
    bool m_reading = false;
};

/// HTTP/1.1 client by libsoup. It follows no redirects, keeps no cookies and repeats nothing by itself.
class HttpClient {
public:
    HttpClient();
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    std::unique_ptr<HttpCall> start(const HttpRequest& request, HttpCallObserver& observer);

private:
    /// libsoup walks over all calls of a session whenever one changes, so each session gets few of them.
    struct Session {
        GObjectPtr<SoupSession> session;
        std::shared_ptr<std::size_t> calls;
    };

    Session& sessionWithRoom();

    std::vector<Session> m_sessions;
};

} // namespace hornbeamgate
