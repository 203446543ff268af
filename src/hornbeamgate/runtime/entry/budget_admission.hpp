#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/result.hpp"
#include "hornbeamgate/base/time.hpp"
#include "hornbeamgate/streams/run_message.hpp"

#include <cstdint>
#include <functional>

namespace hornbeamgate {

/// Why a request may not spend. It has not run.
struct BudgetRefusal {
    RunError error = RunError::RateExceeded;
    MonotonicTime retryAt; ///< trying again before is of little use
};

/// Admits requests against the rate and burst of their workspaces.
class BudgetAdmission {
public:
    using DecisionHandler = std::function<void(Result<void, BudgetRefusal>)>;

    virtual ~BudgetAdmission() = default;

    /// Reserves one request and `tokens`; `decided` is called once, at once or later.
    virtual void reserve(RequestId request, const WorkspaceId& workspace, std::uint64_t tokens, DecisionHandler onDecision) = 0;

    /// Ends a reservation that was granted, or withdraws one that is not decided yet.
    virtual void settle(RequestId request, const WorkspaceId& workspace, std::uint64_t usedTokens) = 0;
};

} // namespace hornbeamgate
