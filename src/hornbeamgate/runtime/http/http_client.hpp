#pragma once

#include "hornbeamgate/runtime/glib_support.hpp"
#include "hornbeamgate/settings/settings_reader.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamgate::gateway {
struct HttpResponseHead;
class HttpConnectionPool;
class HttpExchange;
enum class ExchangeFailure;
} // namespace hornbeamgate::gateway

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
    explicit HttpResponseHead(const gateway::HttpResponseHead& head)
        : m_head(head)
    {
    }

    std::uint16_t status() const;
    std::string header(const char* name) const;
    /// Value of an integer header; 0 if it is missing or malformed.
    std::uint64_t number(const char* name) const;

private:
    const gateway::HttpResponseHead& m_head;
};

enum class HttpErrorKind : std::uint8_t {
    NotConnected, ///< no connection was established, so the request was not sent
    ResponseLost, ///< there was no valid and complete response; the request may have been executed
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

    /// Stops reading the response until `resume` is called, which applies backpressure to the server. What was read before
    /// is still delivered.
    void pause();
    void resume();

private:
    friend class HttpClient;

    HttpCall(HttpRequest request, HttpCallObserver& observer, std::shared_ptr<gateway::HttpConnectionPool> pool);
    void start();
    void onFailed(gateway::ExchangeFailure failure, const std::string& reason);

    HttpRequest m_request; ///< without its body
    std::shared_ptr<const std::string> m_body; ///< shared with the exchange, which sends it without a copy
    HttpCallObserver* m_observer;
    /// Shared, since a call may outlive its client and returns its connection at its end.
    std::shared_ptr<gateway::HttpConnectionPool> m_pool;
    std::unique_ptr<gateway::HttpExchange> m_exchange;
    bool m_paused = false;
    Liveness m_liveness;
};

/// HTTP/1.1 client. It does not follow redirects or store cookies. It sends a request again only if its method is idempotent
/// and the connection that it was sent over had been used before and ended without a response.
class HttpClient {
public:
    HttpClient();
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    std::unique_ptr<HttpCall> start(const HttpRequest& request, HttpCallObserver& observer);

private:
    std::shared_ptr<gateway::HttpConnectionPool> m_pool;
};

} // namespace hornbeamgate
