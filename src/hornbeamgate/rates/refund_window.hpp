#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/time.hpp"

#include <deque>
#include <map>

namespace hornbeamgate {

/// Identifies a loan across all lenders. A restarted lender has a new incarnation, so numbers never collide.
struct LoanId {
    Incarnation lender;
    std::uint64_t number = 0;

    auto operator<=>(const LoanId&) const = default;
};

/// Token loans that have ended at the lender while requests that reserved from them are still running.
///
/// Tokens that such a request did not use may still be refunded, up to the smallest headroom of the account since the
/// loan ended. The limits then hold in every time window as if the loan had stayed open until the refund.
class RefundWindow {
public:
    /// Records a loan that has ended. `currentHeadroom` is the burst of the account minus its level and its open loans.
    void add(const LoanId& id, const HostId& borrower, double tokens, double currentHeadroom, MonotonicTime now);

    /// Updates the smallest headroom. Must be called whenever the headroom has decreased.
    void observeHeadroom(double currentHeadroom);

    /// Removes a loan of which `returned` tokens were not used. Returns how many of them may be credited.
    double acceptRefund(const LoanId& id, const HostId& borrower, double returned);

    std::size_t size() const;

private:
    struct EndedLoan {
        HostId borrower;
        double tokens = 0;
    };
    struct Slot {
        MonotonicTime end;
        MonotonicTime expiresAt;
        double headroom = 0; // smallest headroom since the slot began
        std::map<LoanId, EndedLoan> loans;
    };

    std::deque<Slot> m_slots;
};

} // namespace hornbeamgate
