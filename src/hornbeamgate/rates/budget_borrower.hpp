#pragma once

#include "hornbeamgate/rates/budget_events.hpp"
#include "hornbeamgate/rates/demand_meter.hpp"
#include "hornbeamgate/rates/loan_pool.hpp"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace hornbeamgate {

/// A request asks for admission.
struct SpendRequested {
    RequestId request;
    WorkspaceId workspace;
    Amounts need; ///< one request and its estimated tokens
};

/// An admitted request has ended or has reported its token usage. Every admitted request must be settled once.
struct ReservationSettled {
    RequestId request;
    WorkspaceId workspace;
    std::int64_t usedTokens = 0;
};

using BorrowerEvent = std::variant<SpendRequested, ReservationSettled, LoanReplyReceived, LoanRequestFailed,
    ShardHomeChanged, BudgetRulesChanged, BudgetTimerExpired>;

struct SpendAdmitted {
    RequestId request;
};

enum class RefusalReason : std::uint8_t { OverLimit,
    NoHome,
    UnknownWorkspace,
    Overloaded };

/// The request was not admitted. A retry before `retryAt` is unlikely to succeed.
struct SpendRefused {
    RequestId request;
    RefusalReason reason = RefusalReason::OverLimit;
    MonotonicTime retryAt;
};

using BorrowerAction = std::variant<SendLoanMessage, SpendAdmitted, SpendRefused>;

struct BorrowerOptions {
    HostId host;
    RegionId region;
    std::uint64_t firstSequence = 0; ///< random at each process start
    ShareLayout layout;
    Duration batchHorizon = std::chrono::seconds(1); ///< a loan covers the demand expected within this period
    Duration replyTimeout = std::chrono::milliseconds(500);
    Duration closureDelay = std::chrono::milliseconds(250);
    Duration refundDelay = std::chrono::seconds(10); ///< much longer than `closureDelay`, so that refunds are sent along with loan requests
};

/// Admits the requests of one entry daemon against loans from the homes of each workspace's shares.
///
/// A request is admitted immediately when the held loans cover it. Otherwise loans are requested from the homes in turn,
/// starting with those in the same region, and the request is refused when no home can lend enough. The state is bounded
/// by the number of workspaces and open requests.
class BudgetBorrower {
public:
    static Result<BudgetBorrower, BudgetError> create(BorrowerOptions options);

    std::vector<BorrowerAction> handle(const BorrowerEvent& event, MonotonicTime now);
    std::optional<MonotonicTime> nextDeadline() const;
    nlohmann::json dump(MonotonicTime now) const;

private:
    struct WaitingRequest {
        RequestId request;
        Amounts need;
    };
    struct PendingLoanRequest {
        std::uint64_t sequence = 0;
        std::uint32_t share = 0;
        HostId to;
        bool background = false;
        MonotonicTime startedAt;
        MonotonicTime timeoutAt;
    };
    struct Account {
        std::vector<Share> shares;
        std::vector<std::uint32_t> order; // share indexes in the order in which loans are requested
        LoanPool loanPool;
        DemandMeter demand;
        std::deque<WaitingRequest> waiting;
        std::optional<PendingLoanRequest> pendingRequest;
        std::size_t attempt = 0; // index into `order`
        std::optional<Duration> shortestRetry;
        Duration backoff {};
        MonotonicTime backoffUntil;
        Amounts backoffNeed;
        MonotonicTime prefetchBackoffUntil;
    };
    struct ClosureQueue {
        std::map<HostId, std::vector<LoanClosure>> byHome;
        std::optional<MonotonicTime> due;
    };
    struct AbandonedRequest {
        WorkspaceId workspace;
        std::uint32_t share = 0;
        HostId to;
    };

    explicit BudgetBorrower(BorrowerOptions options);

    void on(const SpendRequested& event, MonotonicTime now);
    void on(const ReservationSettled& event, MonotonicTime now);
    void on(const LoanReplyReceived& event, MonotonicTime now);
    void on(const LoanRequestFailed& event, MonotonicTime now);
    void on(const ShardHomeChanged& event, MonotonicTime now);
    void on(const BudgetRulesChanged& event, MonotonicTime now);
    void on(const BudgetTimerExpired& event, MonotonicTime now);

    void refuse(RequestId request, RefusalReason reason, MonotonicTime retryAt);
    void refuseWaiting(Account& account, MonotonicTime now);
    void admitWaiting(Account& account, MonotonicTime now);
    void requestFromNextShare(const WorkspaceId& workspace, Account& account, MonotonicTime now);
    void sendRequest(const WorkspaceId& workspace, Account& account, const HostId& to, bool background, MonotonicTime now);
    void prefetch(const WorkspaceId& workspace, Account& account, MonotonicTime now);
    void completeRequest(const WorkspaceId& workspace, Account& account, MonotonicTime now);
    void continueAfterDenial(const WorkspaceId& workspace, Account& account, bool background, MonotonicTime now);
    void acceptLoan(Account& account, const PendingLoanRequest& pendingRequest, const LoanReply& reply, MonotonicTime now);
    void returnLateLoan(const LoanReply& reply);
    void abandonRequest(const WorkspaceId& workspace, Account& account, MonotonicTime now);
    void queueEndedLoans(const WorkspaceId& workspace, Account& account, MonotonicTime now);
    void queueClosure(ClosureQueue& queue, const HostId& home, LoanClosure closure, MonotonicTime due);
    void sendClosures(ClosureQueue& queue, const HostId& home);
    void sendDueClosures(ClosureQueue& queue, MonotonicTime now);
    static void takeClosures(ClosureQueue& queue, const HostId& home, std::vector<LoanClosure>& closures);
    std::vector<std::uint32_t> shareOrderFor(const std::vector<Share>& shares) const;
    static Amounts smallestNeed(const Account& account);
    static Amounts missingNeed(const Account& account, MonotonicTime now);
    static Amounts burstOf(const Account& account); ///< of one share
    static Amounts sumOfNeeds(const Account& account);
    std::optional<MonotonicTime> nextDeadlineOf(const Account& account) const;
    void updateDeadlineIndex(const WorkspaceId& workspace, const Account& account);

    BorrowerOptions m_options;
    std::uint64_t m_nextSequence;
    std::unordered_map<WorkspaceId, Account> m_accounts;
    std::set<WorkspaceId> m_withDeadline; // accounts that have a deadline
    std::map<ShardId, HostId> m_homes;
    std::unordered_map<std::uint64_t, WorkspaceId> m_pendingRequests;
    std::map<std::uint64_t, AbandonedRequest> m_abandonedRequests;
    ClosureQueue m_closures;
    ClosureQueue m_refunds; // for loans that have already ended
    std::vector<BorrowerAction> m_actions;
};

} // namespace hornbeamgate
