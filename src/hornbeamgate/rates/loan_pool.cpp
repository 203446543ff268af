#include "hornbeamgate/rates/loan_pool.hpp"

namespace hornbeamgate {

void LoanPool::add(HeldLoan loan, MonotonicTime now)
{
    if (now >= loan.deadline)
        return;
    const auto earlier = [](MonotonicTime deadline, const Loan& other) { return deadline < other.held.deadline; };
    const auto position = std::upper_bound(m_loans.begin(), m_loans.end(), loan.deadline, earlier);
    const auto amount = loan.amount;
    m_loans.insert(position, { std::move(loan), amount, 0, 0 });
    payDebt(now);
}

Amounts LoanPool::remaining(MonotonicTime now) const
{
    Amounts sum;
    for (const auto& loan : m_loans) {
        if (now < loan.held.deadline)
            sum += loan.remaining;
    }
    return sum;
}

bool LoanPool::reserve(RequestId request, const Amounts& need, MonotonicTime now)
{
    if (m_debt > 0 || !remaining(now).covers(need) || m_reservations.contains(request))
        return false;
    Reservation reservation { need.tokens, {} };
    auto missing = need;
    for (auto& loan : m_loans) {
        if (now >= loan.held.deadline)
            continue;
        const auto taken = elementwiseMin(loan.remaining, missing);
        if (taken.isZero())
            continue;
        loan.remaining -= taken;
        missing -= taken;
        ++loan.unsettled;
        loan.unsettledTokens += taken.tokens;
        reservation.parts.push_back({ loan.held.id, taken.tokens });
    }
    m_reservations.emplace(request, std::move(reservation));
    return true;
}

void LoanPool::settlePart(const ReservationPart& part, std::int64_t unused)
{
    const auto matches = [&](const Loan& loan) { return loan.held.id == part.loan; };
    const auto open = std::find_if(m_loans.begin(), m_loans.end(), matches);
    if (open != m_loans.end()) {
        --open->unsettled;
        open->unsettledTokens -= part.tokens;
        open->remaining.tokens += unused;
        return;
    }
    const auto ended = m_unsettled.find(part.loan);
    if (ended == m_unsettled.end())
        return;
    auto& loan = ended->second;
    loan.unused += unused;
    if (--loan.unsettled > 0)
        return;
    if (loan.unused > 0)
        m_ended.push_back({ loan.held.home, loan.held.share, part.loan, loan.held.amount, { 0, loan.unused }, 0, true });
    m_unsettled.erase(ended);
}

void LoanPool::settle(RequestId request, std::int64_t usedTokens, MonotonicTime now)
{
    const auto found = m_reservations.find(request);
    if (found == m_reservations.end())
        return;
    endLoans(now);
    const auto reservation = std::move(found->second);
    m_reservations.erase(found);
    auto unused = std::max<std::int64_t>(reservation.tokens - usedTokens, 0);
    for (const auto& part : reservation.parts) {
        const auto back = std::min(part.tokens, unused);
        unused -= back;
        settlePart(part, back);
    }
    m_debt += std::max<std::int64_t>(usedTokens - reservation.tokens, 0);
    payDebt(now);
}

void LoanPool::payDebt(MonotonicTime now)
{
    for (auto& loan : m_loans) {
        if (now >= loan.held.deadline)
            continue;
        const auto paid = std::min(loan.remaining.tokens, m_debt);
        loan.remaining.tokens -= paid;
        m_debt -= paid;
    }
}

void LoanPool::endLoans(MonotonicTime now)
{
    const auto ends = [&](const Loan& loan) {
        if (!loan.remaining.isZero() && now < loan.held.returnAt)
            return false;
        const auto& held = loan.held;
        const auto returned = now < held.deadline ? loan.remaining : Amounts {};
        m_ended.push_back({ held.home, held.share, held.id, held.amount, returned, loan.unsettledTokens, false });
        if (loan.unsettledTokens > 0)
            m_unsettled.emplace(held.id, UnsettledLoan { held, loan.unsettled, 0 });
        return true;
    };
    std::erase_if(m_loans, ends);
}

std::vector<EndedLoan> LoanPool::takeEndedLoans(MonotonicTime now)
{
    endLoans(now);
    return std::exchange(m_ended, {});
}

std::optional<MonotonicTime> LoanPool::nextDeadline() const
{
    std::optional<MonotonicTime> earliest;
    for (const auto& loan : m_loans) {
        if (!earliest || loan.held.returnAt < *earliest)
            earliest = loan.held.returnAt;
    }
    return earliest;
}

} // namespace hornbeamgate
