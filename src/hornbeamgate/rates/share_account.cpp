#include "hornbeamgate/rates/share_account.hpp"

#include <nlohmann/json.hpp>

#include <cmath>

namespace hornbeamgate {

namespace {

    constexpr std::size_t kMaxOpenLoans = 1024;
    constexpr Duration kMinLoanLifetime = std::chrono::milliseconds(500);
    constexpr double kUnitTolerance = 1e-9;

    std::int64_t wholeUnits(double level)
    {
        return level <= 0 ? 0 : static_cast<std::int64_t>(std::floor(level + kUnitTolerance));
    }

    std::int64_t grantFor(std::int64_t free, std::int64_t minimum, std::int64_t wanted, std::int64_t divisor)
    {
        const auto extra = std::min(wanted - minimum, (free - minimum) / divisor);
        return minimum + std::max<std::int64_t>(extra, 0);
    }

    double secondsToRefill(const RateLimit& limit)
    {
        return limit.perSecond > 0 ? limit.burst / limit.perSecond : INFINITY;
    }

    std::optional<double> secondsUntil(const RateLimit& limit, double level, std::int64_t need)
    {
        const double missing = static_cast<double>(need) - level;
        if (missing <= 0)
            return 0.0;
        if (static_cast<double>(need) > limit.burst || limit.perSecond <= 0)
            return std::nullopt;
        return missing / limit.perSecond;
    }

} // namespace

ShareAccount::ShareAccount(const ShareLimits& limits, const BudgetTiming& timing, MonotonicTime now)
    : m_limits(limits)
    , m_timing(timing)
    , m_refilledUntil(now)
{
}

ShareAccount ShareAccount::createEmpty(const ShareLimits& limits, const BudgetTiming& timing, MonotonicTime now)
{
    ShareAccount account(limits, timing, now);
    const auto deadline = now + timing.withDriftMargin(timing.maxLoanLifetime);
    account.addLoan({ {}, {}, { limits.requests.burst, limits.tokens.burst }, deadline });
    return account;
}

ShareAccount ShareAccount::createFromReleased(const ShareLimits& limits, const BudgetTiming& timing, const Amounts& level,
    const Amounts& lent, MonotonicTime now)
{
    ShareAccount account(limits, timing, now);
    const auto deadline = now + timing.withDriftMargin(timing.maxLoanLifetime);
    const Level open { static_cast<double>(lent.requests), static_cast<double>(lent.tokens) };
    account.addLoan({ {}, {}, open, deadline });
    account.m_level = { static_cast<double>(level.requests), static_cast<double>(level.tokens) };
    account.capLevel();
    return account;
}

Duration ShareAccount::loanLifetime() const
{
    const double seconds = std::min(secondsToRefill(m_limits.requests), secondsToRefill(m_limits.tokens)) / 2;
    const std::chrono::duration<double> longest(m_timing.maxLoanLifetime);
    if (seconds >= longest.count())
        return m_timing.maxLoanLifetime;
    const auto lifetime = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    return std::min(std::max(lifetime, kMinLoanLifetime), m_timing.maxLoanLifetime);
}

void ShareAccount::addLoan(OpenLoan loan)
{
    m_lent.requests += loan.amount.requests;
    m_lent.tokens += loan.amount.tokens;
    const auto later = [](MonotonicTime deadline, const OpenLoan& other) { return deadline < other.deadline; };
    m_loans.insert(std::upper_bound(m_loans.begin(), m_loans.end(), loan.deadline, later), std::move(loan));
}

void ShareAccount::removeLoan(std::size_t index)
{
    m_lent.requests -= m_loans[index].amount.requests;
    m_lent.tokens -= m_loans[index].amount.tokens;
    m_loans.erase(m_loans.begin() + static_cast<std::ptrdiff_t>(index));
    if (m_loans.empty())
        m_lent = {};
}

double ShareAccount::tokenHeadroom() const
{
    return m_limits.tokens.burst - m_level.tokens - m_lent.tokens;
}

void ShareAccount::capLevel()
{
    m_level.requests = std::min(m_level.requests, std::max(0.0, m_limits.requests.burst - m_lent.requests));
    m_level.tokens = std::min(m_level.tokens, std::max(0.0, m_limits.tokens.burst - m_lent.tokens));
    m_refunds.observeHeadroom(tokenHeadroom());
}

void ShareAccount::refillUntil(MonotonicTime now)
{
    if (now <= m_refilledUntil)
        return;
    const std::chrono::duration<double> elapsed = now - m_refilledUntil;
    const double seconds = elapsed.count() * (1 - m_timing.maxClockDrift);
    m_level.requests += m_limits.requests.perSecond * seconds;
    m_level.tokens += m_limits.tokens.perSecond * seconds;
    m_refilledUntil = now;
    capLevel();
}

void ShareAccount::advanceTo(MonotonicTime now)
{
    while (!m_loans.empty() && m_loans.front().deadline <= now) {
        const auto expired = m_loans.front();
        refillUntil(expired.deadline);
        removeLoan(0);
        if (!expired.borrower.empty() && expired.amount.tokens > 0)
            m_refunds.add(expired.id, expired.borrower, expired.amount.tokens, tokenHeadroom(), expired.deadline);
    }
    refillUntil(now);
}

std::optional<Loan> ShareAccount::lend(LoanId id, const HostId& borrower, const LoanTerms& terms, MonotonicTime now)
{
    const auto free = available(now) - terms.lenderReserve;
    const auto& minimum = terms.minimum;
    if (!free.covers(minimum) || m_loans.size() >= kMaxOpenLoans)
        return std::nullopt;
    const Amounts grant { grantFor(free.requests, minimum.requests, terms.wanted.requests, terms.extraDivisor),
        grantFor(free.tokens, minimum.tokens, terms.wanted.tokens, terms.extraDivisor) };
    if (grant.isZero())
        return std::nullopt;
    const Level amount { static_cast<double>(grant.requests), static_cast<double>(grant.tokens) };
    m_level.requests -= amount.requests;
    m_level.tokens -= amount.tokens;
    const auto lifetime = loanLifetime();
    addLoan({ id, borrower, amount, now + m_timing.withDriftMargin(lifetime) });
    return Loan { id, grant, lifetime };
}

void ShareAccount::close(const LoanId& id, const HostId& borrower, const Amounts& returned,
    std::int64_t unsettledTokens, MonotonicTime now)
{
    advanceTo(now);
    if (borrower.empty())
        return;
    const auto matches = [&](const OpenLoan& loan) { return loan.id == id && loan.borrower == borrower; };
    const auto found = std::find_if(m_loans.begin(), m_loans.end(), matches);
    if (found == m_loans.end()) {
        if (unsettledTokens == 0)
            refund(id, borrower, returned.tokens);
        return;
    }
    const auto amount = found->amount;
    removeLoan(static_cast<std::size_t>(found - m_loans.begin()));
    const auto bounded = [](std::int64_t value, double most) { return std::clamp(static_cast<double>(value), 0.0, most); };
    const double backTokens = bounded(returned.tokens, amount.tokens);
    m_level.requests += bounded(returned.requests, amount.requests);
    m_level.tokens += backTokens;
    capLevel();
    if (unsettledTokens > 0)
        m_refunds.add(id, borrower, bounded(unsettledTokens, amount.tokens - backTokens), tokenHeadroom(), now);
}

void ShareAccount::refund(const LoanId& id, const HostId& borrower, std::int64_t tokens)
{
    m_level.tokens += m_refunds.acceptRefund(id, borrower, static_cast<double>(tokens));
    capLevel();
}

void ShareAccount::credit(const Amounts& amount, MonotonicTime now)
{
    advanceTo(now);
    m_level.requests += static_cast<double>(amount.requests);
    m_level.tokens += static_cast<double>(amount.tokens);
    capLevel();
}

void ShareAccount::setLimits(const ShareLimits& limits, MonotonicTime now)
{
    advanceTo(now);
    m_limits = limits;
    capLevel();
}

Amounts ShareAccount::drain(MonotonicTime now)
{
    const auto level = available(now);
    m_level = {};
    return level;
}

std::optional<Duration> ShareAccount::timeUntilCovered(const Amounts& need, MonotonicTime now)
{
    advanceTo(now);
    const auto requests = secondsUntil(m_limits.requests, m_level.requests, need.requests);
    const auto tokens = secondsUntil(m_limits.tokens, m_level.tokens, need.tokens);
    if (!requests || !tokens)
        return std::nullopt;
    constexpr double kLongestWaitSeconds = 86400;
    const auto seconds = std::min(std::max(*requests, *tokens), kLongestWaitSeconds);
    return std::chrono::ceil<std::chrono::milliseconds>(std::chrono::duration<double>(seconds));
}

Amounts ShareAccount::available(MonotonicTime now)
{
    advanceTo(now);
    return { wholeUnits(m_level.requests), wholeUnits(m_level.tokens) };
}

Amounts ShareAccount::lent(MonotonicTime now)
{
    advanceTo(now);
    return { static_cast<std::int64_t>(std::ceil(m_lent.requests)), static_cast<std::int64_t>(std::ceil(m_lent.tokens)) };
}

nlohmann::json ShareAccount::dump() const
{
    return { { "level_requests", m_level.requests }, { "level_tokens", m_level.tokens },
        { "lent_requests", m_lent.requests }, { "lent_tokens", m_lent.tokens }, { "open_loans", m_loans.size() },
        { "refundable_loans", m_refunds.size() },
        { "rate_requests", m_limits.requests.perSecond }, { "burst_requests", m_limits.requests.burst },
        { "rate_tokens", m_limits.tokens.perSecond }, { "burst_tokens", m_limits.tokens.burst } };
}

} // namespace hornbeamgate
