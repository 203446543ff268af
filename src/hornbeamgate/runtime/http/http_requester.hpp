#pragma once

#include "hornbeamgate/runtime/http/http_fetch.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace hornbeamgate {

/// Sends small requests and buffers their responses. It never retries a request.
class HttpRequester {
public:
    using Reply = std::function<void(Result<HttpResponse, HttpError>)>;

    HttpRequester() = default;
    HttpRequester(const HttpRequester&) = delete;
    HttpRequester& operator=(const HttpRequester&) = delete;

    /// Calls `reply` once from the main loop, at `deadline` at the latest, or never if this object is destroyed earlier.
    void send(const HttpRequest& request, MonotonicTime deadline, Reply reply);

private:
    HttpClient m_client;
    std::map<std::uint64_t, std::unique_ptr<HttpFetch>> m_fetches;
    std::uint64_t m_lastFetch = 0;
};

} // namespace hornbeamgate
