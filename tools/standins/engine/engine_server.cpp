#include "engine/engine_server.hpp"

#include "common/main_loop.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <sstream>

namespace hornbeamgate::standins {

namespace {

    constexpr std::uint64_t kLargestJsonInteger = (std::uint64_t(1) << 53) - 1;
    constexpr std::size_t kBlockNameDigits = 16;
    constexpr std::string_view kRunsPrefix = "/runs/";
    constexpr std::string_view kStreamSuffix = "/stream";

    std::uint64_t toNumber(const std::optional<std::string>& text)
    {
        std::uint64_t number = 0;
        if (text)
            std::from_chars(text->data(), text->data() + text->size(), number);
        return number;
    }

    bool isBlockName(const std::string& name)
    {
        return name.size() == kBlockNameDigits && name.find_first_not_of("0123456789abcdef") == std::string::npos;
    }

    /// Splits `X-Prefix-Blocks`; nothing when a name is malformed.
    std::optional<std::vector<std::string>> parseBlocks(const std::string& header)
    {
        std::vector<std::string> blocks;
        std::istringstream input(header);
        for (std::string block; std::getline(input, block, ',');) {
            if (!isBlockName(block))
                return std::nullopt;
            blocks.push_back(block);
        }
        return blocks;
    }

    /// Whether the fault strikes after the run was admitted.
    bool strikesRun(const Fault& fault)
    {
        switch (fault.kind) {
        case FaultKind::Crash:
        case FaultKind::Stall:
        case FaultKind::Duplicate:
        case FaultKind::Late:
            return true;
        case FaultKind::Drop:
        case FaultKind::Silent:
            return fault.afterEvents > 0;
        default:
            return false;
        }
    }

} // namespace

EngineServer::EngineServer(EngineOptions options)
    : m_options(std::move(options))
    , m_random(std::random_device {}())
    , m_faults({ "completions", "resume", "cancel", "load", "events", "orders" },
          { FaultKind::Outage, FaultKind::Refuse, FaultKind::Slow, FaultKind::LoseAnswer, FaultKind::Drop, FaultKind::Silent,
              FaultKind::Crash, FaultKind::Stall, FaultKind::Duplicate, FaultKind::Late })
{
    restart(std::chrono::milliseconds(0));
}

void EngineServer::serve(ExchangePtr exchange)
{
    const std::string path = exchange->path();
    if (path == "/faults")
        m_faults.serve(*exchange);
    else if (MonotonicClock::now() < m_downUntil)
        exchange->drop();
    else if (path == "/v1/completions")
        serveCompletion(CompletionKind::Text, std::move(exchange));
    else if (path == "/v1/chat/completions")
        serveCompletion(CompletionKind::Chat, std::move(exchange));
    else if (path == "/v1/models")
        serveModels(*exchange);
    else if (path.starts_with(kRunsPrefix))
        serveRun(std::move(exchange));
    else if (path == "/cache/events")
        serveUnderFaults(m_faults, "events", std::move(exchange), [this](const ExchangePtr& served) { serveEvents(*served); });
    else if (path == "/load")
        serveUnderFaults(m_faults, "load", std::move(exchange),
            [this](const ExchangePtr& served) { served->answer(200, "application/json", m_loadReport); });
    else if (path == "/orders")
        serveUnderFaults(m_faults, "orders", std::move(exchange), [this](ExchangePtr served) { serveOrder(std::move(served)); });
    else
        exchange->answerError(404, "not_found", "no such path");
}

void EngineServer::step()
{
    const MonotonicTime now = MonotonicClock::now();
    for (const Reader& reader : m_readers) {
        if (!reader.ended())
            m_runs->keep(reader.runId(), now);
    }
    m_cache->evictIdle(now);
    m_runs->step(now);
    sendAll();
    if (m_options.loadLag.count() == 0)
        reportLoad();
}

void EngineServer::reportLoad()
{
    const auto wallTime = std::chrono::system_clock::now().time_since_epoch();
    const nlohmann::json report {
        { "incarnation", m_incarnation },
        { "running", m_runs->running() },
        { "queued", m_runs->queued() },
        { "cached_blocks", m_cache->size() },
        { "as_of_ms", std::chrono::duration_cast<std::chrono::milliseconds>(wallTime).count() },
    };
    m_loadReport = report.dump();
}

void EngineServer::serveCompletion(CompletionKind kind, ExchangePtr exchange)
{
    if (exchange->method() != "POST") {
        exchange->answerError(405, "method_not_allowed", "use POST");
        return;
    }
    auto fault = m_faults.take("completions");
    if (fault && !strikesRun(*fault)) {
        serveUnderFault(fault, std::move(exchange),
            [this, kind](ExchangePtr served) { admit(kind, std::move(served), std::nullopt); });
        return;
    }
    admit(kind, std::move(exchange), std::move(fault));
}

void EngineServer::admit(CompletionKind kind, ExchangePtr exchange, std::optional<Fault> fault)
{
    const auto request = parseCompletionRequest(kind, exchange->body());
    if (!request) {
        exchange->answerError(400, "invalid_request", request.error());
        return;
    }
    const auto model = m_options.models.find(request->model);
    if (model == m_options.models.end()) {
        exchange->answerError(404, "model_not_found", "this engine does not serve the model");
        return;
    }
    auto blocks = parseBlocks(exchange->header("X-Prefix-Blocks").value_or(""));
    if (!blocks) {
        exchange->answerError(400, "invalid_blocks", "X-Prefix-Blocks is no list of 16 hexadecimal digits each");
        return;
    }
    const std::string runId = exchange->header("X-Request-Id").value_or(newRunId());
    Run run { .id = runId, .answer = Answer(*request, model->second) };
    run.priority = toNumber(exchange->header("X-Priority"));
    run.blocks = std::move(*blocks);
    run.weightsVersion = model->second;
    if (!m_runs->add(std::move(run), MonotonicClock::now())) {
        exchange->answerError(409, "run_exists", "a run with this id is known already");
        return;
    }
    m_readers.emplace_back(std::move(exchange), runId, request->stream, 0, std::move(fault));
}

void EngineServer::serveRun(ExchangePtr exchange)
{
    const std::string rest = exchange->path().substr(kRunsPrefix.size());
    if (exchange->method() == "GET" && rest.ends_with(kStreamSuffix)) {
        const std::string runId = rest.substr(0, rest.size() - kStreamSuffix.size());
        serveUnderFaults(m_faults, "resume", std::move(exchange),
            [this, runId](ExchangePtr served) { resume(runId, std::move(served)); });
    } else if (exchange->method() == "DELETE") {
        serveUnderFaults(m_faults, "cancel", std::move(exchange), [this, rest](const ExchangePtr& served) {
            m_runs->cancel(rest);
            served->answer(204, "application/json", "");
        });
    } else {
        exchange->answerError(404, "not_found", "use GET /runs/ID/stream or DELETE /runs/ID");
    }
}

void EngineServer::resume(const std::string& runId, ExchangePtr exchange)
{
    Run* run = m_runs->find(runId);
    if (!run || run->state == RunState::Cancelled) {
        exchange->answerError(404, "run_unknown", "no such run");
        return;
    }
    const std::uint64_t from = exchange->queryNumber("from", 0);
    m_readers.emplace_back(std::move(exchange), runId, true, from, std::nullopt);
}

void EngineServer::serveOrder(ExchangePtr exchange)
{
    const auto order = nlohmann::json::parse(exchange->body(), nullptr, false);
    const bool wellFormed = order.is_object() && order.value("kind", nlohmann::json()) == "load"
        && order.value("model", nlohmann::json()).is_string() && order.value("version", nlohmann::json()).is_number_unsigned()
        && order.value("fencing", nlohmann::json()).is_number_unsigned();
    if (!wellFormed) {
        exchange->answerError(400, "invalid_order", "expected kind \"load\" with model, version and fencing");
        return;
    }
    const std::uint64_t fencing = order["fencing"];
    if (m_options.checksFencing && fencing < m_highestFencing) {
        exchange->answerError(409, "old_fencing", "a newer order was seen");
        return;
    }
    m_highestFencing = std::max(m_highestFencing, fencing);
    const std::string model = order["model"];
    const std::uint64_t version = order["version"];
    runAfter(m_options.weightLoadTime, [this, model, version, exchange = std::move(exchange)] {
        loadWeights(model, version);
        exchange->answer(200, nlohmann::json::object());
    });
}

void EngineServer::serveModels(Exchange& exchange) const
{
    auto models = nlohmann::json::array();
    for (const auto& [name, version] : m_options.models)
        models.push_back({ { "id", name }, { "object", "model" }, { "version", version } });
    exchange.answer(200, { { "object", "list" }, { "data", std::move(models) } });
}

void EngineServer::serveEvents(Exchange& exchange) const
{
    auto events = m_cache->events(exchange.queryNumber("from", 0), MonotonicClock::now());
    events["incarnation"] = m_incarnation;
    exchange.answer(200, events);
}

void EngineServer::loadWeights(const std::string& model, std::uint64_t version)
{
    std::uint64_t& current = m_options.models[model];
    if (current == version)
        return;
    current = version;
    m_cache->clear(MonotonicClock::now());
}

void EngineServer::sendAll()
{
    std::optional<Fault> crash;
    for (Reader& reader : m_readers) {
        Run* run = m_runs->find(reader.runId());
        if (!run || run->state == RunState::Cancelled) {
            reader.abandon();
            continue;
        }
        reader.send(*run);
        const auto fault = reader.takeDueFault();
        if (fault && fault->kind == FaultKind::Stall)
            run->resumesAt = MonotonicClock::now() + fault->delay;
        else if (fault)
            crash = fault;
    }
    m_readers.remove_if([](const Reader& reader) { return reader.ended(); });
    if (crash)
        restart(crash->delay);
}

void EngineServer::restart(std::chrono::milliseconds downTime)
{
    for (Reader& reader : m_readers)
        reader.abandon();
    m_readers.clear();
    m_incarnation = std::uniform_int_distribution<std::uint64_t>(1, kLargestJsonInteger)(m_random);
    m_cache = std::make_unique<BlockCache>(m_options.cache);
    m_runs = std::make_unique<RunTable>(m_options.runs, *m_cache);
    m_downUntil = MonotonicClock::now() + downTime;
    reportLoad();
}

std::string EngineServer::newRunId()
{
    return "run-" + std::to_string(m_random());
}

} // namespace hornbeamgate::standins
