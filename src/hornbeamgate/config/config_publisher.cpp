#include "hornbeamgate/config/config_publisher.hpp"

#include "hornbeamgate/config/rules_parser.hpp"

#include <algorithm>
#include <utility>

namespace hornbeamgate {
namespace {

    using namespace std::chrono_literals;

    constexpr Duration kReadInterval = 100ms;
    constexpr Duration kReadRetry = 500ms;
    constexpr Duration kAppendRetry = 500ms;
    constexpr Duration kReadWait = 500ms;
    constexpr Duration kReadTimeout = 2s;

} // namespace

ConfigPublisher::ConfigPublisher(PublishRequest request)
    : m_request(std::move(request))
{
}

std::vector<ConfigAction> ConfigPublisher::handle(const ConfigEvent& event, MonotonicTime now)
{
    if (!m_outcome)
        std::visit([&](const auto& content) { on(content, now); }, event);
    return std::exchange(m_actions, {});
}

MonotonicTime ConfigPublisher::nextDeadline() const
{
    auto deadline = m_request.deadline;
    if (m_readDue)
        deadline = std::min(deadline, *m_readDue);
    if (m_appendDue)
        deadline = std::min(deadline, *m_appendDue);
    return deadline;
}

void ConfigPublisher::on(const ConfigTimerExpired&, MonotonicTime now)
{
    if (now >= m_request.deadline) {
        handleDeadline();
        return;
    }
    if (m_readDue && *m_readDue <= now) {
        m_readDue.reset();
        m_actions.emplace_back(ReadConfigLog { m_stateMachine.nextRead(), m_proposal ? kReadWait : Duration::zero(), kReadTimeout });
    }
    if (m_appendDue && *m_appendDue <= now)
        append();
}

void ConfigPublisher::on(const ConfigLogRead& event, MonotonicTime now)
{
    const auto progress = m_stateMachine.handle(event.result);
    const bool isUnreachable = std::holds_alternative<LogUnreachable>(event.result);
    m_isLogReachable = !isUnreachable;
    if (isUnreachable)
        m_readDue = now + kReadRetry;
    else
        m_readDue = progress.isCaughtUp ? std::max(now, event.began + kReadInterval) : now;
    const auto* read = std::get_if<LogRecordsRead>(&event.result);
    if (read && m_stateMachine.isAwaitingCheckpoint() && m_stateMachine.nextRead() >= read->next) {
        m_readDue = now + kReadRetry;
        return;
    }
    if (!m_proposal && progress.isCaughtUp)
        prepareProposal();
    updateOutcome();
    const bool isLost = m_proposal && !m_outcome && progress.isCaughtUp && m_proposal->era < eraOf(m_stateMachine.nextRead());
    if (isLost) {
        m_proposal->era = eraOf(m_stateMachine.nextRead());
        m_appendDue = now;
    }
}

/// Creates the proposal from the current version, or sets the outcome if no proposal is needed or possible.
void ConfigPublisher::prepareProposal()
{
    const auto& config = m_stateMachine.accepted();
    const auto base = m_request.base.value_or(config.version);
    m_outcome = findOutcomeBeforeAppend(base);
    if (m_outcome)
        return;
    if (config.document.contains(m_request.newRule)) {
        m_outcome = PublishRefused { "rule '" + m_request.newRule + "' already exists" };
        return;
    }
    const auto* newDocument = std::get_if<RuleDocument>(&m_request.change);
    const auto delta = newDocument ? config.document.deltaTo(*newDocument) : std::get<RuleDelta>(m_request.change);
    auto document = config.document;
    if (auto applied = document.apply(delta); !applied) {
        m_outcome = PublishRefused { applied.error().detail };
        return;
    }
    if (document == config.document) {
        m_outcome = PublishUnchanged { config.version };
        return;
    }
    if (auto fault = findRulesFault(document)) {
        m_outcome = PublishRefused { std::move(*fault) };
        return;
    }
    m_proposal = ConfigProposal { m_request.id, base, m_request.author, delta, document.digest(base.next()), eraOf(m_stateMachine.nextRead()) };
    m_appendDue = MonotonicTime {};
}

/// Outcome that is known before appending: an earlier attempt was accepted, or `base` is not the current version.
std::optional<PublishOutcome> ConfigPublisher::findOutcomeBeforeAppend(ConfigVersion base) const
{
    const auto& config = m_stateMachine.accepted();
    const auto earlier = std::find_if(config.recent.begin(), config.recent.end(), [&](const auto& change) { return change.id == m_request.id; });
    if (earlier != config.recent.end())
        return PublishAccepted { earlier->version, true };
    if (base == config.version)
        return std::nullopt;
    if (base > config.version)
        return PublishRefused { "version " + std::to_string(base.value()) + " does not exist; the current version is " + std::to_string(config.version.value()) };
    const auto proposalOutcome = findProposalOutcome(config, m_request.id, base);
    const auto* rejected = proposalOutcome ? std::get_if<ProposalRejected>(&*proposalOutcome) : nullptr;
    return PublishConflict { rejected ? std::optional(rejected->winner) : std::nullopt, config.version };
}

std::optional<std::string> ConfigPublisher::findRulesFault(const RuleDocument& document) const
{
    const auto rules = parseRules(document.text());
    if (rules)
        return std::nullopt;
    return "the change would make the rules invalid: " + rules.error().front().text;
}

void ConfigPublisher::append()
{
    m_appendDue.reset();
    m_ticket = m_ticket.next();
    m_isAppending = true;
    m_actions.emplace_back(AppendRecord { m_ticket, std::string(kConfigStream), encodeConfigRecord(*m_proposal) });
}

void ConfigPublisher::on(const AppendSucceeded& event, MonotonicTime)
{
    if (event.ticket != m_ticket)
        return;
    m_isAppending = false;
    m_mayBeInLog = true;
}

void ConfigPublisher::on(const AppendRefused& event, MonotonicTime now)
{
    if (event.ticket != m_ticket)
        return;
    m_isAppending = false;
    m_appendDue = now + kAppendRetry;
}

void ConfigPublisher::on(const AppendOutcomeUnknown& event, MonotonicTime now)
{
    if (event.ticket != m_ticket)
        return;
    m_isAppending = false;
    m_mayBeInLog = true;
    m_appendDue = now + kAppendRetry;
}

std::optional<PublishOutcome> ConfigPublisher::findOutcomeAfterAppend() const
{
    const auto proposalOutcome = findProposalOutcome(m_stateMachine.accepted(), m_proposal->id, m_proposal->base);
    if (!proposalOutcome)
        return std::nullopt;
    if (const auto* accepted = std::get_if<ProposalAccepted>(&*proposalOutcome))
        return PublishAccepted { accepted->version };
    if (const auto* rejected = std::get_if<ProposalRejected>(&*proposalOutcome))
        return PublishConflict { rejected->winner, m_stateMachine.accepted().version };
    return PublishUnknown { "too many changes have been accepted since the base version to determine the outcome" };
}

void ConfigPublisher::updateOutcome()
{
    if (m_proposal && !m_outcome)
        m_outcome = findOutcomeAfterAppend();
}

void ConfigPublisher::handleDeadline()
{
    if (m_isAppending || m_mayBeInLog) {
        m_outcome = PublishUnknown { "the outcome could not be read from the log before the deadline" };
        return;
    }
    const bool isAwaitingCheckpoint = m_stateMachine.isAwaitingCheckpoint() && m_isLogReachable;
    m_outcome = PublishRefused { isAwaitingCheckpoint ? "the log keeps no checkpoint of the configuration" : "the log is unreachable or rejected the change" };
}

} // namespace hornbeamgate
