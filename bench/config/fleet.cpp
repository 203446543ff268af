#include "fleet.hpp"

#include <algorithm>

namespace hornbeamgate::bench {
namespace {

    constexpr Duration kReadTimeout = std::chrono::seconds(2);
    constexpr std::size_t kDataCenters = 4;

    DataCenterId dataCenterOf(std::size_t node) { return DataCenterId("dc" + std::to_string(node % kDataCenters)); }

} // namespace

Fleet::Fleet(FleetOptions options, std::uint64_t seed)
    : m_options(std::move(options))
    , m_random(seed)
    , m_nodes(m_options.daemons)
{
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        auto replica = m_options.replica;
        replica.dataCenter = dataCenterOf(index);
        m_nodes[index].replica = ConfigReplica::create(replica, std::mt19937_64(m_random())).value();
        ConfigPeersKnown peers;
        for (std::size_t other = 0; other < m_nodes.size(); ++other) {
            if (other != index)
                peers.peers.push_back({ HostId(std::to_string(other)), dataCenterOf(other) });
        }
        deliver(index, peers, 0);
    }
}

void Fleet::runFor(Duration time)
{
    const auto end = m_now + time;
    while (!m_queue.empty() && m_queue.top().at <= end) {
        const auto next = m_queue.top();
        m_queue.pop();
        m_now = next.at;
        next.run();
    }
    m_now = end;
}

void Fleet::schedule(Duration after, std::function<void()> run)
{
    m_queue.push({ m_now + std::max(after, Duration::zero()), ++m_lastNumber, std::move(run) });
}

void Fleet::publish()
{
    const RuleDelta delta { { "model m weights=" + std::to_string(m_config.version.value() + 1) + "  # Ana" }, {} };
    static_cast<void>(m_config.document.apply(delta));
    const auto base = m_config.version;
    m_config.version = base.next();
    m_publishedAt = m_now;
    append(encodeConfigRecord(ConfigProposal { ProposalId("0123456789abcdef0123456789abcdef"), base, "Ana", delta, m_config.document.digest(m_config.version) }));
}

std::optional<Duration> Fleet::spreadTime() const
{
    Duration latest = Duration::zero();
    for (const auto& node : m_nodes) {
        if (node.replica->accepted().version != m_config.version)
            return std::nullopt;
        latest = std::max(latest, node.changedAt - m_publishedAt);
    }
    return latest;
}

int Fleet::mostHops() const
{
    return std::max_element(m_nodes.begin(), m_nodes.end(), [](const auto& left, const auto& right) { return left.hops < right.hops; })->hops;
}

void Fleet::deliver(std::size_t index, const ConfigEvent& event, int hops)
{
    auto& node = m_nodes[index];
    const auto actions = node.replica->handle(event, m_now);
    for (const auto& action : actions) {
        if (std::holds_alternative<ActivateRules>(action)) {
            node.hops = hops;
            node.changedAt = m_now;
        }
    }
    for (const auto& action : actions) {
        if (const auto* question = std::get_if<SendConfigRequest>(&action))
            ask(index, *question);
        else if (const auto* logRead = std::get_if<ReadConfigLog>(&action))
            read(index, *logRead);
        else if (const auto* record = std::get_if<AppendRecord>(&action)) {
            ++m_checkpoints;
            schedule(m_options.delay, [this, data = record->data] { append(data); });
        }
    }
    wake(index);
}

void Fleet::wake(std::size_t index)
{
    auto& node = m_nodes[index];
    const auto deadline = std::max(node.replica->nextDeadline(), m_now);
    if (node.wakeAt == deadline)
        return;
    node.wakeAt = deadline;
    schedule(deadline - m_now, [this, index, deadline] {
        if (m_nodes[index].wakeAt == deadline) {
            m_nodes[index].wakeAt = {};
            deliver(index, ConfigTimerExpired {}, 0);
        }
    });
}

void Fleet::read(std::size_t node, const ReadConfigLog& read)
{
    const ParkedRead parked { node, read.from, m_now, ++m_lastNumber };
    if (node >= m_options.logReaders) {
        schedule(kReadTimeout, [this, parked] { deliver(parked.node, ConfigLogRead { LogUnreachable {}, parked.began }, 0); });
        return;
    }
    if (read.from.value() < m_log.size() || read.wait == Duration::zero()) {
        answerRead(parked);
        return;
    }
    m_parked.push_back(parked);
    schedule(read.wait, [this, parked] {
        if (std::erase_if(m_parked, [&](const auto& other) { return other.number == parked.number; }) > 0)
            answerRead(parked);
    });
}

void Fleet::answerRead(const ParkedRead& read)
{
    LogRecordsRead result { {}, LogOffset(m_log.size()) };
    for (auto at = read.from.value(); at < m_log.size(); ++at)
        result.records.push_back(m_log[at]);
    schedule(m_options.delay * 2, [this, read, result] { deliver(read.node, ConfigLogRead { result, read.began }, 0); });
}

void Fleet::append(Bytes data)
{
    m_log.push_back({ LogOffset(m_log.size()), std::move(data) });
    for (const auto& read : std::exchange(m_parked, {}))
        answerRead(read);
}

void Fleet::ask(std::size_t from, const SendConfigRequest& question)
{
    const auto to = static_cast<std::size_t>(std::stoul(question.to.value()));
    const auto hops = m_nodes[from].hops;
    m_sentBytes += encodeConfigMessage(question.message).size();
    ++m_sentMessages;
    schedule(m_options.delay, [this, from, to, hops, question] {
        const auto actions = m_nodes[to].replica->handle(ConfigRequestReceived { question.ticket, HostId(std::to_string(from)), question.message }, m_now);
        for (const auto& action : actions) {
            if (std::holds_alternative<ActivateRules>(action)) {
                m_nodes[to].hops = hops + 1;
                m_nodes[to].changedAt = m_now;
            }
        }
        for (const auto& action : actions) {
            if (const auto* next = std::get_if<SendConfigRequest>(&action)) {
                ask(to, *next);
            } else if (const auto* answer = std::get_if<SendConfigResponse>(&action)) {
                m_sentBytes += encodeConfigMessage(answer->message).size();
                ++m_sentMessages;
                const auto answerHops = m_nodes[to].hops + 1;
                schedule(m_options.delay, [this, from, answerHops, answered = ConfigResponseReceived { answer->ticket, answer->message }] {
                    deliver(from, answered, answerHops);
                });
            }
        }
        wake(to);
    });
}

} // namespace hornbeamgate::bench
