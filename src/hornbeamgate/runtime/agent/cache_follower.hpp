#pragma once

#include "hornbeamgate/routing/engine_index.hpp"
#include "hornbeamgate/runtime/http/http_fetch.hpp"

#include <memory>

namespace hornbeamgate {

/// Reads the cache events of the engine beside this agent into its index, again and again.
class CacheFollower {
public:
    CacheFollower(HttpClient& client, const SocketAddress& engine, EngineIndex& index);

    void start();

private:
    void read();
    void answered(const Result<HttpResponse, HttpError>& answer);

    HttpClient* m_client;
    SocketAddress m_engine;
    EngineIndex* m_index;
    std::unique_ptr<HttpFetch> m_fetch;
    Timer m_timer;
};

/// Parses the body of the answer to `GET /cache/events`.
Result<CacheEventsRead, std::string> parseCacheEvents(const std::string& body);

} // namespace hornbeamgate
