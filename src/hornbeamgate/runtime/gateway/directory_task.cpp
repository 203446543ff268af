#include "hornbeamgate/runtime/gateway/directory_task.hpp"

#include "hornbeamgate/observability/log.hpp"
#include "hornbeamgate/runtime/gateway/suspension.hpp"
#include "hornbeamgate/runtime/main_loop.hpp"

#include <algorithm>
#include <utility>

namespace hornbeamgate::gateway {

namespace {

    using std::chrono::milliseconds;

    /// Endpoints register again continually, so a long poll would return for each registration. They are read at an interval
    /// instead, which grows with the fleet so that the load of the store grows more slowly.
    constexpr milliseconds kEndpointInterval { 500 };
    constexpr milliseconds kEndpointIntervalPerPeer { 25 };
    /// A longer interval leaves engines unused after a crash, when capacity is short.
    constexpr milliseconds kMaxEndpointInterval { 1200 };
    /// Time within which a daemon learns of the state of a rollout if it knows of no order, and a call was lost.
    constexpr milliseconds kIdleStatusBound { 20000 };
    /// Collects the registrations of daemons that start at the same time.
    constexpr milliseconds kDaemonsPause { 200 };

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

    void logCacheDomainChanges(const RouteTable* before, const RouteTable& after)
    {
        const auto& domains = after.cacheDomains();
        const auto known = before ? before->cacheDomains().shared() : std::string();
        if (domains.shared() != known)
            logEvent(LogEvent::CacheDomainsChanged, { { "shared", domains.shared() }, { "before", known }, { "isolated", domains.isolatedCount() }, { "config", after.config().version.value() } });
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
    for (std::size_t i = 0; i < kDirectoryTopics; ++i) {
        if (follows(static_cast<DirectoryTopic>(i)))
            poll(static_cast<DirectoryTopic>(i));
    }
    registerDaemon();
    updateMembership();
    resumeLeadership();
    m_expiryTimer.set(MonotonicClock::now() + kExpiryInterval);
}

PollPolicy DirectoryTask::pollPolicy(DirectoryTopic topic) const
{
    if (topic == DirectoryTopic::Operators)
        return PollPolicy::longPoll(m_state.settings.configBound, Duration::zero());
    if (topic == DirectoryTopic::Status) {
        // A state ends the call at once; only a call that is lost during a rollout has to be noticed soon.
        const bool isRunning = m_state.versionRollouts && m_state.versionRollouts->isAnyRunning();
        return PollPolicy::longPoll(isRunning ? m_state.settings.configBound : Duration(kIdleStatusBound), Duration::zero());
    }
    if (topic == DirectoryTopic::Daemons)
        return PollPolicy::longPoll(m_state.settings.rateWindow, kDaemonsPause);
    const auto peers = static_cast<std::int64_t>(m_state.peers.runningCount(MonotonicClock::now()));
    return PollPolicy::periodic(m_state.settings.leavingBound, std::min(kEndpointInterval + kEndpointIntervalPerPeer * peers, kMaxEndpointInterval));
}

void DirectoryTask::poll(DirectoryTopic topic)
{
    const auto call = watcher(topic).poll.start(pollPolicy(topic), MonotonicClock::now());
    const auto onResult = [this, topic, isListing = call.isListing](const Result<DirectoryPage, DirectoryError>& page) {
        if (page)
            onPage(topic, isListing, *page);
        else
            onCallFailed(topic, page.error());
    };
    if (call.isListing)
        m_directory.list(topic, call.timeout, onResult);
    else
        m_directory.watch(topic, call.from, call.wait, call.timeout, onResult);
}

void DirectoryTask::onPage(DirectoryTopic topic, bool isListing, const DirectoryPage& page)
{
    auto& current = watcher(topic);
    const auto now = MonotonicClock::now();
    const int failures = current.poll.failuresInRow();
    if (failures >= kFailuresUntilLost) {
        logEvent(LogEvent::DependencyRegained, { { "dependency", "store" }, { "topic", topicName(topic) }, { "failed_calls", failures } });
        if (topic == DirectoryTopic::Operators)
            m_state.weightsRollout.storeRegained(now);
        if (topic == DirectoryTopic::Endpoints)
            m_state.registry.directoryRecovered(now);
    }
    if (!m_state.storeEra || *m_state.storeEra < eraOf(page.next))
        onEraBegan(topic, eraOf(page.next), now);
    applyRecords(topic, page.records);
    if (isListing)
        applyRecords(topic, findWithdrawn(topic, page, now));
    const auto sentAt = now - current.poll.pendingTime(now);
    if (topic == DirectoryTopic::Operators) {
        m_state.configConfirmedAt = now;
        if (m_state.versionRollouts)
            m_state.versionRollouts->operatorsConfirmed(sentAt);
    }
    if (topic == DirectoryTopic::Status)
        m_state.versionRollouts->statusConfirmed(sentAt);
    current.timer.set(current.poll.onAnswer(pollPolicy(topic), page.next, !page.records.empty(), now));
}

void DirectoryTask::onEraBegan(DirectoryTopic topic, StoreEra era, MonotonicTime now)
{
    const auto before = std::exchange(m_state.storeEra, era);
    m_state.weightsRollout.journal().recordEra(era, now);
    if (m_state.versionRollouts)
        m_state.versionRollouts->storeEntered(era);
    if (!before)
        return;
    logEvent(LogEvent::StoreRestored, { { "topic", topicName(topic) }, { "era", era.value() }, { "before", before->value() } });
    // What endpoints wrote after the copy was made is missing until they write again.
    m_state.registry.directoryRecovered(now);
    m_state.weightsRollout.storeRestored(now);
    if (m_registeredEra < era && !m_isWithdrawn)
        registerDaemon();
}

std::vector<DirectoryRecord> DirectoryTask::findWithdrawn(DirectoryTopic topic, const DirectoryPage& listing, MonotonicTime now) const
{
    auto withdrawn = m_replica.findWithdrawn(topic, listing.records, listing.next);
    // A daemon whose registration the store has lost registers again when it learns of that.
    if (topic == DirectoryTopic::Daemons)
        std::erase_if(withdrawn, [this, now](const auto& record) { return m_state.peers.isRunningAndHeard(HostId(record.key), now); });
    if (topic == DirectoryTopic::Operators)
        std::erase_if(withdrawn, [this, &listing](const auto& record) { return eraOf(record.offset) < eraOf(listing.next) && loseRolloutOrder(record.key); });
    return withdrawn;
}

void DirectoryTask::onCallFailed(DirectoryTopic topic, const DirectoryError& error)
{
    auto& current = watcher(topic);
    if (error.isLogTruncated) {
        logEvent(LogEvent::DirectoryCallFailed, { { "topic", topicName(topic) }, { "pending_ms", std::chrono::duration_cast<milliseconds>(current.poll.pendingTime(MonotonicClock::now())).count() }, { "failures", 0 }, { "retry_ms", 0 }, { "reason", error.detail } });
        current.poll.restart();
        poll(topic);
        return;
    }
    m_state.metrics.add(Counter::DirectoryCallsFailed);
    const auto now = MonotonicClock::now();
    const auto next = current.poll.onFailure(pollPolicy(topic), newUniqueNumber(), now);
    logEvent(LogEvent::DirectoryCallFailed,
        { { "topic", topicName(topic) }, { "pending_ms", std::chrono::duration_cast<milliseconds>(current.poll.pendingTime(now)).count() },
            { "failures", current.poll.failuresInRow() }, { "retry_ms", std::chrono::duration_cast<milliseconds>(next - now).count() }, { "reason", error.detail } });
    if (current.poll.failuresInRow() == kFailuresUntilLost) {
        logEvent(LogEvent::DependencyLost, { { "dependency", "store" }, { "topic", topicName(topic) }, { "reason", error.detail } });
        if (topic == DirectoryTopic::Operators)
            m_state.weightsRollout.storeLost(now);
    }
    current.timer.set(next);
}

void DirectoryTask::applyRecords(DirectoryTopic topic, const std::vector<DirectoryRecord>& records)
{
    for (const auto& record : records)
        apply(topic, record);
    if (topic == DirectoryTopic::Endpoints)
        endpointsChanged();
}

void DirectoryTask::endpointsChanged()
{
    if (m_state.versionRollouts)
        m_state.versionRollouts->setEndpoints(m_state.registry, MonotonicClock::now());
}

bool DirectoryTask::follows(DirectoryTopic topic) const
{
    return topic != DirectoryTopic::Status || m_state.versionRollouts;
}

bool DirectoryTask::isStale(DirectoryTopic topic, MonotonicTime now) const
{
    return m_watchers[static_cast<std::size_t>(topic)]->poll.isStale(pollPolicy(topic), now);
}

bool DirectoryTask::isComplete() const
{
    return m_state.routes && !m_state.registry.entries().empty() && isStatusSettled(MonotonicClock::now());
}

bool DirectoryTask::isStatusSettled(MonotonicTime now) const
{
    if (!m_state.versionRollouts || m_watchers[static_cast<std::size_t>(DirectoryTopic::Status)]->poll.hasListing())
        return true;
    return now > m_startedAt + m_state.settings.configBound;
}

void DirectoryTask::apply(DirectoryTopic topic, const DirectoryRecord& record)
{
    if (!m_replica.isNewer(topic, record))
        return;
    if (!record.value) {
        m_replica.apply(topic, record);
        removeRecord(topic, record.key);
        return;
    }
    auto item = m_directory.decode(topic, record);
    // An order of a rollout is numbered by its position, so it is handled again in each era.
    const bool isNumbered = item && std::holds_alternative<RolloutOrder>(*item);
    if (item && !isNumbered && (std::visit([this](const auto& value) { return isOutdated(value); }, *item) || m_replica.isRestated(topic, record))) {
        m_replica.keepAt(topic, record.key, record.offset);
        return;
    }
    if (!item) {
        logEvent(LogEvent::RecordUnreadable, { { "topic", topicName(topic) }, { "key", record.key }, { "offset", record.offset.value() }, { "reason", item.error().detail } });
        applyUnreadable(topic, record);
        return;
    }
    m_replica.apply(topic, record);
    std::visit([this](auto& value) { put(std::move(value)); }, *item);
}

void DirectoryTask::applyUnreadable(DirectoryTopic topic, const DirectoryRecord& record)
{
    // An operator's unreadable record is ignored; in particular it does not abort a rollout.
    if (topic != DirectoryTopic::Endpoints && topic != DirectoryTopic::Daemons) {
        m_replica.apply(topic, record);
        return;
    }
    // It does not identify a usable endpoint or daemon, so the previous entry is removed, here and at the peers. Its value,
    // of up to 256 KiB, is not kept.
    m_replica.apply(topic, { record.key, std::nullopt, record.offset });
    removeRecord(topic, record.key);
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
    if (topic == DirectoryTopic::Operators)
        removeRolloutOrder(key);
    if (topic == DirectoryTopic::Daemons)
        m_state.peers.remove(HostId(key));
}

bool DirectoryTask::isOutdated(const FleetConfig& config) const
{
    return m_state.routes && config.version < m_state.routes->config().version;
}

bool DirectoryTask::isOutdated(const WeightsTarget& target) const
{
    const auto& targets = m_state.weightsRollout.targets();
    const auto known = targets.find(target.model);
    return known != targets.end() && target.version < known->second;
}

void DirectoryTask::put(FleetConfig config)
{
    if (m_state.routes && config.version <= m_state.routes->config().version)
        return;
    logEvent(LogEvent::ConfigApplied, { { "version", config.version.value() }, { "routes", config.routes.size() }, { "workspaces", config.workspaces.size() }, { "anonymous", config.allowsAnonymous ? 1 : 0 }, { "unconfirmed_ms", m_state.configAge(MonotonicClock::now()).count() } });
    logRateChanges(m_state.routes ? &m_state.routes->config() : nullptr, config);
    m_state.rates.setLimits(config.workspaces, MonotonicClock::now());
    auto routes = std::make_shared<const RouteTable>(std::move(config));
    logCacheDomainChanges(m_state.routes.get(), *routes);
    m_state.routes = std::move(routes);
}

void DirectoryTask::put(const WeightsTarget& target)
{
    logEvent(LogEvent::WeightsNamed, { { "model", target.model.value() }, { "version", target.version.value() } });
    const auto now = MonotonicClock::now();
    if (watcher(DirectoryTopic::Operators).poll.hasListing())
        m_state.weightsRollout.setTarget(target.model, target.version, now);
    else if (m_state.configConfirmedAt) // A new listing has what was requested since the last answer.
        m_state.weightsRollout.setTarget(target.model, target.version, *m_state.configConfirmedAt);
    else // A starting daemon does not know when the weights it finds were requested.
        m_state.weightsRollout.setTargetOfUnknownAge(target.model, target.version, now);
}

void DirectoryTask::put(EndpointEntry entry)
{
    const auto* known = m_state.registry.find(entry.id);
    const bool isChange = !known || known->isLeaving != entry.isLeaving || known->incarnation != entry.incarnation;
    if (known && known->incarnation != entry.incarnation)
        forgetEndpoint(entry.id);
    const auto cause = paceCause(known, entry);
    if (known && known->weights != entry.weights)
        m_state.loads.resume(entry.id);
    if (isChange)
        logEvent(LogEvent::EndpointsChanged, { { "endpoint", entry.id.value() }, { "state", entry.isLeaving ? "leaving" : "up" }, { "address", entry.address.text() } });
    if (cause)
        m_state.startPace(instanceOf(entry), entry.slots, *cause, MonotonicClock::now());
    m_state.registry.put(std::move(entry));
}

std::optional<PaceCause> DirectoryTask::paceCause(const EndpointEntry* known, const EndpointEntry& entry)
{
    if (!known) {
        // What the listing at the start of this daemon contains has been running before.
        const bool isStarting = !watcher(DirectoryTopic::Endpoints).poll.hasListing();
        return isStarting ? std::nullopt : std::optional(PaceCause::FirstSeen);
    }
    if (known->incarnation < entry.incarnation)
        return PaceCause::Restarted;
    const auto isNewer = [known](const auto& weights) {
        const auto before = known->weights.find(weights.first);
        return before != known->weights.end() && before->second < weights.second;
    };
    const bool isLoaded = known->incarnation == entry.incarnation && std::any_of(entry.weights.begin(), entry.weights.end(), isNewer);
    return isLoaded ? std::optional(PaceCause::WeightsLoaded) : std::nullopt;
}

void DirectoryTask::put(const DaemonEntry& entry)
{
    if (entry.host == m_self.host)
        return;
    m_state.peers.add(entry.host, entry.peers, entry.incarnation, MonotonicClock::now());
}

void DirectoryTask::put(const RolloutOrder& order)
{
    if (!m_state.versionRollouts) {
        logEvent(LogEvent::RolloutOrdered, { { "service", order.service.value() }, { "version", order.version }, { "order", order.offset.value() }, { "outcome", "ignored" }, { "reason", "version rollouts are off" } });
        return;
    }
    // A starting daemon does not know when the orders it finds in the listing were given.
    const bool isNew = watcher(DirectoryTopic::Operators).poll.hasListing();
    m_state.versionRollouts->setOrder(order, isNew ? std::optional(milliseconds(0)) : std::nullopt, MonotonicClock::now());
}

void DirectoryTask::put(const RolloutStatus& status)
{
    if (m_state.versionRollouts)
        m_state.versionRollouts->setStatus(status, MonotonicClock::now());
}

void DirectoryTask::removeRolloutOrder(const std::string& key)
{
    const auto service = m_directory.findRolloutService(key);
    if (!service)
        return;
    logEvent(LogEvent::RolloutOrdered, { { "service", service->value() }, { "outcome", m_state.versionRollouts ? "aborted" : "ignored" } });
    if (m_state.versionRollouts)
        m_state.versionRollouts->removeOrder(*service, MonotonicClock::now());
}

bool DirectoryTask::loseRolloutOrder(const std::string& key) const
{
    const auto service = m_directory.findRolloutService(key);
    if (!service)
        return false;
    logEvent(LogEvent::RolloutOrdered, { { "service", service->value() }, { "outcome", m_state.versionRollouts ? "lost" : "ignored" } });
    if (m_state.versionRollouts)
        m_state.versionRollouts->orderLost(*service);
    return true;
}

void DirectoryTask::registerDaemon()
{
    m_directory.registerDaemon(m_self, false, [this](const Result<LogOffset, DirectoryError>& result) {
        if (result)
            m_registeredEra = eraOf(*result);
        // Without an answer, and if the store returned from a copy that was made before it.
        const bool isMissing = !result || m_state.storeEra > m_registeredEra;
        if (isMissing && !m_isWithdrawn)
            m_registrationTimer.set(MonotonicClock::now() + kRegistrationRetryDelay);
    });
}

void DirectoryTask::withdraw(std::function<void()> done)
{
    m_isWithdrawn = true;
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
    m_state.speeds.forget(id);
    m_state.advisories.forget(id);
    m_state.paces.forget(id);
    m_state.blocks.forget(id);
}

void DirectoryTask::expireEndpoints()
{
    const auto now = MonotonicClock::now();
    for (const auto& id : m_state.registry.expire(now)) {
        forgetEndpoint(id);
        logEvent(LogEvent::EndpointsChanged, { { "endpoint", id.value() }, { "state", "gone" } });
    }
    endpointsChanged();
    m_state.advisories.setFleet(m_state.peers.running(now), now);
    m_state.paces.setFleet(m_state.peers.running(now));
    m_state.rates.setFleet(m_state.peers.heardCount(now) + 1, m_state.peers.runningCount(now) + 1, now);
    m_expiryTimer.set(now + kExpiryInterval);
}

} // namespace hornbeamgate::gateway
