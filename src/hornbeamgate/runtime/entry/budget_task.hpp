#pragma once

#include "hornbeamgate/rates/budget_borrower.hpp"
#include "hornbeamgate/rates/budget_lender.hpp"
#include "hornbeamgate/runtime/entry/budget_gate.hpp"
#include "hornbeamgate/runtime/link/link_pool.hpp"
#include "hornbeamgate/runtime/link/link_server.hpp"
#include "hornbeamgate/runtime/platform_log_client.hpp"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>
#include <unordered_map>
#include <utility>

namespace hornbeamgate {

/// Who this daemon is to the other holders of budgets.
struct BudgetIdentity {
    HostId host;
    RegionId region;
    SocketAddress link; ///< bound already, so that no earlier process of this address lives
    Incarnation incarnation;
    std::vector<RegionId> regions; ///< all regions of the fleet
};

/// Entry host that may hold budgets.
struct BudgetHost {
    HostId host;
    RegionId region;
    SocketAddress link;
    bool live = true; ///< false while it leaves
};

/// Carries the borrower and the home of budgets: requests are admitted against loans that the homes grant.
class BudgetTask : public BudgetGate {
public:
    static Result<std::unique_ptr<BudgetTask>, std::string> create(const BudgetIdentity& identity, PlatformLogClient& log, LinkPool& links);
    BudgetTask(const BudgetTask&) = delete;
    BudgetTask& operator=(const BudgetTask&) = delete;

    /// Answers other daemons on `server` from now on and begins to read the claims.
    void start(LinkServer& server);
    void setRules(const std::vector<WorkspaceRule>& workspaces);
    void setHosts(const std::vector<BudgetHost>& hosts);
    /// Hands this daemon's accounts over; requests are still admitted against loans of others.
    void leave();
    bool isReleased() const { return m_home.isReleased(); }
    nlohmann::json dump() const;

    void reserve(RequestId request, const WorkspaceId& workspace, std::uint64_t tokens, Decided decided) override;
    void settle(RequestId request, const WorkspaceId& workspace, std::uint64_t usedTokens) override;

private:
    /// Which of the two state machines asked for a loan.
    enum class Asker { Borrower,
        Home };
    using RequestName = std::pair<HostId, std::uint64_t>;

    BudgetTask(BudgetIdentity identity, BudgetBorrower borrower, BudgetLender home, PlatformLogClient& log, LinkPool& links);

    void feedBorrower(const BorrowerEvent& event);
    void feedHome(const LenderEvent& event);
    void feedAsker(Asker asker, const LoanReply& reply);
    void askerFailed(Asker asker, std::uint64_t sequence);
    void armTimers();
    void readClaims();
    void claimsRead(const LogReadEvent& result);

    void perform(Asker asker, const SendLoanMessage& action);
    void perform(const SpendAdmitted& action);
    void perform(const SpendRefused& action);
    void perform(const AppendRecord& action);
    void perform(const SendLoanReply& action);
    void perform(const ShardHomeChanged& action);
    void deliver(const LoanMessage& message);
    void send(Asker asker, const SocketAddress& address, const LoanMessage& message);
    void received(BytesView message, std::function<void(Bytes)> reply);

    BudgetIdentity m_identity;
    BudgetBorrower m_borrower;
    BudgetLender m_home;
    PlatformLogClient* m_log;
    LinkPool* m_links;
    std::map<HostId, SocketAddress> m_places;
    std::unordered_map<RequestId, Decided> m_pending;
    std::map<RequestName, std::function<void(const LoanReply&)>> m_answers;
    Liveness m_liveness;
    Timer m_borrowerTimer;
    Timer m_homeTimer;
    Timer m_readTimer;
};

} // namespace hornbeamgate
