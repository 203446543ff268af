#include "hornbeamgate/runtime/entry/budget_task.hpp"

#include "hornbeamgate/observability/log.hpp"
#include "hornbeamgate/rates/claim_record.hpp"
#include "hornbeamgate/runtime/main_loop.hpp"

#include <nlohmann/json.hpp>

namespace hornbeamgate {

namespace {

    constexpr std::string_view kSubject = "rates";
    constexpr std::chrono::milliseconds kReadWait { 1000 };
    constexpr std::chrono::milliseconds kReadRetryDelay { 250 };
    constexpr std::chrono::milliseconds kAnswerTimeout { 450 };

    Result<BudgetBorrower, BudgetError> makeBorrower(const BudgetIdentity& identity, const ShareLayout& layout)
    {
        BorrowerOptions options;
        options.host = identity.host;
        options.region = identity.region;
        options.firstSequence = newUniqueNumber() >> 1;
        options.layout = layout;
        return BudgetBorrower::create(options);
    }

    Result<BudgetLender, BudgetError> makeLender(const BudgetIdentity& identity, const ShareLayout& layout)
    {
        LenderOptions options;
        options.self = { identity.host, identity.link.text(), identity.incarnation };
        options.firstSequence = newUniqueNumber() >> 1;
        options.region = identity.region;
        options.layout = layout;
        return BudgetLender::create(options);
    }

    RunError toRunError(RefusalReason reason)
    {
        return reason == RefusalReason::OverLimit ? RunError::RateExceeded : RunError::RateUnavailable;
    }

} // namespace

Result<std::unique_ptr<BudgetTask>, std::string> BudgetTask::create(const BudgetIdentity& identity, PlatformLogClient& log, LinkPool& links)
{
    ShareLayout layout;
    layout.regions = identity.regions;
    auto checked = ShareLayout::create(layout);
    if (!checked)
        return failure(checked.error().detail);
    auto borrower = makeBorrower(identity, *checked);
    if (!borrower)
        return failure(borrower.error().detail);
    auto home = makeLender(identity, *checked);
    if (!home)
        return failure(home.error().detail);
    return std::unique_ptr<BudgetTask>(new BudgetTask(identity, std::move(*borrower), std::move(*home), log, links));
}

BudgetTask::BudgetTask(BudgetIdentity identity, BudgetBorrower borrower, BudgetLender home, PlatformLogClient& log, LinkPool& links)
    : m_identity(std::move(identity))
    , m_borrower(std::move(borrower))
    , m_lender(std::move(home))
    , m_log(&log)
    , m_links(&links)
    , m_borrowerTimer([this] { feedBorrower(BudgetTimerExpired {}); })
    , m_lenderTimer([this] { feedLender(BudgetTimerExpired {}); })
    , m_readTimer([this] { readClaims(); })
{
}

void BudgetTask::start(LinkServer& server)
{
    server.addControlHandler(std::string(kSubject), [this](const HostId&, BytesView message, std::function<void(Bytes)> reply) { handleMessage(message, std::move(reply)); });
    readClaims();
}

void BudgetTask::setRules(const std::vector<WorkspaceRule>& workspaces)
{
    feedLender(BudgetRulesChanged { workspaces });
    feedBorrower(BudgetRulesChanged { workspaces });
}

void BudgetTask::setHosts(const std::vector<BudgetHost>& hosts)
{
    LiveHostsChanged live;
    bool listed = false;
    m_hostAddresses.clear();
    for (const auto& host : hosts) {
        m_hostAddresses[host.host] = host.link;
        listed = listed || host.host == m_identity.host;
        if (host.live && host.region == m_identity.region)
            live.hosts.push_back(host.host);
    }
    // The host list may lag and miss this host shortly after its start.
    if (!listed)
        live.hosts.push_back(m_identity.host);
    feedLender(live);
}

void BudgetTask::leave()
{
    feedLender(BudgetShutdownRequested {});
}

void BudgetTask::reserve(RequestId request, const WorkspaceId& workspace, std::uint64_t tokens, DecisionHandler onDecision)
{
    m_pending[request] = std::move(onDecision);
    feedBorrower(SpendRequested { request, workspace, { 1, static_cast<std::int64_t>(tokens) } });
}

void BudgetTask::settle(RequestId request, const WorkspaceId& workspace, std::uint64_t usedTokens)
{
    if (const auto found = m_pending.find(request); found != m_pending.end()) {
        // The decision is pending: if the request is admitted later, the reservation is settled without usage.
        found->second = [this, request, workspace](const Result<void, BudgetRefusal>& decision) {
            if (decision)
                feedBorrower(ReservationSettled { request, workspace, 0 });
        };
        return;
    }
    feedBorrower(ReservationSettled { request, workspace, static_cast<std::int64_t>(usedTokens) });
}

void BudgetTask::feedBorrower(const BorrowerEvent& event)
{
    const auto actions = m_borrower.handle(event, MonotonicClock::now());
    for (const auto& action : actions) {
        if (const auto* message = std::get_if<SendLoanMessage>(&action))
            perform(LoanRequester::Borrower, *message);
        else if (const auto* admitted = std::get_if<SpendAdmitted>(&action))
            perform(*admitted);
        else
            perform(std::get<SpendRefused>(action));
    }
    armTimers();
}

void BudgetTask::feedLender(const LenderEvent& event)
{
    const auto actions = m_lender.handle(event, MonotonicClock::now());
    for (const auto& action : actions) {
        if (const auto* message = std::get_if<SendLoanMessage>(&action))
            perform(LoanRequester::Lender, *message);
        else if (const auto* record = std::get_if<AppendRecord>(&action))
            perform(*record);
        else if (const auto* answer = std::get_if<SendLoanReply>(&action))
            perform(*answer);
        else
            perform(std::get<ShardHomeChanged>(action));
    }
    armTimers();
}

void BudgetTask::armTimers()
{
    if (const auto deadline = m_borrower.nextDeadline())
        m_borrowerTimer.set(*deadline);
    else
        m_borrowerTimer.clear();
    if (const auto deadline = m_lender.nextDeadline(MonotonicClock::now()))
        m_lenderTimer.set(*deadline);
    else
        m_lenderTimer.clear();
}

void BudgetTask::readClaims()
{
    m_log->read(std::string(kClaimStream), m_lender.position(), kReadWait, PlatformLogClient::kUsualTimeout, [this, alive = m_liveness.watch()](const LogReadEvent& result) {
        if (!alive.expired())
            handleClaims(result);
    });
}

void BudgetTask::handleClaims(const LogReadEvent& result)
{
    feedLender(result);
    const bool failed = std::holds_alternative<LogUnreachable>(result);
    m_readTimer.set(MonotonicClock::now() + (failed ? kReadRetryDelay : std::chrono::milliseconds(0)));
}

void BudgetTask::deliverLoanReply(LoanRequester requester, const LoanReply& reply)
{
    if (requester == LoanRequester::Borrower)
        feedBorrower(LoanReplyReceived { reply });
    else
        feedLender(LoanReplyReceived { reply });
}

void BudgetTask::reportLoanFailure(LoanRequester requester, std::uint64_t sequence)
{
    if (requester == LoanRequester::Borrower)
        feedBorrower(LoanRequestFailed { sequence });
    else
        feedLender(LoanRequestFailed { sequence });
}

void BudgetTask::perform(LoanRequester requester, const SendLoanMessage& action)
{
    const auto* request = std::get_if<LoanRequest>(&action.message);
    if (action.to == m_identity.host) {
        post([this, requester, message = action.message, alive = m_liveness.watch()] {
            if (alive.expired())
                return;
            if (const auto* own = std::get_if<LoanRequest>(&message))
                m_replyHandlers[{ own->borrower, own->sequence }] = [this, requester](const LoanReply& reply) { deliverLoanReply(requester, reply); };
            dispatchMessage(message);
        });
        return;
    }
    const auto location = m_hostAddresses.find(action.to);
    if (location != m_hostAddresses.end()) {
        send(requester, location->second, action.message);
        return;
    }
    if (request) {
        post([this, requester, sequence = request->sequence, alive = m_liveness.watch()] {
            if (!alive.expired())
                reportLoanFailure(requester, sequence);
        });
    }
}

void BudgetTask::send(LoanRequester requester, const SocketAddress& address, const LoanMessage& message)
{
    const auto* request = std::get_if<LoanRequest>(&message);
    const auto sequence = request ? request->sequence : 0;
    m_links->request(address, kSubject, encodeLoanMessage(message), MonotonicClock::now() + kAnswerTimeout,
        [this, requester, sequence, needsAnswer = request != nullptr, alive = m_liveness.watch()](const Result<Bytes, LinkError>& answer) {
            if (alive.expired() || !needsAnswer)
                return;
            const auto reply = answer ? decodeLoanMessage(*answer) : failure(CodecError { "no answer" });
            const auto* loan = reply ? std::get_if<LoanReply>(&*reply) : nullptr;
            if (loan && loan->sequence == sequence)
                deliverLoanReply(requester, *loan);
            else
                reportLoanFailure(requester, sequence);
        });
}

void BudgetTask::handleMessage(BytesView message, std::function<void(Bytes)> reply)
{
    const auto decoded = decodeLoanMessage(message);
    const auto* request = decoded ? std::get_if<LoanRequest>(&*decoded) : nullptr;
    if (!request) {
        reply({});
        if (decoded)
            dispatchMessage(*decoded);
        return;
    }
    m_replyHandlers[{ request->borrower, request->sequence }] = [reply = std::move(reply)](const LoanReply& loan) { reply(encodeLoanMessage(loan)); };
    dispatchMessage(*decoded);
}

void BudgetTask::dispatchMessage(const LoanMessage& message)
{
    if (const auto* request = std::get_if<LoanRequest>(&message))
        feedLender(LoanRequestReceived { *request });
    else if (const auto* closures = std::get_if<LoanClosures>(&message))
        feedLender(LoanClosuresReceived { *closures });
    else if (const auto* question = std::get_if<ShardHomesRequest>(&message))
        feedLender(ShardHomesRequestReceived { *question });
    else if (const auto* homes = std::get_if<ShardHomesReply>(&message))
        feedLender(ShardHomesReplyReceived { *homes });
}

void BudgetTask::perform(const SpendAdmitted& action)
{
    const auto found = m_pending.find(action.request);
    if (found == m_pending.end())
        return;
    const auto onDecision = std::move(found->second);
    m_pending.erase(found);
    onDecision({});
}

void BudgetTask::perform(const SpendRefused& action)
{
    const auto found = m_pending.find(action.request);
    if (found == m_pending.end())
        return;
    const auto onDecision = std::move(found->second);
    m_pending.erase(found);
    onDecision(failure(BudgetRefusal { toRunError(action.reason), action.retryAt }));
}

void BudgetTask::perform(const AppendRecord& action)
{
    m_log->append(action, [this, alive = m_liveness.watch()](const AppendEvent& outcome) {
        if (!alive.expired())
            feedLender(outcome);
    });
}

void BudgetTask::perform(const SendLoanReply& action)
{
    const auto found = m_replyHandlers.find({ action.to, action.reply.sequence });
    if (found == m_replyHandlers.end())
        return;
    const auto answer = std::move(found->second);
    m_replyHandlers.erase(found);
    answer(action.reply);
}

void BudgetTask::perform(const ShardHomeChanged& action)
{
    const bool own = action.home == m_identity.host;
    const auto shard = action.shard.region.value() + '/' + std::to_string(action.shard.number);
    logEvent(own ? LogEvent::BudgetClaimed : LogEvent::BudgetMoved, { { "shard", shard }, { "home", action.home ? action.home->value() : "" } });
    feedBorrower(action);
}

nlohmann::json BudgetTask::dump() const
{
    const auto now = MonotonicClock::now();
    return { { "borrower", m_borrower.dump(now) }, { "home", m_lender.dump(now) }, { "undecided", m_pending.size() } };
}

} // namespace hornbeamgate
