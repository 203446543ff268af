#include "hornbeamgate/bookings/booking_partition.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace hornbeamgate;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kStart { std::chrono::hours(1) };

template <typename T>
std::vector<T> actionsOfType(const std::vector<BookingAction>& actions)
{
    std::vector<T> picked;
    for (const auto& action : actions) {
        if (const auto* typed = std::get_if<T>(&action))
            picked.push_back(*typed);
    }
    return picked;
}

BookingId makeTestBookingId(std::uint8_t number)
{
    BookingId id;
    id.digest.fill(number);
    return id;
}

BookingRequested makeRequest(std::uint64_t request, std::uint8_t booking, std::uint64_t position = 0)
{
    return { RequestId(request), makeTestBookingId(booking), LogOffset(position), RequestFingerprint(1), kStart + 10s };
}

BookingOptions makeOptions(std::uint64_t writer)
{
    BookingOptions options;
    options.writer = WriterId(writer);
    return options;
}

/// Creates a partition that has read its log up to `next`.
BookingPartition makeCaughtUpPartition(std::uint64_t next, const std::vector<LogRecord>& records = {})
{
    auto partition = BookingPartition::create(makeOptions(1)).value();
    partition.handle(BookingTimerExpired {}, kStart);
    if (next > 0 && records.empty())
        partition.handle(LogReadEvent(LogTrimmed { LogOffset(next) }), kStart);
    partition.handle(LogReadEvent(LogRecordsRead { records, LogOffset(next) }), kStart);
    return partition;
}

BookingAnswer requireSingleAnswer(const std::vector<BookingAction>& actions)
{
    const auto replies = actionsOfType<BookingReply>(actions);
    REQUIRE(replies.size() == 1);
    return replies.front().answer;
}

LogRecord makeIntentRecord(std::uint64_t offset, std::uint64_t writer, std::uint8_t booking)
{
    const BookingRecord record { WriterId(writer), { IntentEntry { makeTestBookingId(booking), 1, RequestFingerprint(1) } } };
    return { LogOffset(offset), encodeBookingRecord(record) };
}

} // namespace

TEST_CASE("without other writers the service is called after a single append [bookings]")
{
    auto partition = makeCaughtUpPartition(0);
    const auto appends = actionsOfType<AppendRecord>(partition.handle(makeRequest(1, 1), kStart));
    REQUIRE(appends.size() == 1);
    CHECK(appends[0].stream == "bookings-0");
    const auto calls
        = actionsOfType<CallService>(partition.handle(AppendEvent(AppendSucceeded { appends[0].ticket, LogOffset(0) }), kStart));
    REQUIRE(calls.size() == 1);
    const ServiceResult result { 201, "text/plain", { 1 }, true };
    CHECK(requireSingleAnswer(partition.handle(ServiceAnswered { calls[0].attempt, result }, kStart)) == BookingAnswer(result));
    CHECK(requireSingleAnswer(partition.handle(makeRequest(2, 1), kStart)) == BookingAnswer(result));
}

TEST_CASE("no intent is appended before the log is read to the end [bookings]")
{
    auto partition = BookingPartition::create(makeOptions(1)).value();
    partition.handle(BookingTimerExpired {}, kStart);
    CHECK(partition.handle(makeRequest(1, 1), kStart).empty());
    const auto afterHalf
        = partition.handle(LogReadEvent(LogRecordsRead { { makeIntentRecord(0, 9, 1) }, LogOffset(2) }), kStart);
    CHECK(actionsOfType<AppendRecord>(afterHalf).empty());
    CHECK(actionsOfType<ReadLog>(afterHalf).at(0).from == LogOffset(1));
}

TEST_CASE("rejected requests are answered with reason and scope [bookings]")
{
    struct Case {
        NotRunReason reason;
        BookingPartition partition;
        BookingRequested request;
        MonotonicTime answeredAt;
    };
    auto unread = BookingPartition::create(makeOptions(1)).value();
    auto overloaded = makeOptions(1);
    overloaded.maxRequests = 1;
    auto full = BookingPartition::create(overloaded).value();
    full.handle(makeRequest(90, 9), kStart);
    auto reused = makeRequest(2, 1);
    reused.fingerprint = RequestFingerprint(2);
    Case cases[] = {
        { NotRunReason::LogUnavailable, unread, makeRequest(1, 1), kStart + 2s },
        { NotRunReason::Overloaded, full, makeRequest(1, 1), kStart },
        { NotRunReason::KeyReused, makeCaughtUpPartition(1, { makeIntentRecord(0, 9, 1) }), reused, kStart },
        { NotRunReason::KeyExpired, makeCaughtUpPartition(5), makeRequest(1, 1, 4), kStart },
        { NotRunReason::KeyNotYetValid, makeCaughtUpPartition(5), makeRequest(1, 1, 6), kStart + 10s },
    };
    for (auto& row : cases) {
        CAPTURE(std::string(toString(row.reason)));
        auto actions = row.partition.handle(row.request, kStart);
        if (row.answeredAt > kStart)
            actions = row.partition.handle(BookingTimerExpired {}, row.answeredAt);
        CHECK(requireSingleAnswer(actions) == BookingAnswer(NotRun { row.reason, NotRunScope::Request }));
    }
}

TEST_CASE("a claim that its writer never resolves becomes unknown and is not executed by others [bookings]")
{
    auto partition = makeCaughtUpPartition(1, { makeIntentRecord(0, 9, 1) });
    CHECK(actionsOfType<BookingReply>(partition.handle(makeRequest(1, 1), kStart)).empty());
    CHECK(requireSingleAnswer(partition.handle(BookingTimerExpired {}, kStart + 10s)) == BookingAnswer(InProgress {}));
    auto late = makeRequest(2, 1);
    late.deadline = kStart + 3h;
    const auto actions = partition.handle(late, kStart + 2h);
    CHECK(requireSingleAnswer(actions) == BookingAnswer(OutcomeUnknown {}));
    CHECK(actionsOfType<AppendRecord>(actions).empty());
}

TEST_CASE("a delayed duplicate of an abandoned intent is released [bookings]")
{
    auto partition = makeCaughtUpPartition(0);
    const auto append = actionsOfType<AppendRecord>(partition.handle(makeRequest(1, 1), kStart)).at(0);
    partition.handle(AppendEvent(AppendOutcomeUnknown { append.ticket }), kStart);
    CHECK(requireSingleAnswer(partition.handle(BookingTimerExpired {}, kStart + 10s))
        == BookingAnswer(NotRun { NotRunReason::LogUnavailable, NotRunScope::Request }));
    const LogRecordsRead read { { { LogOffset(0), append.data } }, LogOffset(1) };
    const auto actions = partition.handle(LogReadEvent(read), kStart + 11s);
    CHECK(actionsOfType<CallService>(actions).empty());
    const auto released = decodeBookingRecord(actionsOfType<AppendRecord>(actions).at(0).data).value();
    CHECK(std::holds_alternative<ReleaseEntry>(released.entries.at(0)));
}

TEST_CASE("startup on a long log reads only the last records and expires older keys [bookings]")
{
    auto options = makeOptions(1);
    options.maxCatchUpRecords = 10;
    auto partition = BookingPartition::create(options).value();
    partition.handle(BookingTimerExpired {}, kStart);
    const LogRecordsRead far { { makeIntentRecord(0, 9, 1) }, LogOffset(100) };
    CHECK(actionsOfType<ReadLog>(partition.handle(LogReadEvent(far), kStart)).at(0).from == LogOffset(90));
    LogRecordsRead rest { {}, LogOffset(100) };
    for (std::uint64_t offset = 90; offset < 100; ++offset)
        rest.records.push_back(makeIntentRecord(offset, 9, 2));
    partition.handle(LogReadEvent(rest), kStart);
    CHECK(requireSingleAnswer(partition.handle(makeRequest(1, 1, 89), kStart))
        == BookingAnswer(NotRun { NotRunReason::KeyExpired, NotRunScope::Request }));
    CHECK(actionsOfType<AppendRecord>(partition.handle(makeRequest(2, 3, 90), kStart)).size() == 1);
}

TEST_CASE("an undecodable record expires all keys with a position up to its offset [bookings]")
{
    auto partition = makeCaughtUpPartition(1, { { LogOffset(0), { 0xff } } });
    CHECK(requireSingleAnswer(partition.handle(makeRequest(1, 1, 0), kStart))
        == BookingAnswer(NotRun { NotRunReason::KeyExpired, NotRunScope::Request }));
    CHECK(actionsOfType<AppendRecord>(partition.handle(makeRequest(2, 2, 1), kStart)).size() == 1);
    CHECK(partition.dump()["bad_records"] == 1);
}

TEST_CASE("no entries stay queued for requests that were rejected during a log outage [bookings]")
{
    auto partition = makeCaughtUpPartition(0);
    auto now = kStart;
    for (std::uint64_t i = 0; i < 50; ++i) {
        auto request = makeRequest(i, static_cast<std::uint8_t>(i));
        request.deadline = now + 1s;
        for (const auto& append : actionsOfType<AppendRecord>(partition.handle(request, now)))
            partition.handle(AppendEvent(AppendRefused { append.ticket }), now);
        now += 1s;
        for (const auto& append : actionsOfType<AppendRecord>(partition.handle(BookingTimerExpired {}, now)))
            partition.handle(AppendEvent(AppendRefused { append.ticket }), now);
    }
    CHECK(partition.dump()["queued_entries"] == 0);
    CHECK(partition.dump()["requests"] == 0);
}

TEST_CASE("invalid options are rejected [bookings]")
{
    auto options = makeOptions(1);
    options.maxRequests = 0;
    CHECK_FALSE(BookingPartition::create(options).has_value());
    options = makeOptions(1);
    options.maxResultBodyBytes = kMaxBookingRecordBytes;
    CHECK_FALSE(BookingPartition::create(options).has_value());
    options = makeOptions(1);
    options.logWaitTimeout = 0s;
    CHECK_FALSE(BookingPartition::create(options).has_value());
}
