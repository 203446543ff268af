#pragma once

#include "hornbeamgate/rates/budget_events.hpp"
#include "hornbeamgate/rates/claim_ledger.hpp"

#include <variant>

namespace hornbeamgate {

/// This process now holds `shard`. `accounts` is what the previous holder recorded if it released the shard.
struct ShardAcquired {
    ShardId shard;
    std::vector<ReleasedAccount> accounts;
};

/// This process no longer holds `shard`: another process does, or the holder is unknown.
struct ShardLost {
    ShardId shard;
};

using ClaimAction = std::variant<AppendRecord, ShardAcquired, ShardLost, ShardHomeChanged>;

struct ClaimOptions {
    ClaimHolderId self; ///< the process must be listening on the address already
    RegionId region;
    std::uint32_t shardsPerRegion = 64;
    std::uint32_t sharesPerRegion = 1; ///< number of consecutive shards that prefer different hosts
    BudgetTiming timing;
    Duration appendTimeout = std::chrono::seconds(5); ///< time until an append with unknown outcome is retried
    Duration rankDelay = std::chrono::seconds(2); ///< additional delay per rank before a host claims an open shard
};

/// Claims shards of the region for this process and renews the claims.
///
/// A claim is valid for its lifetime, measured from before its append. An open shard is claimed by the live host that
/// ranks first by rendezvous score; other hosts wait longer, in case that host does not claim it. A shard is open if it
/// was never claimed, if it was released, if its holder was an earlier process on the same address, or if its holder's
/// claim has expired even when the clock drift between the processes is taken into account.
class ClaimHolder {
public:
    static Result<ClaimHolder, BudgetError> create(ClaimOptions options);

    std::vector<ClaimAction> handle(const LogReadEvent& event, MonotonicTime now);
    std::vector<ClaimAction> handle(const AppendEvent& event, MonotonicTime now);
    std::vector<ClaimAction> handle(const BudgetTimerExpired& event, MonotonicTime now);

    /// Sets the live entry hosts of the region, among which shards are distributed.
    void setLiveHosts(std::vector<HostId> hosts);

    /// Permanently releases all claims and records `accounts` for the next holders.
    std::vector<ClaimAction> release(std::vector<ReleasedAccount> accounts, MonotonicTime now);

    /// Returns whether this process may lend from `shard` at `now`.
    bool holds(const ShardId& shard, MonotonicTime now) const;

    /// Returns the shards of this process, including those whose claim must be renewed before it lends from them again.
    std::vector<ShardId> heldShards() const;
    LogOffset position() const { return m_ledger.position(); } ///< next offset to read
    bool isReleased() const; ///< whether this process no longer claims any shard
    std::optional<MonotonicTime> nextDeadline(MonotonicTime now) const;
    nlohmann::json dump(MonotonicTime now) const;

private:
    struct PendingAppend {
        AppendTicket ticket;
        MonotonicTime retryAt;
        std::optional<LogOffset> offset; // set once the append has succeeded
    };

    explicit ClaimHolder(ClaimOptions options);

    void applyChange(const ClaimChange& change, std::vector<ClaimAction>& actions);
    void applyOwnClaim(const ClaimChange& change, std::vector<ClaimAction>& actions);
    void dropShard(const ShardId& shard, std::vector<ClaimAction>& actions);
    /// Drops shards whose claim the log has lost, and that have lapsed before they were claimed again.
    void dropLapsedShards(MonotonicTime now, std::vector<ClaimAction>& actions);
    void appendDueRecord(MonotonicTime now, std::vector<ClaimAction>& actions);
    void append(ClaimKind kind, std::vector<std::uint32_t> shards, MonotonicTime now, std::vector<ClaimAction>& actions);
    bool isOwn(const ShardId& shard) const;
    std::vector<std::uint32_t> ownShards() const;
    bool isRenewalDue(MonotonicTime now) const;
    std::optional<MonotonicTime> claimableFrom(const ShardId& shard, MonotonicTime now) const;
    std::optional<MonotonicTime> nextClaimTime(const ShardId& shard, MonotonicTime now) const;
    std::size_t claimRank(const ShardId& shard) const;

    ClaimOptions m_options;
    ClaimLedger m_ledger;
    std::map<ShardId, MonotonicTime> m_held; // claim deadline by shard
    std::map<std::uint64_t, MonotonicTime> m_appendStartedAt; // by sequence number of the append
    std::optional<PendingAppend> m_pending;
    std::uint64_t m_nextSequence = 1;
    MonotonicTime m_firstReadAt;
    bool m_hasRead = false;
    bool m_shuttingDown = false;
    std::vector<ReleasedAccount> m_releasedAccounts;
    std::vector<HostId> m_liveHosts;
};

} // namespace hornbeamgate
