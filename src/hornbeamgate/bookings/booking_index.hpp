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

/// Limits of a BookingIndex.
struct BookingIndexOptions {
    std::size_t maxIntents = 50'000; ///< owning intents kept; evicting the oldest moves coverageFrom forward
    std::size_t maxResultBytes = std::size_t { 4 } * 1024 * 1024; ///< total of stored bodies; evicts the oldest first
    Duration unresolvedAfter = std::chrono::seconds(60); ///< age at which a claim without a result counts as unknown
};

enum class ClaimState : std::uint8_t {
    Claimed, ///< owned; the owner has not recorded an outcome
    Answered, ///< the service responded to the owner's call
    OutcomeUnknown, ///< the owner called the service but cannot determine the outcome
};

/// Owner and state of a booking according to the log.
struct BookingClaim {
    AttemptId owner;
    RequestFingerprint fingerprint;
    LogOffset offset; ///< offset of the owning intent
    ClaimState state = ClaimState::Claimed;
    MonotonicTime unresolvedAt;
    ServiceResult result;
};

/// Index of the claims in the log of one partition, built from all records from `coverageFrom` on.
/// Deterministic: every reader that applies the same records in order derives the same claims. A key whose position is
/// before `coverageFrom` cannot be resolved because its booking may be in a part of the log that is not indexed.
class BookingIndex {
public:
    explicit BookingIndex(BookingIndexOptions options);

    /// Applies the record at `offset`. Returns the bookings of its entries, in entry order.
    std::vector<BookingId> apply(LogOffset offset, const BookingRecord& record, MonotonicTime now);

    /// Discards all claims and restarts coverage at `from`.
    void restart(LogOffset from);

    /// Discards all claims whose intent is before `offset` and moves the coverage forward to it.
    void dropBefore(LogOffset offset);

    /// Returns the claim on `booking`, or nullptr if it is not owned.
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
    std::deque<IntentPosition> m_intents; // in log order; may refer to claims that were removed
    std::deque<BookingId> m_results; // in log order; may refer to claims that were removed
    std::size_t m_resultBytes = 0;
    LogOffset m_offset; // offset of the record being applied
    WriterId m_writer; // writer of the record being applied
    MonotonicTime m_unresolvedAt; // for claims created by the record being applied
};

} // namespace hornbeamgate
