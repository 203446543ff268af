#include "config_simulation.hpp"

#include <algorithm>

namespace hornbeamgate::test {
namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t kNodes = 4;
    constexpr std::size_t kMaxOperators = 40;

    std::string makeModelLine(std::uint32_t name, std::uint32_t value)
    {
        return "model m" + std::to_string(name) + " weights=" + std::to_string(value + 1) + "  # Ana";
    }

} // namespace

ConfigSimulation::ConfigSimulation(std::uint64_t seed, Mutation mutation)
    : m_random(seed)
    , m_mutation(mutation)
    , m_hasPeers(seed % 3 != 0)
    , m_nodes(kNodes)
{
    for (std::size_t index = 0; index < kNodes; ++index) {
        m_nodes[index].id = HostId("h" + std::to_string(index));
        startNode(index);
    }
}

std::uint32_t ConfigSimulation::random(std::uint32_t bound)
{
    return static_cast<std::uint32_t>(m_random() % bound);
}

void ConfigSimulation::startNode(std::size_t index)
{
    ConfigReplicaOptions options;
    options.dataCenter = DataCenterId("dc" + std::to_string(index % 2));
    options.retention = 1min;
    m_nodes[index].replica = ConfigReplica::create(options, std::mt19937_64(m_random())).value();
    m_nodes[index].highest = {};
    m_nodes[index].incarnation = m_nodes[index].incarnation.next();
    ConfigPeersKnown peers;
    for (std::size_t other = 0; other < kNodes; ++other) {
        if (other != index && m_hasPeers)
            peers.peers.push_back({ HostId("h" + std::to_string(other)), DataCenterId("dc" + std::to_string(other % 2)) });
    }
    perform(index, m_nodes[index].replica->handle(peers, m_now));
}

void ConfigSimulation::startOperator(std::uint32_t choice)
{
    if (m_operators.size() >= kMaxOperators)
        return;
    const ProposalId id("p" + std::to_string(++m_lastId));
    PublishRequest request { id, "Ana", std::nullopt, RuleDelta { { makeModelLine(choice % 5, choice % 97) }, {} }, m_now + 60s };
    m_operators.push_back({ id, std::make_unique<ConfigPublisher>(std::move(request)) });
}

std::optional<std::string> ConfigSimulation::step(std::uint32_t choice)
{
    const auto detail = choice / 16;
    switch (choice % 16) {
    case 0:
        startOperator(detail);
        break;
    case 1:
        if (m_injectsFaults)
            m_log.isUp = detail % 3 != 0;
        break;
    case 2:
        if (detail % 2 == 0)
            m_log.trim(LogOffset(detail / 2 % (m_log.history().size() + 1)));
        break;
    case 3:
        if (detail % 4 == 0)
            startNode(detail / 4 % kNodes);
        break;
    case 4:
        m_nodes[detail % kNodes].isPartitioned = detail / kNodes % 3 == 0;
        break;
    case 5:
    case 6:
    case 7:
        m_now += std::chrono::milliseconds(detail % 3000);
        fireTimers();
        break;
    default:
        for (std::uint32_t count = 0; count < 4; ++count)
            runPending(detail >> count);
    }
    return check();
}

void ConfigSimulation::fireTimers()
{
    for (std::size_t index = 0; index < kNodes; ++index) {
        if (m_nodes[index].replica->nextDeadline() <= m_now)
            perform(index, m_nodes[index].replica->handle(ConfigTimerExpired {}, m_now));
    }
    for (std::size_t index = 0; index < m_operators.size(); ++index) {
        auto& publisher = *m_operators[index].publisher;
        if (!publisher.outcome() && publisher.nextDeadline() <= m_now)
            performOperator(index, publisher.handle(ConfigTimerExpired {}, m_now));
    }
}

/// Runs one arbitrary item of pending work, so that any operation can be delayed or reordered.
void ConfigSimulation::runPending(std::uint32_t choice)
{
    if (m_pending.empty())
        return;
    const auto at = m_pending.begin() + static_cast<std::ptrdiff_t>(choice % m_pending.size());
    const auto work = std::move(*at);
    m_pending.erase(at);
    work();
}

void ConfigSimulation::deliver(std::size_t node, Incarnation incarnation, const ConfigEvent& event)
{
    if (m_nodes[node].incarnation == incarnation)
        perform(node, m_nodes[node].replica->handle(event, m_now));
}

void ConfigSimulation::perform(std::size_t node, std::vector<ConfigAction> actions)
{
    const auto answer = [this, node, incarnation = m_nodes[node].incarnation](const ConfigEvent& event) { deliver(node, incarnation, event); };
    for (auto& action : actions) {
        if (const auto* read = std::get_if<ReadConfigLog>(&action))
            readLog(*read, m_nodes[node].isPartitioned, answer);
        else if (auto* record = std::get_if<AppendRecord>(&action))
            append(std::move(*record), answer);
        else if (const auto* outgoing = std::get_if<SendConfigRequest>(&action))
            sendToPeer(node, *outgoing);
    }
}

void ConfigSimulation::performOperator(std::size_t index, std::vector<ConfigAction> actions)
{
    const auto deliver = [this, index](const ConfigEvent& event) {
        performOperator(index, m_operators[index].publisher->handle(event, m_now));
    };
    for (auto& action : actions) {
        if (const auto* read = std::get_if<ReadConfigLog>(&action))
            readLog(*read, false, deliver);
        else if (auto* record = std::get_if<AppendRecord>(&action))
            append(std::move(*record), deliver);
    }
}

void ConfigSimulation::readLog(const ReadConfigLog& read, bool isPartitioned, const std::function<void(ConfigEvent)>& deliver)
{
    const auto began = m_now;
    m_pending.emplace_back([this, read, isPartitioned, began, deliver] {
        auto result = isPartitioned ? LogReadEvent(LogUnreachable {}) : m_log.read(read.from);
        const auto* trimmed = std::get_if<LogTrimmed>(&result);
        if (trimmed && m_mutation == Mutation::TrimIgnored) {
            auto records = std::get<LogRecordsRead>(m_log.read(trimmed->first));
            for (auto& record : records.records)
                record.offset = LogOffset(read.from.value() + record.offset.value() - trimmed->first.value());
            result = records;
        }
        m_pending.emplace_back([this, result, began, deliver] {
            deliver(ConfigLogRead { result, m_mutation == Mutation::ReadTimestampedAtCompletion ? m_now : began });
        });
    });
}

void ConfigSimulation::append(AppendRecord record, const std::function<void(ConfigEvent)>& deliver)
{
    auto decoded = decodeConfigRecord(record.data).value();
    auto* checkpoint = std::get_if<ConfigCheckpoint>(&decoded);
    auto* proposal = std::get_if<ConfigProposal>(&decoded);
    if (proposal && m_mutation == Mutation::RetryUsesNewId && record.ticket.value() > 1) {
        proposal->id = ProposalId(proposal->id.value() + "'");
        record.data = encodeConfigRecord(decoded);
    }
    m_pending.emplace_back([this, record, checkpointConfig = checkpoint ? std::optional(*checkpoint) : std::nullopt, deliver]() mutable {
        if (!m_log.isUp) {
            m_pending.emplace_back([deliver, record] { deliver(AppendRefused { record.ticket }); });
            return;
        }
        if (checkpointConfig && m_mutation == Mutation::CheckpointUsesOwnOffset) {
            checkpointConfig->config.position = LogOffset(m_log.history().size());
            record.data = encodeConfigRecord(*checkpointConfig);
        }
        const bool isUnknown = m_injectsFaults && random(3) == 0;
        if (!isUnknown) {
            const auto offset = m_log.append(record.data);
            m_pending.emplace_back([deliver, record, offset] { deliver(AppendSucceeded { record.ticket, offset }); });
            return;
        }
        // If the response is lost, one third of the records is never appended, one third is appended now, and one third is
        // appended later.
        const auto appendTiming = random(3);
        if (appendTiming == 1)
            m_log.append(record.data);
        if (appendTiming == 2)
            m_pending.emplace_back([this, record] { m_log.append(record.data); });
        m_pending.emplace_back([this, deliver, record] {
            if (m_mutation == Mutation::UnknownAppendTreatedAsRefused)
                deliver(AppendRefused { record.ticket });
            else
                deliver(AppendOutcomeUnknown { record.ticket });
        });
    });
}

void ConfigSimulation::sendToPeer(std::size_t from, const SendConfigRequest& outgoing)
{
    const auto to = static_cast<std::size_t>(outgoing.to.value()[1] - '0');
    const auto bytes = encodeConfigMessage(outgoing.message);
    m_pending.emplace_back([this, from, to, ticket = outgoing.ticket, bytes, incarnation = m_nodes[from].incarnation] {
        if (m_injectsFaults && random(8) == 0) {
            m_pending.emplace_back([this, from, incarnation, ticket] { deliver(from, incarnation, ConfigRequestFailed { ticket }); });
            return;
        }
        auto actions = m_nodes[to].replica->handle(ConfigRequestReceived { ticket, m_nodes[from].id, decodeConfigMessage(bytes).value() }, m_now);
        for (const auto& action : actions) {
            const auto* answer = std::get_if<SendConfigResponse>(&action);
            if (!answer)
                continue;
            auto message = decodeConfigMessage(encodeConfigMessage(answer->message)).value();
            if (m_mutation == Mutation::PeerAgeIgnored && message.digest.confirmedAgo)
                message.digest.confirmedAgo = Duration::zero();
            m_pending.emplace_back([this, from, incarnation, ticket, message] { deliver(from, incarnation, ConfigResponseReceived { ticket, message }); });
        }
        perform(to, std::move(actions));
    });
}

/// Test oracle: the first proposal in log order that is based on the current version is accepted.
void ConfigSimulation::evaluateNewRecords()
{
    for (; m_evaluatedRecords < m_log.history().size(); ++m_evaluatedRecords) {
        const auto record = decodeConfigRecord(m_log.history()[m_evaluatedRecords].data).value();
        const auto* proposal = std::get_if<ConfigProposal>(&record);
        if (!proposal)
            continue;
        const ProposalId id(proposal->id.value().substr(0, proposal->id.value().find('\'')));
        m_seenIds.push_back(id);
        if (proposal->base.value() != m_accepted.size())
            continue;
        if (!m_document.apply(proposal->delta))
            continue;
        m_accepted.push_back({ id, m_document, m_now });
    }
}

std::optional<std::string> ConfigSimulation::check()
{
    evaluateNewRecords();
    for (auto& node : m_nodes) {
        if (auto fault = checkNode(node))
            return node.id.value() + ": " + *fault;
    }
    for (auto& entry : m_operators) {
        if (!entry.publisher->outcome() || entry.isChecked)
            continue;
        entry.isChecked = true;
        if (auto fault = checkOutcome(entry.id, *entry.publisher->outcome()))
            return entry.id.value() + ": " + *fault;
    }
    return std::nullopt;
}

std::optional<std::string> ConfigSimulation::checkNode(Node& node) const
{
    const auto& config = node.replica->accepted();
    if (config.version < node.highest)
        return "the version decreased";
    node.highest = config.version;
    if (config.version.value() > m_accepted.size())
        return "a version is active that was never accepted";
    if (config.version.value() > 0 && config.document != m_accepted[config.version.value() - 1].document)
        return "the rules differ from the accepted rules";
    for (const auto& change : config.recent) {
        if (!change.id.value().starts_with(m_accepted[change.version.value() - 1].id.value()))
            return "the history lists a change other than the accepted one";
    }
    const auto confirmedAt = node.replica->confirmedAt();
    const bool hasNewer = config.version.value() < m_accepted.size();
    if (confirmedAt && hasNewer && m_accepted[config.version.value()].appendedAt < *confirmedAt)
        return "an old version is confirmed after a newer one was accepted";
    return std::nullopt;
}

std::optional<std::string> ConfigSimulation::checkOutcome(const ProposalId& id, const PublishOutcome& outcome) const
{
    const auto at = std::find_if(m_accepted.begin(), m_accepted.end(), [&](const auto& entry) { return entry.id == id; });
    const bool isAccepted = at != m_accepted.end();
    const bool isInLog = std::find(m_seenIds.begin(), m_seenIds.end(), id) != m_seenIds.end();
    if (const auto* accepted = std::get_if<PublishAccepted>(&outcome)) {
        if (!isAccepted || static_cast<std::size_t>(at - m_accepted.begin()) + 1 != accepted->version.value())
            return "reported as accepted with a version at which it was not accepted";
    }
    if (std::holds_alternative<PublishConflict>(outcome) && isAccepted)
        return "reported as a conflict but was accepted";
    if (std::holds_alternative<PublishRefused>(outcome) && isInLog)
        return "reported as not published but is in the log";
    return std::nullopt;
}

std::optional<std::string> ConfigSimulation::converge()
{
    m_injectsFaults = false;
    m_log.isUp = true;
    for (auto& node : m_nodes)
        node.isPartitioned = false;
    for (int round = 0; round < 400; ++round) {
        m_now += 250ms;
        fireTimers();
        for (auto count = m_pending.size(); count > 0; --count)
            runPending(0);
        if (auto fault = check())
            return fault;
    }
    for (auto& entry : m_operators) {
        if (!entry.publisher->outcome())
            return entry.id.value() + ": no outcome after convergence";
        if (auto fault = checkOutcome(entry.id, *entry.publisher->outcome()))
            return entry.id.value() + ": " + *fault + " after convergence";
    }
    const auto isCurrent = [&](const Node& node) { return node.replica->accepted().version.value() == m_accepted.size(); };
    const auto current = std::count_if(m_nodes.begin(), m_nodes.end(), isCurrent);
    const bool isLost = std::all_of(m_nodes.begin(), m_nodes.end(), [](const Node& node) { return node.replica->isAwaitingCheckpoint(); });
    if (!isLost && current != static_cast<std::ptrdiff_t>(kNodes))
        return "not every replica reached the current version";
    return std::nullopt;
}

} // namespace hornbeamgate::test
