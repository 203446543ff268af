#pragma once

#include "hornbeamgate/routing/engine_index.hpp"
#include "hornbeamgate/runtime/http/http_fetch.hpp"

#include <memory>

namespace hornbeamgate {

/// Periodically fetches the local engine's cache events and applies them to the engine index.
class CacheEventPoller {
public:
    CacheEventPoller(HttpClient& client, const SocketAddress& engine, EngineIndex& index);

    void start();

private:
    void read();
    void handleAnswer(const Result<HttpResponse, HttpError>& answer);

    HttpClient* m_client;
    SocketAddress m_engine;
    EngineIndex* m_index;
    std::unique_ptr<HttpFetch> m_fetch;
    Timer m_timer;
};

/// Parses the response body of `GET /cache/events`.
Result<CacheEventsRead, std::string> parseCacheEvents(const std::string& body);

} // namespace hornbeamgate
