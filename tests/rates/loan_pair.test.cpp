#include "rates/budget_fleet.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate;
using namespace hornbeamgate::testing;
using namespace std::chrono_literals;

namespace {

const HostId kBorrower("borrower");
const ShareLimits kLimits { { 10, 40 }, { 0, 0 } };
const BudgetTiming kTiming { 10min, 2s, 0s, 500e-6 };

MonotonicTime at(TrueTime time)
{
    return MonotonicTime(1h) + time;
}

/// One lender and one borrower. The test chooses when their messages arrive.
class LoanPair {
public:
    LoanPair()
        : m_lender(ShareAccount::createEmpty(kLimits, kTiming, at(0s)))
    {
    }

    std::optional<Loan> lend(std::int64_t requests, TrueTime now)
    {
        const LoanTerms terms { { requests, 0 }, { requests, 0 }, {}, 1 };
        return m_lender.lend({ Incarnation(1), m_nextLoan++ }, kBorrower, terms, at(now));
    }

    void receive(const Loan& loan, TrueTime countedFrom, TrueTime now)
    {
        const auto deadline = at(countedFrom) + loan.lifetime;
        m_pool.add({ loan.id, 0, HostId("lender"), loan.amount, deadline, deadline }, at(now));
    }

    void spend(TrueTime now)
    {
        while (m_pool.reserve(RequestId(m_nextRequest++), { 1, 0 }, at(now)))
            m_spent.emplace_back(now, 1);
    }

    void close(const Loan& loan, const Amounts& returned, TrueTime now)
    {
        m_lender.close(loan.id, kBorrower, returned, 0, at(now));
    }

    double excess() const { return maxLimitExcess(m_spent, kLimits.requests); }
    ShareAccount& lender() { return m_lender; }

private:
    ShareAccount m_lender;
    LoanPool m_pool;
    std::uint64_t m_nextLoan = 1;
    std::uint64_t m_nextRequest = 1;
    std::vector<std::pair<TrueTime, double>> m_spent;
};

enum class LoanFault { None,
    DeadlineFromReceipt,
    CreditBeforeDebit,
    ForgottenByLender };

/// Lends a full burst that the borrower receives late, lends again, and spends all that the borrower considers valid.
double excessAfterTwoLoans(LoanFault fault)
{
    LoanPair pair;
    const auto first = pair.lend(40, 20s).value();
    if (fault == LoanFault::CreditBeforeDebit)
        pair.close(first, first.amount, 20s);
    if (fault == LoanFault::ForgottenByLender)
        pair.close(first, {}, 20s);
    const auto received = 25s;
    const auto countedFrom = fault == LoanFault::None ? 20s : received;
    pair.receive(first, fault == LoanFault::DeadlineFromReceipt ? received : countedFrom, received);
    const auto second = pair.lend(20, received);
    if (second)
        pair.receive(*second, received, received);
    pair.spend(received);
    return pair.excess();
}

} // namespace

TEST_CASE("a workspace exceeds its limit if and only if a loan rule is broken [rates]")
{
    CHECK(excessAfterTwoLoans(LoanFault::None) <= 0);
    for (const auto fault :
        { LoanFault::DeadlineFromReceipt, LoanFault::CreditBeforeDebit, LoanFault::ForgottenByLender }) {
        CAPTURE(static_cast<int>(fault));
        CHECK(excessAfterTwoLoans(fault) > 1);
    }
}

TEST_CASE("a new account lends nothing while loans of an unknown predecessor may be unexpired [rates]")
{
    LoanPair pair;
    CHECK_FALSE(pair.lend(1, 1999ms));
    CHECK_FALSE(pair.lend(1, 2s));
    CHECK(pair.lend(1, 2200ms));
}

TEST_CASE("the level plus unexpired loans never exceeds the burst [rates]")
{
    LoanPair pair;
    const auto loan = pair.lend(30, 20s).value();
    CHECK(pair.lender().available(at(20s)).requests == 10);
    CHECK(pair.lender().available(at(22s)).requests == 10);
    CHECK(pair.lender().available(at(23s)).requests > 10);
    CHECK(pair.lender().available(at(30s)).requests == 40);
    pair.close(loan, { 30, 0 }, 30s);
    CHECK(pair.lender().available(at(30s)).requests == 40);
}

TEST_CASE("a closure is applied once, for its own borrower and for at most the lent amount [rates]")
{
    LoanPair pair;
    const auto loan = pair.lend(30, 20s).value();
    pair.lender().close(loan.id, HostId("other"), { 30, 0 }, 0, at(20s));
    CHECK(pair.lender().available(at(20s)).requests == 10);
    pair.close(loan, { 500, 0 }, 20s);
    pair.close(loan, { 30, 0 }, 20s);
    CHECK(pair.lender().available(at(20s)).requests == 40);
}

TEST_CASE("the loan lifetime is short enough not to limit the rate [rates]")
{
    const ShareLimits shortRefill { { 10, 10 }, { 100, 1000 } };
    CHECK(ShareAccount::createEmpty(shortRefill, kTiming, at(0s)).loanLifetime() == 500ms);
    CHECK(ShareAccount::createEmpty({ { 1, 10 }, { 100, 1000 } }, kTiming, at(0s)).loanLifetime() == 2s);
}

TEST_CASE("settling returns unused tokens to their loan and turns excess usage into debt [rates]")
{
    struct Case {
        std::int64_t used;
        TrueTime settledAt;
        std::int64_t remaining;
        std::int64_t debt;
    };
    const Case cases[] = {
        { 300, 1s, 500, 0 }, // as reserved
        { 100, 1s, 700, 0 }, // 200 are returned
        { 700, 1s, 100, 0 }, // 400 more from the same loan
        { 1000, 1s, 0, 200 }, // the loan is insufficient
        { 100, 3s, 0, 0 }, // the loan has expired in the meantime
        { 400, 3s, 0, 100 },
    };
    for (const auto& item : cases) {
        CAPTURE(item.used);
        LoanPool pool;
        pool.add({ { Incarnation(1), 1 }, 0, HostId("lender"), { 5, 800 }, at(2s), at(2s) }, at(0s));
        REQUIRE(pool.reserve(RequestId(1), { 1, 300 }, at(0s)));
        pool.settle(RequestId(1), item.used, at(item.settledAt));
        pool.settle(RequestId(1), item.used, at(item.settledAt));
        CHECK(pool.remaining(at(item.settledAt)).tokens == item.remaining);
        CHECK(pool.debt() == item.debt);
        CHECK(pool.reserve(RequestId(2), { 1, 100 }, at(item.settledAt)) == (item.remaining >= 100 && item.debt == 0));
    }
}

TEST_CASE("debt is paid from the next loan before anything is reserved [rates]")
{
    LoanPool pool;
    pool.add({ { Incarnation(1), 1 }, 0, HostId("lender"), { 2, 100 }, at(2s), at(2s) }, at(0s));
    REQUIRE(pool.reserve(RequestId(1), { 1, 100 }, at(0s)));
    pool.settle(RequestId(1), 250, at(1s));
    REQUIRE(pool.debt() == 150);
    pool.add({ { Incarnation(1), 2 }, 0, HostId("lender"), { 0, 100 }, at(3s), at(3s) }, at(1s));
    CHECK(pool.debt() == 50);
    CHECK_FALSE(pool.reserve(RequestId(2), { 1, 0 }, at(1s)));
    pool.add({ { Incarnation(1), 3 }, 0, HostId("lender"), { 0, 80 }, at(3s), at(3s) }, at(1s));
    CHECK(pool.debt() == 0);
    CHECK(pool.remaining(at(1s)).tokens == 30);
    CHECK(pool.reserve(RequestId(2), { 1, 30 }, at(1s)));
}

TEST_CASE("a late refund is limited to the smallest headroom of the account since the loan ended [rates]")
{
    const ShareLimits limits { { 10, 10 }, { 100, 1000 } };
    struct Case {
        const char* name;
        std::int64_t spentLater;
        TrueTime settledAt;
        std::int64_t counted;
    };
    const Case cases[] = {
        { "the account has been full", 0, 40s, 0 },
        { "the account was full before it was spent again", 1000, 40s, 0 },
        { "the account has had headroom all the time", 0, 21s, 300 },
    };
    for (const auto& item : cases) {
        const std::string name = item.name;
        CAPTURE(name);
        for (const bool broken : { false, true }) {
            auto account = ShareAccount::createEmpty(limits, kTiming, at(0s));
            const LoanId id { Incarnation(1), 1 };
            REQUIRE(account.lend(id, kBorrower, { { 1, 1000 }, { 1, 1000 }, {}, 1 }, at(20s)));
            account.close(id, kBorrower, {}, 1000, at(20s));
            if (item.spentLater > 0)
                account.lend({ Incarnation(1), 2 }, HostId("other"), { {}, { 0, item.spentLater }, {}, 1 }, at(39s));
            const auto before = account.available(at(item.settledAt)).tokens;
            if (broken)
                account.credit({ 0, 300 }, at(item.settledAt));
            for (int copy = 0; copy < 2 && !broken; ++copy)
                account.close(id, kBorrower, { 0, 300 }, 0, at(item.settledAt));
            const auto counted = account.available(at(item.settledAt)).tokens - before;
            CHECK((counted == item.counted) == (!broken || item.spentLater == 0));
        }
    }
}

TEST_CASE("unsettled tokens of a loan are refunded to the lender once all requests that reserved from it have settled [rates]")
{
    LoanPool pool;
    pool.add({ { Incarnation(1), 1 }, 2, HostId("lender"), { 2, 600 }, at(2s), at(3s) }, at(0s));
    REQUIRE(pool.reserve(RequestId(1), { 1, 300 }, at(0s)));
    REQUIRE(pool.reserve(RequestId(2), { 1, 300 }, at(0s)));
    const auto ended = pool.takeEndedLoans(at(0s));
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].unsettledTokens == 600);
    pool.settle(RequestId(1), 100, at(5s));
    CHECK(pool.takeEndedLoans(at(5s)).empty());
    pool.settle(RequestId(2), 250, at(9s));
    const auto refund = pool.takeEndedLoans(at(9s));
    REQUIRE(refund.size() == 1);
    CHECK(refund[0].returned == Amounts { 0, 250 });
    CHECK(refund[0].unsettledTokens == 0);
}
