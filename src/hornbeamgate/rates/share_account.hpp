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

/// What a borrower asks of one account.
struct LoanTerms {
    Amounts minimum; ///< less is of no use
    Amounts wanted;
    Amounts lenderReserve; ///< stays with the lender
    std::int64_t extraDivisor = 1; ///< at most this fraction of what is left is lent beyond the minimum
};

/// Loan as the lender granted it.
struct Loan {
    LoanId id;
    Amounts amount;
    Duration lifetime {}; ///< counted by the borrower from before it asked
};

/// Token bucket of one share, together with what it has lent.
///
/// Level and unexpired loans never exceed the burst together, and minting never exceeds the rate, whatever the rate
/// error of the local clock within its bound. A lender counts a loan's deadline later than any borrower does.
class ShareAccount {
public:
    /// Account without tokens. Loans of unknown predecessors are assumed to fill the burst until they have surely lapsed.
    static ShareAccount createEmpty(const ShareLimits& limits, const BudgetTiming& timing, MonotonicTime now);

    /// Account that continues with the `level` that a predecessor recorded when it released its claim.
    static ShareAccount createFromReleased(const ShareLimits& limits, const BudgetTiming& timing, const Amounts& level,
        const Amounts& lent, MonotonicTime now);

    /// Lends from the minimum to what is wanted, or nothing.
    std::optional<Loan> lend(LoanId id, const HostId& borrower, const LoanTerms& terms, MonotonicTime now);

    /// Ends a loan early and takes `returned` back. Up to `unsettledTokens` may come back by a second call with none
    /// unsettled, also after the loan has lapsed. Ignores loans that are unknown or of another borrower.
    void close(const LoanId& id, const HostId& borrower, const Amounts& returned, std::int64_t unsettledTokens,
        MonotonicTime now);

    /// Adds tokens that another share transferred here. What exceeds the burst is lost.
    void credit(const Amounts& amount, MonotonicTime now);

    /// Reduces limits at once; the caller delays raised limits.
    void setLimits(const ShareLimits& limits, MonotonicTime now);

    /// Takes all tokens out of the account and returns whole units of them.
    Amounts drain(MonotonicTime now);

    /// Time until the level covers `need` when nothing else is lent, or nothing when it never will.
    std::optional<Duration> timeUntilCovered(const Amounts& need, MonotonicTime now);

    Amounts available(MonotonicTime now); ///< whole units that can be lent
    Amounts lent(MonotonicTime now); ///< unexpired loans, rounded up
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
    std::vector<OpenLoan> m_loans; // by deadline
    RefundWindow m_refunds;
    MonotonicTime m_refilledUntil;
};

} // namespace hornbeamgate
