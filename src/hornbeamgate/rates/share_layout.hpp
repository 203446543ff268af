#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/rates/share_account.hpp"

#include <cstdint>
#include <vector>

namespace hornbeamgate {

/// Identifies a set of shares that one entry daemon of the region holds under a claim. The shares of one workspace in a
/// region are in consecutive shards, which prefer different hosts.
struct ShardId {
    RegionId region;
    std::uint32_t number = 0;

    auto operator<=>(const ShardId&) const = default;
};

/// Part of a workspace's budget, and the shard whose holder manages it.
struct Share {
    ShardId shard;
    ShareLimits limits;
};

/// Parameters for dividing budgets into shares. They must be identical on every process of the fleet.
struct ShareLayout {
    std::vector<RegionId> regions;
    std::uint32_t sharesPerRegion = 2;
    std::uint32_t shardsPerRegion = 64;
    Amounts minShareBurst { 4, 4096 }; ///< smaller shares would serve few requests, so fewer shares are created instead

    static Result<ShareLayout, BudgetError> create(ShareLayout layout);

    /// Divides the limits of `rule` evenly into shares. The result is never empty and identical on every process.
    std::vector<Share> sharesOf(const WorkspaceRule& rule) const;
};

} // namespace hornbeamgate
