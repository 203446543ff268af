#include "hornbeamgate/rates/claim_holder.hpp"

#include "hornbeamgate/event_log/store_era.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kShards = 3;
const RegionId kWest("west");
const ShardId kShard { kWest, 0 };

MonotonicTime at(Duration time)
{
    return MonotonicTime(1h) + time;
}

/// In-memory log. Claim holders read it only when a test calls `read`.
class ClaimLog {
public:
    ClaimHolder holder(const std::string& host, std::uint64_t incarnation = 1) const
    {
        ClaimOptions options;
        options.self = { HostId(host), host + ":7000", Incarnation(incarnation) };
        options.region = kWest;
        options.shardsPerRegion = kShards;
        options.timing = { 60s, 2s, 0s, 500e-6 };
        return *ClaimHolder::create(options);
    }

    /// Passes all unread records to `holder` and queues its appends until `commit`.
    std::vector<ClaimAction> read(ClaimHolder& holder, Duration now)
    {
        if (eraOf(holder.position()) < m_era)
            return collectAppends(holder.handle(LogReadEvent { LogRestarted { positionInEra(m_era, 0) } }, at(now)));
        const auto position = offsetInEra(holder.position());
        if (position < m_first)
            return collectAppends(holder.handle(LogReadEvent { LogTrimmed { positionInEra(m_era, m_first) } }, at(now)));
        LogRecordsRead records { {}, positionInEra(m_era, m_records.size()) };
        for (auto offset = position; offset < m_records.size(); ++offset)
            records.records.push_back({ positionInEra(m_era, offset), m_records[offset] });
        return collectAppends(holder.handle(LogReadEvent { records }, at(now)));
    }

    std::vector<ClaimAction> collectAppends(std::vector<ClaimAction> actions)
    {
        for (const auto& action : actions) {
            if (const auto* append = std::get_if<AppendRecord>(&action))
                m_pending.push_back(append->data);
        }
        return actions;
    }

    std::size_t commit()
    {
        const auto count = m_pending.size();
        m_records.insert(m_records.end(), m_pending.begin(), m_pending.end());
        m_pending.clear();
        return count;
    }

    /// Reads, commits the queued appends and reads again.
    void synchronize(ClaimHolder& holder, Duration now)
    {
        read(holder, now);
        commit();
        read(holder, now);
    }

    void alterLastRecord(const std::function<void(ClaimRecord&)>& change)
    {
        auto record = *decodeClaimRecord(m_records.back());
        change(record);
        m_records.back() = encodeClaimRecord(record);
    }

    void trim() { m_first = m_records.size(); }

    /// Comes back from a copy that has the first `records` records.
    void returnFromCopy(std::size_t records)
    {
        m_records.resize(records);
        m_era = m_era.next();
    }

    /// Reads until `holder` has noticed a return and has read all records.
    std::vector<ClaimAction> readAfterReturn(ClaimHolder& holder, Duration now)
    {
        read(holder, now);
        return read(holder, now);
    }

private:
    std::vector<Bytes> m_records;
    std::vector<Bytes> m_pending;
    std::size_t m_first = 0;
    StoreEra m_era;
};

} // namespace

TEST_CASE("every reader accepts the first of two concurrent claims [rates]")
{
    for (const bool defective : { false, true }) {
        ClaimLog log;
        auto first = log.holder("a");
        auto second = log.holder("b");
        log.read(first, 0s);
        log.read(second, 0s);
        REQUIRE(log.commit() == 2);
        if (defective) // makes the second claim valid although another record precedes it
            log.alterLastRecord([](ClaimRecord& record) { record.readTo = LogOffset(1); });
        log.read(second, 100ms);
        if (defective)
            log.alterLastRecord([](ClaimRecord& record) { record.readTo = LogOffset(0); });
        log.read(first, 100ms);
        CHECK(first.holds(kShard, at(1s)));
        CHECK(second.holds(kShard, at(1s)) == defective);
    }
}

TEST_CASE("the lifetime of a claim is measured from before its append, however late the record is read back [rates]")
{
    ClaimLog log;
    auto holder = log.holder("a");
    log.read(holder, 0s);
    log.commit();
    log.read(holder, 50s);
    CHECK(holder.holds(kShard, at(59s)));
    CHECK_FALSE(holder.holds(kShard, at(60s)));
}

TEST_CASE("a contender claims a shard only after the lifetime and the drift margin since it read the claim [rates]")
{
    ClaimLog log;
    auto holder = log.holder("a");
    auto contender = log.holder("b");
    log.synchronize(holder, 0s);
    log.read(contender, 30s);
    contender.handle(BudgetTimerExpired {}, at(90s));
    CHECK(log.collectAppends(contender.handle(BudgetTimerExpired {}, at(90050ms))).empty());
    CHECK(log.collectAppends(contender.handle(BudgetTimerExpired {}, at(91s))).size() == 1);
    log.commit();
    log.read(contender, 91s);
    CHECK(contender.holds(kShard, at(92s)));
    const auto actions = log.read(holder, 92s);
    const auto isLost = [](const ClaimAction& action) { return std::holds_alternative<ShardLost>(action); };
    CHECK(std::count_if(actions.begin(), actions.end(), isLost) == kShards);
}

TEST_CASE("a renewal appended between a contender's read and its claim invalidates that claim [rates]")
{
    ClaimLog log;
    auto holder = log.holder("a");
    auto contender = log.holder("b");
    log.synchronize(holder, 0s);
    log.read(contender, 0s);
    log.collectAppends(holder.handle(BudgetTimerExpired {}, at(59s)));
    log.collectAppends(contender.handle(BudgetTimerExpired {}, at(61s)));
    REQUIRE(log.commit() == 2);
    log.read(holder, 62s);
    log.read(contender, 62s);
    CHECK(holder.holds(kShard, at(62s)));
    CHECK_FALSE(contender.holds(kShard, at(62s)));
}

TEST_CASE("a process restarted on the same address takes over immediately and late records of its predecessor are invalid [rates]")
{
    ClaimLog log;
    auto before = log.holder("a", 1);
    log.synchronize(before, 0s);
    log.collectAppends(before.handle(BudgetTimerExpired {}, at(30s)));
    auto after = log.holder("a", 2);
    auto other = log.holder("b");
    log.read(other, 31s);
    auto late = log.collectAppends(after.handle(LogReadEvent { LogUnreachable {} }, at(31s)));
    CHECK(late.empty());
    CHECK(log.commit() == 1); // the predecessor's renewal is appended first
    log.synchronize(after, 31s);
    CHECK(after.holds(kShard, at(32s)));
    CHECK(log.read(other, 32s).size() == 2 * kShards);
    CHECK_FALSE(other.holds(kShard, at(32s)));
}

TEST_CASE("a release passes the accounts to the next holder exactly once [rates]")
{
    ClaimLog log;
    auto departing = log.holder("a");
    auto successor = log.holder("b");
    log.synchronize(departing, 0s);
    log.read(successor, 0s);
    const ReleasedAccount account { WorkspaceId("w"), 0, { 3, 4 }, { 5, 6 } };
    log.collectAppends(departing.release({ account }, at(1s)));
    CHECK_FALSE(departing.holds(kShard, at(1s)));
    log.commit();
    log.read(departing, 1s);
    CHECK(departing.isReleased());
    log.read(successor, 1s);
    REQUIRE(log.commit() == 1);
    std::size_t acquired = 0;
    for (const auto& action : log.read(successor, 2s)) {
        if (const auto* shard = std::get_if<ShardAcquired>(&action)) {
            CHECK(shard->accounts == std::vector { account });
            ++acquired;
        }
    }
    CHECK(acquired == kShards);
    log.collectAppends(successor.handle(BudgetTimerExpired {}, at(30s)));
    REQUIRE(log.commit() == 1);
    CHECK(log.read(successor, 30s).size() == kShards); // a renewal does not acquire the shards again
}

TEST_CASE("a holder that missed trimmed records drops its claims and waits for the claim lifetime [rates]")
{
    ClaimLog log;
    auto holder = log.holder("a");
    auto other = log.holder("b");
    log.synchronize(holder, 0s);
    log.synchronize(other, 0s);
    log.collectAppends(holder.handle(BudgetTimerExpired {}, at(30s)));
    log.commit();
    log.trim();
    log.read(holder, 31s);
    CHECK_FALSE(holder.holds(kShard, at(31s)));
    CHECK(log.read(holder, 31s).empty());
    CHECK(log.collectAppends(holder.handle(BudgetTimerExpired {}, at(90s))).empty());
    CHECK(log.collectAppends(holder.handle(BudgetTimerExpired {}, at(92s))).size() == 1);
}

TEST_CASE("shards are distributed over the live hosts, and other hosts claim open shards later [rates]")
{
    ClaimLog log;
    auto a = log.holder("a");
    auto b = log.holder("b");
    a.setLiveHosts({ HostId("a"), HostId("b") });
    b.setLiveHosts({ HostId("a"), HostId("b") });
    log.synchronize(a, 0s);
    const auto held = a.heldShards().size();
    CHECK(held < kShards);
    log.collectAppends(a.handle(BudgetTimerExpired {}, at(3s)));
    log.commit();
    log.read(a, 3s);
    CHECK(a.heldShards().size() == kShards);
    log.synchronize(b, 3s);
    CHECK(b.heldShards().empty());
}

TEST_CASE("a shard whose claim the log has lost stays with its holder, who claims it again [rates]")
{
    ClaimLog log;
    auto departed = log.holder("c");
    log.synchronize(departed, 0s);
    log.collectAppends(departed.release({}, at(1s)));
    log.commit();
    auto holder = log.holder("a");
    log.synchronize(holder, 2s);
    REQUIRE(holder.holds(kShard, at(3s)));
    // The copy has the release before the claim.
    log.returnFromCopy(2);
    auto other = log.holder("b");
    log.readAfterReturn(other, 4s);
    CHECK(log.commit() == 0);
    CHECK(holder.holds(kShard, at(5s)));
    log.readAfterReturn(holder, 5s);
    CHECK(log.commit() == 1);
    const auto actions = log.read(holder, 6s);
    CHECK(std::none_of(actions.begin(), actions.end(), [](const ClaimAction& action) { return std::holds_alternative<ShardAcquired>(action); }));
    CHECK(holder.holds(kShard, at(64s)));
    log.read(other, 6s);
    CHECK(log.collectAppends(other.handle(BudgetTimerExpired {}, at(65s))).empty());
    CHECK(log.commit() == 0);
}

TEST_CASE("a shard whose holder does not claim it again after the log has lost the claim is open after the claim's lifetime [rates]")
{
    ClaimLog log;
    auto holder = log.holder("a");
    log.synchronize(holder, 0s);
    log.returnFromCopy(0);
    auto other = log.holder("b");
    log.readAfterReturn(other, 1s);
    CHECK(log.collectAppends(other.handle(BudgetTimerExpired {}, at(61s))).empty());
    CHECK(log.collectAppends(other.handle(BudgetTimerExpired {}, at(62s))).size() == 1);
    log.commit();
    log.read(other, 62s);
    CHECK(other.holds(kShard, at(62s)));
    CHECK_FALSE(holder.holds(kShard, at(62s)));
    // The holder was cut off all the while.
    const auto actions = log.readAfterReturn(holder, 63s);
    CHECK(std::count_if(actions.begin(), actions.end(), [](const ClaimAction& action) { return std::holds_alternative<ShardLost>(action); }) == kShards);
}

TEST_CASE("a late claim of an earlier era of the log takes no shard [rates]")
{
    ClaimLog log;
    auto late = log.holder("a");
    log.read(late, 0s); // its append is on its way
    log.returnFromCopy(0);
    log.commit();
    auto other = log.holder("b");
    log.readAfterReturn(other, 1s);
    log.collectAppends(other.handle(BudgetTimerExpired {}, at(62s)));
    log.commit();
    log.read(other, 62s);
    log.readAfterReturn(late, 62s);
    CHECK(other.holds(kShard, at(63s)));
    CHECK_FALSE(late.holds(kShard, at(63s)));
}
