#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/time.hpp"

#include <deque>
#include <map>

namespace hornbeamgate {

/// Identifies a loan over all lenders. A restarted lender has a new incarnation, so numbers never collide.
struct LoanId {
    Incarnation lender;
    std::uint64_t number = 0;

    auto operator<=>(const LoanId&) const = default;
};

/// Token loans that have ended for their lender although requests that reserved from them still run.
///
/// What such a request did not use may still come back, but only as far as the account had room for it ever since the
/// loan ended: then every window is as if the loan had stayed open all the time.
class RefundWindow {
public:
    /// Starts to remember a loan. `room` is what the account lacks to its burst, counting open loans as held.
    void add(const LoanId& id, const HostId& borrower, double tokens, double currentHeadroom, MonotonicTime now);

    /// Notes the present room. Must be called whenever the room has shrunk.
    void observeHeadroom(double currentHeadroom);

    /// Ends a loan of which `returned` tokens were not used; returns how many of them count.
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
        double headroom = 0; // least room since the slot began
        std::map<LoanId, EndedLoan> loans;
    };

    std::deque<Slot> m_slots;
};

} // namespace hornbeamgate
