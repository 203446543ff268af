#pragma once

#include "hornbeamgate/base/cbor.hpp"
#include "hornbeamgate/bookings/booking_answer.hpp"
#include "hornbeamgate/bookings/booking_key.hpp"

#include <compare>
#include <cstdint>
#include <variant>
#include <vector>

namespace hornbeamgate {

/// Largest record in octets that is read from a bookings stream.
constexpr std::size_t kMaxBookingRecordBytes = std::size_t { 1024 } * 1024;

/// Process that writes to a bookings stream; a restarted process is another writer.
using WriterId = StrongNumber<struct WriterTag>;

WriterId makeWriterId(const HostId& host, Incarnation incarnation);

/// One try of one writer to run a booking. A writer never uses a number twice.
struct AttemptId {
    WriterId writer;
    std::uint64_t number = 0;

    auto operator<=>(const AttemptId&) const = default;
};

/// The writer wants to run the booking. The first intent in log order owns it until its writer releases it.
struct IntentEntry {
    BookingId booking;
    std::uint64_t attempt = 0;
    RequestFingerprint fingerprint;

    bool operator==(const IntentEntry&) const = default;
};

/// The writer has not run the attempt and never will.
struct ReleaseEntry {
    BookingId booking;
    std::uint64_t attempt = 0;

    bool operator==(const ReleaseEntry&) const = default;
};

/// The service answered the attempt.
struct ResultEntry {
    BookingId booking;
    std::uint64_t attempt = 0;
    ServiceResult result;

    bool operator==(const ResultEntry&) const = default;
};

/// The writer called the service and will never know the outcome.
struct OutcomeUnknownEntry {
    BookingId booking;
    std::uint64_t attempt = 0;

    bool operator==(const OutcomeUnknownEntry&) const = default;
};

using BookingEntry = std::variant<IntentEntry, ReleaseEntry, ResultEntry, OutcomeUnknownEntry>;

/// One log record: entries of one writer in the order in which they take effect.
struct BookingRecord {
    WriterId writer;
    std::vector<BookingEntry> entries;

    bool operator==(const BookingRecord&) const = default;
};

Bytes encodeBookingRecord(const BookingRecord& record);
Result<BookingRecord, CodecError> decodeBookingRecord(BytesView bytes);

} // namespace hornbeamgate
