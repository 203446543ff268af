#pragma once

#include "hornbeamgate/runtime/net/http_exchange.hpp"

namespace hornbeamgate::gateway {

/// Whole answer to a small request.
struct HttpResponse {
    int status = 0;
    std::string body;
};

/// Small request whose answer is taken as a whole, or not at all after its deadline.
class HttpCall {
public:
    using Report = std::function<void(Result<HttpResponse, NetError>)>;

    /// `report` comes once, never before the constructor returns, and may destroy the call. Destroying the call earlier
    /// means that no report comes.
    HttpCall(HttpConnectionPool& pool, const SocketAddress& peer, std::string requestText, MonotonicTime deadline, Report report);

private:
    void complete(Result<HttpResponse, NetError> result);

    Report m_report;
    HttpResponse m_answer;
    Timer m_timer;
    std::unique_ptr<HttpExchange> m_exchange;
};

/// Calls in progress that nobody holds otherwise.
class HttpCalls {
public:
    explicit HttpCalls(HttpConnectionPool& pool)
        : m_pool(pool)
    {
    }

    void start(const SocketAddress& peer, std::string requestText, MonotonicTime deadline, HttpCall::Report report);

private:
    HttpConnectionPool& m_pool;
    std::map<std::uint64_t, std::unique_ptr<HttpCall>> m_calls;
    std::uint64_t m_lastNumber = 0;
};

} // namespace hornbeamgate::gateway
