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
        std::string_view name;
        milliseconds wait; ///< long-poll timeout: how long the store waits for a change
        milliseconds pause; ///< between a response and the next call
        milliseconds staleAfter; ///< without a response for this long, other daemons may have newer records
    };

    /// Endpoints re-register continually, so a long poll would return for each registration; they are polled at an interval
    /// instead. The other topics change rarely and use long polling.
    constexpr std::array<TopicSchedule, kDirectoryTopics> kSchedules { {
        { "operators", milliseconds(1500), milliseconds(0), milliseconds(2000) },
        { "endpoints", milliseconds(0), milliseconds(500), milliseconds(2000) },
        { "daemons", milliseconds(10000), milliseconds(200), milliseconds(12000) },
    } };
    static_assert(kSchedules.size() == kDirectoryTopics);

    /// Added to the poll interval for each additional daemon, so that the store's load grows more slowly than the fleet.
    constexpr milliseconds kPollIntervalPerPeer { 25 };
    /// A leaving endpoint must be noticed within 3 s; this interval leaves time for one call that times out and its retry.
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
    /// Some calls to the store get no response; the interval allows three consecutive failures within the membership TTL.
    constexpr milliseconds kMembershipRenewalInterval { 400 };
    /// Subtracted from the time until which leadership is confirmed, to cover orders that are still in flight.
    constexpr milliseconds kLeadershipExpiryMargin { 500 };
    /// Time without a report from the leader after which this daemon tries to become leader. The leader reports several
    /// times a second.
    constexpr milliseconds kLeaderTimeout { 1500 };
    /// Delay between the takeover attempts of two daemons; a new leader's report arrives within it.
    constexpr milliseconds kJoinStagger { 400 };
    constexpr milliseconds kRegistrationRetryDelay { 500 };
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
    m_expiryTimer.set(MonotonicClock::now() + kExpiryInterval);
}

void DirectoryTask::poll(DirectoryTopic topic)
{
    const auto& current = watcher(topic);
    if (!current.hasListing) {
        m_directory.list(topic, [this, topic](const Result<DirectoryPage, DirectoryError>& page) { onPage(topic, true, page); });
        return;
    }
    m_directory.watch(topic, current.next, scheduleOf(topic).wait, [this, topic](const Result<DirectoryPage, DirectoryError>& page) { onPage(topic, false, page); });
}

void DirectoryTask::onPage(DirectoryTopic topic, bool isListing, const Result<DirectoryPage, DirectoryError>& page)
{
    auto& current = watcher(topic);
    const auto& schedule = scheduleOf(topic);
    const auto now = MonotonicClock::now();
    if (!page) {
        if (page.error().isLogTruncated) {
            current.hasListing = false;
            poll(topic);
            return;
        }
        if (++current.failuresInRow == kFailuresUntilLost)
            logEvent(LogEvent::DependencyLost, { { "dependency", "store" }, { "topic", schedule.name }, { "reason", page.error().detail } });
        const int doublings = std::min(current.failuresInRow - 1, kMaxRetryDoublings);
        const auto pause = std::min(kInitialRetryDelay * (1 << doublings), kMaxRetryDelay);
        // Jitter prevents daemons that lost the store at the same time from reconnecting at the same time.
        const auto spread = static_cast<std::int64_t>(newUniqueNumber() % static_cast<std::uint64_t>(pause.count()));
        current.timer.set(now + pause + milliseconds(spread));
        return;
    }
    if (current.failuresInRow >= kFailuresUntilLost) {
        logEvent(LogEvent::DependencyRegained, { { "dependency", "store" }, { "topic", schedule.name }, { "failed_calls", current.failuresInRow } });
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
    current.hasListing = true;
    current.next = std::max(current.next, page->next);
    current.timer.set(now + pollInterval(topic));
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
        logEvent(LogEvent::RecordUnreadable, { { "topic", scheduleOf(topic).name }, { "key", record.key }, { "offset", record.offset.value() }, { "reason", item.error().detail } });
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
    logEvent(LogEvent::ConfigApplied, { { "version", config.version.value() }, { "routes", config.routes.size() }, { "workspaces", config.workspaces.size() } });
    logRateChanges(m_state.routes ? &m_state.routes->config() : nullptr, config);
    m_state.rates.setLimits(config.workspaces, MonotonicClock::now());
    m_state.routes = std::make_shared<const RouteTable>(std::move(config));
}

void DirectoryTask::put(const WeightsTarget& target)
{
    logEvent(LogEvent::WeightsNamed, { { "model", target.model.value() }, { "version", target.version.value() } });
    // A starting daemon does not know when the weights it finds in the listing were requested, and treats their rollout
    // bound as expired.
    const auto now = MonotonicClock::now();
    const bool isLiveUpdate = watcher(DirectoryTopic::Operators).hasListing;
    m_state.weightsRollout.setTarget(target.model, target.version, isLiveUpdate ? now : now - m_state.settings.weightsBound);
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
    const auto requestedAt = MonotonicClock::now();
    // A leader remains leader while it drains, but a draining daemon does not become leader.
    if (m_hasResigned)
        return;
    if (m_state.isDraining && !m_isRolloutLeader) {
        // A member that merely stops renewing would keep the others from becoming leader until its membership expires.
        leaveRolloutGroup([] {});
        return;
    }
    if (m_isRolloutLeader && !m_state.weightsRollout.isConfirmed(requestedAt)) {
        // Another daemon may have become leader since the confirmation expired; its report will arrive if so.
        m_isRolloutLeader = false;
        m_leaderLastSeen = requestedAt;
    }
    // Every join or leave may change the leader, so only one daemon stays a member. Daemons that no longer hear from the
    // leader try to take over one after the other.
    const auto rank = m_state.peers.heardStartedAfter(m_self.incarnation, requestedAt);
    const auto joinAt = m_leaderLastSeen + kLeaderTimeout + kJoinStagger * static_cast<std::int64_t>(rank);
    if (!m_isRolloutLeader && requestedAt < joinAt) {
        m_membershipTimer.set(std::min(joinAt, requestedAt + kMembershipRenewalInterval));
        leaveRolloutGroup([] {});
        return;
    }
    m_membershipTimer.set(requestedAt + kMembershipRenewalInterval);
    m_isGroupMember = true;
    const auto suspended = suspendedTime();
    const auto lifetime = std::max(kMembershipTtl, std::chrono::ceil<milliseconds>(m_state.settings.minMembershipLifetime));
    m_directory.renewRolloutMembership(m_self.host, lifetime, [this, requestedAt, suspended, lifetime](const Result<RolloutMembership, DirectoryError>& membership) {
        // The response may arrive after this daemon has left the group.
        if (membership && m_isGroupMember)
            onMembershipRenewed(*membership, requestedAt + lifetime - kLeadershipExpiryMargin - (suspendedTime() - suspended), MonotonicClock::now());
    });
}

void DirectoryTask::onMembershipRenewed(const RolloutMembership& membership, MonotonicTime end, MonotonicTime now)
{
    if (membership.isLeader != m_isRolloutLeader)
        logEvent(LogEvent::DutyChanged, { { "holder", membership.isLeader ? 1 : 0 }, { "generation", membership.generation.value() } });
    m_isRolloutLeader = membership.isLeader;
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
    m_hasResigned = true;
    m_isRolloutLeader = false;
    m_membershipTimer.clear();
    m_state.weightsRollout.resign();
    leaveRolloutGroup(std::move(done));
}

void DirectoryTask::onOtherLeaderSeen(MonotonicTime now)
{
    m_leaderLastSeen = now;
    m_state.weightsRollout.otherLeaderSeen();
}

void DirectoryTask::onPeerResignations(const PeerReport& report, MonotonicTime now)
{
    const auto [known, isFirst] = m_resignations.try_emplace(report.incarnation, report.resignations);
    if (isFirst || report.resignations <= known->second)
        return;
    known->second = report.resignations;
    m_state.weightsRollout.leaderResigned(report.recentOrders, now);
    m_leaderLastSeen = now - kLeaderTimeout;
    updateMembership();
}

void DirectoryTask::leaveRolloutGroup(std::function<void()> done)
{
    if (!std::exchange(m_isGroupMember, false)) {
        done();
        return;
    }
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
