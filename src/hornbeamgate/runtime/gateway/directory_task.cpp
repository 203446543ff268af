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
        milliseconds wait; ///< how long the store holds a call until something changes
        milliseconds pause; ///< between two calls
        milliseconds staleAfter; ///< without an answer, other daemons may know more
    };

    /// Endpoints register again all the time, so waiting for a change would make a call of each. The others change rarely.
    constexpr std::array<TopicSchedule, kDirectoryTopics> kSchedules { {
        { "operators", milliseconds(1500), milliseconds(0), milliseconds(2000) },
        { "endpoints", milliseconds(0), milliseconds(500), milliseconds(2000) },
        { "daemons", milliseconds(10000), milliseconds(200), milliseconds(12000) },
    } };
    static_assert(kSchedules.size() == kDirectoryTopics);

    /// Added to the pause for each further daemon, so that the store's calls grow slower than the fleet.
    constexpr milliseconds kPausePerPeer { 25 };
    /// A leaving endpoint must be known within three seconds; a call that times out and is repeated fits in.
    constexpr milliseconds kLongestPause { 1200 };

    /// Pause after the first failed call, doubled up to the longest one, which bounds the calls to a store that is down.
    constexpr milliseconds kFirstRetryPause { 200 };
    constexpr milliseconds kLongestRetryPause { 800 };
    constexpr int kMostDoublings = 2;
    /// Failed calls after which the store counts as lost for the log.
    constexpr int kFailuresUntilLost = 2;
    /// A member of the duty group that is silent for this long loses its duties. The next holder of a duty whose holder
    /// died waits for that and for the lease, both well within the time that new weights may take.
    constexpr milliseconds kDutyLifetime { 2000 };
    /// Some calls to the store get no answer; three of them may fail in a row within the lifetime.
    constexpr milliseconds kDutyInterval { 400 };
    /// Taken off the lifetime of a duty, for orders that are on their way.
    constexpr milliseconds kDutyMargin { 500 };
    /// Without a word of the holder for so long, the duty is sought; its reports come several times a second.
    constexpr milliseconds kHolderSilence { 1500 };
    /// Between two daemons that seek the duty; a new holder is heard by then.
    constexpr milliseconds kSeekStagger { 400 };
    constexpr milliseconds kAnnounceRetry { 500 };
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
    , m_announceTimer([this] { announce(); })
    , m_dutyTimer([this] { seekDuty(); })
    , m_expiryTimer([this] { expireEndpoints(); })
{
    for (std::size_t i = 0; i < kDirectoryTopics; ++i)
        m_followers[i] = std::make_unique<Follower>([this, topic = static_cast<DirectoryTopic>(i)] { poll(topic); });
}

void DirectoryTask::start()
{
    for (std::size_t i = 0; i < kDirectoryTopics; ++i)
        poll(static_cast<DirectoryTopic>(i));
    announce();
    seekDuty();
    m_expiryTimer.set(MonotonicClock::now() + kExpiryInterval);
}

void DirectoryTask::poll(DirectoryTopic topic)
{
    const auto& current = follower(topic);
    if (!current.hasListing) {
        m_directory.list(topic, [this, topic](const Result<DirectoryPage, DirectoryFault>& page) { onPage(topic, true, page); });
        return;
    }
    m_directory.follow(topic, current.next, scheduleOf(topic).wait, [this, topic](const Result<DirectoryPage, DirectoryFault>& page) { onPage(topic, false, page); });
}

void DirectoryTask::onPage(DirectoryTopic topic, bool isListing, const Result<DirectoryPage, DirectoryFault>& page)
{
    auto& current = follower(topic);
    const auto& schedule = scheduleOf(topic);
    const auto now = MonotonicClock::now();
    if (!page) {
        if (page.error().isHistoryLost) {
            current.hasListing = false;
            poll(topic);
            return;
        }
        if (++current.failuresInRow == kFailuresUntilLost)
            logEvent(LogEvent::DependencyLost, { { "dependency", "store" }, { "topic", schedule.name }, { "reason", page.error().detail } });
        const int doublings = std::min(current.failuresInRow - 1, kMostDoublings);
        const auto pause = std::min(kFirstRetryPause * (1 << doublings), kLongestRetryPause);
        // Daemons that lost the store together must not return together.
        const auto spread = static_cast<std::int64_t>(newUniqueNumber() % static_cast<std::uint64_t>(pause.count()));
        current.timer.set(now + pause + milliseconds(spread));
        return;
    }
    if (current.failuresInRow >= kFailuresUntilLost) {
        logEvent(LogEvent::DependencyRegained, { { "dependency", "store" }, { "topic", schedule.name }, { "failed_calls", current.failuresInRow } });
        if (topic == DirectoryTopic::Endpoints)
            m_state.roster.directoryReturned(now);
    }
    current.failuresInRow = 0;
    current.answeredAt = now;
    for (const auto& record : page->records)
        apply(topic, record);
    if (isListing) {
        for (const auto& record : m_replica.missingFrom(topic, page->records, page->next))
            apply(topic, record);
    }
    current.hasListing = true;
    current.next = std::max(current.next, page->next);
    current.timer.set(now + pauseOf(topic));
}

Duration DirectoryTask::pauseOf(DirectoryTopic topic) const
{
    const auto pause = scheduleOf(topic).pause;
    if (topic != DirectoryTopic::Endpoints)
        return pause;
    const auto peers = static_cast<std::int64_t>(m_state.peers.runningCount(MonotonicClock::now()));
    return std::min(pause + kPausePerPeer * peers, kLongestPause);
}

void DirectoryTask::takeFromPeer(DirectoryTopic topic, const std::vector<DirectoryRecord>& records)
{
    for (const auto& record : records)
        apply(topic, record);
}

bool DirectoryTask::isStale(DirectoryTopic topic, MonotonicTime now) const
{
    const auto& current = *m_followers[static_cast<std::size_t>(topic)];
    return !current.answeredAt || now > *current.answeredAt + scheduleOf(topic).staleAfter;
}

bool DirectoryTask::isComplete() const
{
    return m_state.routes && !m_state.roster.entries().empty();
}

void DirectoryTask::apply(DirectoryTopic topic, const DirectoryRecord& record)
{
    if (!m_replica.apply(topic, record))
        return;
    if (!record.value) {
        withdrawRecord(topic, record.key);
        return;
    }
    auto item = m_directory.decode(topic, record);
    if (!item) {
        logEvent(LogEvent::RecordUnreadable, { { "topic", scheduleOf(topic).name }, { "key", record.key }, { "offset", record.offset.value() }, { "reason", item.error().detail } });
        // What cannot be read names no endpoint and no daemon to use.
        withdrawRecord(topic, record.key);
        return;
    }
    std::visit([this](auto& value) { put(std::move(value)); }, *item);
}

void DirectoryTask::withdrawRecord(DirectoryTopic topic, const std::string& key)
{
    const auto now = MonotonicClock::now();
    if (topic == DirectoryTopic::Endpoints) {
        const EndpointId id(key);
        if (m_state.roster.withdraw(id, now)) {
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
    // A daemon that starts cannot know when weights were named that it finds there.
    const auto now = MonotonicClock::now();
    const bool isNews = follower(DirectoryTopic::Operators).hasListing;
    m_state.duty.setTarget(target.model, target.version, isNews ? now : now - m_state.settings.weightsBound);
}

void DirectoryTask::put(EndpointEntry entry)
{
    const auto* known = m_state.roster.find(entry.id);
    const bool isChange = !known || known->isLeaving != entry.isLeaving || known->incarnation != entry.incarnation;
    if (known && known->incarnation != entry.incarnation)
        forgetEndpoint(entry.id);
    if (known && known->weights != entry.weights)
        m_state.loads.resume(entry.id);
    if (isChange)
        logEvent(LogEvent::EndpointsChanged, { { "endpoint", entry.id.value() }, { "state", entry.isLeaving ? "leaving" : "up" }, { "address", entry.address.text() } });
    m_state.roster.put(std::move(entry));
}

void DirectoryTask::put(const DaemonEntry& entry)
{
    if (entry.host == m_self.host)
        return;
    m_state.peers.add(entry.host, entry.peers, entry.incarnation, MonotonicClock::now());
}

void DirectoryTask::announce()
{
    m_directory.announce(m_self, false, [this](const Result<LogOffset, DirectoryFault>& result) {
        if (!result)
            m_announceTimer.set(MonotonicClock::now() + kAnnounceRetry);
    });
}

void DirectoryTask::withdraw(std::function<void()> done)
{
    m_announceTimer.clear();
    m_directory.announce(m_self, true, [done = std::move(done)](const Result<LogOffset, DirectoryFault>&) { done(); });
}

void DirectoryTask::seekDuty()
{
    const auto asked = MonotonicClock::now();
    // A holder keeps the duty while it drains, but none that drains takes it.
    if (m_hasResigned)
        return;
    if (m_state.isDraining && !m_isDutyHolder) {
        // A member that does not call again would keep the duty from the others until its lifetime ends.
        leaveDuty([] {});
        return;
    }
    if (m_isDutyHolder && !m_state.duty.isConfirmed(asked)) {
        // Another daemon may have taken the lapsed duty over, and is heard if so.
        m_isDutyHolder = false;
        m_holderHeardAt = asked;
    }
    // The group shares out its duties anew whenever a member comes or goes, so only one daemon stays in it. Daemons
    // that miss the holder seek the duty one after the other.
    const auto rank = m_state.peers.heardYounger(m_self.incarnation, asked);
    const auto seekAt = m_holderHeardAt + kHolderSilence + kSeekStagger * static_cast<std::int64_t>(rank);
    if (!m_isDutyHolder && asked < seekAt) {
        m_dutyTimer.set(std::min(seekAt, asked + kDutyInterval));
        leaveDuty([] {});
        return;
    }
    m_dutyTimer.set(asked + kDutyInterval);
    m_isDutyMember = true;
    const auto suspended = suspendedTime();
    const auto lifetime = std::max(kDutyLifetime, std::chrono::ceil<milliseconds>(m_state.settings.minMembershipLifetime));
    m_directory.holdDuty(m_self.host, lifetime, [this, asked, suspended, lifetime](const Result<DutyGrant, DirectoryFault>& grant) {
        // The answer may come after this daemon left the group.
        if (grant && m_isDutyMember)
            onDutyGrant(*grant, asked + lifetime - kDutyMargin - (suspendedTime() - suspended), MonotonicClock::now());
    });
}

void DirectoryTask::onDutyGrant(const DutyGrant& grant, MonotonicTime end, MonotonicTime now)
{
    if (grant.isHolder != m_isDutyHolder)
        logEvent(LogEvent::DutyChanged, { { "holder", grant.isHolder ? 1 : 0 }, { "generation", grant.generation.value() } });
    m_isDutyHolder = grant.isHolder;
    if (grant.isHolder)
        m_state.duty.confirm(grant.generation, end, now);
    else
        m_state.duty.lose();
}

void DirectoryTask::drainStarted()
{
    seekDuty();
}

void DirectoryTask::resignDuty(std::function<void()> done)
{
    m_hasResigned = true;
    m_isDutyHolder = false;
    m_dutyTimer.clear();
    m_state.duty.resign();
    leaveDuty(std::move(done));
}

void DirectoryTask::dutyHeldElsewhere(MonotonicTime now)
{
    m_holderHeardAt = now;
    m_state.duty.heldElsewhere();
}

void DirectoryTask::noteResignations(const PeerReport& report, MonotonicTime now)
{
    const auto [known, isFirst] = m_resignations.try_emplace(report.incarnation, report.resignations);
    if (isFirst || report.resignations <= known->second)
        return;
    known->second = report.resignations;
    m_state.duty.holderResigned(report.recentOrders, now);
    m_holderHeardAt = now - kHolderSilence;
    seekDuty();
}

void DirectoryTask::leaveDuty(std::function<void()> done)
{
    if (!std::exchange(m_isDutyMember, false)) {
        done();
        return;
    }
    // A member that could not leave lapses by itself.
    m_directory.leaveDuty(m_self.host, [done = std::move(done)](const Result<bool, DirectoryFault>&) { done(); });
}

void DirectoryTask::forgetEndpoint(const EndpointId& id)
{
    m_state.loads.forget(id);
    m_state.blocks.forget(id);
}

void DirectoryTask::expireEndpoints()
{
    const auto now = MonotonicClock::now();
    for (const auto& id : m_state.roster.expire(now)) {
        forgetEndpoint(id);
        logEvent(LogEvent::EndpointsChanged, { { "endpoint", id.value() }, { "state", "gone" } });
    }
    m_state.rates.setFleet(m_state.peers.heardCount(now) + 1, m_state.peers.runningCount(now) + 1, now);
    m_expiryTimer.set(now + kExpiryInterval);
}

} // namespace hornbeamgate::gateway
