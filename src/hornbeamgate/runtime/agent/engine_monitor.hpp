#pragma once

#include "hornbeamgate/runtime/http/http_fetch.hpp"
#include "hornbeamgate/streams/endpoint_status.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace hornbeamgate {

/// Latest load and models reported by the engine.
struct EngineReport {
    Incarnation incarnation;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::vector<LoadedModel> models;
};

/// Periodically polls the load and the models of the engine and notifies the owner of a change of incarnation or models.
class EngineMonitor {
public:
    /// `changed` is called when the engine became reachable or unreachable, restarted, or changed its models.
    EngineMonitor(HttpClient& client, const SocketAddress& engine, std::function<void()> changed);

    void start();
    /// Returns the latest report, or nullopt while the engine is considered down.
    const std::optional<EngineReport>& report() const { return m_report; }

private:
    void requestLoad();
    void requestModels();
    void handleLoad(const Result<HttpResponse, HttpError>& answer);
    void handleModels(const Result<HttpResponse, HttpError>& answer);
    void scheduleNextPoll();
    void handleFailure();

    HttpClient* m_client;
    SocketAddress m_engine;
    std::function<void()> m_onChanged;
    std::optional<EngineReport> m_report;
    EngineReport m_pendingReport;
    std::uint32_t m_failures = 0;
    std::unique_ptr<HttpFetch> m_fetch;
    Timer m_timer;
};

} // namespace hornbeamgate
