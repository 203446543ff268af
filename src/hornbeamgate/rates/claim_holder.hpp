#pragma once

#include "hornbeamgate/rates/budget_events.hpp"
#include "hornbeamgate/rates/claim_ledger.hpp"

#include <variant>

namespace hornbeamgate {

/// This process holds `shard` from now on. `accounts` is what the previous holder released, if it did.
struct ShardAcquired {
    ShardId shard;
    std::vector<ReleasedAccount> accounts;
};

/// Another process holds `shard`, or nobody knows who does.
struct ShardLost {
    ShardId shard;
};

using ClaimAction = std::variant<AppendRecord, ShardAcquired, ShardLost, ShardHomeChanged>;

struct ClaimOptions {
    ClaimHolderId self; ///< the process must listen on the address before it is created
    RegionId region;
    std::uint32_t shardsPerRegion = 64;
    std::uint32_t sharesPerRegion = 1; ///< consecutive shards that prefer different hosts
    BudgetTiming timing;
    Duration appendTimeout = std::chrono::seconds(5); ///< until an append without outcome is tried anew
    Duration rankDelay = std::chrono::seconds(2); ///< by which each less preferred host waits longer
};

/// Claims shards of the region for this process and keeps the claims alive.
///
/// A claim holds until its lifetime, counted from before its append, has passed. An open shard goes to the live host
/// that ranks first by rendezvous score; others follow later, in case that host does not. A shard is open when nobody
/// ever claimed it, when it was released, when its holder was an earlier process on this very address, or when its
/// holder's claim has surely lapsed by this process's clock.
class ClaimHolder {
public:
    static Result<ClaimHolder, BudgetError> create(ClaimOptions options);

    std::vector<ClaimAction> handle(const LogReadEvent& event, MonotonicTime now);
    std::vector<ClaimAction> handle(const AppendEvent& event, MonotonicTime now);
    std::vector<ClaimAction> handle(const BudgetTimerExpired& event, MonotonicTime now);

    /// Sets the live entry hosts of the region, by which shards are spread.
    void setLiveHosts(std::vector<HostId> hosts);

    /// Gives up all claims for good and records `accounts` for the next holders.
    std::vector<ClaimAction> release(std::vector<ReleasedAccount> accounts, MonotonicTime now);

    /// Whether this process may lend from `shard` at `now`.
    bool holds(const ShardId& shard, MonotonicTime now) const;

    /// Shards of this process, also those whose claim must be renewed before they lend again.
    std::vector<ShardId> heldShards() const;
    LogOffset position() const { return m_ledger.position(); } ///< next offset to read
    bool isReleased() const; ///< whether no shard is claimed by this process any more
    std::optional<MonotonicTime> nextDeadline(MonotonicTime now) const;
    nlohmann::json dump(MonotonicTime now) const;

private:
    struct PendingAppend {
        AppendTicket ticket;
        MonotonicTime retryAt;
        std::optional<LogOffset> offset; // once the log has told it
    };

    explicit ClaimHolder(ClaimOptions options);

    void applyChange(const ClaimChange& change, std::vector<ClaimAction>& actions);
    void applyOwnClaim(const ClaimChange& change, std::vector<ClaimAction>& actions);
    void dropShard(const ShardId& shard, std::vector<ClaimAction>& actions);
    void appendDueRecord(MonotonicTime now, std::vector<ClaimAction>& actions);
    void append(ClaimKind kind, std::vector<std::uint32_t> shards, MonotonicTime now, std::vector<ClaimAction>& actions);
    bool isOwn(const ShardId& shard) const;
    std::vector<std::uint32_t> ownShards() const;
    bool isRenewalDue(MonotonicTime now) const;
    std::optional<MonotonicTime> claimableFrom(const ShardId& shard) const;
    std::optional<MonotonicTime> nextClaimTime(const ShardId& shard, MonotonicTime now) const;
    std::size_t claimRank(const ShardId& shard) const;

    ClaimOptions m_options;
    ClaimLedger m_ledger;
    std::map<ShardId, MonotonicTime> m_held; // deadlines
    std::map<std::uint64_t, MonotonicTime> m_appendStartedAt; // of appends, by sequence
    std::optional<PendingAppend> m_pending;
    std::uint64_t m_nextSequence = 1;
    MonotonicTime m_firstReadAt;
    bool m_hasRead = false;
    bool m_shuttingDown = false;
    std::vector<ReleasedAccount> m_releasedAccounts;
    std::vector<HostId> m_liveHosts;
};

} // namespace hornbeamgate
