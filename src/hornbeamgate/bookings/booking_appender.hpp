#pragma once

#include "hornbeamgate/base/time.hpp"
#include "hornbeamgate/bookings/booking_record.hpp"
#include "hornbeamgate/event_log/log_events.hpp"

#include <deque>
#include <functional>
#include <optional>

namespace hornbeamgate {

/// How entries are grouped into records.
struct BookingAppenderOptions {
    Duration minInterval = std::chrono::milliseconds(80); ///< between the starts of two appends to the partition
    Duration retryDelay = std::chrono::milliseconds(250); ///< after an append that was refused or not answered
    std::size_t maxRecordBytes = std::size_t { 128 } * 1024; ///< a record holds at least one entry even if that is larger
};

/// Groups the entries of one writer into records and appends them one at a time and in order until each is known to be
/// in the log. A record whose answer was lost is appended again: entries are idempotent, so a second copy, however
/// late, changes no claim of an attempt that is or was run.
class BookingAppender {
public:
    BookingAppender(BookingAppenderOptions options, std::string stream, WriterId writer);

    void add(BookingEntry entry);

    /// Starts the next append if one is due.
    std::optional<AppendRecord> poll(MonotonicTime now);

    /// Takes the outcome of an append. Returns the entries now known to be in the log, or none.
    std::vector<BookingEntry> handle(const AppendEvent& event, MonotonicTime now);

    /// Removes waiting entries that `unwanted` selects. Copies of them may be in the log already, or get there later.
    void removeQueued(const std::function<bool(const BookingEntry&)>& unwanted);

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
