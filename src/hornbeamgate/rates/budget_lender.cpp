#include "hornbeamgate/rates/budget_lender.hpp"

#include <nlohmann/json.hpp>

#include <cmath>

namespace hornbeamgate {

namespace {

    constexpr std::int64_t kSpendExtraDivisor = 4; // leaves most of the account to other borrowers
    constexpr std::int64_t kLowLevelDivisor = 4; // an account below a quarter of its burst requests a transfer
    constexpr Duration kDeniedTransferBackoff = std::chrono::seconds(2);

    std::int64_t wholeFraction(double burst, std::int64_t divisor)
    {
        constexpr double kMostUnits = 1e12;
        return static_cast<std::int64_t>(std::floor(std::min(burst, kMostUnits) / static_cast<double>(divisor)));
    }

    Amounts burstFraction(const ShareLimits& limits, std::int64_t divisor)
    {
        return { wholeFraction(limits.requests.burst, divisor), wholeFraction(limits.tokens.burst, divisor) };
    }

    RateLimit minLimit(const RateLimit& left, const RateLimit& right)
    {
        return { std::min(left.perSecond, right.perSecond), std::min(left.burst, right.burst) };
    }

    ShareLimits minLimits(const ShareLimits& left, const ShareLimits& right)
    {
        return { minLimit(left.requests, right.requests), minLimit(left.tokens, right.tokens) };
    }

} // namespace

BudgetLender::BudgetLender(LenderOptions options, ClaimHolder claims)
    : m_options(std::move(options))
    , m_claims(std::move(claims))
    , m_nextSequence(m_options.firstSequence)
{
}

Result<BudgetLender, BudgetError> BudgetLender::create(LenderOptions options)
{
    const auto layout = ShareLayout::create(options.layout);
    if (!layout)
        return failure(layout.error());
    const auto timing = BudgetTiming::create(options.timing);
    if (!timing)
        return failure(timing.error());
    ClaimOptions claimOptions;
    claimOptions.self = options.self;
    claimOptions.region = options.region;
    claimOptions.shardsPerRegion = options.layout.shardsPerRegion;
    claimOptions.sharesPerRegion = options.layout.sharesPerRegion;
    claimOptions.timing = options.timing;
    auto claims = ClaimHolder::create(std::move(claimOptions));
    if (!claims)
        return failure(claims.error());
    return BudgetLender(std::move(options), *std::move(claims));
}

std::vector<LenderAction> BudgetLender::handle(const LenderEvent& event, MonotonicTime now)
{
    m_actions.clear();
    std::visit([&](const auto& alternative) { on(alternative, now); }, event);
    return std::move(m_actions);
}

void BudgetLender::on(const LogReadEvent& event, MonotonicTime now)
{
    execute(m_claims.handle(event, now), now);
    if (std::holds_alternative<LogUnreachable>(event) && m_homes.empty())
        requestHomesFromPeer();
}

void BudgetLender::requestHomesFromPeer()
{
    if (m_peers.empty())
        return;
    const auto& peer = m_peers[m_nextPeer++ % m_peers.size()];
    m_actions.emplace_back(SendLoanMessage { peer, ShardHomesRequest { m_options.self.host } });
}

void BudgetLender::on(const ShardHomesRequestReceived& event, MonotonicTime /*now*/)
{
    ShardHomesReply reply;
    for (const auto& [shard, host] : m_homes)
        reply.homes.push_back({ shard, host });
    m_actions.emplace_back(SendLoanMessage { event.request.from, std::move(reply) });
}

void BudgetLender::on(const ShardHomesReplyReceived& event, MonotonicTime /*now*/)
{
    for (const auto& home : event.reply.homes) {
        if (m_homes.emplace(home.shard, home.host).second)
            m_actions.emplace_back(ShardHomeChanged { home.shard, home.host });
    }
}

void BudgetLender::on(const AppendEvent& event, MonotonicTime now)
{
    execute(m_claims.handle(event, now), now);
}

void BudgetLender::on(const LoanRequestReceived& event, MonotonicTime now)
{
    const auto& request = event.request;
    closeLoans(request.borrower, request.closures, now);
    m_actions.emplace_back(SendLoanReply { request.borrower, answer(request, now) });
}

void BudgetLender::on(const LoanClosuresReceived& event, MonotonicTime now)
{
    closeLoans(event.message.borrower, event.message.closures, now);
}

void BudgetLender::on(const LoanReplyReceived& event, MonotonicTime now)
{
    const auto found = m_transfers.find(event.reply.sequence);
    if (found == m_transfers.end())
        return;
    const auto key = found->second;
    m_transfers.erase(found);
    const auto account = m_accounts.find(key);
    if (account != m_accounts.end())
        receiveTransfer(key, account->second, event.reply, now);
}

void BudgetLender::on(const LoanRequestFailed& event, MonotonicTime now)
{
    const auto found = m_transfers.find(event.sequence);
    if (found == m_transfers.end())
        return;
    const auto account = m_accounts.find(found->second);
    m_transfers.erase(found);
    if (account == m_accounts.end())
        return;
    account->second.transfer.reset();
    account->second.nextTransferAt = now + m_options.transferInterval;
}

void BudgetLender::on(const LiveHostsChanged& event, MonotonicTime /*now*/)
{
    m_claims.setLiveHosts(event.hosts);
    m_peers = event.hosts;
    std::erase(m_peers, m_options.self.host);
}

void BudgetLender::on(const BudgetRulesChanged& event, MonotonicTime now)
{
    std::unordered_map<WorkspaceId, Workspace> workspaces;
    for (const auto& rule : event.workspaces) {
        Workspace workspace { m_options.layout.sharesOf(rule), now };
        const auto before = m_workspaces.find(rule.id);
        const bool same = before != m_workspaces.end() && before->second.shares.size() == workspace.shares.size()
            && before->second.shares.front().limits == workspace.shares.front().limits;
        if (same)
            workspace.changedAt = before->second.changedAt;
        workspaces.emplace(rule.id, std::move(workspace));
    }
    m_workspaces = std::move(workspaces);
    std::erase_if(m_accounts, [&](const auto& entry) {
        const auto workspace = m_workspaces.find(entry.first.workspace);
        return workspace == m_workspaces.end() || entry.first.share >= workspace->second.shares.size();
    });
    for (auto& [key, account] : m_accounts)
        applyLimits(account, m_workspaces.at(key.workspace).shares[key.share].limits, now);
    for (const auto& shard : m_claims.heldShards())
        openShard({ shard, {} }, now);
}

void BudgetLender::on(const BudgetShutdownRequested& /*event*/, MonotonicTime now)
{
    std::vector<ReleasedAccount> released;
    for (auto& [key, account] : m_accounts) {
        const auto lent = account.bucket.lent(now);
        released.push_back({ key.workspace, key.share, account.bucket.drain(now), lent });
    }
    m_accounts.clear();
    m_transfers.clear();
    execute(m_claims.release(std::move(released), now), now);
}

void BudgetLender::on(const BudgetTimerExpired& event, MonotonicTime now)
{
    execute(m_claims.handle(event, now), now);
    for (auto& [key, account] : m_accounts) {
        applyPendingRaise(account, now);
        if (account.transfer && account.transfer->timeoutAt <= now) {
            account.transfer.reset();
            account.nextTransferAt = now + m_options.transferInterval;
        }
    }
    std::erase_if(m_transfers, [&](const auto& entry) {
        const auto account = m_accounts.find(entry.second);
        return account == m_accounts.end() || !account->second.transfer
            || account->second.transfer->sequence != entry.first;
    });
}

void BudgetLender::execute(std::vector<ClaimAction> actions, MonotonicTime now)
{
    for (auto& action : actions) {
        if (auto* append = std::get_if<AppendRecord>(&action))
            m_actions.emplace_back(std::move(*append));
        if (const auto* acquired = std::get_if<ShardAcquired>(&action))
            openShard(*acquired, now);
        if (const auto* lost = std::get_if<ShardLost>(&action))
            closeShard(lost->shard);
        if (const auto* changed = std::get_if<ShardHomeChanged>(&action)) {
            if (changed->home)
                m_homes[changed->shard] = *changed->home;
            else
                m_homes.erase(changed->shard);
            m_actions.emplace_back(*changed);
        }
    }
}

void BudgetLender::openShard(const ShardAcquired& acquired, MonotonicTime now)
{
    for (const auto& [id, workspace] : m_workspaces) {
        for (std::uint32_t share = 0; share < workspace.shares.size(); ++share) {
            if (workspace.shares[share].shard != acquired.shard)
                continue;
            const auto matches = [&, &name = id](const ReleasedAccount& account) {
                return account.workspace == name && account.share == share;
            };
            const auto released = std::find_if(acquired.accounts.begin(), acquired.accounts.end(), matches);
            openAccount({ id, share }, released == acquired.accounts.end() ? nullptr : &*released, now);
        }
    }
}

void BudgetLender::closeShard(const ShardId& shard)
{
    std::erase_if(m_accounts, [&](const auto& entry) { return entry.second.shard == shard; });
}

void BudgetLender::openAccount(const AccountKey& key, const ReleasedAccount* released, MonotonicTime now)
{
    if (m_accounts.contains(key))
        return;
    const auto& workspace = m_workspaces.at(key.workspace);
    const auto& share = workspace.shares[key.share];
    auto bucket = released != nullptr
        ? ShareAccount::createFromReleased(share.limits, m_options.timing, released->level, released->lent, now)
        : ShareAccount::createEmpty(share.limits, m_options.timing, now);
    Account account { std::move(bucket), share.shard, {}, {}, 0, now };
    const auto raiseFrom = workspace.changedAt + m_options.timing.limitRaiseDelay;
    if (now < raiseFrom) {
        account.bucket.setLimits({}, now);
        account.pendingRaise = PendingLimits { share.limits, raiseFrom };
    }
    m_accounts.emplace(key, std::move(account));
}

void BudgetLender::applyLimits(Account& account, const ShareLimits& limits, MonotonicTime now)
{
    applyPendingRaise(account, now);
    const auto& current = account.pendingRaise ? account.pendingRaise->limits : account.bucket.limits();
    if (limits == current)
        return;
    account.bucket.setLimits(minLimits(account.bucket.limits(), limits), now);
    account.pendingRaise = PendingLimits { limits, now + m_options.timing.limitRaiseDelay };
}

void BudgetLender::applyPendingRaise(Account& account, MonotonicTime now)
{
    if (!account.pendingRaise || now < account.pendingRaise->from)
        return;
    account.bucket.setLimits(account.pendingRaise->limits, now);
    account.pendingRaise.reset();
}

BudgetLender::Account* BudgetLender::find(const WorkspaceId& workspace, std::uint32_t share, MonotonicTime now)
{
    const auto found = m_accounts.find({ workspace, share });
    if (found == m_accounts.end() || !m_claims.holds(found->second.shard, now))
        return nullptr;
    applyPendingRaise(found->second, now);
    return &found->second;
}

LoanReply BudgetLender::answer(const LoanRequest& request, MonotonicTime now)
{
    LoanReply reply;
    reply.sequence = request.sequence;
    auto* account = find(request.workspace, request.share, now);
    if (account == nullptr)
        return reply;
    auto& bucket = account->bucket;
    const bool spend = request.purpose == LoanPurpose::Spend;
    const LoanTerms terms { request.minimum, request.wanted, spend ? Amounts {} : burstFraction(bucket.limits(), 2),
        spend ? kSpendExtraDivisor : 1 };
    const LoanId id { m_options.self.incarnation, m_nextLoan++ };
    const auto loan = bucket.lend(id, request.borrower, terms, now);
    if (loan) {
        reply.status = LoanStatus::Granted;
        reply.id = id;
        reply.amount = loan->amount;
        reply.lifetime = std::chrono::floor<std::chrono::milliseconds>(loan->lifetime);
    } else {
        reply.status = LoanStatus::Insufficient;
        const auto wait = bucket.timeUntilCovered(request.minimum, now).value_or(std::chrono::hours(1));
        reply.retryAfter = std::chrono::ceil<std::chrono::milliseconds>(wait);
    }
    if (spend)
        requestTransfer({ request.workspace, request.share }, *account, now);
    return reply;
}

void BudgetLender::closeLoans(const HostId& borrower, const std::vector<LoanClosure>& closures, MonotonicTime now)
{
    for (const auto& closure : closures) {
        if (auto* account = find(closure.workspace, closure.share, now))
            account->bucket.close(closure.id, borrower, closure.returned, closure.unsettledTokens, now);
    }
}

void BudgetLender::requestTransfer(const AccountKey& key, Account& account, MonotonicTime now)
{
    const auto available = account.bucket.available(now);
    const auto low = burstFraction(account.bucket.limits(), kLowLevelDivisor);
    if (account.transfer || now < account.nextTransferAt || available.covers(low))
        return;
    const auto lender = chooseLender(key, account);
    if (!lender)
        return;
    const auto half = burstFraction(account.bucket.limits(), 2);
    LoanRequest request;
    request.borrower = m_options.self.host;
    request.sequence = m_nextSequence++;
    request.workspace = key.workspace;
    request.share = *lender;
    request.purpose = LoanPurpose::Transfer;
    request.wanted = { std::max<std::int64_t>(half.requests - available.requests, 0),
        std::max<std::int64_t>(half.tokens - available.tokens, 0) };
    const auto& to = m_homes.at(m_workspaces.at(key.workspace).shares[*lender].shard);
    account.transfer = Transfer { request.sequence, *lender, to, now, now + m_options.replyTimeout };
    m_transfers.emplace(request.sequence, key);
    m_actions.emplace_back(SendLoanMessage { to, std::move(request) });
}

std::optional<std::uint32_t> BudgetLender::chooseLender(const AccountKey& key, Account& account) const
{
    const auto& shares = m_workspaces.at(key.workspace).shares;
    std::vector<std::uint32_t> lenders;
    for (const bool sameRegion : { true, false }) {
        for (std::uint32_t share = 0; share < shares.size(); ++share) {
            const bool isSameRegion = shares[share].shard.region == m_options.region;
            if (share != key.share && isSameRegion == sameRegion && m_homes.contains(shares[share].shard))
                lenders.push_back(share);
        }
    }
    if (lenders.empty())
        return std::nullopt;
    return lenders[account.nextLender++ % lenders.size()];
}

void BudgetLender::receiveTransfer(const AccountKey& key, Account& account, const LoanReply& reply, MonotonicTime now)
{
    if (!account.transfer || account.transfer->sequence != reply.sequence)
        return;
    const auto transfer = *std::exchange(account.transfer, std::nullopt);
    const bool granted = reply.status == LoanStatus::Granted;
    account.nextTransferAt = now + (granted ? m_options.transferInterval : kDeniedTransferBackoff);
    if (!granted)
        return;
    // The lending account counts the loan against its burst until its own later deadline, so tokens in transit are never
    // counted twice.
    const bool inTime = now < transfer.startedAt + reply.lifetime;
    if (inTime)
        account.bucket.credit(reply.amount, now);
    const LoanClosure closure { reply.id, key.workspace, transfer.share, inTime ? Amounts {} : reply.amount, 0 };
    m_actions.emplace_back(SendLoanMessage { transfer.to, LoanClosures { m_options.self.host, { closure } } });
}

std::optional<MonotonicTime> BudgetLender::nextDeadline(MonotonicTime now) const
{
    auto earliest = m_claims.nextDeadline(now);
    const auto consider = [&](MonotonicTime other) { earliest = std::min(earliest.value_or(other), other); };
    for (const auto& [key, account] : m_accounts) {
        if (account.pendingRaise)
            consider(account.pendingRaise->from);
        if (account.transfer)
            consider(account.transfer->timeoutAt);
    }
    return earliest;
}

nlohmann::json BudgetLender::dump(MonotonicTime now) const
{
    auto accounts = nlohmann::json::array();
    for (const auto& [key, account] : m_accounts) {
        auto entry = account.bucket.dump();
        entry["workspace"] = key.workspace.value();
        entry["share"] = key.share;
        entry["shard"] = account.shard.number;
        entry["raise_pending"] = account.pendingRaise.has_value();
        accounts.push_back(std::move(entry));
    }
    return { { "claims", m_claims.dump(now) }, { "accounts", std::move(accounts) } };
}

} // namespace hornbeamgate
