#pragma once

#include "hornbeamgate/base/time.hpp"
#include "hornbeamgate/bookings/booking_appender.hpp"
#include "hornbeamgate/bookings/booking_index.hpp"
#include "hornbeamgate/bookings/booking_record.hpp"
#include "hornbeamgate/event_log/log_events.hpp"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace hornbeamgate {

/// Options of a BookingPartition.
struct BookingOptions {
    BookingPartitionId partition;
    WriterId writer;
    BookingIndexOptions index;
    BookingAppenderOptions appender;
    std::uint64_t maxCatchUpRecords = 20'000; ///< read before the first call; older keys count as expired
    std::size_t maxRequests = 2'000; ///< requests that wait or run; further ones are refused
    std::size_t maxResultBodyBytes = std::size_t { 16 } * 1024; ///< larger bodies reach the first caller only
    Duration logWaitTimeout = std::chrono::seconds(2); ///< how long a request waits for the log
    Duration readRetryDelay = std::chrono::milliseconds(250); ///< after a read that failed
};

struct BookingOptionsError {
    std::string detail;
};

/// A caller's request under an idempotency key. `position` is that of the key; `deadline` bounds the answer.
struct BookingRequested {
    RequestId request;
    BookingId booking;
    LogOffset position;
    RequestFingerprint fingerprint;
    MonotonicTime deadline;
};

/// The service answered the call of `attempt`.
struct ServiceAnswered {
    std::uint64_t attempt = 0;
    ServiceResult result;
};

/// The call of `attempt` failed.
struct ServiceFailed {
    std::uint64_t attempt = 0;
    CallFailure failure = CallFailure::OutcomeUnknown;
};

/// The time of nextDeadline() was reached.
struct BookingTimerExpired {
};

using BookingEvent
    = std::variant<BookingRequested, ServiceAnswered, ServiceFailed, LogReadEvent, AppendEvent, BookingTimerExpired>;

/// Action: send the body of `request` to the service, once, and report the outcome under `attempt`.
struct CallService {
    std::uint64_t attempt = 0;
    RequestId request;
};

/// Action: answer `request`.
struct BookingReply {
    RequestId request;
    BookingAnswer answer;
};

/// Action: read `stream` from offset `from` on and wait for records when there are none. One read runs at a time.
struct ReadLog {
    std::string stream;
    LogOffset from;
};

using BookingAction = std::variant<AppendRecord, ReadLog, CallService, BookingReply>;

/// Runs the bookings of one log partition for one service endpoint, each at most once.
///
/// An attempt calls the service only after its intent was read as the first for the booking in log order, with every
/// record from the key's position on read before it. All other readers reach the same claim and never call. A claim
/// ends by no timeout; only its writer releases it, and only for an attempt that was not called and never will be.
/// So a pause between the read and the call, however long, lets nobody else run the booking.
class BookingPartition {
public:
    static Result<BookingPartition, BookingOptionsError> create(BookingOptions options);

    /// Call once with BookingTimerExpired at the start; it begins to read the log.
    std::vector<BookingAction> handle(const BookingEvent& event, MonotonicTime now);
    std::optional<MonotonicTime> nextDeadline() const;

    /// Offset up to which the partition is known; valid as position of new keys.
    LogOffset position() const { return m_next; }
    nlohmann::json dump() const;

private:
    enum class PendingState : std::uint8_t {
        Waiting,
        Running, ///< the service was called
        Answered, ///< the result is not yet known to be in the log
        OutcomeLost, ///< the failure is not yet known to be in the log
    };

    struct Waiter {
        RequestId request;
        MonotonicTime deadline;
        MonotonicTime logDeadline; ///< until when it waits for the log
    };

    /// All that this process does for one booking.
    struct PendingBooking {
        LogOffset position;
        RequestFingerprint fingerprint;
        PendingState state = PendingState::Waiting;
        std::uint64_t attempt = 0; ///< 0 before the first intent
        bool intentPending = false; ///< an intent is queued, in flight or not yet read back
        LogOffset intentOffset; ///< where the intent stands, once known; otherwise 0
        bool intentAppended = false;
        ServiceResult result;
        std::vector<Waiter> waiters;
    };

    using PendingBookings = std::unordered_map<BookingId, PendingBooking>;

    explicit BookingPartition(BookingOptions options);

    void on(const BookingRequested& event);
    void on(const ServiceAnswered& event);
    void on(const ServiceFailed& event);
    void on(const LogReadEvent& event);
    void on(const AppendEvent& event);
    void on(const BookingTimerExpired& event);
    void on(const LogRecordsRead& read);
    void on(const LogTrimmed& trimmed);
    void on(const LogUnreachable& unreachable);

    void skipOldRecords(LogOffset end);
    void applyRecord(LogOffset offset, const Result<BookingRecord, CodecError>& record);
    void releaseOrphanedClaim(const BookingId& booking);
    void evaluateAll();
    void evaluate(const BookingId& booking);
    void evaluateClaimed(PendingBookings::iterator pending, const BookingClaim& claim);
    void evaluateUnclaimed(PendingBookings::iterator pending);
    void callService(PendingBookings::iterator pending);
    void expireWaiters();
    bool expired(const BookingId& booking, const PendingBooking& pending, const Waiter& waiter) const;
    BookingAnswer answerAtDeadline(const BookingId& booking, const PendingBooking& pending) const;
    void replyAll(PendingBooking& pending, const BookingAnswer& answer);
    void abandon(PendingBookings::iterator pending, const BookingAnswer& answer);
    void recordOutcome(PendingBookings::iterator pending, PendingState state, BookingEntry entry);
    void handleAppendedEntry(const BookingEntry& entry, LogOffset offset);
    void removeObsoleteIntents();
    PendingBookings::iterator findAttempt(std::uint64_t attempt, PendingState state);
    void emitLogActions();

    BookingOptions m_options;
    BookingIndex m_index;
    BookingAppender m_appender;
    PendingBookings m_pendingBookings;
    std::map<std::uint64_t, BookingId> m_bookingOfAttempt;
    std::size_t m_requests = 0;
    std::uint64_t m_lastAttempt = 0;
    LogOffset m_next; // first offset not yet read
    bool m_caughtUp = false; // has read to the end since coverage began
    bool m_reading = false;
    bool m_logDown = false;
    MonotonicTime m_nextReadAt;
    MonotonicTime m_now; // of the event being handled
    std::uint64_t m_badRecords = 0;
    std::uint64_t m_calls = 0;
    std::vector<BookingAction> m_actions;
};

} // namespace hornbeamgate
