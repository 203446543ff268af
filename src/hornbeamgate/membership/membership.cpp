#include "hornbeamgate/membership/membership.hpp"

#include "hornbeamgate/membership/topology.hpp"

#include <algorithm>

namespace hornbeamgate {

namespace {

    constexpr std::size_t kMaxDataCenters = 64;
    constexpr unsigned kPauseProbeIntervals = 4; // longest time without an event before a pause is assumed

} // namespace

Membership::Membership(MembershipOptions options, RandomSource random)
    : m_options(std::move(options))
    , m_random(std::move(random))
    , m_self(m_options.self)
{
    m_self.status.state = MemberState::Alive;
    announceSelf();
}

Result<Membership, MembershipOptionsError> Membership::create(MembershipOptions options, RandomSource random)
{
    if (options.self.host.empty() || options.self.identity.dataCenter.empty() || options.self.identity.address.empty())
        return failure(MembershipOptionsError { "self needs a host, data centre and address" });
    if (options.rings == 0 || options.bridges == 0)
        return failure(MembershipOptionsError { "rings and bridges must be positive" });
    if (options.answerTimeout <= Duration::zero() || options.answerTimeout >= options.probeInterval)
        return failure(MembershipOptionsError { "answerTimeout must be positive and less than probeInterval" });
    if (options.recentContactWindow < options.probeInterval)
        return failure(MembershipOptionsError { "recentContactWindow must not be less than probeInterval" });
    if (options.updateBytesPerSecond == 0)
        return failure(MembershipOptionsError { "updateBytesPerSecond must be positive" });
    if (options.maxUpdateBytes > kMaxMembershipMessageBytes / 2)
        return failure(MembershipOptionsError { "maxUpdateBytes must not exceed half of the maximum message size" });
    if (!random)
        return failure(MembershipOptionsError { "random source must not be empty" });
    return Membership(std::move(options), std::move(random));
}

std::vector<MembershipAction> Membership::handle(const MembershipEvent& event, MonotonicTime now)
{
    m_now = now;
    if (!m_started)
        start();
    if (now >= m_pauseDetectionDeadline)
        resetAfterPause();
    m_pauseDetectionDeadline = now + kPauseProbeIntervals * m_options.probeInterval;
    std::visit([this](const auto& typed) { on(typed); }, event);
    runDeadlines();
    return std::exchange(m_actions, {});
}

bool Membership::usable(const HostId& host) const
{
    const auto* member = m_table.find(host);
    if (member == nullptr || member->status.state != MemberState::Alive)
        return false;
    const auto listed = m_listed.find(host);
    if (listed != m_listed.end() && listed->second.leaving)
        return false;
    const auto dataCenter = m_dataCenters.find(member->identity.dataCenter);
    return dataCenter == m_dataCenters.end() || dataCenter->second.reachable;
}

void Membership::on(const HostListRead& event)
{
    m_listed.clear();
    for (const auto& host : event.hosts) {
        if (host.host != m_self.host)
            m_listed.emplace(host.host, host);
    }
    m_topologyStale = true;
    if (m_listed.empty() && !m_joined)
        completeJoin();
}

void Membership::on(const MembershipRequestReceived& event)
{
    const auto& message = event.message;
    if (message.from == m_self.host || m_links.size() >= kMaxMembers)
        return;
    applyMessage(message);
    auto& link = linkFor(message);
    if (message.acknowledgedIncarnation == m_self.status.incarnation)
        link.acknowledge(message.acknowledged);
    const bool rejectsJoin = message.joining && (m_now < m_nextJoinAllowedAt || !m_joined);
    if (message.joining && !rejectsJoin) {
        m_nextJoinAllowedAt = m_now + m_options.joinInterval;
        link.resend();
    }
    compareStates(link, message);
    auto answer = composeMessage(message.from);
    if (rejectsJoin) {
        answer.updates.clear();
        answer.upToChange = 0;
    }
    link.recordSent(answer.upToChange);
    answer.busy = rejectsJoin;
    const auto contact = m_recentContactUntil.find(message.subject);
    answer.heardRecently = contact != m_recentContactUntil.end() && m_now < contact->second;
    m_actions.emplace_back(AnswerMembershipRequest { event.exchange, std::move(answer) });
}

void Membership::on(const MembershipAnswerReceived& event)
{
    const auto found = m_exchanges.find(event.exchange);
    if (found == m_exchanges.end())
        return;
    const auto exchange = found->second;
    m_exchanges.erase(found);
    const auto& message = event.message;
    if (message.from != exchange.target)
        return failExchange(exchange);
    const auto known = m_links.find(message.from);
    const bool sameProcess = known != m_links.end() && known->second.incarnation() == message.incarnation;
    applyMessage(message);
    auto& link = linkFor(message);
    if (sameProcess)
        link.acknowledge(exchange.upToChange);
    compareStates(link, message);
    const auto probed = m_probes.find(exchange.target);
    if (probed != m_probes.end()) {
        probed->second.misses = 0;
        probed->second.outstanding = probed->second.outstanding && exchange.purpose != Purpose::Probe;
    }
    if (exchange.purpose == Purpose::Join)
        handleJoinAnswer(event);
    if (exchange.purpose == Purpose::IndirectProbe)
        finishIndirectProbe(exchange.subject, message.heardRecently);
    if (exchange.purpose == Purpose::Bridge)
        m_bridges[exchange.dataCenter].failed = false;
}

void Membership::on(const MembershipExchangeFailed& event)
{
    const auto found = m_exchanges.find(event.exchange);
    if (found == m_exchanges.end())
        return;
    const auto exchange = found->second;
    m_exchanges.erase(found);
    failExchange(exchange);
}

void Membership::on(const LoadMeasured& event)
{
    m_load = event.load;
}

void Membership::on(const LeaveRequested& /*event*/)
{
    if (m_ownState == MemberState::Leaving)
        return;
    m_ownState = MemberState::Leaving;
    ++m_self.status.revision;
    announceSelf();
}

void Membership::on(const MembershipTimerExpired& /*event*/)
{
}

void Membership::start()
{
    m_started = true;
    m_joinAt = m_now + jitter(m_options.maxJoinDelay);
    m_rejoinAt = m_now + m_options.maxJoinDelay + jitter(m_options.rejoinInterval);
    m_nextHeartbeatAt = m_now + jitter(m_options.heartbeatInterval);
    m_loadAt = m_now + jitter(m_options.loadInterval);
    m_rotateAt = m_now + m_options.rejoinInterval;
    m_pauseDetectionDeadline = m_now + m_options.probeInterval;
}

/// Restarts the failure detection timers after a pause of this process: a timeout that expired during the pause says
/// nothing about other members.
void Membership::resetAfterPause()
{
    m_exchanges.clear();
    m_joinOutstanding = false;
    for (auto& [host, probe] : m_probes)
        probe = Probe { m_now + jitter(m_options.probeInterval), m_now, 0, false, 0, false };
    for (auto& [host, deadAt] : m_suspicions)
        deadAt = m_now + m_options.suspicionTimeout;
    for (auto& [name, dataCenter] : m_dataCenters)
        dataCenter.unreachableAt = m_now + m_options.heartbeatTimeout;
}

void Membership::applyMessage(const MembershipMessage& message)
{
    m_recentContactUntil[message.from] = m_now + m_options.recentContactWindow;
    for (const auto& update : message.updates)
        applyUpdate(update, message.from);
    for (const auto& heartbeat : message.heartbeats)
        applyHeartbeat(heartbeat);
}

void Membership::applyUpdate(const MemberUpdate& update, const HostId& source)
{
    if (update.host == m_self.host)
        return refute(update.status);
    if (m_table.apply(update, source))
        handleMemberChange(*m_table.find(update.host));
}

void Membership::applyHeartbeat(const DataCenterHeartbeat& heartbeat)
{
    if (!m_dataCenters.contains(heartbeat.dataCenter) && m_dataCenters.size() >= kMaxDataCenters)
        return;
    auto& dataCenter = m_dataCenters[heartbeat.dataCenter];
    if (heartbeat.heartbeat <= dataCenter.heartbeat)
        return;
    dataCenter.heartbeat = heartbeat.heartbeat;
    dataCenter.changed = m_table.allocateChangeNumber();
    dataCenter.unreachableAt = m_now + m_options.heartbeatTimeout;
    if (dataCenter.reachable)
        return;
    dataCenter.reachable = true;
    m_actions.emplace_back(DataCenterReachabilityChanged { heartbeat.dataCenter, true });
}

void Membership::refute(const MemberStatus& claimed)
{
    auto& own = m_self.status;
    if (!supersedes(claimed, own))
        return;
    if (claimed.incarnation > own.incarnation) {
        // The clock that supplied this incarnation was behind the clock of the host's previous process.
        own.incarnation = claimed.incarnation.next();
        own.revision = 0;
    } else {
        own.revision = claimed.revision + 1;
    }
    announceSelf();
}

void Membership::announceSelf()
{
    m_self.status.state = m_ownState;
    m_table.apply({ m_self.host, m_self.status, m_self.identity }, HostId());
    m_actions.emplace_back(MemberChanged { m_self });
}

void Membership::handleMemberChange(const Member& member)
{
    m_topologyStale = true;
    m_suspicions.erase(member.host);
    m_deadRetainedUntil.erase(member.host);
    const bool own = member.identity.dataCenter == m_self.identity.dataCenter;
    if (own && member.status.state == MemberState::Suspect)
        m_suspicions[member.host] = m_now + m_options.suspicionTimeout;
    if (member.status.state == MemberState::Dead)
        m_deadRetainedUntil[member.host] = m_now + m_options.deadRetention;
    m_actions.emplace_back(MemberChanged { member });
}

void Membership::suspect(const HostId& host)
{
    const auto* member = m_table.find(host);
    if (member == nullptr || member->status.state >= MemberState::Suspect)
        return;
    auto status = member->status;
    status.state = MemberState::Suspect;
    applyUpdate({ host, status, std::nullopt }, HostId());
}

NeighborLink& Membership::linkFor(const MembershipMessage& message)
{
    auto& link = m_links.try_emplace(message.from, message.incarnation, m_recentCursor).first->second;
    link.resetIfRestarted(message.incarnation, m_recentCursor);
    link.recordReceived(message.upToChange);
    return link;
}

void Membership::compareStates(NeighborLink& link, const MembershipMessage& message)
{
    if (message.stateHash == m_table.stateHash())
        return link.recordInSync(m_table.lastChange());
    if (m_joined)
        link.recordOutOfSync(m_table.lastChange(), m_now);
}

MembershipMessage Membership::composeMessage(const HostId& receiver)
{
    MembershipMessage message;
    message.from = m_self.host;
    message.incarnation = m_self.status.incarnation;
    message.stateHash = m_table.stateHash();
    const auto link = m_links.find(receiver);
    const auto cursor = link == m_links.end() ? m_recentCursor : link->second.cursor();
    if (link != m_links.end()) {
        message.acknowledged = link->second.received();
        message.acknowledgedIncarnation = link->second.incarnation();
    }
    if (!m_joined) {
        message.updates.push_back({ m_self.host, m_self.status, m_self.identity });
        return message;
    }
    message.upToChange = cursor;
    if (updateBudgetAvailable()) {
        auto changes = m_table.changesSince(cursor, receiver, m_options.maxUpdateBytes, echoPolicyFor(receiver));
        chargeUpdateBudget(changes.updates);
        message.updates = std::move(changes.updates);
        message.upToChange = changes.upToChange;
    }
    const auto* known = m_table.find(receiver);
    if (known != nullptr && known->status.state >= MemberState::Suspect)
        message.updates.push_back({ receiver, known->status, known->identity });
    for (const auto& [name, dataCenter] : m_dataCenters) {
        if (dataCenter.changed > cursor)
            message.heartbeats.push_back({ name, dataCenter.heartbeat });
    }
    return message;
}

bool Membership::updateBudgetAvailable() const
{
    return m_now >= m_updateBudgetUsedUntil - m_options.updateBurst;
}

void Membership::chargeUpdateBudget(const std::vector<MemberUpdate>& updates)
{
    std::size_t bytes = 0;
    for (const auto& update : updates)
        bytes += encodedSizeBound(update);
    const std::chrono::duration<double> cost(
        static_cast<double>(bytes) / static_cast<double>(m_options.updateBytesPerSecond));
    m_updateBudgetUsedUntil = std::max(m_updateBudgetUsedUntil, m_now) + std::chrono::duration_cast<Duration>(cost);
}

EchoPolicy Membership::echoPolicyFor(const HostId& receiver) const
{
    const auto link = m_links.find(receiver);
    return link != m_links.end() && link->second.resending() ? EchoPolicy::Include : EchoPolicy::Exclude;
}

Duration Membership::jitter(Duration maximum)
{
    return Duration(static_cast<Duration::rep>(m_random() % static_cast<std::uint64_t>(std::max(maximum, Duration(1)).count())));
}

} // namespace hornbeamgate
