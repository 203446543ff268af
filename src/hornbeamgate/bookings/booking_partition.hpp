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
    std::uint64_t maxCatchUpRecords = 20'000; ///< records read at startup; keys from before them count as expired
    std::size_t maxRequests = 2'000; ///< limit of waiting and running requests; further ones are rejected
    std::size_t maxResultBodyBytes = std::size_t { 16 } * 1024; ///< larger bodies go to waiting callers only
    Duration logWaitTimeout = std::chrono::seconds(2); ///< maximum time a request waits for the log
    Duration readRetryDelay = std::chrono::milliseconds(250); ///< delay after a failed read
};

/// Reason why options were rejected.
struct BookingOptionsError {
    std::string detail;
};

/// Event: a caller sent a request with an idempotency key. `position` is the position in the key; the request is
/// answered by `deadline`.
struct BookingRequested {
    RequestId request;
    BookingId booking;
    LogOffset position;
    RequestFingerprint fingerprint;
    MonotonicTime deadline;
};

/// Event: the service responded to the call of `attempt`.
struct ServiceAnswered {
    std::uint64_t attempt = 0;
    ServiceResult result;
};

/// Event: the call of `attempt` failed.
struct ServiceFailed {
    std::uint64_t attempt = 0;
    CallFailure failure = CallFailure::OutcomeUnknown;
};

/// Event: the time returned by nextDeadline() was reached.
struct BookingTimerExpired {
};

using BookingEvent
    = std::variant<BookingRequested, ServiceAnswered, ServiceFailed, LogReadEvent, AppendEvent, BookingTimerExpired>;

/// Action: send the body of `request` to the service once, without retries, and report the outcome with `attempt`.
struct CallService {
    std::uint64_t attempt = 0;
    RequestId request;
};

/// Action: answer `request`.
struct BookingReply {
    RequestId request;
    BookingAnswer answer;
};

/// Action: read `stream` from offset `from` on, waiting for records if there are none. At most one read is active.
struct ReadLog {
    std::string stream;
    LogOffset from;
};

using BookingAction = std::variant<AppendRecord, ReadLog, CallService, BookingReply>;

/// Executes the bookings of one log partition for one service endpoint, each at most once.
///
/// An attempt calls the service only after its intent was read back as the first one for the booking in log order and
/// all records from the key's position up to it were read. All other readers derive the same claim and do not call the
/// service. Claims do not time out: only the writer releases its claim, and only for an attempt that has not called the
/// service and never will. A pause of any length between the read and the call therefore cannot cause a second call.
///
/// A log that has come back from an older copy may lack claims of keys that were created before, so these keys expire.
class BookingPartition {
public:
    static Result<BookingPartition, BookingOptionsError> create(BookingOptions options);

    /// Processes an event and returns the actions to perform. Call it once with BookingTimerExpired at startup to start
    /// reading the log.
    std::vector<BookingAction> handle(const BookingEvent& event, MonotonicTime now);
    std::optional<MonotonicTime> nextDeadline() const;

    /// Offset up to which the log was read; valid as the position of new keys.
    LogOffset position() const { return m_next; }
    nlohmann::json dump() const;

private:
    enum class PendingState : std::uint8_t {
        Waiting,
        Running, ///< the service was called and has not responded
        Answered, ///< the service responded; the result is not yet confirmed to be in the log
        OutcomeLost, ///< the call has no known outcome; this is not yet confirmed to be in the log
    };

    struct Waiter {
        RequestId request;
        MonotonicTime deadline;
        MonotonicTime logDeadline; ///< end of the wait for the log
    };

    /// State of a booking that this process is working on.
    struct PendingBooking {
        LogOffset position;
        RequestFingerprint fingerprint;
        PendingState state = PendingState::Waiting;
        std::uint64_t attempt = 0; ///< 0 before the first intent
        bool intentPending = false; ///< an intent is queued, being appended or not yet read back
        LogOffset intentOffset; ///< offset of the intent if intentAppended is set
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
    void on(const LogRestarted& restarted);
    void on(const LogUnreachable& unreachable);

    /// Continues at `first` without the records before it. Keys from before it count as expired.
    void restartAt(LogOffset first);
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
    LogOffset m_next; // offset of the next record to read
    bool m_caughtUp = false; // the end of the log was reached since coverage started
    bool m_reading = false;
    bool m_logDown = false;
    MonotonicTime m_nextReadAt;
    MonotonicTime m_now; // time of the event being handled
    std::uint64_t m_badRecords = 0;
    std::uint64_t m_calls = 0;
    std::vector<BookingAction> m_actions;
};

} // namespace hornbeamgate
