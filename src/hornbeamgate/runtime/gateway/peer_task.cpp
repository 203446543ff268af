#include "hornbeamgate/runtime/gateway/peer_task.hpp"

#include "hornbeamgate/observability/log.hpp"
#include "hornbeamgate/runtime/gateway/pace_log.hpp"
#include "hornbeamgate/runtime/gateway/quarantine_log.hpp"

#include <algorithm>
#include <charconv>

namespace hornbeamgate::gateway {

namespace {

    using std::chrono::milliseconds;

    /// Minimum interval between two reports. What other daemons deduct from a rate within it, not yet visible here, stays far
    /// below a burst.
    constexpr milliseconds kMinReportInterval { 200 };
    /// Interval per daemon of the fleet, so that the number of messages each daemon handles per second does not grow with the
    /// fleet.
    constexpr milliseconds kReportIntervalPerPeer { 12 };
    constexpr milliseconds kMaxReportInterval { 1000 };
    /// Notices of loading engines that may be sent in the interval between two reports.
    constexpr int kNoticesPerReport = 4;
    /// How long completed weight loads are reported, since individual reports may be lost.
    constexpr milliseconds kLoadedReportDuration { 1500 };
    /// Number of reports that include each observation, since individual reports may be lost.
    constexpr int kReportsPerObservation = 3;
    constexpr milliseconds kFetchTimeout { 1000 };
    /// Largest answer with a peer's records; leaves room for their framing and for one record beyond the bound.
    constexpr std::size_t kMaxRecordsBytes = 2 * DirectoryReplica::kMaxReturnedBytes;
    /// Half of the quarter of the descriptors that is kept for engines, other gateways and the store.
    constexpr std::size_t kPeerDescriptorParts = 8;
    constexpr std::string_view kRecordsPath = "/records/";
    constexpr int kNotFound = 404;
    constexpr int kOk = 200;

    std::string_view asText(const Bytes& bytes)
    {
        return { reinterpret_cast<const char*>(bytes.data()), bytes.size() };
    }

    BytesView asBytes(std::string_view text)
    {
        return { reinterpret_cast<const std::uint8_t*>(text.data()), text.size() };
    }

} // namespace

Result<std::unique_ptr<PeerTask>, NetError> PeerTask::create(GatewayState& state, DirectoryTask& directory, const DaemonEntry& self)
{
    auto task = std::unique_ptr<PeerTask>(new PeerTask(state, directory, self));
    auto* raw = task.get();
    auto acceptor = HttpAcceptor::create(self.peers, { respondImmediately([raw](const HttpRequestMessage& message) { return raw->answer(message); }), {}, {}, &state.memory, {}, [&state] { return state.settings.machine.fileDescriptors / kPeerDescriptorParts; } });
    if (!acceptor)
        return failure(acceptor.error());
    task->m_acceptor = std::move(*acceptor);
    task->m_self.peers = task->m_acceptor->address();
    auto socket = UdpSocket::create(task->m_self.peers, [raw](std::string_view bytes) { raw->onDatagram(bytes); });
    if (!socket)
        return failure(socket.error());
    task->m_socket = std::move(*socket);
    return task;
}

PeerTask::PeerTask(GatewayState& state, DirectoryTask& directory, DaemonEntry self)
    : m_state(state)
    , m_directory(directory)
    , m_self(std::move(self))
    , m_timer([this] { report(); })
    , m_noticeTimer([this] { sendNotice(); })
{
}

void PeerTask::start()
{
    report();
}

void PeerTask::report()
{
    const auto now = MonotonicClock::now();
    const auto interval = reportInterval();
    const auto next = now + interval;
    if (m_state.overload.isAnyOn())
        m_state.loads.setPeerTokensTimeout(std::max<Duration>(EndpointLoads::kPeerTokensTimeout, kReportsPerObservation * interval));
    m_standstills.timerFired(now, next);
    logPaceChanges(m_state.paces.takeChanges());
    sendReport();
    m_timer.set(next);
}

milliseconds PeerTask::reportInterval() const
{
    const auto peers = static_cast<std::int64_t>(m_state.peers.runningCount(MonotonicClock::now()));
    return std::clamp(kReportIntervalPerPeer * peers, kMinReportInterval, kMaxReportInterval);
}

PeerReport PeerTask::makeReport(MonotonicTime now)
{
    PeerReport report;
    report.host = m_self.host;
    report.incarnation = m_self.incarnation;
    report.address = m_self.peers;
    for (std::size_t i = 0; i < kDirectoryTopics; ++i)
        report.directoryEnds[i] = m_directory.replica().end(static_cast<DirectoryTopic>(i));
    report.leadership = m_directory.leadershipReport(now);
    report.orderAges = m_state.weightsRollout.journal().recentOrders(now);
    report.isAskingForOrderAges = m_state.weightsRollout.journal().isAskingForAges(now);
    report.targetAges = m_state.weightsRollout.targetAges(now);
    report.isLeaving = m_state.isDraining;
    report.drawn = m_state.rates.drawn();
    report.loading = loadingEngines(now);
    report.loaded = recentlyLoaded(now);
    const auto observedSince = now - kReportsPerObservation * reportInterval();
    report.blockUses = m_state.blocks.recentLocalUses(observedSince, now);
    report.quarantine = m_state.quarantine.report(observedSince, now);
    report.advisories = m_state.advisories.report(observedSince, now);
    if (m_state.versionRollouts)
        report.rollouts = m_state.versionRollouts->report(now);
    report.pace = m_state.paces.report(now);
    report.pendingPrefillTokens = m_state.loads.localPendingPrefillTokens();
    return report;
}

std::vector<LoadingEngine> PeerTask::loadingEngines(MonotonicTime now)
{
    std::erase_if(m_loading, [now](const auto& entry) { return entry.second <= now; });
    std::vector<LoadingEngine> loading;
    for (const auto& [endpoint, end] : m_loading)
        loading.push_back({ endpoint, std::chrono::ceil<milliseconds>(end - now) });
    return loading;
}

std::vector<LoadedWeights> PeerTask::recentlyLoaded(MonotonicTime now)
{
    std::erase_if(m_loaded, [now](const auto& entry) { return entry.second <= now; });
    std::vector<LoadedWeights> loaded;
    for (const auto& [weights, end] : m_loaded)
        loaded.push_back(weights);
    return loaded;
}

void PeerTask::sendToPeers(const Bytes& message)
{
    const auto peers = m_state.peers.addresses();
    for (const auto& address : peers)
        m_socket->send(address, asText(message));
    m_state.metrics.add(Counter::PeerBytesSent, message.size() * peers.size());
}

void PeerTask::sendReport()
{
    sendToPeers(encodePeerReport(makeReport(MonotonicClock::now())));
}

void PeerTask::requestNotice()
{
    m_noticeTimer.set(std::max(MonotonicClock::now(), m_nextNoticeAt));
}

void PeerTask::sendNotice()
{
    const auto now = MonotonicClock::now();
    m_nextNoticeAt = now + reportInterval() / kNoticesPerReport;
    sendToPeers(encodeLoadingNotice({ m_self.host, loadingEngines(now), recentlyLoaded(now), m_state.weightsRollout.journal().recentOrders(now) }));
}

void PeerTask::announceLoading(const EndpointId& endpoint, Duration time)
{
    const auto end = MonotonicClock::now() + time;
    m_loading[endpoint] = end;
    m_state.loads.pauseUntil(endpoint, end);
    requestNotice();
}

void PeerTask::extendLoading(const EndpointId& endpoint, Duration time)
{
    auto& end = m_loading[endpoint];
    end = std::max(end, MonotonicClock::now() + time);
    m_state.loads.pauseUntil(endpoint, end);
}

void PeerTask::announceLoaded(const LoadedWeights& weights)
{
    m_loading.erase(weights.endpoint);
    m_loaded.emplace_back(weights, MonotonicClock::now() + kLoadedReportDuration);
    applyLoaded(weights);
    requestNotice();
}

void PeerTask::applyLoaded(const LoadedWeights& weights)
{
    const auto* known = m_state.registry.find(weights.endpoint);
    if (!known)
        return;
    const auto version = known->weights.find(weights.model);
    if (version == known->weights.end() || version->second >= weights.version)
        return;
    m_state.recordWeights(weights.endpoint, weights.model, weights.version, MonotonicClock::now());
    m_state.loads.resume(weights.endpoint);
}

void PeerTask::onDatagram(std::string_view bytes)
{
    const auto message = decodePeerMessage(asBytes(bytes));
    if (!message)
        return;
    if (const auto* notice = std::get_if<LoadingNotice>(&*message))
        onNotice(*notice);
    else
        onReport(std::get<PeerReport>(*message));
}

void PeerTask::onNotice(const LoadingNotice& notice)
{
    if (notice.host == m_self.host)
        return;
    const auto now = MonotonicClock::now();
    m_state.weightsRollout.journal().onPeerOrders(notice.orderAges, now);
    for (const auto& engine : notice.loading)
        m_state.loads.pauseUntil(engine.endpoint, now + engine.remaining);
    for (const auto& weights : notice.loaded)
        applyLoaded(weights);
}

void PeerTask::onReport(const PeerReport& report)
{
    if (report.host == m_self.host)
        return;
    const auto now = MonotonicClock::now();
    m_state.peers.add(report.host, report.address, report.incarnation, now);
    m_state.peers.heard(report.host, report.isLeaving, now);
    m_directory.onPeerReport(report, now);
    if (report.isAskingForOrderAges)
        sendOrderAges(report.address, now);
    m_state.rates.peerReported(report.host, report.incarnation, report.drawn, now);
    for (const auto& engine : report.loading)
        m_state.loads.pauseUntil(engine.endpoint, now + engine.remaining);
    for (const auto& weights : report.loaded)
        applyLoaded(weights);
    m_state.blocks.recordPeerUses(report.blockUses, now);
    m_state.loads.setPeerPendingPrefillTokens(report.host, report.pendingPrefillTokens, now);
    m_state.paces.recordPeerReport(report.host, report.pace, now);
    applyLeaving(report, now);
    if (m_state.versionRollouts)
        m_state.versionRollouts->recordPeerReport(report.host, report.incarnation, report.rollouts, now);
    // The ages in a report that was received late are too low.
    if (!m_standstills.mayReadBacklog(now)) {
        logQuarantineChanges(m_state.quarantine.recordPeerReport(report.quarantine, now));
        applyAdvisories(report, now);
    }
    fetchNewerRecords(report);
}

void PeerTask::applyLeaving(const PeerReport& report, MonotonicTime now)
{
    for (const auto& leaving : report.advisories.leaving) {
        const auto* known = m_state.registry.find(leaving.endpoint);
        const EndpointInstance endpoint { leaving.endpoint, leaving.incarnation, known ? known->service : ServiceId() };
        if (m_state.advisories.recordPeerLeaving(endpoint, now))
            logEvent(LogEvent::EndpointsChanged, { { "endpoint", leaving.endpoint.value() }, { "state", "leaving" }, { "peer", report.host.value() } });
    }
}

void PeerTask::applyAdvisories(const PeerReport& report, MonotonicTime now)
{
    m_state.advisories.setPeerDemand(report.host, report.advisories.demand);
    for (const auto& limit : report.advisories.limits) {
        const auto* known = m_state.registry.find(limit.endpoint);
        if (!known)
            continue;
        const EndpointInstance endpoint { limit.endpoint, limit.incarnation, known->service };
        if (m_state.advisories.recordPeerLimit(endpoint, limit, now))
            logEvent(LogEvent::EndpointLimited, { { "endpoint", limit.endpoint.value() }, { "per_second", limit.requestsPerSecond.value_or(-1) }, { "share", m_state.advisories.shareOf(endpoint) }, { "peer", report.host.value() } });
    }
}

void PeerTask::sendOrderAges(const SocketAddress& leader, MonotonicTime now)
{
    auto report = makeReport(now);
    report.orderAges = m_state.weightsRollout.journal().heardOrders(now);
    if (!report.orderAges.empty())
        m_socket->send(leader, asText(encodePeerReport(report)));
}

void PeerTask::fetchNewerRecords(const PeerReport& report)
{
    const auto now = MonotonicClock::now();
    for (std::size_t i = 0; i < kDirectoryTopics; ++i) {
        const auto topic = static_cast<DirectoryTopic>(i);
        if (!m_directory.follows(topic))
            continue;
        const bool isBehind = m_lags[i].isBehind(m_directory.replica().end(topic), report.directoryEnds[i], now);
        if (isBehind && m_directory.isStale(topic, now) && !m_isFetching[i])
            fetch(topic, report.address);
    }
}

void PeerTask::fetch(DirectoryTopic topic, const SocketAddress& peer)
{
    const auto index = static_cast<std::size_t>(topic);
    m_isFetching[index] = true;
    HttpRequestHead head { "GET", std::string(kRecordsPath) + std::to_string(index) + '/' + std::to_string(m_directory.replica().end(topic).value()), {}, true };
    head.fields.add("Host", peer.text());
    auto limits = CallLimits::until(MonotonicClock::now() + kFetchTimeout);
    limits.maxBodyBytes = kMaxRecordsBytes;
    m_calls.start(peer, requestText(head, {}), limits, [this, topic, index, peer](const Result<HttpResponse, NetError>& answer) {
        m_isFetching[index] = false;
        if (!answer || answer->status != kOk) {
            logEvent(LogEvent::RecordsFetched, { { "topic", topicName(topic) }, { "peer", peer.text() }, { "records", -1 }, { "reason", answer ? "unexpected status" : answer.error().detail } });
            return;
        }
        const auto records = decodeRecords(asBytes(answer->body));
        if (!records) {
            logEvent(LogEvent::RecordUnreadable, { { "peer", peer.text() }, { "reason", records.error().detail } });
            return;
        }
        logEvent(LogEvent::RecordsFetched, { { "topic", topicName(topic) }, { "peer", peer.text() }, { "records", records->size() }, { "reason", "" } });
        m_directory.applyRecords(topic, *records);
    });
}

HttpSimpleResponse PeerTask::answer(const HttpRequestMessage& message) const
{
    std::string_view target = message.head.target;
    if (!target.starts_with(kRecordsPath))
        return { kNotFound, {}, {} };
    target.remove_prefix(kRecordsPath.size());
    const auto slash = target.find('/');
    std::size_t index = kDirectoryTopics;
    std::uint64_t from = 0;
    if (slash != std::string_view::npos) {
        std::from_chars(target.data(), target.data() + slash, index);
        std::from_chars(target.data() + slash + 1, target.data() + target.size(), from);
    }
    if (index >= kDirectoryTopics)
        return { kNotFound, {}, {} };
    const auto bytes = encodeRecords(m_directory.replica().recordsFrom(static_cast<DirectoryTopic>(index), LogOffset(from)));
    return { kOk, "application/cbor", std::string(asText(bytes)) };
}

} // namespace hornbeamgate::gateway
