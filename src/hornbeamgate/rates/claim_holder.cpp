#include "hornbeamgate/rates/claim_holder.hpp"

#include "hornbeamgate/base/hash.hpp"

#include <nlohmann/json.hpp>

namespace hornbeamgate {

namespace {

    constexpr std::size_t kMaxTrackedAppends = 32;
    constexpr int kRenewalsPerLifetime = 3;
    constexpr Duration kAppendRefusedRetry = std::chrono::seconds(1);

} // namespace

ClaimHolder::ClaimHolder(ClaimOptions options)
    : m_options(std::move(options))
{
}

Result<ClaimHolder, BudgetError> ClaimHolder::create(ClaimOptions options)
{
    if (options.self.host.empty() || options.self.address.empty() || options.region.empty())
        return failure(BudgetError { "a claim holder requires a host, an address and a region" });
    if (options.shardsPerRegion == 0 || options.sharesPerRegion == 0)
        return failure(BudgetError { "shards and shares per region must be positive" });
    if (options.timing.claimLifetime % std::chrono::seconds(1) != Duration::zero())
        return failure(BudgetError { "the claim lifetime must be a whole number of seconds" });
    return ClaimHolder(std::move(options));
}

void ClaimHolder::setLiveHosts(std::vector<HostId> hosts)
{
    m_liveHosts = std::move(hosts);
}

std::vector<ClaimAction> ClaimHolder::handle(const LogReadEvent& event, MonotonicTime now)
{
    std::vector<ClaimAction> actions;
    if (const auto* trimmed = std::get_if<LogTrimmed>(&event)) {
        m_ledger.skipTo(trimmed->first, now);
        while (!m_held.empty())
            dropShard(ShardId(m_held.begin()->first), actions);
        return actions;
    }
    if (const auto* restarted = std::get_if<LogRestarted>(&event)) {
        // Nobody else claims a shard before the claim of its holder has expired, so this process keeps what it holds.
        m_ledger.restartAt(restarted->first, now);
        m_pending.reset();
        return actions;
    }
    const auto* read = std::get_if<LogRecordsRead>(&event);
    if (read == nullptr)
        return actions;
    if (!std::exchange(m_hasRead, true))
        m_firstReadAt = now;
    for (const auto& change : m_ledger.apply(*read, now))
        applyChange(change, actions);
    appendDueRecord(now, actions);
    return actions;
}

std::vector<ClaimAction> ClaimHolder::handle(const AppendEvent& event, MonotonicTime now)
{
    std::vector<ClaimAction> actions;
    const auto ticket = std::visit([](const auto& outcome) { return outcome.ticket; }, event);
    if (!m_pending || m_pending->ticket != ticket)
        return actions;
    if (std::holds_alternative<AppendRefused>(event))
        m_pending->retryAt = now + kAppendRefusedRetry;
    if (const auto* success = std::get_if<AppendSucceeded>(&event))
        m_pending->offset = success->offset;
    appendDueRecord(now, actions);
    return actions;
}

std::vector<ClaimAction> ClaimHolder::handle(const BudgetTimerExpired& /*event*/, MonotonicTime now)
{
    std::vector<ClaimAction> actions;
    appendDueRecord(now, actions);
    return actions;
}

std::vector<ClaimAction> ClaimHolder::release(std::vector<ReleasedAccount> accounts, MonotonicTime now)
{
    std::vector<ClaimAction> actions;
    m_shuttingDown = true;
    m_releasedAccounts = std::move(accounts);
    m_held.clear();
    m_pending.reset();
    appendDueRecord(now, actions);
    return actions;
}

void ClaimHolder::applyChange(const ClaimChange& change, std::vector<ClaimAction>& actions)
{
    const auto& claim = change.after;
    const std::optional<HostId> home = claim.released ? std::nullopt : std::optional(claim.holder.host);
    actions.emplace_back(ShardHomeChanged { change.shard, home });
    if (claim.holder == m_options.self) {
        m_pending.reset();
        return applyOwnClaim(change, actions);
    }
    dropShard(change.shard, actions);
}

void ClaimHolder::applyOwnClaim(const ClaimChange& change, std::vector<ClaimAction>& actions)
{
    const auto& claim = change.after;
    if (claim.released || !claim.certain || m_shuttingDown)
        return;
    const auto started = m_appendStartedAt.find(claim.sequence);
    const auto deadline = started == m_appendStartedAt.end() ? claim.readAt : started->second + claim.lifetime;
    const auto [held, acquired] = m_held.try_emplace(change.shard, deadline);
    held->second = std::max(held->second, deadline);
    if (!acquired)
        return;
    const bool continued = change.before && change.before->released && change.before->certain;
    actions.emplace_back(
        ShardAcquired { change.shard, continued ? change.before->accounts : std::vector<ReleasedAccount> {} });
}

void ClaimHolder::dropShard(const ShardId& shard, std::vector<ClaimAction>& actions)
{
    if (m_held.erase(shard) > 0)
        actions.emplace_back(ShardLost { shard });
}

bool ClaimHolder::isOwn(const ShardId& shard) const
{
    const auto* claim = m_ledger.find(shard);
    return claim != nullptr && !claim->released && claim->holder == m_options.self;
}

std::vector<std::uint32_t> ClaimHolder::ownShards() const
{
    std::vector<std::uint32_t> numbers;
    for (std::uint32_t number = 0; number < m_options.shardsPerRegion; ++number) {
        const ShardId shard { m_options.region, number };
        if (isOwn(shard) && (m_shuttingDown || m_held.contains(shard)))
            numbers.push_back(number);
    }
    return numbers;
}

bool ClaimHolder::isRenewalDue(MonotonicTime now) const
{
    const auto renewalLead = m_options.timing.claimLifetime - m_options.timing.claimLifetime / kRenewalsPerLifetime;
    const auto due = [&](const auto& held) { return isOwn(held.first) && held.second - renewalLead <= now; };
    return std::any_of(m_held.begin(), m_held.end(), due);
}

std::optional<MonotonicTime> ClaimHolder::claimableFrom(const ShardId& shard, MonotonicTime now) const
{
    const auto& timing = m_options.timing;
    const auto* claim = m_ledger.find(shard);
    if (claim == nullptr) {
        // The log has lost the claim of a shard that is still held.
        if (m_held.contains(shard) && now < m_held.at(shard))
            return now;
        const auto gap = m_ledger.gapReadAt();
        return gap ? *gap + timing.withDriftMargin(timing.claimLifetime) : m_firstReadAt;
    }
    if (isOwn(shard) && m_held.contains(shard))
        return std::nullopt;
    if (claim->certain && claim->released)
        return claim->readAt;
    const bool sameAddress = claim->holder.address == m_options.self.address;
    if (claim->certain && sameAddress && claim->holder.incarnation != m_options.self.incarnation)
        return claim->readAt;
    return claim->readAt + timing.withDriftMargin(claim->lifetime);
}

std::optional<MonotonicTime> ClaimHolder::nextClaimTime(const ShardId& shard, MonotonicTime now) const
{
    const auto open = claimableFrom(shard, now);
    const auto* claim = m_ledger.find(shard);
    const bool isHeld = claim == nullptr && holds(shard, now);
    const bool own = isHeld || (claim != nullptr && claim->holder.address == m_options.self.address && !claim->released);
    if (!open || own || now < *open)
        return open;
    return *open + m_options.rankDelay * static_cast<std::int64_t>(claimRank(shard));
}

std::size_t ClaimHolder::claimRank(const ShardId& shard) const
{
    const auto key = stableHash(shard.region.value(), shard.number / m_options.sharesPerRegion);
    const auto own = rendezvousScore(m_options.self.host.value(), key);
    const auto ahead = [&](const HostId& host) {
        return host != m_options.self.host && rendezvousScore(host.value(), key) > own;
    };
    const auto position = std::count_if(m_liveHosts.begin(), m_liveHosts.end(), ahead);
    const auto hosts = std::max<std::size_t>(m_liveHosts.size(), 1);
    const auto rotation = shard.number % m_options.sharesPerRegion % hosts;
    return (static_cast<std::size_t>(position) + hosts - rotation) % hosts;
}

void ClaimHolder::dropLapsedShards(MonotonicTime now, std::vector<ClaimAction>& actions)
{
    for (const auto& shard : heldShards()) {
        if (m_ledger.find(shard) == nullptr && !holds(shard, now))
            dropShard(shard, actions);
    }
}

void ClaimHolder::appendDueRecord(MonotonicTime now, std::vector<ClaimAction>& actions)
{
    dropLapsedShards(now, actions);
    if (m_pending && m_pending->offset && *m_pending->offset < m_ledger.position())
        m_pending.reset();
    if (!m_ledger.isCaughtUp() || (m_pending && now < m_pending->retryAt))
        return;
    if (m_shuttingDown)
        return append(ClaimKind::Release, ownShards(), now, actions);
    std::vector<std::uint32_t> shards;
    if (isRenewalDue(now))
        shards = ownShards();
    for (std::uint32_t number = 0; number < m_options.shardsPerRegion; ++number) {
        const auto at = nextClaimTime({ m_options.region, number }, now);
        if (at && *at <= now)
            shards.push_back(number);
    }
    append(ClaimKind::Hold, std::move(shards), now, actions);
}

void ClaimHolder::append(
    ClaimKind kind, std::vector<std::uint32_t> shards, MonotonicTime now, std::vector<ClaimAction>& actions)
{
    if (shards.empty()) {
        m_pending.reset();
        return;
    }
    ClaimRecord record;
    record.holder = m_options.self;
    record.sequence = m_nextSequence++;
    record.region = m_options.region;
    record.kind = kind;
    record.readTo = m_ledger.position();
    record.lifetime = std::chrono::duration_cast<std::chrono::seconds>(m_options.timing.claimLifetime);
    record.shards = std::move(shards);
    if (kind == ClaimKind::Release)
        record.accounts = m_releasedAccounts;
    m_appendStartedAt[record.sequence] = now;
    if (m_appendStartedAt.size() > kMaxTrackedAppends)
        m_appendStartedAt.erase(m_appendStartedAt.begin());
    const AppendTicket ticket(record.sequence);
    m_pending = PendingAppend { ticket, now + m_options.appendTimeout, std::nullopt };
    actions.emplace_back(AppendRecord { ticket, std::string(kClaimStream), encodeClaimRecord(record) });
}

bool ClaimHolder::holds(const ShardId& shard, MonotonicTime now) const
{
    const auto held = m_held.find(shard);
    return held != m_held.end() && now < held->second;
}

std::vector<ShardId> ClaimHolder::heldShards() const
{
    std::vector<ShardId> shards;
    shards.reserve(m_held.size());
    for (const auto& [shard, deadline] : m_held)
        shards.push_back(shard);
    return shards;
}

bool ClaimHolder::isReleased() const
{
    return m_held.empty() && ownShards().empty();
}

std::optional<MonotonicTime> ClaimHolder::nextDeadline(MonotonicTime now) const
{
    if (m_pending)
        return m_pending->retryAt;
    if (!m_ledger.isCaughtUp() || m_shuttingDown)
        return std::nullopt;
    std::optional<MonotonicTime> earliest;
    const auto consider = [&](MonotonicTime other) { earliest = std::min(earliest.value_or(other), other); };
    const auto renewalLead = m_options.timing.claimLifetime - m_options.timing.claimLifetime / kRenewalsPerLifetime;
    for (const auto& [shard, deadline] : m_held)
        consider(deadline - renewalLead);
    for (std::uint32_t number = 0; number < m_options.shardsPerRegion; ++number) {
        if (const auto at = nextClaimTime({ m_options.region, number }, now))
            consider(*at);
    }
    return earliest;
}

nlohmann::json ClaimHolder::dump(MonotonicTime now) const
{
    auto held = nlohmann::json::array();
    for (const auto& [shard, deadline] : m_held) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
        held.push_back({ { "shard", shard.number }, { "lapses_in_ms", left.count() } });
    }
    return { { "held", std::move(held) }, { "appending", m_pending.has_value() }, { "leaving", m_shuttingDown },
        { "ledger", m_ledger.dump() } };
}

} // namespace hornbeamgate
