#pragma once

#include "hornbeamgate/gateway/version_rollout.hpp"

#include "hornbeamgate/base/result.hpp"
#include "hornbeamgate/base/socket_address.hpp"

#include <optional>
#include <string>

namespace hornbeamgate::ctl {

/// What the store holds about the rollout of a service.
struct RolloutRecords {
    std::optional<gateway::RolloutOrder> order;
    std::optional<gateway::RolloutStatus> status;
};

/// Orders a rollout once and returns the offset of the order. After a failure the store may hold it nevertheless.
Result<LogOffset, std::string> startRollout(const SocketAddress& store, const gateway::RolloutOrder& order);

/// Removes the order for a service once. After a failure it may be removed nevertheless.
Result<LogOffset, std::string> abortRollout(const SocketAddress& store, const ServiceId& service);

/// Reads the order and the state of a service's rollout. Fails with a text at `deadline`.
Result<RolloutRecords, std::string> readRollout(const SocketAddress& store, const ServiceId& service, MonotonicTime deadline);

} // namespace hornbeamgate::ctl
