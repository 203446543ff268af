#pragma once

#include "hornbeamgate/base/time.hpp"
#include "hornbeamgate/bookings/booking_record.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace hornbeamgate {

/// Bounds of a BookingIndex.
struct BookingIndexOptions {
    std::size_t maxIntents = 50'000; ///< owning intents remembered; older ones leave and shorten the window
    std::size_t maxResultBytes = std::size_t { 4 } * 1024 * 1024; ///< bodies kept; older ones are dropped first
    Duration unresolvedAfter = std::chrono::seconds(60); ///< from then on a claim without a result counts as unknown
};

enum class ClaimState : std::uint8_t {
    Claimed, ///< owned; the owner has recorded no outcome
    Answered, ///< the service answered the owner's call
    OutcomeUnknown, ///< the owner called and will never know
};

/// Who owns a booking according to the log, and what became of it.
struct BookingClaim {
    AttemptId owner;
    RequestFingerprint fingerprint;
    LogOffset offset; ///< of the owning intent
    ClaimState state = ClaimState::Claimed;
    MonotonicTime unresolvedAt;
    ServiceResult result;
};

/// What the log of one partition says about each booking, from `coverageFrom` on without a gap.
/// Every reader that applies the same records in order reaches the same claims. A key whose position is before
/// `coverageFrom` cannot be judged: its booking may stand in a part that is not known here.
class BookingIndex {
public:
    explicit BookingIndex(BookingIndexOptions options);

    /// Applies the record at `offset`. Returns the bookings that it names, in their order.
    std::vector<BookingId> apply(LogOffset offset, const BookingRecord& record, MonotonicTime now);

    /// Forgets everything; coverage starts anew at `from`.
    void restart(LogOffset from);

    /// Forgets all intents before `offset`.
    void dropBefore(LogOffset offset);

    /// Claim on `booking`, or nullptr when nobody owns it.
    const BookingClaim* find(const BookingId& booking) const;

    LogOffset coverageFrom() const { return m_coverageFrom; }
    std::size_t size() const { return m_claims.size(); }
    nlohmann::json dump() const;

private:
    struct IntentPosition {
        LogOffset offset;
        BookingId booking;
    };

    void applyEntry(const IntentEntry& entry);
    void applyEntry(const ReleaseEntry& entry);
    void applyEntry(const ResultEntry& entry);
    void applyEntry(const OutcomeUnknownEntry& entry);
    BookingClaim* findUnsettledClaim(const BookingId& booking, std::uint64_t attempt);
    void evictResultBodies();
    void evictOldIntents();

    BookingIndexOptions m_options;
    LogOffset m_coverageFrom;
    std::unordered_map<BookingId, BookingClaim> m_claims;
    std::deque<IntentPosition> m_intents; // in log order; may name claims that are gone
    std::deque<BookingId> m_results; // in log order; may name claims that are gone
    std::size_t m_resultBytes = 0;
    LogOffset m_offset; // of the record being applied
    WriterId m_writer; // of the record being applied
    MonotonicTime m_unresolvedAt; // for claims of the record being applied
};

} // namespace hornbeamgate
