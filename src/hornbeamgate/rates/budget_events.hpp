#pragma once

#include "hornbeamgate/rates/loan_messages.hpp"
#include "hornbeamgate/rates/share_layout.hpp"

#include <optional>
#include <vector>

namespace hornbeamgate {

/// The holder of a shard has changed. `home` is empty when the holder is unknown.
struct ShardHomeChanged {
    ShardId shard;
    std::optional<HostId> home;
};

/// A new configuration has taken effect. `workspaces` lists every workspace.
struct BudgetRulesChanged {
    std::vector<WorkspaceRule> workspaces;
};

/// The time returned by `nextDeadline()` has been reached.
struct BudgetTimerExpired {
};

struct LoanReplyReceived {
    LoanReply reply;
};

/// A loan request could not be sent or its connection broke.
struct LoanRequestFailed {
    std::uint64_t sequence = 0;
};

/// Action: send `message` to the daemon on `to`, which may be this host.
struct SendLoanMessage {
    HostId to;
    LoanMessage message;
};

} // namespace hornbeamgate
