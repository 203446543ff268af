#include "hornbeamgate/gateway/order_journal.hpp"

#include "gateway/time_support.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace hornbeamgate::gateway::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds kLease { 3000 };
constexpr auto kExclusion = kLease + OrderJournal::kRecordValidity + OrderJournal::kOrderTransitTime;
const HostId kSelf("front-1");
const HostId kOther("front-2");
const EndpointId kFirst("e1");
const EndpointId kSecond("e2");

/// Offset at which the first order of a fixture's record was requested.
constexpr LogOffset kRequestedAt(7);

OrderRecord recordOf(std::uint64_t token, const std::set<EndpointId>& endpoints)
{
    OrderRecord record { FencingToken(token), kOther, {} };
    for (const auto& endpoint : endpoints)
        record.orders[endpoint] = { kOther, kRequestedAt };
    return record;
}

OrderRecord ownRecord(std::uint64_t token, std::map<EndpointId, RecordedOrder> orders)
{
    return { FencingToken(token), kSelf, std::move(orders) };
}

/// Takes the journal over at time 0, after a predecessor that left `record`.
OrderJournal takenOver(std::uint64_t token, const std::optional<OrderRecord>& record)
{
    OrderJournal journal(kSelf, kLease);
    journal.takeOver(FencingToken(token));
    REQUIRE(std::holds_alternative<OrderJournal::Read>(journal.takeCall(at(0ms)).value()));
    journal.onRead(OrderRecordPosition { record, LogOffset(8) }, at(0ms));
    const auto claim = journal.takeCall(at(0ms));
    REQUIRE(std::get<OrderJournal::Append>(claim.value()).at == LogOffset(8));
    journal.onAppended(LogOffset(9), at(0ms));
    REQUIRE(journal.isOwned());
    return journal;
}

OrderJournal::Append takeAppend(OrderJournal& journal, MonotonicTime now)
{
    const auto call = journal.takeCall(now);
    REQUIRE(call);
    return std::get<OrderJournal::Append>(*call);
}

} // namespace

TEST_CASE("only the engines in the predecessor's record must wait [journal]")
{
    const auto journal = takenOver(4, recordOf(3, { kFirst }));
    CHECK(journal.isBlocked(kFirst, at(kExclusion - 1ms)));
    CHECK_FALSE(journal.isBlocked(kFirst, at(kExclusion)));
    CHECK_FALSE(journal.isBlocked(kSecond, at(0ms)));
}

TEST_CASE("without any record all engines must wait, since the predecessor may not have written records [journal]")
{
    const auto journal = takenOver(4, std::nullopt);
    CHECK(journal.isBlocked(kSecond, at(kExclusion - 1ms)));
    CHECK_FALSE(journal.isBlocked(kSecond, at(kExclusion)));
}

TEST_CASE("the wait for an unknown predecessor does not begin anew with a later claim [journal]")
{
    auto journal = takenOver(4, std::nullopt);
    journal.request(kFirst);
    takeAppend(journal, at(10s));
    journal.onAppended(std::nullopt, at(10s));
    journal.takeCall(at(11s));
    journal.onRead(OrderRecordPosition { ownRecord(4, {}), LogOffset(9) }, at(11s));
    takeAppend(journal, at(11s));
    journal.onAppended(LogOffset(10), at(11s));
    CHECK_FALSE(journal.isBlocked(kSecond, at(11s)));
}

TEST_CASE("the claim names the predecessor's engines, for the leader after the next [journal]")
{
    OrderJournal journal(kSelf, kLease);
    journal.takeOver(FencingToken(4));
    journal.takeCall(at(0ms));
    journal.onRead(OrderRecordPosition { recordOf(3, { kFirst }), LogOffset(8) }, at(0ms));
    CHECK(takeAppend(journal, at(0ms)).record == ownRecord(4, { { kFirst, { kOther, kRequestedAt } } }));
    journal.onAppended(LogOffset(9), at(0ms));
    journal.request(kSecond);
    CHECK(takeAppend(journal, at(1s)).record == ownRecord(4, { { kFirst, { kOther, kRequestedAt } }, { kSecond, { kSelf, LogOffset(9) } } }));
}

TEST_CASE("an order may be sent after its engine was recorded, for a limited time after the request [journal]")
{
    auto journal = takenOver(4, recordOf(3, {}));
    journal.request(kFirst);
    CHECK_FALSE(journal.isRecorded(kFirst, at(10ms)));
    const auto append = takeAppend(journal, at(10ms));
    CHECK(append.record == ownRecord(4, { { kFirst, { kSelf, LogOffset(9) } } }));
    CHECK(append.at == LogOffset(9));
    CHECK_FALSE(journal.isRecorded(kFirst, at(20ms)));
    journal.onAppended(LogOffset(10), at(20ms));
    CHECK(journal.isRecorded(kFirst, at(20ms)));
    CHECK_FALSE(journal.isRecorded(kFirst, at(10ms + OrderJournal::kRecordValidity)));
    CHECK_FALSE(journal.isRecorded(kSecond, at(20ms)));
}

TEST_CASE("a late record does not permit an order [journal]")
{
    auto journal = takenOver(4, recordOf(3, {}));
    journal.request(kFirst);
    takeAppend(journal, at(0ms));
    journal.onAppended(LogOffset(10), at(OrderJournal::kRecordValidity));
    CHECK_FALSE(journal.isRecorded(kFirst, at(OrderJournal::kRecordValidity)));
}

TEST_CASE("after an append without a known outcome the journal is read again, and its engines stay listed [journal]")
{
    auto journal = takenOver(4, recordOf(3, {}));
    journal.request(kFirst);
    takeAppend(journal, at(0ms));
    journal.onAppended(std::nullopt, at(100ms));
    CHECK_FALSE(journal.isRecorded(kFirst, at(100ms)));
    CHECK_FALSE(journal.takeCall(at(150ms)));
    REQUIRE(std::holds_alternative<OrderJournal::Read>(journal.takeCall(at(400ms)).value()));
    journal.onRead(OrderRecordPosition { ownRecord(4, { { kFirst, { kSelf, LogOffset(9) } } }), LogOffset(10) }, at(410ms));
    // Its own claim moves the end, so that a repeated request has another offset and its age is not mistaken.
    const auto claim = takeAppend(journal, at(420ms));
    CHECK(claim.record == ownRecord(4, { { kFirst, { kSelf, LogOffset(9) } } }));
    journal.onAppended(LogOffset(11), at(430ms));
    CHECK_FALSE(journal.isRecorded(kFirst, at(430ms)));
    const auto repeated = takeAppend(journal, at(440ms));
    CHECK(repeated.record == ownRecord(4, { { kFirst, { kSelf, LogOffset(11) } } }));
    CHECK(repeated.at == LogOffset(11));
}

TEST_CASE("a leader that was replaced without noticing sends no more orders [journal]")
{
    auto journal = takenOver(4, recordOf(3, {}));
    journal.request(kFirst);
    takeAppend(journal, at(0ms));
    journal.onAppended(std::nullopt, at(10ms));
    journal.takeCall(at(1s));
    journal.onRead(OrderRecordPosition { recordOf(5, { kSecond }), LogOffset(12) }, at(1s));
    CHECK(journal.isSuperseded());
    CHECK_FALSE(journal.isOwned());
    CHECK_FALSE(journal.takeCall(at(5s)));
}

TEST_CASE("a leader whose token grew after another leader's record takes the journal over again [journal]")
{
    auto journal = takenOver(4, recordOf(3, {}));
    journal.setToken(FencingToken(6));
    journal.request(kFirst);
    takeAppend(journal, at(0ms));
    journal.onAppended(std::nullopt, at(10ms));
    journal.takeCall(at(1s));
    journal.onRead(OrderRecordPosition { recordOf(5, { kSecond }), LogOffset(12) }, at(1s));
    CHECK_FALSE(journal.isOwned());
    CHECK(takeAppend(journal, at(1s)).at == LogOffset(12));
    journal.onAppended(LogOffset(13), at(1s));
    CHECK(journal.isOwned());
    CHECK(journal.isBlocked(kSecond, at(1s)));
    CHECK_FALSE(journal.isBlocked(kFirst, at(1s)));
}

TEST_CASE("a leader that returns after its own record does not wait for its own orders [journal]")
{
    auto journal = takenOver(4, recordOf(3, {}));
    journal.request(kFirst);
    takeAppend(journal, at(0ms));
    journal.onAppended(LogOffset(10), at(0ms));
    journal.release();
    CHECK_FALSE(journal.isRecorded(kFirst, at(100ms)));
    journal.takeOver(FencingToken(7));
    journal.takeCall(at(1s));
    journal.onRead(OrderRecordPosition { ownRecord(4, { { kFirst, { kSelf, LogOffset(9) } } }), LogOffset(10) }, at(1s));
    CHECK(takeAppend(journal, at(1s)).record == ownRecord(7, { { kFirst, { kSelf, LogOffset(9) } } }));
    journal.onAppended(LogOffset(11), at(1s));
    CHECK_FALSE(journal.isBlocked(kFirst, at(1s)));
}

TEST_CASE("a restarted leader waits only for the engines that others ordered [journal]")
{
    const auto orders = ownRecord(4, { { kFirst, { kSelf, kRequestedAt } }, { kSecond, { kOther, kRequestedAt } } });
    // Its membership may not have expired, so that it leads in the same generation.
    auto journal = takenOver(4, orders);
    CHECK_FALSE(journal.isBlocked(kFirst, at(0ms)));
    CHECK(journal.isBlocked(kSecond, at(0ms)));
    journal.request(kFirst);
    CHECK(takeAppend(journal, at(1s)).record == ownRecord(4, { { kFirst, { kSelf, LogOffset(9) } }, { kSecond, { kOther, kRequestedAt } } }));
}

TEST_CASE("a claim that failed does not pass for a record of an earlier process [journal]")
{
    OrderJournal journal(kSelf, kLease);
    const auto earlier = ownRecord(4, { { kSecond, { kOther, kRequestedAt } } });
    for (int attempt = 0; attempt < 2; ++attempt) {
        journal.takeOver(FencingToken(4));
        journal.takeCall(at(1s * attempt));
        journal.onRead(OrderRecordPosition { earlier, LogOffset(8) }, at(1s * attempt));
        CHECK(takeAppend(journal, at(1s * attempt)).record.orders == earlier.orders);
        journal.onAppended(std::nullopt, at(1s * attempt));
    }
}

TEST_CASE("a successor that heard how old an order is waits only for the rest of its lease [journal]")
{
    OrderJournal journal(kSelf, kLease);
    journal.onPeerOrders({ { kFirst, kRequestedAt, 3s }, { kSecond, LogOffset(3), 3s } }, at(0ms));
    journal.takeOver(FencingToken(4));
    journal.takeCall(at(0ms));
    // The second engine was ordered again after the report.
    auto record = recordOf(3, { kFirst, kSecond });
    journal.onRead(OrderRecordPosition { record, LogOffset(8) }, at(0ms));
    takeAppend(journal, at(0ms));
    journal.onAppended(LogOffset(9), at(0ms));
    CHECK(journal.isBlocked(kFirst, at(kExclusion - 3s - 1ms)));
    CHECK_FALSE(journal.isBlocked(kFirst, at(kExclusion - 3s)));
    CHECK(journal.isBlocked(kSecond, at(kExclusion - 1ms)));
    // The next leader can hear of it from this one.
    const auto reported = journal.recentOrders(at(0ms));
    REQUIRE(reported.size() == 2);
    CHECK(reported.front() == OrderAge { kFirst, kRequestedAt, 3s });
    CHECK(reported.back() == OrderAge { kSecond, kRequestedAt, 0ms });
}

TEST_CASE("a new leader asks for the ages of orders that it did not hear, and the wait does not begin anew [journal]")
{
    OrderJournal witness(HostId("front-3"), kLease);
    witness.onPeerOrders({ { kFirst, kRequestedAt, 100ms } }, at(0ms));
    auto journal = takenOver(4, recordOf(3, { kFirst }));
    CHECK(journal.isAskingForAges(at(0ms)));
    CHECK(journal.isBlocked(kFirst, at(kExclusion - 1ms)));
    const auto heard = witness.heardOrders(at(2s));
    CHECK(heard == std::vector<OrderAge> { { kFirst, kRequestedAt, 2100ms } });
    journal.onPeerOrders(heard, at(2s));
    CHECK(journal.isBlocked(kFirst, at(kExclusion - 101ms)));
    CHECK_FALSE(journal.isBlocked(kFirst, at(kExclusion - 100ms)));
    CHECK_FALSE(journal.isAskingForAges(at(2s)));
}

TEST_CASE("a restarted daemon vouches that its host's orders are older than its process [journal]")
{
    OrderJournal restarted(kOther, kLease);
    restarted.onRecordFound(recordOf(3, { kFirst }), at(0ms));
    CHECK(restarted.heardOrders(at(2s)) == std::vector<OrderAge> { { kFirst, kRequestedAt, 2s } });
    OrderJournal stranger(kSelf, kLease);
    stranger.onRecordFound(recordOf(3, { kFirst }), at(0ms));
    CHECK(stranger.heardOrders(at(2s)).empty());
    OrderJournal leader(kOther, kLease);
    leader.takeOver(FencingToken(4));
    leader.takeCall(at(0ms));
    leader.onRead(OrderRecordPosition { recordOf(3, {}), LogOffset(8) }, at(0ms));
    takeAppend(leader, at(0ms));
    leader.onAppended(LogOffset(9), at(0ms));
    leader.onRecordFound(recordOf(3, { kFirst }), at(0ms));
    CHECK(leader.heardOrders(at(2s)).empty());
}

TEST_CASE("the result of a call from before a takeover is ignored [journal]")
{
    auto journal = takenOver(4, recordOf(3, {}));
    journal.request(kFirst);
    takeAppend(journal, at(0ms));
    journal.release();
    journal.takeOver(FencingToken(6));
    CHECK_FALSE(journal.takeCall(at(1s)));
    journal.onAppended(LogOffset(10), at(1s));
    CHECK_FALSE(journal.isOwned());
    CHECK(std::holds_alternative<OrderJournal::Read>(journal.takeCall(at(1s)).value()));
}

TEST_CASE("the record is emptied once its orders are over, so that the next leader need not wait [journal]")
{
    auto journal = takenOver(4, recordOf(3, {}));
    CHECK_FALSE(journal.takeCall(at(0ms)));
    journal.request(kFirst);
    takeAppend(journal, at(0ms));
    journal.onAppended(LogOffset(10), at(10ms));
    CHECK_FALSE(journal.takeCall(at(kExclusion - 1ms)));
    CHECK(takeAppend(journal, at(kExclusion)).record == ownRecord(4, {}));
    journal.onAppended(LogOffset(11), at(kExclusion));
    CHECK_FALSE(journal.takeCall(at(kExclusion + 1h)));
}
