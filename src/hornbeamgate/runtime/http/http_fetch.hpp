#pragma once

#include "hornbeamgate/base/result.hpp"
#include "hornbeamgate/runtime/http/http_client.hpp"

#include <functional>

namespace hornbeamgate {

/// Complete response of a small call.
struct HttpResponse {
    std::uint16_t status = 0;
    std::string contentType;
    std::string retryAfter; ///< value of the `Retry-After` header; empty if it is missing
    std::string body;
};

/// Call whose response is buffered as a whole. Destroying it cancels the call.
class HttpFetch : private HttpCallObserver {
public:
    using Done = std::function<void(Result<HttpResponse, HttpError>)>;

    /// Calls `done` once, at `deadline` at the latest. Responses larger than `maxBytes` are reported as an error.
    static std::unique_ptr<HttpFetch> start(HttpClient& client, const HttpRequest& request, std::size_t maxBytes, MonotonicTime deadline, Done done);

private:
    HttpFetch(std::size_t maxBytes, Done done);

    void responseStarted(const HttpResponseHead& head) override;
    void dataReceived(std::string_view data) override;
    void responseCompleted() override;
    void callFailed(const HttpError& error) override;
    void end(Result<HttpResponse, HttpError> result);

    std::size_t m_maxBytes;
    Done m_done;
    HttpResponse m_answer;
    std::unique_ptr<HttpCall> m_call;
    Timer m_timer;
};

} // namespace hornbeamgate
