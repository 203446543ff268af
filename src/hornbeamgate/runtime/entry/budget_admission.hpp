#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/result.hpp"
#include "hornbeamgate/base/time.hpp"
#include "hornbeamgate/streams/run_message.hpp"

#include <cstdint>
#include <functional>

namespace hornbeamgate {

/// Why a request was not admitted. A refused request has not been executed.
struct BudgetRefusal {
    RunError error = RunError::RateExceeded;
    MonotonicTime retryAt; ///< a retry before this time is unlikely to succeed
};

/// Admission control by the rate and burst limits of workspaces.
class BudgetAdmission {
public:
    using DecisionHandler = std::function<void(Result<void, BudgetRefusal>)>;

    virtual ~BudgetAdmission() = default;

    /// Reserves one request and `tokens` tokens. `onDecision` is called exactly once, possibly before this returns.
    virtual void reserve(RequestId request, const WorkspaceId& workspace, std::uint64_t tokens, DecisionHandler onDecision) = 0;

    /// Settles a granted reservation with its actual usage, or cancels a pending one.
    virtual void settle(RequestId request, const WorkspaceId& workspace, std::uint64_t usedTokens) = 0;
};

} // namespace hornbeamgate
