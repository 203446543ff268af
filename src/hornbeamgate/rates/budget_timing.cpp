#include "hornbeamgate/rates/budget_timing.hpp"

namespace hornbeamgate {

namespace {

    constexpr double kLargestClockDrift = 0.01;
    constexpr double kDriftFactor = 3.0; // (1 + d) / (1 - d) <= 1 + 3d for every d up to one third
    constexpr Duration kRoundingMargin = std::chrono::milliseconds(1);

} // namespace

Result<BudgetTiming, BudgetError> BudgetTiming::create(BudgetTiming timing)
{
    if (timing.maxLoanLifetime < std::chrono::milliseconds(100))
        return failure(BudgetError { "the loan lifetime must be at least 100 ms" });
    if (timing.claimLifetime < 2 * timing.maxLoanLifetime)
        return failure(BudgetError { "the claim lifetime must be at least twice the loan lifetime" });
    if (timing.limitRaiseDelay < Duration::zero())
        return failure(BudgetError { "the limit raise delay must not be negative" });
    if (!(timing.maxClockDrift >= 0 && timing.maxClockDrift <= kLargestClockDrift))
        return failure(BudgetError { "the clock drift must be between 0 and 0.01" });
    return timing;
}

Duration BudgetTiming::withDriftMargin(Duration span) const
{
    const std::chrono::duration<double> seconds(span);
    const auto margin = std::chrono::duration_cast<Duration>(seconds * (kDriftFactor * maxClockDrift));
    return span + margin + kRoundingMargin;
}

} // namespace hornbeamgate
