#pragma once

#include "hornbeamgate/rates/loan_messages.hpp"

#include <map>

namespace hornbeamgate {

/// Loan as recorded by the borrower.
struct HeldLoan {
    LoanId id;
    std::uint32_t share = 0;
    HostId home;
    Amounts amount;
    MonotonicTime returnAt; ///< from then on unspent tokens are returned, so that they do not expire
    MonotonicTime deadline; ///< from then on nothing of the loan is spent
};

/// Loan that has ended at the borrower, or a refund from a loan that had already ended.
struct EndedLoan {
    HostId home;
    std::uint32_t share = 0;
    LoanId id;
    Amounts amount; ///< amount originally lent
    Amounts returned;
    std::int64_t unsettledTokens = 0; ///< reserved by requests that are still running
    bool isRefund = false; ///< whether the loan had already ended
};

/// Loans that one process holds for one workspace, the reservations made from them, and the token debt.
///
/// A request reserves its estimated tokens. When it is settled, unused tokens return to the loan, or to the lender if the
/// loan has ended. Tokens used beyond the reservation become debt, which is paid before anything else is reserved.
class LoanPool {
public:
    /// Adds a loan unless its deadline has passed. Debt is paid from it first.
    void add(HeldLoan loan, MonotonicTime now);

    /// Reserves `need` for `request` if unexpired loans cover it and there is no debt.
    bool reserve(RequestId request, const Amounts& need, MonotonicTime now);

    /// Settles the reservation of a request that used `usedTokens`. Unknown requests are ignored.
    void settle(RequestId request, std::int64_t usedTokens, MonotonicTime now);

    /// Removes and returns loans that are spent or due for return, together with late refunds. Tokens are debited here
    /// before they are returned to the lender.
    std::vector<EndedLoan> takeEndedLoans(MonotonicTime now);

    Amounts remaining(MonotonicTime now) const;
    std::int64_t debt() const { return m_debt; }
    std::size_t openLoans() const { return m_loans.size(); }
    std::size_t openReservations() const { return m_reservations.size(); }
    std::optional<MonotonicTime> nextDeadline() const;

private:
    struct Loan {
        HeldLoan held;
        Amounts remaining;
        std::size_t unsettled = 0; // number of unsettled reservations
        std::int64_t unsettledTokens = 0;
    };
    struct UnsettledLoan { // ended while requests that reserved from it are still running
        HeldLoan held;
        std::size_t unsettled = 0;
        std::int64_t unused = 0;
    };
    struct ReservationPart {
        LoanId loan;
        std::int64_t tokens = 0;
    };
    struct Reservation {
        std::int64_t tokens = 0;
        std::vector<ReservationPart> parts;
    };

    void endLoans(MonotonicTime now);
    void settlePart(const ReservationPart& part, std::int64_t unused);
    void payDebt(MonotonicTime now);

    std::vector<Loan> m_loans; // sorted by deadline
    std::map<LoanId, UnsettledLoan> m_unsettled;
    std::vector<EndedLoan> m_ended;
    std::map<RequestId, Reservation> m_reservations;
    std::int64_t m_debt = 0;
};

} // namespace hornbeamgate
