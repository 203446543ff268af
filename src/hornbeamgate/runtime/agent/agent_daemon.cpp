#include "hornbeamgate/runtime/agent/agent_daemon.hpp"

#include "hornbeamgate/observability/log.hpp"
#include "hornbeamgate/runtime/admin_server.hpp"
#include "hornbeamgate/runtime/agent/cache_event_poller.hpp"
#include "hornbeamgate/runtime/agent/engine_dispatcher.hpp"
#include "hornbeamgate/runtime/agent/engine_monitor.hpp"
#include "hornbeamgate/runtime/agent/service_dispatcher.hpp"
#include "hornbeamgate/runtime/link/link_server.hpp"
#include "hornbeamgate/runtime/main_loop.hpp"

#include <nlohmann/json.hpp>

namespace hornbeamgate {

struct AgentDaemon::State {
    explicit State(const AgentSettings& agentSettings)
        : settings(agentSettings)
        , incarnation(newIncarnation())
    {
        context.settings = &settings;
        context.metrics = &metrics;
        context.client = &client;
    }

    AgentSettings settings;
    Incarnation incarnation;
    Metrics metrics;
    HttpClient client;
    AgentContext context;
    std::optional<EngineIndex> index;
    std::unique_ptr<EngineMonitor> monitor;
    std::unique_ptr<CacheEventPoller> cachePoller;
    std::unique_ptr<EngineDispatcher> engine;
    std::unique_ptr<ServiceDispatcher> service;
    std::unique_ptr<LinkServer> link;
    std::unique_ptr<AdminServer> admin;
    MainLoop loop;
    bool leaving = false;

    Result<void, std::string> createDispatchers();
    Result<void, std::string> createEngineComponents();
    void engineChanged();
    Result<void, std::string> createServers();
    EndpointStatus status() const;
    std::size_t activeRuns() const;
    void drain();
    nlohmann::json dump() const;
};

Result<void, std::string> AgentDaemon::State::createDispatchers()
{
    if (settings.kind == EndpointKind::Engine)
        return createEngineComponents();
    auto dispatcher = ServiceDispatcher::create(context, WriterId(newUniqueNumber()));
    if (!dispatcher)
        return failure(dispatcher.error());
    service = std::move(*dispatcher);
    return {};
}

Result<void, std::string> AgentDaemon::State::createEngineComponents()
{
    auto engineIndex = EngineIndex::create({});
    if (!engineIndex)
        return failure("index: " + engineIndex.error().detail);
    index.emplace(std::move(*engineIndex));
    auto dispatcher = EngineDispatcher::create(context, *index);
    if (!dispatcher)
        return failure("dispatcher: " + dispatcher.error());
    engine = std::move(*dispatcher);
    monitor = std::make_unique<EngineMonitor>(client, settings.endpointAddress, [this] { engineChanged(); });
    cachePoller = std::make_unique<CacheEventPoller>(client, settings.endpointAddress, *index);
    return {};
}

void AgentDaemon::State::engineChanged()
{
    const auto now = status();
    logEvent(LogEvent::EndpointStateChanged, { { "endpoint", now.endpoint.value() }, { "incarnation", now.incarnation.value() }, { "up", now.state == EndpointState::Up ? "yes" : "no" } });
    engine->setEngine(now.incarnation);
    if (now.incarnation == Incarnation())
        return;
    EngineIdentified identified;
    identified.incarnation = now.incarnation;
    for (const auto& loaded : now.models)
        identified.models.push_back({ loaded.model, loaded.weights });
    index->handle(identified);
}

Result<void, std::string> AgentDaemon::State::createServers()
{
    auto linkServer = LinkServer::create(settings.common.link);
    if (!linkServer)
        return failure("link: " + linkServer.error());
    link = std::move(*linkServer);
    link->addStreamHandler("/run", [this](std::unique_ptr<LinkStream> stream, const HostId&) {
        if (engine)
            engine->add(std::move(stream));
        else
            service->add(std::move(stream));
    });
    link->addControlHandler("endpoint", [this](const HostId&, BytesView, const auto& reply) { reply(encodeEndpointStatus(status())); });

    AdminSources sources;
    sources.ready = [this] { return status().state == EndpointState::Up; };
    sources.dump = [this] { return dump(); };
    sources.metrics = &metrics;
    auto adminServer = AdminServer::create(settings.common.admin, std::move(sources));
    if (!adminServer)
        return failure("admin: " + adminServer.error());
    admin = std::move(*adminServer);
    return {};
}

EndpointStatus AgentDaemon::State::status() const
{
    EndpointStatus status;
    status.endpoint = settings.endpoint;
    status.service = settings.service;
    if (service) {
        status.incarnation = incarnation;
        status.state = EndpointState::Up;
        status.running = static_cast<std::uint32_t>(service->activeRuns());
    } else if (const auto& report = monitor->report()) {
        status.incarnation = report->incarnation;
        status.state = EndpointState::Up;
        status.running = report->running;
        status.queued = report->queued + static_cast<std::uint32_t>(engine->waitingRuns());
        status.models = report->models;
    }
    if (leaving && status.state == EndpointState::Up)
        status.state = EndpointState::Leaving;
    return status;
}

std::size_t AgentDaemon::State::activeRuns() const
{
    return engine ? engine->activeRuns() : service->activeRuns();
}

void AgentDaemon::State::drain()
{
    if (std::exchange(leaving, true))
        return;
    logEvent(LogEvent::DrainStarted, { { "runs", activeRuns() } });
    if (engine)
        engine->startLeaving();
    else
        service->startLeaving();
    loop.quitWhen([this] { return activeRuns() == 0; }, MonotonicClock::now() + settings.common.drainTimeout);
}

nlohmann::json AgentDaemon::State::dump() const
{
    return {
        { "process", "hornbeamgate-agent" },
        { "host", settings.common.host.value() },
        { "endpoint", settings.endpoint.value() },
        { "incarnation", incarnation.value() },
        { "endpoint_incarnation", status().incarnation.value() },
        { "leaving", leaving },
        { "link_connections", link->connections() },
        { "cache_index", index ? index->dump() : nlohmann::json() },
        { "work", engine ? engine->dump() : service->dump() },
    };
}

AgentDaemon::AgentDaemon(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}

AgentDaemon::~AgentDaemon() = default;

Result<std::unique_ptr<AgentDaemon>, std::string> AgentDaemon::create(const AgentSettings& settings)
{
    std::unique_ptr<AgentDaemon> daemon(new AgentDaemon(std::make_unique<State>(settings)));
    const auto dispatchers = daemon->m_state->createDispatchers();
    if (!dispatchers)
        return failure(dispatchers.error());
    const auto servers = daemon->m_state->createServers();
    if (!servers)
        return failure(servers.error());
    return daemon;
}

void AgentDaemon::run()
{
    if (m_state->monitor) {
        m_state->monitor->start();
        m_state->cachePoller->start();
    }
    m_state->loop.run([this] { drain(); });
}

void AgentDaemon::drain()
{
    m_state->drain();
}

std::vector<ListeningAddress> AgentDaemon::addresses() const
{
    return { { "link", m_state->link->address() }, { "admin", m_state->admin->address() } };
}

nlohmann::json AgentDaemon::dump() const
{
    return m_state->dump();
}

} // namespace hornbeamgate
