#include "hornbeamgate/bookings/booking_partition.hpp"
#include "linear_fit.hpp"

#include <malloc.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <random>

using namespace hornbeamgate;
using namespace std::chrono_literals;

namespace {

constexpr Duration kLogRoundTrip = 62ms; // a data centre in the other region than the log
constexpr Duration kServiceTime = 20ms;
constexpr std::uint32_t kPartitions = 8;
constexpr int kBookings = 4'000;
constexpr double kGroupedFrom = 100; // bookings per second from which on records hold several intents

BookingId bookingNumber(std::uint64_t number)
{
    const auto key = IdempotencyKey::make(std::to_string(number), LogOffset(0)).value();
    return makeBookingId(WorkspaceId("postojna"), ServiceId("hauls"), key);
}

struct Totals {
    std::uint64_t appends = 0;
    std::uint64_t bytes = 0;
    std::vector<double> callDelays; // in log round trips
    double seconds = 0;
};

/// One agent for each partition, a log and a service with fixed delays, and Poisson arrivals.
class Simulation {
public:
    explicit Simulation(double bookingsPerSecond)
        : m_rate(bookingsPerSecond)
        , m_logs(kPartitions)
    {
        for (std::uint32_t i = 0; i < kPartitions; ++i) {
            BookingOptions options;
            options.partition = BookingPartitionId(i);
            options.writer = WriterId(i + 1);
            m_partitions.push_back(BookingPartition::create(options).value());
        }
    }

    Totals run()
    {
        std::exponential_distribution<double> gap(m_rate);
        auto arrival = m_now + 1s;
        for (std::uint32_t i = 0; i < kPartitions; ++i)
            schedule(m_now, i, BookingTimerExpired {});
        for (int i = 0; i < kBookings; ++i) {
            arrival += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(m_random)));
            const auto id = bookingNumber(static_cast<std::uint64_t>(i));
            const RequestId request(static_cast<std::uint64_t>(i));
            m_arrivals[request] = arrival;
            schedule(arrival, static_cast<std::uint32_t>(m_random() % kPartitions),
                BookingRequested { request, id, LogOffset(0), RequestFingerprint(1), arrival + 60s });
        }
        m_totals.seconds = std::chrono::duration<double>(arrival - m_now).count();
        const auto end = arrival + 5s;
        while (!m_events.empty() && m_events.begin()->first < end)
            step();
        return m_totals;
    }

private:
    struct Scheduled {
        std::uint32_t partition = 0;
        BookingEvent event;
    };

    void schedule(MonotonicTime time, std::uint32_t partition, BookingEvent event)
    {
        m_events.emplace(time, Scheduled { partition, std::move(event) });
    }

    void step()
    {
        const auto node = m_events.extract(m_events.begin());
        m_now = node.key();
        const auto partition = node.mapped().partition;
        for (const auto& action : m_partitions[partition].handle(node.mapped().event, m_now))
            std::visit([&](const auto& typed) { perform(partition, typed); }, action);
        if (const auto deadline = m_partitions[partition].nextDeadline())
            schedule(std::max(*deadline, m_now + 1us), partition, BookingTimerExpired {});
    }

    void perform(std::uint32_t partition, const AppendRecord& append)
    {
        auto& log = m_logs[partition];
        const LogOffset offset(log.size());
        log.push_back({ offset, append.data });
        ++m_totals.appends;
        m_totals.bytes += append.data.size();
        schedule(m_now + kLogRoundTrip, partition, AppendEvent(AppendSucceeded { append.ticket, offset }));
    }

    void perform(std::uint32_t partition, const ReadLog& read)
    {
        const auto& log = m_logs[partition];
        LogRecordsRead answer { {}, LogOffset(log.size()) };
        answer.records.assign(log.begin() + static_cast<std::ptrdiff_t>(read.from.value()), log.end());
        const auto wait = answer.records.empty() ? 5 * kLogRoundTrip : kLogRoundTrip;
        schedule(m_now + wait, partition, LogReadEvent(answer));
    }

    void perform(std::uint32_t partition, const CallService& call)
    {
        m_totals.callDelays.push_back(
            std::chrono::duration<double>(m_now - m_arrivals[call.request]) / kLogRoundTrip);
        const ServiceResult result { 201, "application/json", Bytes(120), true };
        schedule(m_now + kServiceTime, partition, ServiceAnswered { call.attempt, result });
    }

    void perform(std::uint32_t /*partition*/, const BookingReply& /*reply*/) { }

    double m_rate;
    std::vector<std::vector<LogRecord>> m_logs;
    std::vector<BookingPartition> m_partitions;
    std::multimap<MonotonicTime, Scheduled> m_events;
    std::map<RequestId, MonotonicTime> m_arrivals;
    std::mt19937 m_random { 20261204 };
    MonotonicTime m_now { 1h };
    Totals m_totals;
};

void measureGrouping()
{
    std::vector<bench::Sample> ungrouped;
    std::vector<bench::Sample> grouped;
    std::cout << "bookings/s  appends/s  appends/booking  bytes/booking  call delay in log round trips: mean  p95\n";
    for (const double rate : { 1.0, 10.0, 50.0, 100.0, 200.0, 350.0, 500.0 }) {
        auto totals = Simulation(rate).run();
        auto& delays = totals.callDelays;
        std::sort(delays.begin(), delays.end());
        double sum = 0;
        for (const auto delay : delays)
            sum += delay;
        const auto perSecond = static_cast<double>(totals.appends) / totals.seconds;
        std::cout << rate << "  " << perSecond << "  " << static_cast<double>(totals.appends) / kBookings << "  "
                  << static_cast<double>(totals.bytes) / kBookings << "  " << sum / static_cast<double>(delays.size())
                  << "  " << delays[delays.size() * 95 / 100] << "  (calls " << delays.size() << ")\n";
        (rate < kGroupedFrom ? ungrouped : grouped).push_back({ rate, perSecond });
    }
    bench::printFit("bookings", "appends over bookings below 100/s", "1/s", bench::fitLine(ungrouped));
    bench::printFit("bookings", "appends over bookings from 100/s on", "1/s", bench::fitLine(grouped));
}

BookingRecord recordOf(std::uint64_t first, std::uint64_t entries, bool results)
{
    BookingRecord record { WriterId(7), {} };
    for (std::uint64_t i = first; i < first + entries; ++i) {
        record.entries.emplace_back(IntentEntry { bookingNumber(i), i, RequestFingerprint(i << 32) });
        if (results)
            record.entries.emplace_back(
                ResultEntry { bookingNumber(i), i, { 201, "application/json", Bytes(120), true } });
    }
    return record;
}

void measureRecordBytes()
{
    std::vector<bench::Sample> samples;
    for (const std::uint64_t entries : std::initializer_list<std::uint64_t> { 1, 5, 20, 100 })
        samples.push_back({ static_cast<double>(entries),
            static_cast<double>(encodeBookingRecord(recordOf(1'000'000, entries, false)).size()) });
    bench::printFit("bookings", "record bytes over intents in it", "octets", bench::fitLine(samples));
}

void measureStateBytes()
{
    for (const bool results : { false, true }) {
        std::vector<bench::Sample> samples;
        for (const std::uint64_t keys : std::initializer_list<std::uint64_t> { 5'000, 10'000, 20'000, 40'000 }) {
            const auto before = mallinfo2().uordblks;
            BookingIndexOptions options;
            options.maxResultBytes = std::size_t { 64 } * 1024 * 1024;
            BookingIndex index(options);
            for (std::uint64_t i = 0; i < keys; i += 10)
                index.apply(LogOffset(i), recordOf(i, 10, results), MonotonicTime(1h));
            samples.push_back({ static_cast<double>(keys), static_cast<double>(mallinfo2().uordblks - before) });
        }
        const auto* quantity = results ? "state bytes over keys with a result of 120 octets" : "state bytes over keys";
        bench::printFit("bookings", quantity, "octets", bench::fitLine(samples));
    }
}

template <typename F>
double secondsOf(const F& function)
{
    const auto start = MonotonicClock::now();
    function();
    return std::chrono::duration<double>(MonotonicClock::now() - start).count();
}

void measureColdStart()
{
    std::vector<bench::Sample> samples;
    double ratio = 0;
    for (const std::uint64_t bookings : std::initializer_list<std::uint64_t> { 5'000, 10'000, 20'000, 40'000 }) {
        LogRecordsRead read { {}, LogOffset(bookings / 5) };
        for (std::uint64_t i = 0; i < bookings; i += 5)
            read.records.push_back({ LogOffset(i / 5), encodeBookingRecord(recordOf(i, 5, true)) });
        auto partition = BookingPartition::create({}).value();
        partition.handle(BookingTimerExpired {}, MonotonicTime(1h));
        const auto whole = secondsOf([&] { partition.handle(LogReadEvent(read), MonotonicTime(1h)); });
        const auto decoding = secondsOf([&] {
            for (const auto& record : read.records)
                static_cast<void>(decodeBookingRecord(record.data));
        });
        samples.push_back({ static_cast<double>(bookings), whole * 1e6 });
        ratio = whole / decoding;
    }
    bench::printFit("bookings", "cold start over retained bookings", "us", bench::fitLine(samples));
    std::cout << "cold start, time against decoding alone: " << ratio << '\n';
}

} // namespace

int main()
{
    measureGrouping();
    measureRecordBytes();
    measureStateBytes();
    measureColdStart();
}
