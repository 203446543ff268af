#pragma once

#include "hornbeamgate/runtime/http/http_fetch.hpp"
#include "hornbeamgate/streams/endpoint_status.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace hornbeamgate {

/// What the engine last told of itself.
struct EngineReport {
    Incarnation incarnation;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::vector<LoadedModel> models;
};

/// Asks the engine for its load and its models again and again. A change of incarnation or models is told at once.
class EngineMonitor {
public:
    /// `changed` is called when the engine went up or down, restarted, or changed its models.
    EngineMonitor(HttpClient& client, const SocketAddress& engine, std::function<void()> changed);

    void start();
    /// Nothing while the engine does not answer.
    const std::optional<EngineReport>& report() const { return m_report; }

private:
    void askLoad();
    void askModels();
    void gotLoad(const Result<HttpResponse, HttpError>& answer);
    void gotModels(const Result<HttpResponse, HttpError>& answer);
    void askAgain();
    void lost();

    HttpClient* m_client;
    SocketAddress m_engine;
    std::function<void()> m_changed;
    std::optional<EngineReport> m_report;
    EngineReport m_next;
    std::uint32_t m_failures = 0;
    std::unique_ptr<HttpFetch> m_fetch;
    Timer m_timer;
};

} // namespace hornbeamgate
