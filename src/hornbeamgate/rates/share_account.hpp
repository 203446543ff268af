#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/config/rule_set.hpp"
#include "hornbeamgate/rates/amounts.hpp"
#include "hornbeamgate/rates/budget_timing.hpp"
#include "hornbeamgate/rates/refund_window.hpp"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <vector>

namespace hornbeamgate {

/// Limits of one share of a workspace's budget.
struct ShareLimits {
    RateLimit requests;
    RateLimit tokens;

    bool operator==(const ShareLimits&) const = default;
};

/// Terms of a loan from one account.
struct LoanTerms {
    Amounts minimum; ///< a smaller loan is useless to the borrower
    Amounts wanted;
    Amounts lenderReserve; ///< must stay with the lender
    std::int64_t extraDivisor = 1; ///< beyond the minimum, lends at most the remainder divided by this
};

/// Loan as granted by the lender.
struct Loan {
    LoanId id;
    Amounts amount;
    Duration lifetime {}; ///< measured by the borrower from before its request
};

/// Token bucket of one share, including its outstanding loans.
///
/// The level plus unexpired loans never exceeds the burst, and refilling never exceeds the rate, as long as the rate
/// error of the local clock is within its bound. A loan expires later at the lender than at any borrower.
class ShareAccount {
public:
    /// Creates an account without tokens. Loans of unknown predecessors are assumed to take up the burst until they must
    /// have expired.
    static ShareAccount createEmpty(const ShareLimits& limits, const BudgetTiming& timing, MonotonicTime now);

    /// Creates an account from the `level` and `lent` that a predecessor recorded when it released its claim.
    static ShareAccount createFromReleased(const ShareLimits& limits, const BudgetTiming& timing, const Amounts& level,
        const Amounts& lent, MonotonicTime now);

    /// Lends between the minimum and the wanted amount, or nothing.
    std::optional<Loan> lend(LoanId id, const HostId& borrower, const LoanTerms& terms, MonotonicTime now);

    /// Closes a loan early and credits `returned`. A second call without unsettled tokens may return up to
    /// `unsettledTokens`, also after the loan has expired. Loans that are unknown or of another borrower are ignored.
    void close(const LoanId& id, const HostId& borrower, const Amounts& returned, std::int64_t unsettledTokens,
        MonotonicTime now);

    /// Credits an amount transferred from another share. Whatever exceeds the burst is discarded.
    void credit(const Amounts& amount, MonotonicTime now);

    /// Applies limits immediately. The caller must delay raised limits.
    void setLimits(const ShareLimits& limits, MonotonicTime now);

    /// Empties the account and returns its previous level in whole units.
    Amounts drain(MonotonicTime now);

    /// Returns the time until the level covers `need` if nothing else is lent, or nullopt if it never will.
    std::optional<Duration> timeUntilCovered(const Amounts& need, MonotonicTime now);

    Amounts available(MonotonicTime now); ///< whole units that can be lent
    Amounts lent(MonotonicTime now); ///< total of unexpired loans, rounded up
    const ShareLimits& limits() const { return m_limits; }
    std::size_t openLoans() const { return m_loans.size(); }
    Duration loanLifetime() const;
    nlohmann::json dump() const;

private:
    struct Level {
        double requests = 0;
        double tokens = 0;
    };
    struct OpenLoan {
        LoanId id;
        HostId borrower;
        Level amount;
        MonotonicTime deadline;
    };

    ShareAccount(const ShareLimits& limits, const BudgetTiming& timing, MonotonicTime now);

    void advanceTo(MonotonicTime now);
    void refillUntil(MonotonicTime now);
    void capLevel();
    void addLoan(OpenLoan loan);
    void removeLoan(std::size_t index);
    void refund(const LoanId& id, const HostId& borrower, std::int64_t tokens);
    double tokenHeadroom() const;

    ShareLimits m_limits;
    BudgetTiming m_timing;
    Level m_level;
    Level m_lent;
    std::vector<OpenLoan> m_loans; // sorted by deadline
    RefundWindow m_refunds;
    MonotonicTime m_refilledUntil;
};

} // namespace hornbeamgate
