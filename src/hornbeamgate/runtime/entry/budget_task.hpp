#pragma once

#include "hornbeamgate/rates/budget_borrower.hpp"
#include "hornbeamgate/rates/budget_lender.hpp"
#include "hornbeamgate/runtime/entry/budget_admission.hpp"
#include "hornbeamgate/runtime/link/link_pool.hpp"
#include "hornbeamgate/runtime/link/link_server.hpp"
#include "hornbeamgate/runtime/platform_log_client.hpp"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>
#include <unordered_map>
#include <utility>

namespace hornbeamgate {

/// Identity of this daemon towards the other daemons that hold budgets.
struct BudgetIdentity {
    HostId host;
    RegionId region;
    SocketAddress link; ///< must be bound already, which proves that no earlier process still uses it
    Incarnation incarnation;
    std::vector<RegionId> regions; ///< all regions of the fleet
};

/// Entry host that is eligible to hold budgets.
struct BudgetHost {
    HostId host;
    RegionId region;
    SocketAddress link;
    bool live = true; ///< false while the host is leaving
};

/// Performs the I/O of the budget borrower and lender: requests are admitted against loans that the home hosts of the
/// budgets grant.
class BudgetTask : public BudgetAdmission {
public:
    static Result<std::unique_ptr<BudgetTask>, std::string> create(const BudgetIdentity& identity, PlatformLogClient& log, LinkPool& links);
    BudgetTask(const BudgetTask&) = delete;
    BudgetTask& operator=(const BudgetTask&) = delete;

    /// Registers the handler for messages of other daemons on `server` and starts reading the claim log.
    void start(LinkServer& server);
    void setRules(const std::vector<WorkspaceRule>& workspaces);
    void setHosts(const std::vector<BudgetHost>& hosts);
    /// Starts releasing the budgets that this daemon holds. Requests are still admitted against loans of other hosts.
    void leave();
    bool isReleased() const { return m_lender.isReleased(); }
    nlohmann::json dump() const;

    void reserve(RequestId request, const WorkspaceId& workspace, std::uint64_t tokens, DecisionHandler onDecision) override;
    void settle(RequestId request, const WorkspaceId& workspace, std::uint64_t usedTokens) override;

private:
    /// State machine that requested a loan and receives the reply.
    enum class LoanRequester { Borrower,
        Lender };
    using LoanRequestKey = std::pair<HostId, std::uint64_t>;

    BudgetTask(BudgetIdentity identity, BudgetBorrower borrower, BudgetLender home, PlatformLogClient& log, LinkPool& links);

    void feedBorrower(const BorrowerEvent& event);
    void feedLender(const LenderEvent& event);
    void deliverLoanReply(LoanRequester requester, const LoanReply& reply);
    void reportLoanFailure(LoanRequester requester, std::uint64_t sequence);
    void armTimers();
    void readClaims();
    void handleClaims(const LogReadEvent& result);

    void perform(LoanRequester requester, const SendLoanMessage& action);
    void perform(const SpendAdmitted& action);
    void perform(const SpendRefused& action);
    void perform(const AppendRecord& action);
    void perform(const SendLoanReply& action);
    void perform(const ShardHomeChanged& action);
    void dispatchMessage(const LoanMessage& message);
    void send(LoanRequester requester, const SocketAddress& address, const LoanMessage& message);
    void handleMessage(BytesView message, std::function<void(Bytes)> reply);

    BudgetIdentity m_identity;
    BudgetBorrower m_borrower;
    BudgetLender m_lender;
    PlatformLogClient* m_log;
    LinkPool* m_links;
    std::map<HostId, SocketAddress> m_hostAddresses;
    std::unordered_map<RequestId, DecisionHandler> m_pending;
    std::map<LoanRequestKey, std::function<void(const LoanReply&)>> m_replyHandlers;
    Liveness m_liveness;
    Timer m_borrowerTimer;
    Timer m_lenderTimer;
    Timer m_readTimer;
};

} // namespace hornbeamgate
