#pragma once

#include "hornbeamgate/rates/loan_messages.hpp"

#include <map>

namespace hornbeamgate {

/// Loan as the borrower holds it.
struct HeldLoan {
    LoanId id;
    std::uint32_t share = 0;
    HostId home;
    Amounts amount;
    MonotonicTime returnAt; ///< unspent tokens go back from here on, so that they do not lapse
    MonotonicTime deadline; ///< nothing of the loan is spent from here on
};

/// Loan that has ended on the borrower's side, or what came back of it after it had.
struct EndedLoan {
    HostId home;
    std::uint32_t share = 0;
    LoanId id;
    Amounts amount; ///< as it was lent
    Amounts returned;
    std::int64_t unsettledTokens = 0; ///< reserved by requests that still run
    bool isRefund = false; ///< whether the loan had ended before
};

/// Loans that one process holds for one workspace, the reservations made from them, and its debt.
///
/// A request reserves an estimate of its tokens. When it settles, what it did not use goes back to the loan, or to the
/// lender when the loan has ended; what it used beyond its reservation is debt, which is paid before anything is spent.
class LoanPool {
public:
    /// Adds a loan unless its deadline has passed. Debt is paid from it first.
    void add(HeldLoan loan, MonotonicTime now);

    /// Reserves `need` for `request` if unexpired loans cover it and no debt is left.
    bool reserve(RequestId request, const Amounts& need, MonotonicTime now);

    /// Ends a reservation that used `usedTokens`. Ignores unknown requests.
    void settle(RequestId request, std::int64_t usedTokens, MonotonicTime now);

    /// Removes loans that are spent or whose time to return has come, and returns them together with late refunds.
    /// Tokens are debited here before they are returned.
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
        std::size_t unsettled = 0; // reservations
        std::int64_t unsettledTokens = 0;
    };
    struct UnsettledLoan { // has ended, but requests that reserved from it still run
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

    std::vector<Loan> m_loans; // by deadline
    std::map<LoanId, UnsettledLoan> m_unsettled;
    std::vector<EndedLoan> m_ended;
    std::map<RequestId, Reservation> m_reservations;
    std::int64_t m_debt = 0;
};

} // namespace hornbeamgate
