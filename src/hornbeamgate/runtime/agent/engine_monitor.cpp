#include "hornbeamgate/runtime/agent/engine_monitor.hpp"

#include "hornbeamgate/base/json_document.hpp"

#include <nlohmann/json.hpp>

namespace hornbeamgate {

using nlohmann::json;

namespace {

    constexpr std::chrono::milliseconds kInterval { 250 };
    constexpr std::chrono::milliseconds kAnswerTimeout { 1000 };
    constexpr std::size_t kMaxAnswerBytes = std::size_t { 64 } * 1024;
    constexpr std::uint32_t kFailuresUntilDown = 2;
    constexpr std::uint16_t kOk = 200;

    Result<EngineReport, std::string> parseLoad(const std::string& body)
    {
        const auto load = parseJson(body);
        if (!load)
            return failure(load.error().detail);
        try {
            EngineReport report;
            report.incarnation = Incarnation(load->at("incarnation").get<std::uint64_t>());
            report.running = load->at("running").get<std::uint32_t>();
            report.queued = load->at("queued").get<std::uint32_t>();
            return report;
        } catch (const json::exception& error) {
            return failure(std::string(error.what()));
        }
    }

    Result<std::vector<LoadedModel>, std::string> parseModels(const std::string& body)
    {
        const auto answer = parseJson(body);
        if (!answer)
            return failure(answer.error().detail);
        try {
            std::vector<LoadedModel> models;
            for (const auto& item : answer->at("data"))
                models.push_back({ ModelId(item.at("id").get<std::string>()), WeightsVersion(item.at("version").get<std::uint64_t>()) });
            return models;
        } catch (const json::exception& error) {
            return failure(std::string(error.what()));
        }
    }

} // namespace

EngineMonitor::EngineMonitor(HttpClient& client, const SocketAddress& engine, std::function<void()> changed)
    : m_client(&client)
    , m_engine(engine)
    , m_onChanged(std::move(changed))
    , m_timer([this] { requestLoad(); })
{
}

void EngineMonitor::start()
{
    requestLoad();
}

void EngineMonitor::requestLoad()
{
    HttpRequest request;
    request.address = m_engine;
    request.target = "/load";
    m_fetch = HttpFetch::start(*m_client, request, kMaxAnswerBytes, MonotonicClock::now() + kAnswerTimeout,
        [this](const Result<HttpResponse, HttpError>& answer) { handleLoad(answer); });
}

void EngineMonitor::handleLoad(const Result<HttpResponse, HttpError>& answer)
{
    auto report = answer && answer->status == kOk ? parseLoad(answer->body) : failure(std::string("no load report"));
    if (!report) {
        handleFailure();
        return;
    }
    m_pendingReport = std::move(*report);
    requestModels();
}

void EngineMonitor::requestModels()
{
    HttpRequest request;
    request.address = m_engine;
    request.target = "/v1/models";
    m_fetch = HttpFetch::start(*m_client, request, kMaxAnswerBytes, MonotonicClock::now() + kAnswerTimeout,
        [this](const Result<HttpResponse, HttpError>& answer) { handleModels(answer); });
}

void EngineMonitor::handleModels(const Result<HttpResponse, HttpError>& answer)
{
    auto models = answer && answer->status == kOk ? parseModels(answer->body) : failure(std::string("no model list"));
    if (!models) {
        handleFailure();
        return;
    }
    m_pendingReport.models = std::move(*models);
    m_failures = 0;
    const bool changed = !m_report || m_report->incarnation != m_pendingReport.incarnation || m_report->models != m_pendingReport.models;
    m_report = std::move(m_pendingReport);
    if (changed)
        m_onChanged();
    scheduleNextPoll();
}

void EngineMonitor::handleFailure()
{
    ++m_failures;
    if (m_failures >= kFailuresUntilDown && m_report) {
        m_report.reset();
        m_onChanged();
    }
    scheduleNextPoll();
}

void EngineMonitor::scheduleNextPoll()
{
    m_timer.set(MonotonicClock::now() + kInterval);
}

} // namespace hornbeamgate
