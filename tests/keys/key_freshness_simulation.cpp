#include "key_freshness_simulation.hpp"

#include <utility>

namespace hornbeamgate::test {
namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t kNodes = 6;
    constexpr Duration kTick = 50ms;
    constexpr Duration kReadTimeout = 2s;
    constexpr KeyFreshnessOptions kOptions {};
    /// Maximum time for a change to spread by gossip from one connected daemon to all others.
    constexpr Duration kMaxGossipDelay = 2s;

    std::size_t dataCenterOf(std::size_t node) { return node / 2; }
    bool isInSecondRegion(std::size_t node) { return dataCenterOf(node) == 2; }
    DataCenterId dataCenterId(std::size_t node) { return DataCenterId("dc" + std::to_string(dataCenterOf(node))); }
    HostId hostId(std::size_t node) { return HostId("h" + std::to_string(node)); }

} // namespace

KeyFreshnessSimulation::KeyFreshnessSimulation(std::uint64_t seed, InjectedKeyBug bug)
    : m_random(seed)
    , m_bug(bug)
    , m_nodes(kNodes)
    , m_faultsUntil(m_now + 15s)
    , m_fullyConnectedSince(m_now)
{
    for (std::size_t index = 0; index < kNodes; ++index)
        startNode(index);
}

void KeyFreshnessSimulation::startNode(std::size_t index)
{
    auto& node = m_nodes[index];
    ConfigReplicaOptions options;
    options.dataCenter = dataCenterId(index);
    node.replica = ConfigReplica::create(options, std::mt19937_64(m_random())).value();
    node.freshness = KeyFreshness::create(kOptions).value();
    ConfigPeersKnown peers;
    KeyDataCentersKnown known;
    for (std::size_t other = 0; other < kNodes; ++other) {
        if (other == index)
            continue;
        peers.peers.push_back({ hostId(other), dataCenterId(other) });
        known.dataCenters.insert(dataCenterId(other));
    }
    if (m_bug == InjectedKeyBug::IsolationCountsAsOutage)
        known.dataCenters = { dataCenterId(index) };
    node.freshness->handle(known, m_now);
    perform(index, node.replica->handle(peers, m_now));
}

std::optional<std::string> KeyFreshnessSimulation::tick()
{
    m_now += kTick;
    if (m_now >= m_faultsUntil)
        changeFaults();
    if (m_log.isUp && m_random() % 100 == 0)
        withdrawKey();
    deliverMessages();
    completeReads();
    for (std::size_t index = 0; index < kNodes; ++index) {
        if (m_nodes[index].replica->nextDeadline() <= m_now)
            perform(index, m_nodes[index].replica->handle(ConfigTimerExpired {}, m_now));
    }
    return check();
}

void KeyFreshnessSimulation::changeFaults()
{
    const bool wasPartitioned = m_isolated || m_isSplit;
    m_isolated.reset();
    m_isSplit = m_random() % 4 == 0;
    m_log.isUp = m_random() % 3 != 0;
    if (m_random() % 3 == 0)
        m_isolated = m_random() % kNodes;
    if (wasPartitioned && !m_isolated && !m_isSplit)
        m_fullyConnectedSince = m_now;
    m_faultsUntil = m_now + std::chrono::seconds(3 + m_random() % 60);
}

/// Appends a configuration change. Any change represents the withdrawal of a key here.
void KeyFreshnessSimulation::withdrawKey()
{
    const RuleDelta delta { { "model m weights=" + std::to_string(m_config.version.value() + 1) + "  # Ana" }, {} };
    if (!m_config.document.apply(delta))
        return;
    const auto base = m_config.version;
    m_config.version = base.next();
    m_log.append(encodeConfigRecord(ConfigProposal { ProposalId("p"), base, "Ana", delta, m_config.document.digest(m_config.version) }));
    m_withdrawals.push_back({ m_config.version, std::nullopt });
}

bool KeyFreshnessSimulation::canCommunicate(std::size_t from, std::size_t to) const
{
    const bool hasIsolatedNode = m_isolated == from || m_isolated == to;
    return !hasIsolatedNode && !(m_isSplit && isInSecondRegion(from) != isInSecondRegion(to));
}

bool KeyFreshnessSimulation::canReadLog(std::size_t node) const
{
    return m_log.isUp && m_isolated != node && !(m_isSplit && isInSecondRegion(node));
}

void KeyFreshnessSimulation::completeReads()
{
    for (std::size_t index = 0; index < kNodes; ++index) {
        auto& node = m_nodes[index];
        if (!node.pendingRead)
            continue;
        const auto began = node.pendingRead->began;
        LogReadEvent result = LogUnreachable {};
        if (canReadLog(index)) {
            result = m_log.read(node.read.from, 100);
            if (std::get<LogRecordsRead>(result).records.empty() && m_now < node.readUntil)
                continue;
        } else if (m_now < began + kReadTimeout) {
            continue;
        }
        node.pendingRead.reset();
        perform(index, node.replica->handle(ConfigLogRead { result, began }, m_now));
    }
}

void KeyFreshnessSimulation::deliverMessages()
{
    for (auto& message : std::exchange(m_messages, {})) {
        if (canCommunicate(message.from, message.to))
            perform(message.to, m_nodes[message.to].replica->handle(message.event, m_now));
    }
}

void KeyFreshnessSimulation::perform(std::size_t index, const std::vector<ConfigAction>& actions)
{
    auto& node = m_nodes[index];
    for (const auto& action : actions) {
        if (const auto* read = std::get_if<ReadConfigLog>(&action)) {
            node.read = *read;
            node.pendingRead = ConfigLogRead { LogUnreachable {}, m_now };
            node.readUntil = m_now + read->wait;
        } else if (const auto* question = std::get_if<SendConfigRequest>(&action)) {
            const auto to = static_cast<std::size_t>(question->to.value()[1] - '0');
            // The ticket also encodes the requesting node, to which the answer is sent.
            const ExchangeTicket ticket(question->ticket.value() * kNodes + index);
            m_messages.push_back({ index, to, ConfigRequestReceived { ticket, hostId(index), question->message } });
        } else if (const auto* answer = std::get_if<SendConfigResponse>(&action)) {
            const ExchangeTicket ticket(answer->ticket.value() / kNodes);
            m_messages.push_back({ index, answer->ticket.value() % kNodes, ConfigResponseReceived { ticket, answer->message } });
        } else if (const auto* confirmed = std::get_if<ConfigConfirmed>(&action)) {
            node.freshness->handle(*confirmed, m_now);
        } else if (const auto* report = std::get_if<ConfigPeerReport>(&action)) {
            if (m_bug != InjectedKeyBug::PeerReportsIgnored)
                node.freshness->handle(*report, m_now);
            auto nonExpiring = *report;
            nonExpiring.sentAt = m_now + 24h;
            if (m_bug == InjectedKeyBug::PeerReportNeverExpires)
                node.freshness->handle(nonExpiring, m_now);
        }
    }
}

std::optional<std::string> KeyFreshnessSimulation::check()
{
    for (auto& withdrawal : m_withdrawals) {
        for (std::size_t index = 0; index < kNodes && !withdrawal.appliedAt; ++index) {
            const bool isConnected = m_isolated != index && !(m_isSplit && isInSecondRegion(index));
            if (isConnected && m_nodes[index].replica->accepted().version >= withdrawal.version)
                withdrawal.appliedAt = m_now;
        }
    }
    const bool isFullyConnected = !m_isolated && !m_isSplit && m_now >= m_fullyConnectedSince + 5s;
    for (std::size_t index = 0; index < kNodes; ++index) {
        const auto& node = m_nodes[index];
        const bool accepts = node.freshness->mayAccept(m_now);
        m_refusals += accepts ? 0 : 1;
        if (!accepts && isFullyConnected && m_now > MonotonicTime(1h) + 5s)
            return "h" + std::to_string(index) + " rejects keyed requests although no daemon is isolated";
        if (node.freshness->mustCutStreams(m_now) && accepts)
            return "h" + std::to_string(index) + " cuts streams while it accepts keyed requests";
        for (const auto& withdrawal : m_withdrawals) {
            const bool isLate = withdrawal.appliedAt && m_now > *withdrawal.appliedAt + kOptions.maxAcceptAge + kMaxGossipDelay;
            if (accepts && isLate && node.replica->accepted().version < withdrawal.version)
                return "h" + std::to_string(index) + " accepts a key that was withdrawn seconds ago";
        }
    }
    return std::nullopt;
}

} // namespace hornbeamgate::test
