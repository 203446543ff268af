#pragma once

#include "hornbeamgate/base/time.hpp"
#include "hornbeamgate/bookings/booking_record.hpp"
#include "hornbeamgate/event_log/log_events.hpp"

#include <deque>
#include <functional>
#include <optional>

namespace hornbeamgate {

/// Controls how entries are batched into records and how often they are appended.
struct BookingAppenderOptions {
    Duration minInterval = std::chrono::milliseconds(80); ///< between the starts of consecutive appends
    Duration retryDelay = std::chrono::milliseconds(250); ///< after an append that was rejected or not acknowledged
    std::size_t maxRecordBytes = std::size_t { 128 } * 1024; ///< a single larger entry gets a record of its own
};

/// Batches the entries of one writer into records and appends the records in order, one at a time, retrying until each
/// one is acknowledged. A record whose acknowledgement was lost is appended again: entries are idempotent, so a
/// duplicate, however late, does not change the claim of an attempt that is being executed or was executed.
class BookingAppender {
public:
    BookingAppender(BookingAppenderOptions options, std::string stream, WriterId writer);

    void add(BookingEntry entry);

    /// Starts the next append if one is due.
    std::optional<AppendRecord> poll(MonotonicTime now);

    /// Processes the outcome of an append. Returns the entries that it confirmed to be in the log, if any.
    std::vector<BookingEntry> handle(const AppendEvent& event, MonotonicTime now);

    /// Removes the queued entries that match `predicate`. Copies of them may already be in the log, or may be added
    /// later by an append whose outcome is unknown.
    void removeQueued(const std::function<bool(const BookingEntry&)>& predicate);

    std::optional<MonotonicTime> nextDeadline() const;
    std::size_t queued() const { return m_queue.size() + m_inFlight.size(); }
    std::uint64_t appends() const { return m_nextTicket.value(); }

private:
    void requeueInFlight(MonotonicTime now);

    BookingAppenderOptions m_options;
    std::string m_stream;
    WriterId m_writer;
    std::deque<BookingEntry> m_queue;
    std::vector<BookingEntry> m_inFlight;
    std::optional<AppendTicket> m_pendingTicket;
    AppendTicket m_nextTicket;
    MonotonicTime m_nextAppendAt;
};

} // namespace hornbeamgate
