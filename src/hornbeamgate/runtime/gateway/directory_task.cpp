#include "hornbeamgate/runtime/gateway/directory_task.hpp"

#include "hornbeamgate/observability/log.hpp"
#include "hornbeamgate/runtime/gateway/suspension.hpp"
#include "hornbeamgate/runtime/main_loop.hpp"

#include <algorithm>
#include <utility>

namespace hornbeamgate::gateway {

namespace {

    using std::chrono::milliseconds;

    struct TopicSchedule {
        milliseconds wait; ///< long-poll timeout: how long the store waits for a change
        milliseconds pause; ///< between a response and the next call
        milliseconds staleAfter; ///< without a response for this long, other daemons may have newer records
    };

    /// A connection can go silent without a reset, so a long poll must end well before a configuration has to be in force.
    /// A daemon learns sooner of a change that its own call does not bring, from the reports of its peers.
    /// Endpoints re-register continually, so a long poll would return for each registration; they are polled at an interval
    /// instead. The other topics change rarely and use long polling.
    constexpr std::array<TopicSchedule, kDirectoryTopics> kSchedules { {
        { milliseconds(4000), milliseconds(0), milliseconds(300) },
        { milliseconds(0), milliseconds(500), milliseconds(2000) },
        { milliseconds(10000), milliseconds(200), milliseconds(12000) },
    } };
    static_assert(kSchedules.size() == kDirectoryTopics);

    /// Added to the poll interval for each additional daemon, so that the store's load grows more slowly than the fleet.
    constexpr milliseconds kPollIntervalPerPeer { 25 };
    /// A leaving endpoint must be noticed within 3 s; this interval leaves time for one call that times out and its retry.
    /// A longer one leaves engines unused after a crash, when capacity is short.
    constexpr milliseconds kMaxPollInterval { 1200 };

    /// Delay after the first failed call, doubled up to the maximum to limit the load on a store that is down.
    constexpr milliseconds kInitialRetryDelay { 200 };
    constexpr milliseconds kMaxRetryDelay { 800 };
    constexpr int kMaxRetryDoublings = 2;
    /// Consecutive failed calls after which the store is logged as unavailable.
    constexpr int kFailuresUntilLost = 2;
    /// A member of the rollout group that does not renew within this time is removed. After a leader dies, its successor
    /// waits for this time and for the lease; both together stay well below the bound for rolling out weights.
    constexpr milliseconds kMembershipTtl { 2000 };
    /// Subtracted from the time until which leadership is confirmed, to cover orders that are still in flight.
    constexpr milliseconds kLeadershipExpiryMargin { 500 };
    constexpr milliseconds kRegistrationRetryDelay { 500 };
    constexpr milliseconds kResumptionRetryDelay { 300 };
    constexpr milliseconds kExpiryInterval { 250 };

    const TopicSchedule& scheduleOf(DirectoryTopic topic)
    {
        return kSchedules[static_cast<std::size_t>(topic)];
    }

    void logRateChanges(const FleetConfig* before, const FleetConfig& after)
    {
        std::map<WorkspaceId, std::pair<double, double>> known;
        for (const auto& workspace : before ? before->workspaces : std::vector<WorkspaceRule> {})
            known[workspace.id] = { workspace.unitsPerSecond, workspace.burst };
        for (const auto& workspace : after.workspaces) {
            const std::pair limit { workspace.unitsPerSecond, workspace.burst };
            if (known[workspace.id] != limit)
                logEvent(LogEvent::RateChanged, { { "workspace", workspace.id.value() }, { "per_second", limit.first }, { "burst", limit.second }, { "priority", workspace.priority.value_or(-1) }, { "isolated", workspace.isIsolated ? 1 : 0 }, { "config", after.version.value() } });
        }
    }

} // namespace

DirectoryTask::DirectoryTask(GatewayState& state, Directory& directory, DaemonEntry self)
    : m_state(state)
    , m_directory(directory)
    , m_self(std::move(self))
    , m_registrationTimer([this] { registerDaemon(); })
    , m_membershipTimer([this] { updateMembership(); })
    , m_resumptionTimer([this] { resumeLeadership(); })
    , m_expiryTimer([this] { expireEndpoints(); })
{
    for (std::size_t i = 0; i < kDirectoryTopics; ++i)
        m_watchers[i] = std::make_unique<TopicWatcher>([this, topic = static_cast<DirectoryTopic>(i)] { poll(topic); });
}

void DirectoryTask::start()
{
    for (std::size_t i = 0; i < kDirectoryTopics; ++i)
        poll(static_cast<DirectoryTopic>(i));
    registerDaemon();
    updateMembership();
    resumeLeadership();
    m_expiryTimer.set(MonotonicClock::now() + kExpiryInterval);
}

void DirectoryTask::poll(DirectoryTopic topic)
{
    auto& current = watcher(topic);
    current.calledAt = MonotonicClock::now();
    if (!current.hasListing) {
        m_directory.list(topic, [this, topic](const Result<DirectoryPage, DirectoryError>& page) { onPage(topic, true, page); });
        return;
    }
    m_directory.watch(topic, current.next, scheduleOf(topic).wait, [this, topic](const Result<DirectoryPage, DirectoryError>& page) { onPage(topic, false, page); });
}

void DirectoryTask::onPage(DirectoryTopic topic, bool isListing, const Result<DirectoryPage, DirectoryError>& page)
{
    auto& current = watcher(topic);
    const auto now = MonotonicClock::now();
    if (!page) {
        onCallFailed(topic, page.error());
        return;
    }
    if (current.failuresInRow >= kFailuresUntilLost) {
        logEvent(LogEvent::DependencyRegained, { { "dependency", "store" }, { "topic", topicName(topic) }, { "failed_calls", current.failuresInRow } });
        if (topic == DirectoryTopic::Endpoints)
            m_state.registry.directoryRecovered(now);
    }
    current.failuresInRow = 0;
    current.answeredAt = now;
    for (const auto& record : page->records)
        apply(topic, record);
    if (isListing) {
        for (const auto& record : m_replica.findWithdrawn(topic, page->records, page->next))
            apply(topic, record);
    }
    if (topic == DirectoryTopic::Operators)
        m_state.configConfirmedAt = now;
    current.hasListing = true;
    current.next = std::max(current.next, page->next);
    current.timer.set(now + pollInterval(topic));
}

void DirectoryTask::onCallFailed(DirectoryTopic topic, const DirectoryError& error)
{
    auto& current = watcher(topic);
    const auto now = MonotonicClock::now();
    if (error.isLogTruncated) {
        current.hasListing = false;
        poll(topic);
        return;
    }
    m_state.metrics.add(Counter::DirectoryCallsFailed);
    ++current.failuresInRow;
    const int doublings = std::min(current.failuresInRow - 1, kMaxRetryDoublings);
    const auto pause = std::min(kInitialRetryDelay * (1 << doublings), kMaxRetryDelay);
    // Jitter prevents daemons that lost the store at the same time from reconnecting at the same time.
    const auto delay = pause + milliseconds(newUniqueNumber() % static_cast<std::uint64_t>(pause.count()));
    logEvent(LogEvent::DirectoryCallFailed,
        { { "topic", topicName(topic) }, { "pending_ms", std::chrono::duration_cast<milliseconds>(now - current.calledAt).count() },
            { "failures", current.failuresInRow }, { "retry_ms", delay.count() }, { "reason", error.detail } });
    if (current.failuresInRow == kFailuresUntilLost)
        logEvent(LogEvent::DependencyLost, { { "dependency", "store" }, { "topic", topicName(topic) }, { "reason", error.detail } });
    current.timer.set(now + delay);
}

Duration DirectoryTask::pollInterval(DirectoryTopic topic) const
{
    const auto pause = scheduleOf(topic).pause;
    if (topic != DirectoryTopic::Endpoints)
        return pause;
    const auto peers = static_cast<std::int64_t>(m_state.peers.runningCount(MonotonicClock::now()));
    return std::min(pause + kPollIntervalPerPeer * peers, kMaxPollInterval);
}

void DirectoryTask::applyPeerRecords(DirectoryTopic topic, const std::vector<DirectoryRecord>& records)
{
    for (const auto& record : records)
        apply(topic, record);
}

bool DirectoryTask::isStale(DirectoryTopic topic, MonotonicTime now) const
{
    const auto& current = *m_watchers[static_cast<std::size_t>(topic)];
    return !current.answeredAt || now > *current.answeredAt + scheduleOf(topic).staleAfter;
}

bool DirectoryTask::isComplete() const
{
    return m_state.routes && !m_state.registry.entries().empty();
}

void DirectoryTask::apply(DirectoryTopic topic, const DirectoryRecord& record)
{
    if (!m_replica.apply(topic, record))
        return;
    if (!record.value) {
        removeRecord(topic, record.key);
        return;
    }
    auto item = m_directory.decode(topic, record);
    if (!item) {
        logEvent(LogEvent::RecordUnreadable, { { "topic", topicName(topic) }, { "key", record.key }, { "offset", record.offset.value() }, { "reason", item.error().detail } });
        // An unreadable record does not identify a usable endpoint or daemon, so the previous entry is removed.
        removeRecord(topic, record.key);
        return;
    }
    std::visit([this](auto& value) { put(std::move(value)); }, *item);
}

void DirectoryTask::removeRecord(DirectoryTopic topic, const std::string& key)
{
    const auto now = MonotonicClock::now();
    if (topic == DirectoryTopic::Endpoints) {
        const EndpointId id(key);
        if (m_state.registry.withdraw(id, now)) {
            forgetEndpoint(id);
            logEvent(LogEvent::EndpointsChanged, { { "endpoint", key }, { "state", "gone" } });
        }
        return;
    }
    if (topic == DirectoryTopic::Daemons)
        m_state.peers.remove(HostId(key));
}

void DirectoryTask::put(FleetConfig config)
{
    if (m_state.routes && config.version <= m_state.routes->config().version)
        return;
    logEvent(LogEvent::ConfigApplied, { { "version", config.version.value() }, { "routes", config.routes.size() }, { "workspaces", config.workspaces.size() }, { "unconfirmed_ms", m_state.configAge(MonotonicClock::now()).count() } });
    logRateChanges(m_state.routes ? &m_state.routes->config() : nullptr, config);
    m_state.rates.setLimits(config.workspaces, MonotonicClock::now());
    m_state.routes = std::make_shared<const RouteTable>(std::move(config));
}

void DirectoryTask::put(const WeightsTarget& target)
{
    logEvent(LogEvent::WeightsNamed, { { "model", target.model.value() }, { "version", target.version.value() } });
    // A starting daemon does not know when the weights it finds in the listing were requested.
    const auto now = MonotonicClock::now();
    if (watcher(DirectoryTopic::Operators).hasListing)
        m_state.weightsRollout.setTarget(target.model, target.version, now);
    else
        m_state.weightsRollout.setTargetOfUnknownAge(target.model, target.version, now);
}

void DirectoryTask::put(EndpointEntry entry)
{
    const auto* known = m_state.registry.find(entry.id);
    const bool isChange = !known || known->isLeaving != entry.isLeaving || known->incarnation != entry.incarnation;
    if (known && known->incarnation != entry.incarnation)
        forgetEndpoint(entry.id);
    if (known && known->weights != entry.weights)
        m_state.loads.resume(entry.id);
    if (isChange)
        logEvent(LogEvent::EndpointsChanged, { { "endpoint", entry.id.value() }, { "state", entry.isLeaving ? "leaving" : "up" }, { "address", entry.address.text() } });
    m_state.registry.put(std::move(entry));
}

void DirectoryTask::put(const DaemonEntry& entry)
{
    if (entry.host == m_self.host)
        return;
    m_state.peers.add(entry.host, entry.peers, entry.incarnation, MonotonicClock::now());
}

void DirectoryTask::registerDaemon()
{
    m_directory.registerDaemon(m_self, false, [this](const Result<LogOffset, DirectoryError>& result) {
        if (!result)
            m_registrationTimer.set(MonotonicClock::now() + kRegistrationRetryDelay);
    });
}

void DirectoryTask::withdraw(std::function<void()> done)
{
    m_registrationTimer.clear();
    m_directory.registerDaemon(m_self, true, [done = std::move(done)](const Result<LogOffset, DirectoryError>&) { done(); });
}

void DirectoryTask::updateMembership()
{
    const auto now = MonotonicClock::now();
    const RolloutElection::Situation situation { m_state.weightsRollout.isConfirmed(now), m_state.isDraining, m_state.peers.heardStartedAfter(m_self.incarnation, now) };
    const auto decision = m_election.update(situation, now);
    if (decision.nextUpdate)
        m_membershipTimer.set(*decision.nextUpdate);
    else
        m_membershipTimer.clear();
    if (decision.action == RolloutElection::Action::Renew)
        renewMembership(now);
    if (decision.action == RolloutElection::Action::Leave)
        leaveRolloutGroup([] {});
}

void DirectoryTask::resumeLeadership()
{
    m_directory.readOrderRecord([this](const Result<OrderRecordPosition, DirectoryError>& position) {
        if (!position) {
            logEvent(LogEvent::OrderJournalFailed, { { "call", "read at start" }, { "reason", position.error().detail } });
            m_resumptionTimer.set(MonotonicClock::now() + kResumptionRetryDelay);
            return;
        }
        if (!position->record)
            return;
        m_state.weightsRollout.journal().onRecordFound(*position->record, m_startedAt);
        if (position->record->leader != m_self.host)
            return;
        m_election.onOwnRecordFound(MonotonicClock::now());
        updateMembership();
    });
}

void DirectoryTask::renewMembership(MonotonicTime now)
{
    const auto suspended = suspendedTime();
    const auto lifetime = std::max(kMembershipTtl, std::chrono::ceil<milliseconds>(m_state.settings.minMembershipLifetime));
    m_directory.renewRolloutMembership(m_self.host, lifetime, [this, now, suspended, lifetime, number = ++m_lastRenewal](const Result<RolloutMembership, DirectoryError>& membership) {
        // Several renewals may be pending at a slow store, and the response to a later one, or a departure, overrides this one.
        if (!membership || number <= m_lastSettledRenewal)
            return;
        m_lastSettledRenewal = number;
        onMembershipRenewed(*membership, now + lifetime - kLeadershipExpiryMargin - (suspendedTime() - suspended), MonotonicClock::now());
    });
}

void DirectoryTask::onMembershipRenewed(const RolloutMembership& membership, MonotonicTime end, MonotonicTime now)
{
    const bool wasLeader = m_election.isLeader();
    if (!m_election.onRenewed(membership))
        return;
    if (membership.isLeader != wasLeader)
        logEvent(LogEvent::DutyChanged, { { "holder", membership.isLeader ? 1 : 0 }, { "generation", membership.generation.value() } });
    if (membership.isLeader)
        m_state.weightsRollout.confirm(membership.generation, end, now);
    else
        m_state.weightsRollout.loseLeadership();
}

void DirectoryTask::onDrainStarted()
{
    updateMembership();
}

void DirectoryTask::resignLeadership(std::function<void()> done)
{
    m_membershipTimer.clear();
    m_state.weightsRollout.loseLeadership();
    if (m_election.resign() == RolloutElection::Action::Leave)
        leaveRolloutGroup(std::move(done));
    else
        done();
}

void DirectoryTask::onPeerReport(const PeerReport& report, MonotonicTime now)
{
    for (const auto& target : report.targetAges)
        m_state.weightsRollout.onTargetAge(target, now);
    m_state.weightsRollout.journal().onPeerOrders(report.orderAges, now);
    if (m_election.onPeerReport(report.incarnation, report.leadership, now))
        updateMembership();
}

LeadershipReport DirectoryTask::leadershipReport(MonotonicTime now) const
{
    auto report = m_election.report();
    report.isLeader = report.isLeader && m_state.weightsRollout.isConfirmed(now);
    return report;
}

void DirectoryTask::leaveRolloutGroup(std::function<void()> done)
{
    m_lastSettledRenewal = m_lastRenewal;
    // If leaving fails, the membership expires on its own.
    m_directory.leaveRolloutGroup(m_self.host, [done = std::move(done)](const Result<bool, DirectoryError>&) { done(); });
}

void DirectoryTask::forgetEndpoint(const EndpointId& id)
{
    m_state.loads.forget(id);
    m_state.blocks.forget(id);
}

void DirectoryTask::expireEndpoints()
{
    const auto now = MonotonicClock::now();
    for (const auto& id : m_state.registry.expire(now)) {
        forgetEndpoint(id);
        logEvent(LogEvent::EndpointsChanged, { { "endpoint", id.value() }, { "state", "gone" } });
    }
    m_state.rates.setFleet(m_state.peers.heardCount(now) + 1, m_state.peers.runningCount(now) + 1, now);
    m_expiryTimer.set(now + kExpiryInterval);
}

} // namespace hornbeamgate::gateway
