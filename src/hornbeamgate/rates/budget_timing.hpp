#pragma once

#include "hornbeamgate/base/result.hpp"
#include "hornbeamgate/base/time.hpp"

#include <string>

namespace hornbeamgate {

/// Describes why the options of a budget state machine are invalid.
struct BudgetError {
    std::string detail;
};

/// Time bounds, which must be identical on every process of the fleet.
struct BudgetTiming {
    Duration claimLifetime = std::chrono::minutes(10); ///< validity of a claim, measured from before its append
    Duration maxLoanLifetime = std::chrono::seconds(2); ///< maximum validity of a loan, measured from before its request
    Duration limitRaiseDelay = std::chrono::seconds(5); ///< must exceed the time a configuration needs to reach every process
    double maxClockDrift = 500e-6; ///< maximum rate error of a monotonic clock, as a fraction

    static Result<BudgetTiming, BudgetError> create(BudgetTiming timing);

    /// Returns a duration that, measured on the local clock, exceeds `span` measured on the clock of any other process.
    Duration withDriftMargin(Duration span) const;
};

} // namespace hornbeamgate
