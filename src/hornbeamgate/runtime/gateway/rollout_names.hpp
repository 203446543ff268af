#pragma once

#include "hornbeamgate/gateway/version_rollout.hpp"

#include <array>
#include <string_view>

namespace hornbeamgate::gateway {

/// Names of states and phases in log lines and reports.
inline std::string_view nameOf(RolloutState state)
{
    constexpr std::array<std::string_view, 3> kNames { "running", "completed", "rolled_back" };
    return kNames[static_cast<std::size_t>(state)];
}

inline std::string_view nameOf(RolloutPhase phase)
{
    constexpr std::array<std::string_view, 2> kNames { "observe", "shift" };
    return kNames[static_cast<std::size_t>(phase)];
}

} // namespace hornbeamgate::gateway
