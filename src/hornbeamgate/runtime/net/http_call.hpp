#pragma once

#include "hornbeamgate/runtime/net/http_exchange.hpp"

#include <optional>

namespace hornbeamgate::gateway {

/// Complete response to a small request.
struct HttpResponse {
    int status = 0;
    HttpFields fields;
    std::string body;
};

/// When a call is given up.
struct CallLimits {
    /// Size of the largest record in the platform's store. Engines' reports and answers to orders and appends are smaller.
    static constexpr std::size_t kMaxBodyBytes = 262144;

    static CallLimits until(MonotonicTime deadline) { return { deadline, deadline, std::nullopt, kMaxBodyBytes }; }

    MonotonicTime deadline; ///< for the complete response
    MonotonicTime headDeadline; ///< for the head of the response
    std::optional<Duration> maxSilence; ///< between two parts of the response
    std::size_t maxBodyBytes = kMaxBodyBytes; ///< a larger response body is a failure
};

/// Small request whose response is buffered and reported as a whole.
class HttpCall {
public:
    using Report = std::function<void(Result<HttpResponse, NetError>)>;

    /// `report` is called exactly once, never before the constructor returns, and may destroy the call. If the call is
    /// destroyed earlier, `report` is not called.
    HttpCall(HttpConnectionPool& pool, const SocketAddress& peer, std::string requestText, const CallLimits& limits, Report report);

private:
    /// Called for each part of the response.
    void onProgress();
    void complete(Result<HttpResponse, NetError> result);

    CallLimits m_limits;
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

    void start(const SocketAddress& peer, std::string requestText, const CallLimits& limits, HttpCall::Report report);

private:
    HttpConnectionPool& m_pool;
    std::map<std::uint64_t, std::unique_ptr<HttpCall>> m_calls;
    std::uint64_t m_lastNumber = 0;
};

} // namespace hornbeamgate::gateway
