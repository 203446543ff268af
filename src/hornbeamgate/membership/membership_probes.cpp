#include "hornbeamgate/membership/membership.hpp"
#include "hornbeamgate/membership/topology.hpp"

#include <algorithm>
#include <cstdlib>

namespace hornbeamgate {

namespace {

    constexpr unsigned kMissesBeforeSuspicion = 2;
    constexpr int kAnnouncedLoadStep = 32; // smaller changes do not justify a message to all members

} // namespace

std::optional<MonotonicTime> Membership::nextDeadline() const
{
    if (!m_started)
        return std::nullopt;
    auto deadline = std::min({ m_rejoinAt, m_nextHeartbeatAt, m_loadAt, m_rotateAt });
    const auto consider = [&deadline](MonotonicTime time) { deadline = std::min(deadline, time); };
    if (!m_joined && !m_joinOutstanding)
        consider(m_joinAt);
    for (const auto& [number, exchange] : m_exchanges)
        consider(exchange.answerDeadline);
    for (const auto& [host, probe] : m_probes) {
        if (probe.outstanding)
            continue;
        const bool hasUpdates = probe.misses == 0 && hasPendingUpdates(host);
        const auto updatesDueAt = std::max(probe.earliestUpdateAt, m_updateBudgetUsedUntil - m_options.updateBurst);
        consider(hasUpdates ? std::min(probe.nextAt, updatesDueAt) : probe.nextAt);
    }
    for (const auto& [dataCenter, bridge] : m_bridges) {
        const bool hasUpdates = !bridge.failed && hasPendingUpdates(bridge.target);
        const auto updatesDueAt = std::max(bridge.earliestUpdateAt, m_updateBudgetUsedUntil - m_options.updateBurst);
        consider(hasUpdates ? std::min(bridge.nextAt, updatesDueAt) : bridge.nextAt);
    }
    for (const auto& [host, deadAt] : m_suspicions)
        consider(deadAt);
    for (const auto& [host, until] : m_deadRetainedUntil)
        consider(until);
    for (const auto& [name, dataCenter] : m_dataCenters) {
        if (dataCenter.reachable && name != m_self.identity.dataCenter)
            consider(dataCenter.unreachableAt);
    }
    return deadline;
}

void Membership::runDeadlines()
{
    expireExchanges();
    expireSuspicions();
    removeExpiredDeadMembers();
    rotateCursors();
    join();
    if (!m_joined)
        return;
    if (m_now >= m_loadAt) {
        m_loadAt = m_now + m_options.loadInterval;
        const auto change = std::abs(static_cast<int>(m_load) - static_cast<int>(m_self.status.load));
        if (change >= kAnnouncedLoadStep) {
            m_self.status.load = m_load;
            ++m_self.status.loadRevision;
            announceSelf();
        }
    }
    refreshTopology();
    heartbeat();
    checkReachability();
    probe();
    bridge();
    rejoin();
}

void Membership::expireExchanges()
{
    std::vector<Exchange> expired;
    for (auto exchange = m_exchanges.begin(); exchange != m_exchanges.end();) {
        if (exchange->second.answerDeadline > m_now) {
            ++exchange;
            continue;
        }
        expired.push_back(exchange->second);
        exchange = m_exchanges.erase(exchange);
    }
    for (const auto& exchange : expired)
        failExchange(exchange);
}

void Membership::failExchange(const Exchange& exchange)
{
    switch (exchange.purpose) {
    case Purpose::Probe:
        return handleMissedProbe(exchange.target);
    case Purpose::IndirectProbe:
        return finishIndirectProbe(exchange.subject, false);
    case Purpose::Bridge:
        m_bridges[exchange.dataCenter].failed = true;
        return;
    case Purpose::Join:
        m_joinOutstanding = false;
        m_joinPeer = HostId();
        m_joinAt = m_now + jitter(m_options.probeInterval);
        return;
    case Purpose::Rejoin:
        return;
    }
}

/// After kMissesBeforeSuspicion consecutive misses, probes indirectly through the other observers of the target before
/// suspecting it.
void Membership::handleMissedProbe(const HostId& target)
{
    const auto found = m_probes.find(target);
    if (found == m_probes.end())
        return;
    auto& probe = found->second;
    probe.outstanding = false;
    ++probe.misses;
    if (probe.misses < kMissesBeforeSuspicion || probe.indirectProbesOutstanding > 0)
        return;
    probe.heardRecently = false;
    for (const auto& observer :
        ringPredecessors(m_table, m_self.identity.dataCenter, target, m_options.rings)) {
        if (observer == m_self.host || observer == target)
            continue;
        ++probe.indirectProbesOutstanding;
        send({ Purpose::IndirectProbe, observer, {}, target, {}, 0 });
    }
    if (probe.indirectProbesOutstanding == 0 && hearsOtherMembers(target))
        suspect(target);
}

/// Whether a member other than `subject` was heard recently. If none was, this process is probably isolated itself and
/// must not suspect others. Returns true if there is no other member to hear from.
bool Membership::hearsOtherMembers(const HostId& subject) const
{
    std::size_t neighbors = 0;
    for (const auto& [host, until] : m_recentContactUntil) {
        if (host == subject)
            continue;
        if (m_now < until)
            return true;
        ++neighbors;
    }
    return neighbors == 0;
}

void Membership::finishIndirectProbe(const HostId& subject, bool heardRecently)
{
    const auto found = m_probes.find(subject);
    if (found == m_probes.end() || found->second.indirectProbesOutstanding == 0)
        return;
    auto& probe = found->second;
    --probe.indirectProbesOutstanding;
    probe.heardRecently = probe.heardRecently || heardRecently;
    const bool confirmedSilent = !probe.heardRecently && probe.misses >= kMissesBeforeSuspicion;
    if (probe.indirectProbesOutstanding == 0 && confirmedSilent && hearsOtherMembers(subject))
        suspect(subject);
}

void Membership::expireSuspicions()
{
    std::vector<HostId> dead;
    for (const auto& [host, deadAt] : m_suspicions) {
        if (deadAt <= m_now)
            dead.push_back(host);
    }
    for (const auto& host : dead) {
        auto status = m_table.find(host)->status;
        status.state = MemberState::Dead;
        applyUpdate({ host, status, std::nullopt }, HostId());
    }
}

void Membership::removeExpiredDeadMembers()
{
    for (auto dead = m_deadRetainedUntil.begin(); dead != m_deadRetainedUntil.end();) {
        if (dead->second > m_now) {
            ++dead;
            continue;
        }
        m_table.remove(dead->first);
        m_links.erase(dead->first);
        m_recentContactUntil.erase(dead->first);
        dead = m_deadRetainedUntil.erase(dead);
    }
}

/// The member with the highest rendezvous score sends the heartbeats of its data centre.
void Membership::heartbeat()
{
    if (m_now < m_nextHeartbeatAt)
        return;
    m_nextHeartbeatAt = m_now + m_options.heartbeatInterval;
    const auto& own = m_self.identity.dataCenter;
    const auto heartbeatSenders = bridgeMembers(m_table, own, own, 1);
    if (!heartbeatSenders.empty() && heartbeatSenders.front() == m_self.host)
        applyHeartbeat({ own, m_dataCenters[own].heartbeat + 1 });
}

void Membership::checkReachability()
{
    for (auto& [name, dataCenter] : m_dataCenters) {
        if (!dataCenter.reachable || m_now < dataCenter.unreachableAt || name == m_self.identity.dataCenter)
            continue;
        dataCenter.reachable = false;
        m_actions.emplace_back(DataCenterReachabilityChanged { name, false });
    }
}

void Membership::refreshTopology()
{
    if (!m_topologyStale)
        return;
    m_topologyStale = false;
    const auto& own = m_self.identity.dataCenter;
    std::map<HostId, Probe> probes;
    for (const auto& host : ringSuccessors(m_table, own, m_self.host, m_options.rings)) {
        const auto known = m_probes.find(host);
        const Probe fresh { m_now + jitter(m_options.probeInterval), m_now, 0, false, 0, false };
        probes.emplace(host, known == m_probes.end() ? fresh : known->second);
    }
    m_probes = std::move(probes);
    std::map<DataCenterId, Bridge> bridges;
    const auto addBridge = [&](const DataCenterId& other) {
        if (other == own || bridges.contains(other))
            return;
        const auto known = m_bridges.find(other);
        const Bridge fresh { m_now + jitter(m_options.bridgeInterval), m_now, {}, false };
        bridges.emplace(other, known == m_bridges.end() ? fresh : known->second);
    };
    m_table.forEach([&](const Member& member) { addBridge(member.identity.dataCenter); });
    for (const auto& [host, listed] : m_listed)
        addBridge(listed.dataCenter);
    m_bridges = std::move(bridges);
}

void Membership::join()
{
    if (m_joined || m_joinOutstanding || m_now < m_joinAt)
        return;
    if (m_joinPeer.empty() && m_now >= m_rejoinAt)
        return completeJoin();
    if (m_joinPeer.empty()) {
        const auto& own = m_self.identity.dataCenter;
        auto hosts = listedHosts([&](const ListedHost& listed) { return listed.dataCenter == own; });
        if (hosts.empty())
            hosts = listedHosts([](const ListedHost&) { return true; });
        const auto joinPeer = pickRandom(hosts);
        m_joinAt = m_now + m_options.updateInterval;
        if (!joinPeer)
            return;
        m_joinOutstanding = true;
        return send({ Purpose::Join, *joinPeer, {}, {}, {}, 0 }, true);
    }
    m_joinOutstanding = true;
    send({ Purpose::Join, m_joinPeer, {}, {}, {}, 0 });
}

/// Repeats requests to the same member until it has no further updates. A member that is still joining answers `busy`.
/// When all members are joining, as after the loss of a whole data centre, each completes its join without a peer once
/// m_rejoinAt is reached.
void Membership::handleJoinAnswer(const MembershipAnswerReceived& event)
{
    m_joinOutstanding = false;
    if (m_joined)
        return;
    if (event.message.busy) {
        m_joinAt = m_now + m_options.updateInterval + jitter(m_options.joinInterval);
        return;
    }
    m_joinPeer = event.message.from;
    m_joinAt = m_now + m_options.updateInterval;
    if (event.message.updates.empty() || event.message.stateHash == m_table.stateHash())
        completeJoin();
}

/// The neighbors already know what the join peer sent, so that only this member's own entry is marked as changed.
void Membership::completeJoin()
{
    m_joined = true;
    m_joinPeer = HostId();
    m_recentCursor = m_table.lastChange();
    m_nextRecentCursor = m_recentCursor;
    m_table.markChanged(m_self.host);
    m_topologyStale = true;
}

void Membership::probe()
{
    std::vector<HostId> due;
    for (const auto& [host, probe] : m_probes) {
        if (probe.outstanding)
            continue;
        const bool hasUpdates = probe.misses == 0 && m_now >= probe.earliestUpdateAt && updateBudgetAvailable()
            && hasPendingUpdates(host);
        if (hasUpdates || m_now >= probe.nextAt)
            due.push_back(host);
    }
    for (const auto& host : due) {
        auto& probe = m_probes[host];
        probe.outstanding = true;
        probe.nextAt = m_now + m_options.probeInterval;
        probe.earliestUpdateAt = m_now + m_options.updateInterval;
        send({ Purpose::Probe, host, {}, {}, {}, 0 });
    }
}

void Membership::bridge()
{
    for (auto& [other, bridge] : m_bridges) {
        const bool mayUpdate = !bridge.failed && m_now >= bridge.earliestUpdateAt && updateBudgetAvailable();
        const bool hasUpdates = mayUpdate && hasPendingUpdates(bridge.target);
        if (m_now < bridge.nextAt && !hasUpdates)
            continue;
        bridge.nextAt = m_now + m_options.bridgeInterval;
        bridge.earliestUpdateAt = m_now + m_options.answerTimeout;
        bridge.target = HostId();
        const auto own = bridgeMembers(m_table, m_self.identity.dataCenter, other, m_options.bridges);
        const auto rank = std::find(own.begin(), own.end(), m_self.host);
        if (rank == own.end())
            continue;
        const auto target = bridgeTarget(other, static_cast<std::size_t>(rank - own.begin()), bridge.failed);
        if (!target)
            continue;
        bridge.target = *target;
        send({ Purpose::Bridge, *target, other, {}, {}, 0 });
    }
}

std::optional<HostId> Membership::bridgeTarget(const DataCenterId& other, std::size_t rank, bool failed)
{
    const auto bridges = bridgeMembers(m_table, other, m_self.identity.dataCenter, m_options.bridges);
    if (!failed && rank < bridges.size())
        return bridges[rank];
    auto hosts = listedHosts([&](const ListedHost& listed) { return listed.dataCenter == other; });
    hosts.insert(hosts.end(), bridges.begin(), bridges.end());
    return pickRandom(hosts);
}

/// Contacts a random listed host of this data centre that is unknown or considered dead, for example after a network
/// partition.
void Membership::rejoin()
{
    if (m_now < m_rejoinAt)
        return;
    m_rejoinAt = m_now + m_options.rejoinInterval / 2 + jitter(m_options.rejoinInterval);
    const auto lost = listedHosts([&](const ListedHost& listed) {
        const auto* member = m_table.find(listed.host);
        const bool notRunning = member == nullptr || member->status.state == MemberState::Dead;
        return notRunning && listed.dataCenter == m_self.identity.dataCenter;
    });
    if (const auto host = pickRandom(lost))
        send({ Purpose::Rejoin, *host, {}, {}, {}, 0 }, m_table.size() == 1);
}

std::vector<HostId> Membership::listedHosts(const std::function<bool(const ListedHost&)>& wanted) const
{
    std::vector<HostId> hosts;
    for (const auto& [host, listed] : m_listed) {
        if (wanted(listed))
            hosts.push_back(host);
    }
    return hosts;
}

std::optional<HostId> Membership::pickRandom(const std::vector<HostId>& hosts)
{
    if (hosts.empty())
        return std::nullopt;
    return hosts[m_random() % hosts.size()];
}

/// Load changes do not count: they do not justify a separate message.
bool Membership::hasPendingUpdates(const HostId& host) const
{
    const auto link = m_links.find(host);
    return link != m_links.end() && link->second.cursor() < m_table.lastUrgentChange();
}

void Membership::send(Exchange exchange, bool joining)
{
    auto message = composeMessage(exchange.target);
    message.joining = joining;
    message.subject = exchange.subject;
    exchange.answerDeadline = m_now + m_options.answerTimeout;
    exchange.upToChange = message.upToChange;
    const auto link = m_links.find(exchange.target);
    if (link != m_links.end())
        link->second.recordSent(message.upToChange);
    const auto number = ++m_lastExchange;
    const auto address = addressOf(exchange.target);
    m_exchanges.emplace(number, std::move(exchange));
    m_actions.emplace_back(SendMembershipRequest { number, address, std::move(message) });
}

std::string Membership::addressOf(const HostId& host) const
{
    const auto listed = m_listed.find(host);
    const auto* member = m_table.find(host);
    if (member != nullptr && (listed == m_listed.end() || member->status.state != MemberState::Dead))
        return member->identity.address;
    return listed == m_listed.end() ? std::string() : listed->second.address;
}

/// New links start at a cursor that is one to two rotations old.
void Membership::rotateCursors()
{
    if (m_now < m_rotateAt)
        return;
    m_rotateAt = m_now + m_options.rejoinInterval;
    m_recentCursor = m_nextRecentCursor;
    m_nextRecentCursor = m_table.lastChange();
    removeStaleLinks();
}

/// Removes the links of processes that are no longer neighbors: they have sent no message for deadRetention.
void Membership::removeStaleLinks()
{
    for (auto contact = m_recentContactUntil.begin(); contact != m_recentContactUntil.end();) {
        if (contact->second + m_options.deadRetention > m_now) {
            ++contact;
            continue;
        }
        m_links.erase(contact->first);
        contact = m_recentContactUntil.erase(contact);
    }
}

} // namespace hornbeamgate
