#include "hornbeamgate/runtime/entry/entry_daemon.hpp"

#include "hornbeamgate/observability/log.hpp"
#include "hornbeamgate/runtime/admin_server.hpp"
#include "hornbeamgate/runtime/entry/budget_task.hpp"
#include "hornbeamgate/runtime/entry/config_task.hpp"
#include "hornbeamgate/runtime/entry/endpoint_poller.hpp"
#include "hornbeamgate/runtime/entry/entry_request.hpp"
#include "hornbeamgate/runtime/host_list_client.hpp"
#include "hornbeamgate/runtime/link/link_server.hpp"
#include "hornbeamgate/runtime/main_loop.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <unordered_map>

namespace hornbeamgate {

namespace {

    constexpr std::chrono::milliseconds kHostListInterval { 1000 };
    /// Delay between reporting not ready and refusing connections, so that the load balancer can remove this daemon first.
    constexpr std::chrono::milliseconds kNotReadyPeriod { 1000 };
    /// Maximum time that a drained daemon waits until the log has stored the last record of its budgets.
    constexpr std::chrono::seconds kBudgetReleaseTimeout { 5 };

    constexpr std::chrono::milliseconds kRegionRoundTrip { 60 };
    constexpr double kRegionBytesPerSecond = 3.75e6;
    constexpr std::chrono::milliseconds kRegionPenaltyPerMegabyte { 200 };

    RouterOptions routerOptions(const EntrySettings& settings)
    {
        RouterOptions options;
        options.policy = RoutingPolicy::forTailLatency();
        for (const auto& place : settings.dataCenters) {
            DataCenterPath path;
            path.dataCenter = place.dataCenter;
            if (place.region != settings.common.region) {
                path.roundTrip = kRegionRoundTrip;
                path.bytesPerSecond = kRegionBytesPerSecond;
                path.penaltyPerMegabyte = kRegionPenaltyPerMegabyte;
            }
            options.paths.push_back(path);
        }
        return options;
    }

    std::set<DataCenterId> configuredDataCenters(const EntrySettings& settings)
    {
        std::set<DataCenterId> dataCenters;
        for (const auto& place : settings.dataCenters)
            dataCenters.insert(place.dataCenter);
        return dataCenters;
    }

    EndpointUp toEndpointUp(const DirectoryEntry& entry, MonotonicTime readySince)
    {
        EndpointUp up;
        up.endpoint = entry.endpoint;
        up.incarnation = entry.status->incarnation;
        up.dataCenter = entry.place->dataCenter;
        up.readySince = readySince;
        for (const auto& loaded : entry.status->models)
            up.models.push_back({ loaded.model, loaded.weights });
        return up;
    }

} // namespace

struct EntryDaemon::State {
    State(const EntrySettings& entrySettings, KeyHasher keyHasher, Router madeRouter, KeyFreshness freshness)
        : settings(entrySettings)
        , hasher(std::move(keyHasher))
        , links(entrySettings.common.host)
        , router(std::move(madeRouter))
        , log(entrySettings.common.platform.log)
        , directory([this](const DirectoryEntry& now, const std::optional<EndpointStatus>& before) { endpointChanged(now, before); })
        , poller(links, directory, configuredDataCenters(entrySettings))
        , keyTrustMonitor(std::move(freshness), [this] { terminateRequests(keyedStreams.cutAll()); })
        , drainTimer([this] { stopAccepting(); })
    {
        context.settings = &settings;
        context.incarnation = newIncarnation();
        context.metrics = &metrics;
        context.links = &links;
        context.retries = &retries;
        context.router = &router;
        context.directory = &directory;
        context.keyTrustMonitor = &keyTrustMonitor;
        context.keyedStreams = &keyedStreams;
    }

    EntrySettings settings;
    KeyHasher hasher;
    Metrics metrics;
    LinkPool links;
    RetryBudget retries;
    Router router;
    PlatformLogClient log;
    EndpointDirectory directory;
    EndpointPoller poller;
    std::unique_ptr<BudgetTask> budget;
    KeyedStreams keyedStreams;
    KeyTrustMonitor keyTrustMonitor;
    EntryContext context;
    std::optional<ActiveConfig> config;
    std::unique_ptr<ConfigTask> rules;
    std::unique_ptr<HostListClient> hosts;
    std::unordered_map<RequestId, std::unique_ptr<EntryRequest>> requests;
    std::uint64_t lastRequest = 0;
    std::unique_ptr<HttpServer> callers;
    std::unique_ptr<LinkServer> link;
    std::unique_ptr<AdminServer> admin;
    MainLoop loop;
    Timer drainTimer;
    bool draining = false;
    std::optional<MonotonicTime> budgetReleaseDeadline; ///< set once the release of the budgets has started

    Result<void, std::string> createServers();
    Result<void, std::string> createConfigTask();
    Result<void, std::string> createBudgetTask();
    void startBackgroundTasks();
    void accept(std::unique_ptr<HttpExchange> exchange);
    void removeRequest(RequestId id);
    void terminateRequests(const std::vector<RequestId>& ids);
    void applyRules(ConfigVersion version, const RuleSet& rules);
    void handleHostList(const HostListEvent& event);
    void endpointChanged(const DirectoryEntry& now, const std::optional<EndpointStatus>& before);
    void drain();
    void stopAccepting();
    bool isDrained();
    nlohmann::json dump() const;
};

Result<void, std::string> EntryDaemon::State::createServers()
{
    auto callerServer = HttpServer::create(settings.callers, settings.maxBodyBytes, [this](std::unique_ptr<HttpExchange> exchange) { accept(std::move(exchange)); });
    if (!callerServer)
        return failure("callers: " + callerServer.error());
    callers = std::move(*callerServer);
    auto linkServer = LinkServer::create(settings.common.link);
    if (!linkServer)
        return failure("link: " + linkServer.error());
    link = std::move(*linkServer);
    AdminSources sources;
    sources.ready = [this] { return config.has_value() && !draining; };
    sources.dump = [this] { return dump(); };
    sources.metrics = &metrics;
    auto adminServer = AdminServer::create(settings.common.admin, std::move(sources));
    if (!adminServer)
        return failure("admin: " + adminServer.error());
    admin = std::move(*adminServer);
    return {};
}

Result<void, std::string> EntryDaemon::State::createConfigTask()
{
    ConfigReplicaOptions options;
    options.dataCenter = settings.common.dataCenter;
    auto replica = ConfigReplica::create(options, std::mt19937_64(newUniqueNumber()));
    if (!replica)
        return failure("config: " + replica.error().detail);
    ConfigTask::Callbacks callbacks;
    callbacks.rulesChanged = [this](ConfigVersion version, const RuleSet& accepted) { applyRules(version, accepted); };
    callbacks.confirmed = [this](MonotonicTime at) { keyTrustMonitor.handle(ConfigConfirmed { at }); };
    callbacks.peerReported = [this](const ConfigPeerReport& report) { keyTrustMonitor.handle(report); };
    rules = std::make_unique<ConfigTask>(std::move(*replica), log, links, std::move(callbacks));
    return {};
}

Result<void, std::string> EntryDaemon::State::createBudgetTask()
{
    const auto& common = settings.common;
    auto task = BudgetTask::create({ common.host, common.region, link->address(), context.incarnation, settings.regions }, log, links);
    if (!task)
        return failure("rates: " + task.error());
    budget = std::move(*task);
    context.budget = budget.get();
    return {};
}

void EntryDaemon::State::startBackgroundTasks()
{
    rules->start(*link);
    budget->start(*link);
    HostListOptions options;
    options.address = settings.common.platform.hosts;
    options.interval = kHostListInterval;
    hosts = std::make_unique<HostListClient>(options, [this](const HostListEvent& event) { handleHostList(event); });
    poller.start();
    keyTrustMonitor.start();
}

void EntryDaemon::State::accept(std::unique_ptr<HttpExchange> exchange)
{
    const RequestId id(++lastRequest);
    auto request = std::make_unique<EntryRequest>(context, id, std::move(exchange), [this, id] { removeRequest(id); });
    auto& started = *request;
    requests.emplace(id, std::move(request));
    started.start();
}

void EntryDaemon::State::removeRequest(RequestId id)
{
    const auto found = requests.find(id);
    if (found == requests.end())
        return;
    post([ended = std::shared_ptr<EntryRequest>(std::move(found->second))] {});
    requests.erase(found);
}

void EntryDaemon::State::terminateRequests(const std::vector<RequestId>& ids)
{
    for (const auto id : ids) {
        if (const auto found = requests.find(id); found != requests.end())
            found->second->terminateForKey();
    }
}

void EntryDaemon::State::applyRules(ConfigVersion version, const RuleSet& accepted)
{
    auto next = ActiveConfig::create(version, accepted, hasher);
    if (!next) {
        logEvent(LogEvent::ConfigUnreadable, { { "version", version.value() }, { "detail", next.error().detail } });
        return;
    }
    const auto withdrawn = config ? findWithdrawnKeys(config->rules(), accepted) : std::vector<KeyId>();
    config.emplace(std::move(*next));
    context.config = &*config;
    directory.setRules(accepted);
    budget->setRules(accepted.workspaces);
    terminateRequests(keyedStreams.cut(withdrawn));
    logEvent(LogEvent::ConfigApplied, { { "version", version.value() }, { "withdrawn_keys", withdrawn.size() } });
}

void EntryDaemon::State::handleHostList(const HostListEvent& event)
{
    if (const auto* unreachable = std::get_if<HostListUnreachable>(&event)) {
        logEvent(LogEvent::PlatformUnreachable, { { "service", "hosts" }, { "detail", unreachable->detail } });
        return;
    }
    std::vector<AgentLocation> agentLocations;
    std::vector<ConfigPeerLocation> peers;
    KeyDataCentersKnown dataCenters;
    std::vector<BudgetHost> budgetHosts;
    for (const auto& host : std::get<HostListRead>(event).hosts) {
        if (host.role == HostRole::Agent)
            agentLocations.push_back({ host.host, host.link, host.dataCenter });
        else if (host.host != settings.common.host)
            peers.push_back({ { host.host, host.dataCenter }, host.link });
        if (host.role == HostRole::Entry)
            budgetHosts.push_back({ host.host, host.region, host.link, host.state == HostState::Live });
        if (host.role == HostRole::Entry && host.host != settings.common.host)
            dataCenters.dataCenters.insert(host.dataCenter);
    }
    directory.setAgentLocations(agentLocations);
    rules->setPeers(peers);
    keyTrustMonitor.handle(dataCenters);
    budget->setHosts(budgetHosts);
}

void EntryDaemon::State::endpointChanged(const DirectoryEntry& now, const std::optional<EndpointStatus>& before)
{
    const auto time = MonotonicClock::now();
    const bool sameState = before && now.status && before->state == now.status->state && before->incarnation == now.status->incarnation;
    if (!sameState)
        logEvent(LogEvent::EndpointStateChanged, { { "endpoint", now.endpoint.value() }, { "up", now.acceptsRequests() ? "yes" : "no" } });
    if (!now.service.empty())
        return;
    if (!now.status || now.status->state == EndpointState::Down) {
        router.handle(EndpointDown { now.endpoint, before ? before->incarnation : Incarnation() }, time);
        return;
    }
    const bool sameModels = sameState && before->models == now.status->models;
    if (now.status->state == EndpointState::Leaving)
        router.handle(EndpointLeaving { now.endpoint, now.status->incarnation }, time);
    else if (!sameModels && now.place)
        router.handle(toEndpointUp(now, time), time);
    LoadReported load;
    load.endpoint = now.endpoint;
    load.incarnation = now.status->incarnation;
    load.running = now.status->running;
    load.asOf = time;
    router.handle(load, time);
}

void EntryDaemon::State::drain()
{
    if (std::exchange(draining, true))
        return;
    logEvent(LogEvent::DrainStarted, { { "requests", requests.size() } });
    callers->announceClose();
    drainTimer.set(MonotonicClock::now() + kNotReadyPeriod);
}

void EntryDaemon::State::stopAccepting()
{
    callers->stopAccepting();
    link->stopAccepting();
    loop.quitWhen([this] { return isDrained(); }, MonotonicClock::now() + settings.common.drainTimeout);
}

bool EntryDaemon::State::isDrained()
{
    if (!requests.empty() || callers->openExchanges() > 0)
        return false;
    // Budgets are released last, because the requests that finish during the drain are still admitted against them.
    if (!budgetReleaseDeadline) {
        budgetReleaseDeadline = MonotonicClock::now() + kBudgetReleaseTimeout;
        budget->leave();
    }
    return budget->isReleased() || MonotonicClock::now() >= *budgetReleaseDeadline;
}

nlohmann::json EntryDaemon::State::dump() const
{
    auto running = nlohmann::json::array();
    for (const auto& [id, request] : requests)
        running.push_back(request->dump());
    return {
        { "process", "hornbeamgated" },
        { "host", settings.common.host.value() },
        { "incarnation", context.incarnation.value() },
        { "draining", draining },
        { "config_version", config ? nlohmann::json(config->version().value()) : nlohmann::json() },
        { "config", rules->dump() },
        { "keys", keyTrustMonitor.dump() },
        { "budget", budget->dump() },
        { "endpoints", directory.dump() },
        { "router", router.dump(MonotonicClock::now()) },
        { "retries_available", retries.available() },
        { "link_connections", links.connections() },
        { "requests", std::move(running) },
    };
}

EntryDaemon::EntryDaemon(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}

EntryDaemon::~EntryDaemon() = default;

Result<std::unique_ptr<EntryDaemon>, std::string> EntryDaemon::create(const EntrySettings& settings)
{
    const Bytes pepper(settings.keyPepper.begin(), settings.keyPepper.end());
    auto hasher = KeyHasher::create(pepper);
    if (!hasher)
        return failure("key_pepper: " + hasher.error().detail);
    auto router = Router::create(routerOptions(settings), std::mt19937_64(newUniqueNumber()));
    if (!router)
        return failure("router: " + router.error().detail);
    auto freshness = KeyFreshness::create({});
    if (!freshness)
        return failure("keys: " + freshness.error().detail);
    std::unique_ptr<EntryDaemon> daemon(new EntryDaemon(std::make_unique<State>(settings, std::move(*hasher), std::move(*router), std::move(*freshness))));
    const auto servers = daemon->m_state->createServers();
    if (!servers)
        return failure(servers.error());
    const auto configTask = daemon->m_state->createConfigTask();
    if (!configTask)
        return failure(configTask.error());
    const auto budgetTask = daemon->m_state->createBudgetTask();
    if (!budgetTask)
        return failure(budgetTask.error());
    return daemon;
}

void EntryDaemon::run()
{
    m_state->startBackgroundTasks();
    m_state->loop.run([this] { drain(); });
}

void EntryDaemon::drain()
{
    m_state->drain();
}

std::vector<ListeningAddress> EntryDaemon::addresses() const
{
    return { { "callers", m_state->callers->address() }, { "link", m_state->link->address() }, { "admin", m_state->admin->address() } };
}

nlohmann::json EntryDaemon::dump() const
{
    return m_state->dump();
}

} // namespace hornbeamgate
