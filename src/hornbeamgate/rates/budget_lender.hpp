#pragma once

#include "hornbeamgate/rates/claim_holder.hpp"

#include <map>
#include <unordered_map>

namespace hornbeamgate {

/// Loan request from a borrower or from another lender. Replies to this lender's requests arrive as `LoanReplyReceived`.
struct LoanRequestReceived {
    LoanRequest request;
};

struct LoanClosuresReceived {
    LoanClosures message;
};

struct ShardHomesRequestReceived {
    ShardHomesRequest request;
};

struct ShardHomesReplyReceived {
    ShardHomesReply reply;
};

/// The set of live entry hosts in the region has changed.
struct LiveHostsChanged {
    std::vector<HostId> hosts;
};

/// The process is shutting down: it stops lending and records its accounts in the log for the next holders.
struct BudgetShutdownRequested {
};

using LenderEvent = std::variant<LogReadEvent, AppendEvent, LoanRequestReceived, LoanClosuresReceived, LoanReplyReceived,
    LoanRequestFailed, ShardHomesRequestReceived, ShardHomesReplyReceived, LiveHostsChanged, BudgetRulesChanged, BudgetShutdownRequested, BudgetTimerExpired>;

/// Action: reply to the request with the same sequence number.
struct SendLoanReply {
    HostId to;
    LoanReply reply;
};

using LenderAction = std::variant<AppendRecord, SendLoanReply, SendLoanMessage, ShardHomeChanged>;

struct LenderOptions {
    ClaimHolderId self;
    std::uint64_t firstSequence = 0; ///< of transfer requests; random at each process start
    RegionId region;
    ShareLayout layout;
    BudgetTiming timing;
    Duration transferInterval = std::chrono::milliseconds(500); ///< minimum interval between transfer requests of one account
    Duration replyTimeout = std::chrono::milliseconds(500);
};

/// Manages the accounts of the shards that this process claims and grants loans from them.
///
/// A process that starts while the log is unreachable obtains the shard holders from its peers. It claims no shards until
/// it can read the log.
///
/// When the level of an account is low, the lender requests a transfer from the homes of the workspace's other shares,
/// starting with those in its own region.
class BudgetLender {
public:
    static Result<BudgetLender, BudgetError> create(LenderOptions options);

    std::vector<LenderAction> handle(const LenderEvent& event, MonotonicTime now);
    std::optional<MonotonicTime> nextDeadline(MonotonicTime now) const;

    LogOffset position() const { return m_claims.position(); } ///< next offset of the claim stream to read
    bool isReleased() const { return m_claims.isReleased(); } ///< whether a process that is shutting down may exit
    bool holds(const ShardId& shard, MonotonicTime now) const { return m_claims.holds(shard, now); }
    std::size_t accountCount() const { return m_accounts.size(); }
    nlohmann::json dump(MonotonicTime now) const;

private:
    struct AccountKey {
        WorkspaceId workspace;
        std::uint32_t share = 0;

        auto operator<=>(const AccountKey&) const = default;
    };
    struct PendingLimits {
        ShareLimits limits;
        MonotonicTime from;
    };
    struct Transfer {
        std::uint64_t sequence = 0;
        std::uint32_t share = 0;
        HostId to;
        MonotonicTime startedAt;
        MonotonicTime timeoutAt;
    };
    struct Account {
        ShareAccount bucket;
        ShardId shard;
        std::optional<PendingLimits> pendingRaise;
        std::optional<Transfer> transfer;
        std::size_t nextLender = 0;
        MonotonicTime nextTransferAt;
    };
    struct Workspace {
        std::vector<Share> shares;
        MonotonicTime changedAt;
    };

    BudgetLender(LenderOptions options, ClaimHolder claims);

    void on(const LogReadEvent& event, MonotonicTime now);
    void on(const AppendEvent& event, MonotonicTime now);
    void on(const LoanRequestReceived& event, MonotonicTime now);
    void on(const LoanClosuresReceived& event, MonotonicTime now);
    void on(const LoanReplyReceived& event, MonotonicTime now);
    void on(const LoanRequestFailed& event, MonotonicTime now);
    void on(const ShardHomesRequestReceived& event, MonotonicTime now);
    void on(const ShardHomesReplyReceived& event, MonotonicTime now);
    void on(const LiveHostsChanged& event, MonotonicTime now);
    void on(const BudgetRulesChanged& event, MonotonicTime now);
    void on(const BudgetShutdownRequested& event, MonotonicTime now);
    void on(const BudgetTimerExpired& event, MonotonicTime now);

    void execute(std::vector<ClaimAction> actions, MonotonicTime now);
    void requestHomesFromPeer();
    void openShard(const ShardAcquired& acquired, MonotonicTime now);
    void closeShard(const ShardId& shard);
    void openAccount(const AccountKey& key, const ReleasedAccount* released, MonotonicTime now);
    void applyLimits(Account& account, const ShareLimits& limits, MonotonicTime now);
    void applyPendingRaise(Account& account, MonotonicTime now);
    Account* find(const WorkspaceId& workspace, std::uint32_t share, MonotonicTime now);
    LoanReply answer(const LoanRequest& request, MonotonicTime now);
    void closeLoans(const HostId& borrower, const std::vector<LoanClosure>& closures, MonotonicTime now);
    void requestTransfer(const AccountKey& key, Account& account, MonotonicTime now);
    std::optional<std::uint32_t> chooseLender(const AccountKey& key, Account& account) const;
    void receiveTransfer(const AccountKey& key, Account& account, const LoanReply& reply, MonotonicTime now);

    LenderOptions m_options;
    ClaimHolder m_claims;
    std::unordered_map<WorkspaceId, Workspace> m_workspaces;
    std::map<AccountKey, Account> m_accounts;
    std::map<ShardId, HostId> m_homes;
    std::vector<HostId> m_peers;
    std::size_t m_nextPeer = 0;
    std::map<std::uint64_t, AccountKey> m_transfers; // by sequence number
    std::uint64_t m_nextLoan = 1;
    std::uint64_t m_nextSequence;
    std::vector<LenderAction> m_actions;
};

} // namespace hornbeamgate
