#pragma once

#include "hornbeamgate/base/result.hpp"
#include "hornbeamgate/base/time.hpp"

#include <string>

namespace hornbeamgate {

/// Reason why options of the budget state machines are unusable.
struct BudgetError {
    std::string detail;
};

/// Time bounds that every process of the fleet must share.
struct BudgetTiming {
    Duration claimLifetime = std::chrono::minutes(10); ///< validity of a claim, from before its append
    Duration maxLoanLifetime = std::chrono::seconds(2); ///< longest validity of a loan, from before it was asked for
    Duration limitRaiseDelay = std::chrono::seconds(5); ///< longer than a configuration needs to reach every process
    double maxClockDrift = 500e-6; ///< bound on the rate error of any monotonic clock, as a fraction

    static Result<BudgetTiming, BudgetError> create(BudgetTiming timing);

    /// Span on the caller's clock that is surely longer than `span` on the clock of another process.
    Duration withDriftMargin(Duration span) const;
};

} // namespace hornbeamgate
