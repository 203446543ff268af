#pragma once

#include "hornbeamgate/runtime/net/http_exchange.hpp"

namespace hornbeamgate::gateway {

/// Complete response to a small request.
struct HttpResponse {
    int status = 0;
    std::string body;
};

/// Small request with a deadline; the response is buffered and reported as a whole.
class HttpCall {
public:
    /// Size of the largest response body; the largest page of records is a few megabytes.
    static constexpr std::size_t kMaxBodyBytes = 16777216;

    using Report = std::function<void(Result<HttpResponse, NetError>)>;

    /// `report` is called exactly once, never before the constructor returns, and may destroy the call. If the call is
    /// destroyed earlier, `report` is not called.
    HttpCall(HttpConnectionPool& pool, const SocketAddress& peer, std::string requestText, MonotonicTime deadline, Report report);

private:
    void complete(Result<HttpResponse, NetError> result);

    Report m_report;
    HttpResponse m_answer;
    Timer m_timer;
    std::unique_ptr<HttpExchange> m_exchange;
};

/// Starts calls and owns them until they have been reported.
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
