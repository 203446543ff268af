#include "key_world.hpp"

#include <utility>

namespace hornbeamgate::test {
namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t kNodes = 6;
    constexpr Duration kTick = 50ms;
    constexpr Duration kReadTimeout = 2s;
    constexpr KeyFreshnessOptions kOptions {};
    /// Time for a change to pass from one connected daemon to all others by gossip.
    constexpr Duration kGossipTime = 2s;

    std::size_t dataCenterOf(std::size_t node) { return node / 2; }
    bool isFarRegion(std::size_t node) { return dataCenterOf(node) == 2; }
    DataCenterId dataCenterId(std::size_t node) { return DataCenterId("dc" + std::to_string(dataCenterOf(node))); }
    HostId hostId(std::size_t node) { return HostId("h" + std::to_string(node)); }

} // namespace

KeyWorld::KeyWorld(std::uint64_t seed, KeySabotage sabotage)
    : m_random(seed)
    , m_sabotage(sabotage)
    , m_nodes(kNodes)
    , m_faultsUntil(m_now + 15s)
    , m_calmSince(m_now)
{
    for (std::size_t index = 0; index < kNodes; ++index)
        startNode(index);
}

void KeyWorld::startNode(std::size_t index)
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
    if (m_sabotage == KeySabotage::CutOffCountsAsOutage)
        known.dataCenters = { dataCenterId(index) };
    node.freshness->handle(known, m_now);
    perform(index, node.replica->handle(peers, m_now));
}

std::optional<std::string> KeyWorld::tick()
{
    m_now += kTick;
    if (m_now >= m_faultsUntil)
        changeFaults();
    if (m_log.isUp && m_random() % 100 == 0)
        withdrawKey();
    deliverMessages();
    endReads();
    for (std::size_t index = 0; index < kNodes; ++index) {
        if (m_nodes[index].replica->nextDeadline() <= m_now)
            perform(index, m_nodes[index].replica->handle(ConfigTimerExpired {}, m_now));
    }
    return check();
}

void KeyWorld::changeFaults()
{
    const bool wasCutOff = m_isolated || m_isSplit;
    m_isolated.reset();
    m_isSplit = m_random() % 4 == 0;
    m_log.isUp = m_random() % 3 != 0;
    if (m_random() % 3 == 0)
        m_isolated = m_random() % kNodes;
    if (wasCutOff && !m_isolated && !m_isSplit)
        m_calmSince = m_now;
    m_faultsUntil = m_now + std::chrono::seconds(3 + m_random() % 60);
}

/// Appends a change; the world's configuration stands for any that withdraws a key.
void KeyWorld::withdrawKey()
{
    const RuleDelta delta { { "model m weights=" + std::to_string(m_config.version.value() + 1) + "  # Ana" }, {} };
    if (!m_config.document.apply(delta))
        return;
    const auto base = m_config.version;
    m_config.version = base.next();
    m_log.append(encodeConfigRecord(ConfigProposal { ProposalId("p"), base, "Ana", delta, m_config.document.digest(m_config.version) }));
    m_withdrawals.push_back({ m_config.version, std::nullopt });
}

bool KeyWorld::canTalk(std::size_t from, std::size_t to) const
{
    const bool isCutOff = m_isolated == from || m_isolated == to;
    return !isCutOff && !(m_isSplit && isFarRegion(from) != isFarRegion(to));
}

bool KeyWorld::canReadLog(std::size_t node) const
{
    return m_log.isUp && m_isolated != node && !(m_isSplit && isFarRegion(node));
}

void KeyWorld::endReads()
{
    for (std::size_t index = 0; index < kNodes; ++index) {
        auto& node = m_nodes[index];
        if (!node.readUnderWay)
            continue;
        const auto began = node.readUnderWay->began;
        LogReadEvent result = LogUnreachable {};
        if (canReadLog(index)) {
            result = m_log.read(node.read.from, 100);
            if (std::get<LogRecordsRead>(result).records.empty() && m_now < node.readUntil)
                continue;
        } else if (m_now < began + kReadTimeout) {
            continue;
        }
        node.readUnderWay.reset();
        perform(index, node.replica->handle(ConfigLogRead { result, began }, m_now));
    }
}

void KeyWorld::deliverMessages()
{
    for (auto& message : std::exchange(m_messages, {})) {
        if (canTalk(message.from, message.to))
            perform(message.to, m_nodes[message.to].replica->handle(message.event, m_now));
    }
}

void KeyWorld::perform(std::size_t index, const std::vector<ConfigAction>& actions)
{
    auto& node = m_nodes[index];
    for (const auto& action : actions) {
        if (const auto* read = std::get_if<ReadConfigLog>(&action)) {
            node.read = *read;
            node.readUnderWay = ConfigLogRead { LogUnreachable {}, m_now };
            node.readUntil = m_now + read->wait;
        } else if (const auto* question = std::get_if<SendConfigRequest>(&action)) {
            const auto to = static_cast<std::size_t>(question->to.value()[1] - '0');
            // The ticket also carries the asker, whom the answer goes back to.
            const ExchangeTicket ticket(question->ticket.value() * kNodes + index);
            m_messages.push_back({ index, to, ConfigRequestReceived { ticket, hostId(index), question->message } });
        } else if (const auto* answer = std::get_if<SendConfigResponse>(&action)) {
            const ExchangeTicket ticket(answer->ticket.value() / kNodes);
            m_messages.push_back({ index, answer->ticket.value() % kNodes, ConfigResponseReceived { ticket, answer->message } });
        } else if (const auto* confirmed = std::get_if<ConfigConfirmed>(&action)) {
            node.freshness->handle(*confirmed, m_now);
        } else if (const auto* report = std::get_if<ConfigPeerReport>(&action)) {
            if (m_sabotage != KeySabotage::OutageRefusesAll)
                node.freshness->handle(*report, m_now);
            auto eternal = *report;
            eternal.sentAt = m_now + 24h;
            if (m_sabotage == KeySabotage::WitnessNeverExpires)
                node.freshness->handle(eternal, m_now);
        }
    }
}

std::optional<std::string> KeyWorld::check()
{
    for (auto& withdrawal : m_withdrawals) {
        for (std::size_t index = 0; index < kNodes && !withdrawal.knownAt; ++index) {
            const bool isConnected = m_isolated != index && !(m_isSplit && isFarRegion(index));
            if (isConnected && m_nodes[index].replica->accepted().version >= withdrawal.version)
                withdrawal.knownAt = m_now;
        }
    }
    const bool isCalm = !m_isolated && !m_isSplit && m_now >= m_calmSince + 5s;
    for (std::size_t index = 0; index < kNodes; ++index) {
        const auto& node = m_nodes[index];
        const bool accepts = node.freshness->mayAccept(m_now);
        m_refusals += accepts ? 0 : 1;
        if (!accepts && isCalm && m_now > MonotonicTime(1h) + 5s)
            return "h" + std::to_string(index) + " refuses keyed requests though no daemon is cut off";
        if (node.freshness->mustCutStreams(m_now) && accepts)
            return "h" + std::to_string(index) + " cuts streams while it accepts requests";
        for (const auto& withdrawal : m_withdrawals) {
            const bool isLate = withdrawal.knownAt && m_now > *withdrawal.knownAt + kOptions.acceptFor + kGossipTime;
            if (accepts && isLate && node.replica->accepted().version < withdrawal.version)
                return "h" + std::to_string(index) + " accepts a key that was withdrawn seconds ago";
        }
    }
    return std::nullopt;
}

} // namespace hornbeamgate::test
