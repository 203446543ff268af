#include "hornbeamgate/runtime/gateway/gateway_daemon.hpp"

#include "hornbeamgate/observability/log.hpp"

#include <nlohmann/json.hpp>

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <csignal>

namespace hornbeamgate::gateway {

namespace {

    using std::chrono::milliseconds;

    constexpr int kOk = 200;
    constexpr int kNotFound = 404;
    constexpr int kUnavailable = 503;
    /// The load balancer checks readiness once a second and removes the daemon after two failures, so new connections
    /// arrive for about this long after SIGTERM. Later requests are refused, since they might not finish before SIGKILL.
    constexpr milliseconds kLoadBalancerDrainDelay { 2800 };
    constexpr milliseconds kDrainCheckInterval { 50 };
    /// Maximum time to wait for the store when the registration is removed at shutdown.
    constexpr milliseconds kDeregistrationTimeout { 300 };
    /// Connections at the admin address, and as many at the readiness address; well below the descriptors kept for files.
    constexpr std::size_t kMaxLocalConnections = 50;
    constexpr int kLargeBuffer = 131072;
    /// Poll interval for the settings file, which may change without a SIGHUP.
    constexpr milliseconds kSettingsInterval { 2000 };

} // namespace

Result<std::unique_ptr<GatewayDaemon>, std::string> GatewayDaemon::create(const GatewaySettings& settings, GatewayAdapters adapters, std::string settingsPath)
{
    auto daemon = std::unique_ptr<GatewayDaemon>(new GatewayDaemon(settings, std::move(adapters), std::move(settingsPath)));
    if (auto listening = daemon->listen(); !listening)
        return failure(listening.error().detail);
    return daemon;
}

GatewayDaemon::GatewayDaemon(const GatewaySettings& settings, GatewayAdapters adapters, std::string settingsPath)
    : m_settings(settings)
    , m_adapters(std::move(adapters))
    , m_settingsPath(std::move(settingsPath))
    , m_state(m_settings, *m_adapters.wire)
    , m_self { settings.common.host, newIncarnation(), settings.common.link }
    , m_directory(m_state, *m_adapters.directory, m_self)
    , m_quarantine(m_state, *m_adapters.directory, m_self.host)
    , m_versionRollouts(m_state, *m_adapters.directory, m_directory)
    , m_drainTimer([this] { closeWhenDrained(); })
    , m_settingsTimer([this] { watchSettings(); })
{
}

void GatewayDaemon::limitDescriptors()
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= m_settings.machine.fileDescriptors)
        return;
    auto& machine = m_settings.machine;
    machine.fileDescriptors = std::max<std::size_t>(limit.rlim_cur, MachineLimits::kMinFileDescriptors);
    machine.maxCallerConnections = std::min(machine.maxCallerConnections, MachineLimits::callerShare(machine.fileDescriptors));
}

Result<void, NetError> GatewayDaemon::listen()
{
    limitDescriptors();
    // Large buffers come from the system one by one, and their memory goes back to it when they are freed. By default the
    // threshold grows with the buffers that are freed, and their memory stays with the process.
    mallopt(M_MMAP_THRESHOLD, kLargeBuffer);
    auto callers = HttpAcceptor::create(m_settings.callers,
        { [this](HttpServerConnection& connection, HttpRequestMessage message) -> std::unique_ptr<HttpRequestHandler> {
             return std::make_unique<GatewayRequest>(m_state, connection, std::move(message));
         },
            [this] { return callerLimits(); }, [this] { return m_state.isDraining; }, &m_state.memory,
            [this](const HttpRequestHead& head) { return refusalFields(head); }, [this] { return m_settings.machine.maxCallerConnections; } });
    if (!callers)
        return failure(callers.error());
    m_callers = std::move(*callers);
    auto readiness = HttpAcceptor::create(m_settings.readiness, { respondImmediately([this](const HttpRequestMessage& message) -> HttpSimpleResponse {
                                                                     if (!m_adapters.wire->isReadinessCheck(message.head))
                                                                         return { kNotFound, {}, {} };
                                                                     return { isReady() ? kOk : kUnavailable, {}, {} };
                                                                 }),
                                                                    {}, {}, &m_state.memory, {}, [] { return kMaxLocalConnections; } });
    if (!readiness)
        return failure(readiness.error());
    m_readiness = std::move(*readiness);
    auto admin = HttpAcceptor::create(m_settings.common.admin, { respondImmediately([this](const HttpRequestMessage& message) { return adminAnswer(message); }), {}, {}, &m_state.memory, {}, [] { return kMaxLocalConnections; } });
    if (!admin)
        return failure(admin.error());
    m_admin = std::move(*admin);
    auto peers = PeerTask::create(m_state, m_directory, m_self);
    if (!peers)
        return failure(peers.error());
    m_peers = std::move(*peers);
    m_weights = std::make_unique<WeightsTask>(m_state, *m_adapters.directory, *m_adapters.engines, *m_peers, m_self.host);
    return {};
}

std::vector<ListeningAddress> GatewayDaemon::addresses() const
{
    return { { "callers", m_callers->address() }, { "readiness", m_readiness->address() }, { "admin", m_admin->address() } };
}

void GatewayDaemon::run()
{
    m_directory.start();
    m_quarantine.start();
    m_versionRollouts.start();
    m_peers->start();
    m_weights->start();
    watchSettings();
    const auto onReload = watchSignal(SIGHUP, [this] { reloadSettings(); });
    m_loop.run([this] { drain(); });
}

bool GatewayDaemon::isReady() const
{
    return !m_state.isDraining && m_directory.isComplete();
}

HttpFields GatewayDaemon::refusalFields(const HttpRequestHead& head) const
{
    const auto metadata = m_adapters.wire->decodeRequest(head);
    return m_adapters.wire->encodeRefusal(metadata ? metadata->requestId : std::string(), MemoryAccount::kStallTime);
}

HttpServerLimits GatewayDaemon::callerLimits() const
{
    if (!m_state.routes)
        return {};
    const auto& limits = m_state.routes->config().limits;
    return { limits.maxHeadBytes, limits.maxBodyBytes, limits.headTimeout, limits.idleTimeout };
}

void GatewayDaemon::drain()
{
    if (m_state.isDraining)
        return;
    m_state.isDraining = true;
    m_drainStart = MonotonicClock::now();
    logEvent(LogEvent::DrainStarted, { { "requests", m_callers->busyConnections() } });
    m_directory.onDrainStarted();
    m_drainTimer.set(m_drainStart + kLoadBalancerDrainDelay);
}

void GatewayDaemon::closeWhenDrained()
{
    const auto now = MonotonicClock::now();
    m_state.isClosing = true;
    for (auto& [service, queue] : m_state.waiting)
        queue.refuseAll();
    m_callers->closeIdleConnections();
    if (m_callers->busyConnections() > 0 && now < m_drainStart + m_settings.common.drainTimeout) {
        m_drainTimer.set(now + kDrainCheckInterval);
        return;
    }
    finishDrain();
}

void GatewayDaemon::finishDrain()
{
    m_callers->reportCutOffResponses("the process ends");
    const auto pending = std::make_shared<int>(2);
    m_directory.resignLeadership([pending] { --*pending; });
    m_peers->sendReport();
    m_directory.withdraw([pending] { --*pending; });
    m_loop.quitWhen([pending] { return *pending == 0; }, MonotonicClock::now() + kDeregistrationTimeout);
}

void GatewayDaemon::watchSettings()
{
    m_settingsTimer.set(MonotonicClock::now() + kSettingsInterval);
    auto text = readSettingsFile(m_settingsPath);
    if (!text)
        return;
    const bool isFirst = m_settingsText.empty();
    if (*text == m_settingsText)
        return;
    m_settingsText = std::move(*text);
    if (!isFirst)
        reloadSettings();
}

void GatewayDaemon::reloadSettings()
{
    const auto text = readSettingsFile(m_settingsPath);
    if (!text) {
        logEvent(LogEvent::SettingsReloaded, { { "outcome", "kept" }, { "reason", text.error().detail } });
        return;
    }
    auto settings = parseGatewaySettings(*text);
    if (!settings) {
        const auto& fault = settings.error().front();
        logEvent(LogEvent::SettingsReloaded, { { "outcome", "kept" }, { "reason", fault.path + ' ' + fault.detail } });
        return;
    }
    // The listening addresses stay as bound, and version rollouts as they are, since their state depends on the limits; the
    // other settings are replaced.
    settings->common = m_settings.common;
    settings->callers = m_settings.callers;
    settings->readiness = m_settings.readiness;
    settings->versionRollouts = m_settings.versionRollouts;
    m_settings = std::move(*settings);
    limitDescriptors();
    m_state.memory.setLimit(m_settings.machine.peerBytes());
    m_settingsText = *text;
    m_state.retryBudgets.clear();
    logEvent(LogEvent::SettingsReloaded, { { "outcome", "applied" } });
}

HttpSimpleResponse GatewayDaemon::adminAnswer(const HttpRequestMessage& message) const
{
    if (message.head.target == "/metrics")
        return { kOk, "text/plain; version=0.0.4", m_state.metrics.page() };
    if (message.head.target == "/dump")
        return { kOk, "application/json", dump() };
    return { kNotFound, {}, {} };
}

std::string GatewayDaemon::dump() const
{
    using nlohmann::json;
    const auto now = MonotonicClock::now();
    json endpoints = json::array();
    for (const auto& [id, entry] : m_state.registry.entries()) {
        endpoints.push_back({ { "id", id.value() }, { "service", entry.service.value() }, { "address", entry.address.text() }, { "leaving", entry.isLeaving || m_state.advisories.isLeaving(instanceOf(entry)) },
            { "load", m_state.loads.load(id, now) }, { "slowdown", m_state.speeds.slowdown(entry, now) }, { "tokens_per_ms", m_state.speeds.tokensPerMs(entry.service) }, { "failure_share", m_state.loads.failureRate(id) }, { "avoided", m_state.loads.isAvoided(id, now) },
            { "paced", m_state.paces.isInSlowStart(instanceOf(entry)) },
            { "paused", m_state.advisories.isPaused(instanceOf(entry), now) },
            { "limit_per_second", m_state.advisories.limitOf(instanceOf(entry)).value_or(-1) } });
    }
    const json state { { "host", m_self.host.value() }, { "config_version", m_state.routes ? m_state.routes->config().version.value() : 0 },
        { "config_age_ms", m_state.configAge(now).count() }, { "draining", m_state.isDraining }, { "holds_duty", m_state.weightsRollout.isConfirmed(now) }, { "peers_heard", m_state.peers.heardCount(now) },
        { "peers_running", m_state.peers.runningCount(now) }, { "caller_connections", m_callers->connections() },
        { "connections_opened", m_state.endpointConnections.opened() }, { "connections_reused", m_state.endpointConnections.reused() },
        { "responses_skipped", m_state.endpointConnections.skippedResponses() },
        { "endpoints", std::move(endpoints) } };
    return state.dump(2) + '\n';
}

} // namespace hornbeamgate::gateway
