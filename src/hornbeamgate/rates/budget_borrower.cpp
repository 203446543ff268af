#include "hornbeamgate/rates/budget_borrower.hpp"

#include "hornbeamgate/base/hash.hpp"

#include <nlohmann/json.hpp>

#include <cmath>

namespace hornbeamgate {

namespace {

    constexpr std::size_t kMaxWaiting = 1024;
    constexpr std::size_t kMaxAbandonedRequests = 256;
    constexpr std::int64_t kPrefetchRequests = 2; // loans are not prefetched for a smaller expected demand
    constexpr Duration kMinBackoff = std::chrono::milliseconds(50);
    constexpr Duration kPrefetchBackoff = std::chrono::milliseconds(500);
    constexpr Duration kMaxBackoff = std::chrono::seconds(1);
    constexpr Duration kNoHomeRetry = std::chrono::seconds(1);
    constexpr std::int64_t kSmallLoanDivisor = 16; // a loan of at most 1/16 of a share's burst is small
    constexpr int kReturnLifetimeDivisor = 5; // unspent tokens are returned when a fifth of the loan's lifetime is left

    std::int64_t wholeBurst(const RateLimit& limit)
    {
        return std::max<std::int64_t>(1, static_cast<std::int64_t>(std::floor(std::min(limit.burst, 1e12))));
    }

} // namespace

BudgetBorrower::BudgetBorrower(BorrowerOptions options)
    : m_options(std::move(options))
    , m_nextSequence(m_options.firstSequence)
{
}

Result<BudgetBorrower, BudgetError> BudgetBorrower::create(BorrowerOptions options)
{
    auto layout = ShareLayout::create(options.layout);
    if (!layout)
        return failure(layout.error());
    if (options.host.empty() || options.region.empty())
        return failure(BudgetError { "a borrower requires a host and a region" });
    if (options.batchHorizon <= Duration::zero() || options.replyTimeout <= Duration::zero()
        || options.closureDelay <= Duration::zero() || options.refundDelay <= Duration::zero())
        return failure(BudgetError { "the borrower's durations must be positive" });
    return BudgetBorrower(std::move(options));
}

std::vector<BorrowerAction> BudgetBorrower::handle(const BorrowerEvent& event, MonotonicTime now)
{
    m_actions.clear();
    std::visit([&](const auto& alternative) { on(alternative, now); }, event);
    return std::move(m_actions);
}

void BudgetBorrower::on(const SpendRequested& event, MonotonicTime now)
{
    const auto found = m_accounts.find(event.workspace);
    if (found == m_accounts.end())
        return refuse(event.request, RefusalReason::UnknownWorkspace, now + kNoHomeRetry);
    auto& account = found->second;
    // Tokens beyond the total burst could never be reserved. They become debt when the request is settled.
    const auto shares = static_cast<std::int64_t>(account.shares.size());
    const auto largest = shares * burstOf(account).tokens;
    const Amounts need { std::max<std::int64_t>(event.need.requests, 0),
        std::clamp<std::int64_t>(event.need.tokens, 0, largest) };
    account.demand.add(need, now);
    if (account.waiting.empty() && account.loanPool.reserve(event.request, need, now)) {
        m_actions.emplace_back(SpendAdmitted { event.request });
        queueEndedLoans(event.workspace, account, now);
        return prefetch(event.workspace, account, now);
    }
    if (now < account.backoffUntil && need.covers(account.backoffNeed))
        return refuse(event.request, RefusalReason::OverLimit, account.backoffUntil);
    if (account.waiting.size() >= kMaxWaiting)
        return refuse(event.request, RefusalReason::Overloaded, now + kMaxBackoff);
    account.waiting.push_back({ event.request, need });
    if (!account.pendingRequest)
        requestFromNextShare(event.workspace, account, now);
    updateDeadlineIndex(event.workspace, account);
}

void BudgetBorrower::on(const ReservationSettled& event, MonotonicTime now)
{
    const auto found = m_accounts.find(event.workspace);
    if (found == m_accounts.end())
        return;
    found->second.loanPool.settle(event.request, event.usedTokens, now);
    admitWaiting(found->second, now);
    queueEndedLoans(event.workspace, found->second, now);
    updateDeadlineIndex(event.workspace, found->second);
}

void BudgetBorrower::on(const LoanReplyReceived& event, MonotonicTime now)
{
    const auto& reply = event.reply;
    const auto pending = m_pendingRequests.find(reply.sequence);
    if (pending == m_pendingRequests.end())
        return returnLateLoan(reply);
    const auto workspace = pending->second;
    m_pendingRequests.erase(pending);
    auto& account = m_accounts.at(workspace);
    const auto pendingRequest = *std::exchange(account.pendingRequest, std::nullopt);
    if (reply.status == LoanStatus::Granted) {
        acceptLoan(account, pendingRequest, reply, now);
        completeRequest(workspace, account, now);
    } else {
        if (reply.status == LoanStatus::Insufficient) {
            const Duration retry = reply.retryAfter;
            account.shortestRetry = std::min(account.shortestRetry.value_or(retry), retry);
        }
        continueAfterDenial(workspace, account, pendingRequest.background, now);
    }
    updateDeadlineIndex(workspace, account);
}

void BudgetBorrower::on(const LoanRequestFailed& event, MonotonicTime now)
{
    const auto pending = m_pendingRequests.find(event.sequence);
    if (pending == m_pendingRequests.end())
        return;
    const auto workspace = pending->second;
    auto& account = m_accounts.at(workspace);
    abandonRequest(workspace, account, now);
    updateDeadlineIndex(workspace, account);
}

void BudgetBorrower::on(const ShardHomeChanged& event, MonotonicTime /*now*/)
{
    if (event.home)
        m_homes[event.shard] = *event.home;
    else
        m_homes.erase(event.shard);
}

void BudgetBorrower::on(const BudgetRulesChanged& event, MonotonicTime now)
{
    std::set<WorkspaceId> kept;
    for (const auto& rule : event.workspaces) {
        kept.insert(rule.id);
        auto& account = m_accounts[rule.id];
        account.shares = m_options.layout.sharesOf(rule);
        account.order = shareOrderFor(account.shares);
        account.attempt = std::min(account.attempt, account.order.size());
    }
    for (auto entry = m_accounts.begin(); entry != m_accounts.end();) {
        if (kept.contains(entry->first)) {
            ++entry;
            continue;
        }
        for (const auto& waiting : entry->second.waiting)
            refuse(waiting.request, RefusalReason::UnknownWorkspace, now + kNoHomeRetry);
        if (entry->second.pendingRequest)
            m_pendingRequests.erase(entry->second.pendingRequest->sequence);
        m_withDeadline.erase(entry->first);
        entry = m_accounts.erase(entry);
    }
}

void BudgetBorrower::on(const BudgetTimerExpired& /*event*/, MonotonicTime now)
{
    const auto withDeadline = m_withDeadline;
    for (const auto& workspace : withDeadline) {
        auto& account = m_accounts.at(workspace);
        if (account.pendingRequest && account.pendingRequest->timeoutAt <= now)
            abandonRequest(workspace, account, now);
        queueEndedLoans(workspace, account, now);
        if (account.loanPool.debt() > 0 && !account.pendingRequest && now >= account.backoffUntil)
            requestFromNextShare(workspace, account, now);
        updateDeadlineIndex(workspace, account);
    }
    sendDueClosures(m_closures, now);
    sendDueClosures(m_refunds, now);
}

void BudgetBorrower::refuse(RequestId request, RefusalReason reason, MonotonicTime retryAt)
{
    m_actions.emplace_back(SpendRefused { request, reason, retryAt });
}

void BudgetBorrower::refuseWaiting(Account& account, MonotonicTime now)
{
    const bool answered = account.shortestRetry.has_value();
    const auto reason = answered ? RefusalReason::OverLimit : RefusalReason::NoHome;
    const auto retry = std::max(account.shortestRetry.value_or(kNoHomeRetry), kMinBackoff);
    account.backoff = std::clamp(2 * account.backoff, kMinBackoff, kMaxBackoff);
    account.backoffUntil = now + std::min(account.backoff, retry);
    account.backoffNeed = smallestNeed(account);
    for (const auto& waiting : account.waiting)
        refuse(waiting.request, reason, now + retry);
    account.waiting.clear();
    account.attempt = 0;
    account.shortestRetry.reset();
}

void BudgetBorrower::admitWaiting(Account& account, MonotonicTime now)
{
    const auto admit = [&](const WaitingRequest& waiting) {
        const bool reserved = account.loanPool.reserve(waiting.request, waiting.need, now);
        if (reserved)
            m_actions.emplace_back(SpendAdmitted { waiting.request });
        return reserved;
    };
    std::erase_if(account.waiting, admit);
}

void BudgetBorrower::requestFromNextShare(const WorkspaceId& workspace, Account& account, MonotonicTime now)
{
    for (; account.attempt < account.order.size(); ++account.attempt) {
        const auto share = account.order[account.attempt];
        const auto home = m_homes.find(account.shares[share].shard);
        if (home != m_homes.end())
            return sendRequest(workspace, account, home->second, false, now);
    }
    refuseWaiting(account, now);
}

void BudgetBorrower::sendRequest(
    const WorkspaceId& workspace, Account& account, const HostId& to, bool background, MonotonicTime now)
{
    LoanRequest request;
    request.borrower = m_options.host;
    request.sequence = m_nextSequence++;
    request.workspace = workspace;
    request.share = account.order[account.attempt];
    request.minimum = background ? Amounts { 1, 0 } : missingNeed(account, now);
    request.wanted = sumOfNeeds(account) + account.demand.expectedWithin(m_options.batchHorizon, now);
    request.wanted.requests = std::max(request.wanted.requests, request.minimum.requests);
    request.wanted.tokens = std::max(request.wanted.tokens, request.minimum.tokens);
    takeClosures(m_closures, to, request.closures);
    takeClosures(m_refunds, to, request.closures);
    account.pendingRequest = PendingLoanRequest { request.sequence, request.share, to, background, now, now + m_options.replyTimeout };
    m_pendingRequests.emplace(request.sequence, workspace);
    m_actions.emplace_back(SendLoanMessage { to, std::move(request) });
}

void BudgetBorrower::prefetch(const WorkspaceId& workspace, Account& account, MonotonicTime now)
{
    const auto expected = account.demand.expectedWithin(m_options.batchHorizon, now);
    const auto remaining = account.loanPool.remaining(now);
    const bool low = 2 * remaining.requests < expected.requests || 2 * remaining.tokens < expected.tokens;
    if (!account.pendingRequest && low && expected.requests >= kPrefetchRequests && now >= account.prefetchBackoffUntil) {
        const auto home = m_homes.find(account.shares[account.order.front()].shard);
        if (home != m_homes.end())
            sendRequest(workspace, account, home->second, true, now);
    }
    updateDeadlineIndex(workspace, account);
}

void BudgetBorrower::completeRequest(const WorkspaceId& workspace, Account& account, MonotonicTime now)
{
    admitWaiting(account, now);
    queueEndedLoans(workspace, account, now);
    if (!account.waiting.empty())
        return requestFromNextShare(workspace, account, now);
    account.attempt = 0;
    account.backoff = {};
    account.shortestRetry.reset();
}

void BudgetBorrower::continueAfterDenial(
    const WorkspaceId& workspace, Account& account, bool background, MonotonicTime now)
{
    if (account.waiting.empty() && (background || account.loanPool.debt() == 0)) {
        account.attempt = 0;
        account.prefetchBackoffUntil = now + kPrefetchBackoff;
        account.shortestRetry.reset();
        return;
    }
    ++account.attempt;
    requestFromNextShare(workspace, account, now);
}

void BudgetBorrower::acceptLoan(Account& account, const PendingLoanRequest& pendingRequest, const LoanReply& reply, MonotonicTime now)
{
    const Duration lifetime = reply.lifetime;
    const auto deadline = pendingRequest.startedAt + lifetime;
    account.loanPool.add({ reply.id, pendingRequest.share, pendingRequest.to, reply.amount, deadline - lifetime / kReturnLifetimeDivisor, deadline }, now);
}

void BudgetBorrower::returnLateLoan(const LoanReply& reply)
{
    const auto found = m_abandonedRequests.find(reply.sequence);
    if (found == m_abandonedRequests.end())
        return;
    const auto pendingRequest = std::move(found->second);
    m_abandonedRequests.erase(found);
    if (reply.status != LoanStatus::Granted)
        return;
    LoanClosures message { m_options.host, { { reply.id, pendingRequest.workspace, pendingRequest.share, reply.amount, 0 } } };
    m_actions.emplace_back(SendLoanMessage { pendingRequest.to, std::move(message) });
}

void BudgetBorrower::abandonRequest(const WorkspaceId& workspace, Account& account, MonotonicTime now)
{
    const auto pendingRequest = *std::exchange(account.pendingRequest, std::nullopt);
    m_pendingRequests.erase(pendingRequest.sequence);
    m_abandonedRequests.emplace(pendingRequest.sequence, AbandonedRequest { workspace, pendingRequest.share, pendingRequest.to });
    if (m_abandonedRequests.size() > kMaxAbandonedRequests)
        m_abandonedRequests.erase(m_abandonedRequests.begin());
    continueAfterDenial(workspace, account, pendingRequest.background, now);
}

void BudgetBorrower::queueEndedLoans(const WorkspaceId& workspace, Account& account, MonotonicTime now)
{
    const auto burst = burstOf(account);
    for (auto& ended : account.loanPool.takeEndedLoans(now)) {
        const bool isSmall = burst.covers({ kSmallLoanDivisor * ended.amount.requests, kSmallLoanDivisor * ended.amount.tokens });
        if (isSmall && ended.returned.isZero())
            continue; // expires at the lender before the amount is needed
        const auto due = now + (ended.isRefund ? m_options.refundDelay : m_options.closureDelay);
        queueClosure(ended.isRefund ? m_refunds : m_closures, ended.home,
            { ended.id, workspace, ended.share, ended.returned, ended.unsettledTokens }, due);
    }
}

void BudgetBorrower::queueClosure(ClosureQueue& queue, const HostId& home, LoanClosure closure, MonotonicTime due)
{
    auto& closures = queue.byHome[home];
    closures.push_back(std::move(closure));
    if (closures.size() >= kMaxLoanClosures)
        sendClosures(queue, HostId(home));
    else if (!queue.due)
        queue.due = due;
}

void BudgetBorrower::sendClosures(ClosureQueue& queue, const HostId& home)
{
    auto entry = queue.byHome.extract(home);
    m_actions.emplace_back(SendLoanMessage { home, LoanClosures { m_options.host, std::move(entry.mapped()) } });
}

void BudgetBorrower::sendDueClosures(ClosureQueue& queue, MonotonicTime now)
{
    if (!queue.due || now < *queue.due)
        return;
    while (!queue.byHome.empty())
        sendClosures(queue, HostId(queue.byHome.begin()->first));
    queue.due.reset();
}

void BudgetBorrower::takeClosures(ClosureQueue& queue, const HostId& home, std::vector<LoanClosure>& closures)
{
    const auto found = queue.byHome.find(home);
    if (found == queue.byHome.end() || closures.size() + found->second.size() > kMaxLoanClosures)
        return;
    closures.insert(closures.end(), found->second.begin(), found->second.end());
    queue.byHome.erase(found);
}

std::vector<std::uint32_t> BudgetBorrower::shareOrderFor(const std::vector<Share>& shares) const
{
    std::vector<std::uint32_t> sameRegion;
    std::vector<std::uint32_t> otherRegions;
    const auto first = stableHash(m_options.host.value()) % shares.size();
    for (std::size_t i = 0; i < shares.size(); ++i) {
        const auto index = (first + i) % shares.size();
        auto& group = shares[index].shard.region == m_options.region ? sameRegion : otherRegions;
        group.push_back(static_cast<std::uint32_t>(index));
    }
    sameRegion.insert(sameRegion.end(), otherRegions.begin(), otherRegions.end());
    return sameRegion;
}

Amounts BudgetBorrower::smallestNeed(const Account& account)
{
    if (account.waiting.empty())
        return { 0, std::min<std::int64_t>(account.loanPool.debt(), 1) };
    auto smallest = account.waiting.front().need;
    for (const auto& waiting : account.waiting)
        smallest = elementwiseMin(smallest, waiting.need);
    smallest.tokens += account.loanPool.debt();
    return smallest;
}

Amounts BudgetBorrower::sumOfNeeds(const Account& account)
{
    Amounts sum { 0, account.loanPool.debt() };
    for (const auto& waiting : account.waiting)
        sum += waiting.need;
    return sum;
}

Amounts BudgetBorrower::burstOf(const Account& account)
{
    const auto& limits = account.shares.front().limits;
    return { wholeBurst(limits.requests), wholeBurst(limits.tokens) };
}

Amounts BudgetBorrower::missingNeed(const Account& account, MonotonicTime now)
{
    const auto need = smallestNeed(account);
    const auto missing = need - account.loanPool.remaining(now);
    const Amounts bounded { std::max<std::int64_t>(missing.requests, 0), std::max<std::int64_t>(missing.tokens, 0) };
    // A share lends at most its burst; a larger need is collected from several shares.
    return elementwiseMin(bounded.isZero() ? need : bounded, burstOf(account));
}

std::optional<MonotonicTime> BudgetBorrower::nextDeadlineOf(const Account& account) const
{
    auto deadline = account.loanPool.nextDeadline();
    const auto consider = [&](MonotonicTime other) { deadline = std::min(deadline.value_or(other), other); };
    if (account.pendingRequest)
        consider(account.pendingRequest->timeoutAt);
    else if (account.loanPool.debt() > 0)
        consider(account.backoffUntil);
    return deadline;
}

void BudgetBorrower::updateDeadlineIndex(const WorkspaceId& workspace, const Account& account)
{
    if (nextDeadlineOf(account))
        m_withDeadline.insert(workspace);
    else
        m_withDeadline.erase(workspace);
}

std::optional<MonotonicTime> BudgetBorrower::nextDeadline() const
{
    auto earliest = m_closures.due;
    if (m_refunds.due)
        earliest = std::min(earliest.value_or(*m_refunds.due), *m_refunds.due);
    for (const auto& workspace : m_withDeadline) {
        const auto deadline = nextDeadlineOf(m_accounts.at(workspace));
        if (deadline)
            earliest = std::min(earliest.value_or(*deadline), *deadline);
    }
    return earliest;
}

nlohmann::json BudgetBorrower::dump(MonotonicTime now) const
{
    auto accounts = nlohmann::json::object();
    for (const auto& [workspace, account] : m_accounts) {
        const auto remaining = account.loanPool.remaining(now);
        accounts[workspace.value()] = { { "remaining_requests", remaining.requests },
            { "remaining_tokens", remaining.tokens }, { "debt_tokens", account.loanPool.debt() },
            { "loans", account.loanPool.openLoans() }, { "reservations", account.loanPool.openReservations() },
            { "waiting", account.waiting.size() }, { "asking", account.pendingRequest.has_value() },
            { "paused", now < account.backoffUntil } };
    }
    return { { "known_homes", m_homes.size() }, { "closures_queued", m_closures.byHome.size() + m_refunds.byHome.size() },
        { "workspaces", std::move(accounts) } };
}

} // namespace hornbeamgate
