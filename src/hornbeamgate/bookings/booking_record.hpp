#pragma once

#include "hornbeamgate/base/cbor.hpp"
#include "hornbeamgate/bookings/booking_answer.hpp"
#include "hornbeamgate/bookings/booking_key.hpp"

#include <compare>
#include <cstdint>
#include <variant>
#include <vector>

namespace hornbeamgate {

/// Maximum size in bytes of a record that is accepted from a bookings stream.
constexpr std::size_t kMaxBookingRecordBytes = std::size_t { 1024 } * 1024;

/// Identifies a process that writes to a bookings stream. A restarted process gets a new id.
using WriterId = StrongNumber<struct WriterTag>;

WriterId makeWriterId(const HostId& host, Incarnation incarnation);

/// Identifies an attempt of a writer to execute a booking. A writer never reuses a number.
struct AttemptId {
    WriterId writer;
    std::uint64_t number = 0;

    auto operator<=>(const AttemptId&) const = default;
};

/// The writer intends to execute the booking. The first intent in log order owns it until its writer releases it.
struct IntentEntry {
    BookingId booking;
    std::uint64_t attempt = 0;
    RequestFingerprint fingerprint;

    bool operator==(const IntentEntry&) const = default;
};

/// The writer has not executed the attempt and never will.
struct ReleaseEntry {
    BookingId booking;
    std::uint64_t attempt = 0;

    bool operator==(const ReleaseEntry&) const = default;
};

/// The service responded to the call of the attempt.
struct ResultEntry {
    BookingId booking;
    std::uint64_t attempt = 0;
    ServiceResult result;

    bool operator==(const ResultEntry&) const = default;
};

/// The writer called the service but cannot determine the outcome.
struct OutcomeUnknownEntry {
    BookingId booking;
    std::uint64_t attempt = 0;

    bool operator==(const OutcomeUnknownEntry&) const = default;
};

using BookingEntry = std::variant<IntentEntry, ReleaseEntry, ResultEntry, OutcomeUnknownEntry>;

/// Log record: entries of one writer, applied in order.
struct BookingRecord {
    WriterId writer;
    std::vector<BookingEntry> entries;

    bool operator==(const BookingRecord&) const = default;
};

Bytes encodeBookingRecord(const BookingRecord& record);
Result<BookingRecord, CodecError> decodeBookingRecord(BytesView bytes);

} // namespace hornbeamgate
