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

/// Claims the journal for a new leader at time 0, after a predecessor that left `record`, and returns the claim.
OrderRecord claim(OrderJournal& journal, FencingToken token, const std::optional<OrderRecord>& record, LogOffset end)
{
    journal.takeOver(token);
    REQUIRE(std::holds_alternative<OrderJournal::Read>(journal.takeCall(at(0ms)).value()));
    journal.onRead(OrderRecordPosition { record, end }, at(0ms));
    const auto call = journal.takeCall(at(0ms));
    const auto& append = std::get<OrderJournal::Append>(call.value());
    REQUIRE(append.at == end);
    journal.onAppended(end.next(), at(0ms));
    REQUIRE(journal.isOwned());
    return append.record;
}

/// Takes the journal over at time 0, after a predecessor that left `record`.
OrderJournal takenOver(std::uint64_t token, const std::optional<OrderRecord>& record)
{
    OrderJournal journal(kSelf, kLease);
    claim(journal, FencingToken(token), record, LogOffset(8));
    return journal;
}

/// Era of the store, and the token and end of the journal of the first leader in it.
constexpr StoreEra kEra = storeEra(7);
constexpr FencingToken kToken = tokenInEra(kEra, 4);
constexpr LogOffset kEnd = positionInEra(kEra, 8);
/// Token of the last leader of the era before, whose generation was higher.
constexpr FencingToken kEarlierToken = tokenInEra(storeEra(6), 90);

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

TEST_CASE("a leader that finds a record from before a return of the store waits for all engines, as newer records may be lost [journal][store-return]")
{
    for (const auto& endpoints : { std::set<EndpointId> {}, std::set<EndpointId> { kFirst } }) {
        OrderJournal journal(kSelf, kLease);
        claim(journal, kToken, recordOf(kEarlierToken.value(), endpoints), kEnd);
        for (const auto& endpoint : { kFirst, kSecond }) {
            CHECK(journal.isBlocked(endpoint, at(kExclusion - 1ms)));
            CHECK_FALSE(journal.isBlocked(endpoint, at(kExclusion)));
        }
    }
}

TEST_CASE("a leader that finds its own record from before a return waits too, since another may have led since [journal][store-return]")
{
    OrderJournal journal(kSelf, kLease);
    const auto own = claim(journal, kEarlierToken, recordOf(tokenInEra(storeEra(6), 89).value(), {}), positionInEra(storeEra(6), 8));
    claim(journal, kToken, own, kEnd);
    CHECK(journal.isBlocked(kFirst, at(kExclusion - 1ms)));
    CHECK_FALSE(journal.isBlocked(kFirst, at(kExclusion)));
}

TEST_CASE("an order that was recorded before a return is not sent after it [journal][store-return]")
{
    OrderJournal journal(kSelf, kLease);
    claim(journal, kEarlierToken, recordOf(tokenInEra(storeEra(6), 89).value(), {}), positionInEra(storeEra(6), 8));
    journal.request(kFirst);
    takeAppend(journal, at(0ms));
    journal.onAppended(positionInEra(storeEra(6), 10), at(0ms));
    REQUIRE(journal.isRecorded(kFirst, at(0ms)));
    claim(journal, kToken, recordOf(kEarlierToken.value(), {}), kEnd);
    CHECK_FALSE(journal.isRecorded(kFirst, at(0ms)));
}

TEST_CASE("after a return of the store a leader waits only for the engines in a record of the same era [journal][store-return]")
{
    OrderJournal journal(kSelf, kLease);
    claim(journal, kToken, recordOf(tokenInEra(kEra, 3).value(), { kFirst }), kEnd);
    CHECK(journal.isBlocked(kFirst, at(kExclusion - 1ms)));
    CHECK_FALSE(journal.isBlocked(kSecond, at(0ms)));
}

TEST_CASE("the successor of a leader that waits for all engines after a return waits too, for the rest of the time if it hears the age [journal][store-return]")
{
    OrderJournal journal(kSelf, kLease);
    const auto record = claim(journal, kToken, recordOf(kEarlierToken.value(), {}), kEnd);
    REQUIRE(record.orders.contains(OrderJournal::kAllEndpoints));
    const auto reported = journal.recentOrders(at(1s));
    // The report may arrive before the successor reads the record or, from a daemon that it asks, after that.
    for (const bool isHeardBefore : { true, false }) {
        CAPTURE(isHeardBefore);
        OrderJournal successor(kOther, kLease);
        if (isHeardBefore)
            successor.onPeerOrders(reported, at(0ms));
        claim(successor, tokenInEra(kEra, 5), record, kEnd.next());
        if (!isHeardBefore) {
            CHECK(successor.isBlocked(kSecond, at(kExclusion - 1ms)));
            CHECK(successor.isAskingForAges(at(0ms)));
            successor.onPeerOrders(reported, at(0ms));
        }
        CHECK(successor.isBlocked(kSecond, at(kExclusion - 1s - 1ms)));
        CHECK_FALSE(successor.isBlocked(kSecond, at(kExclusion - 1s)));
    }
}

TEST_CASE("the wait for all engines after a return does not begin anew with a later claim, and its entry is removed afterwards [journal][store-return]")
{
    OrderJournal journal(kSelf, kLease);
    const auto record = claim(journal, kToken, recordOf(kEarlierToken.value(), {}), kEnd);
    journal.request(kFirst);
    takeAppend(journal, at(1s));
    journal.onAppended(std::nullopt, at(1s));
    journal.takeCall(at(2s));
    journal.onRead(OrderRecordPosition { record, kEnd.next() }, at(2s));
    takeAppend(journal, at(2s));
    journal.onAppended(kEnd.next().next(), at(2s));
    CHECK_FALSE(journal.isBlocked(kSecond, at(kExclusion)));
    takeAppend(journal, at(2s));
    journal.onAppended(kEnd.next().next().next(), at(2s));
    CHECK(takeAppend(journal, at(2s + kExclusion)).record.orders.empty());
}

TEST_CASE("a leader that finds a record that was appended before the store's return but arrived after it waits for all engines again [journal][store-return]")
{
    OrderJournal journal(kSelf, kLease);
    claim(journal, kToken, recordOf(kEarlierToken.value(), {}), kEnd);
    journal.request(kFirst);
    takeAppend(journal, at(5s));
    // The conditional append of the earlier leader has met the same offset.
    journal.onAppended(std::nullopt, at(5s));
    journal.takeCall(at(6s));
    journal.onRead(OrderRecordPosition { recordOf(kEarlierToken.value(), { kSecond }), kEnd.next().next() }, at(6s));
    CHECK_FALSE(journal.isSuperseded());
    takeAppend(journal, at(6s));
    journal.onAppended(kEnd.next().next().next(), at(6s));
    CHECK(journal.isBlocked(kFirst, at(6s)));
}

TEST_CASE("the wait of an earlier leader for all engines, which is over, does not stand for the one after a return [journal][store-return]")
{
    OrderJournal journal(kSelf, kLease);
    auto record = recordOf(kEarlierToken.value(), {});
    record.orders[OrderJournal::kAllEndpoints] = { HostId(), kRequestedAt };
    // The copy lists that wait, and another daemon has heard how old it is.
    journal.onPeerOrders({ { OrderJournal::kAllEndpoints, kRequestedAt, kExclusion } }, at(0ms));
    claim(journal, kToken, record, kEnd);
    CHECK(journal.isBlocked(kFirst, at(kExclusion - 1ms)));
    CHECK_FALSE(journal.isBlocked(kFirst, at(kExclusion)));
}

TEST_CASE("Guards against leaders that wait anew, each from its claim, after a return from a copy without any record [journal][store-return]")
{
    for (const bool isUnreadable : { false, true }) {
        CAPTURE(isUnreadable);
        OrderJournal journal(kSelf, kLease);
        journal.recordEra(kEra, at(0ms));
        journal.takeOver(kToken);
        journal.takeCall(at(3s));
        journal.onRead(OrderRecordPosition { std::nullopt, kEnd, isUnreadable }, at(3s));
        takeAppend(journal, at(3s));
        journal.onAppended(kEnd.next(), at(3s));
        CHECK(journal.isBlocked(kFirst, at(kExclusion - 1ms)));
        // The orders of a record that can't be read may be recent.
        CHECK(journal.isBlocked(kFirst, at(kExclusion)) == isUnreadable);
    }
}
