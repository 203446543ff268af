#pragma once

#include "hornbeamgate/base/bytes.hpp"
#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/result.hpp"

#include <array>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>

namespace hornbeamgate {

/// Maximum length of an idempotency key in bytes.
constexpr std::size_t kMaxIdempotencyKeyLength = 200;

/// Reason why an idempotency key was rejected.
struct IdempotencyKeyError {
    std::string detail;
};

/// Idempotency key as sent by a caller: `p<position>-<name>`, or any other text.
/// `position` is an offset in the key's log partition that was not past the end when the key was created, so the log
/// cannot contain a booking with this key before `position`. A key without a position is treated as if it were as old
/// as the log.
struct IdempotencyKey {
    std::string text;
    std::string name;
    LogOffset position;

    /// Parses a key of 1 to kMaxIdempotencyKeyLength visible ASCII characters.
    static Result<IdempotencyKey, IdempotencyKeyError> parse(std::string_view text);

    /// Creates a key from `name` that is valid from `position` on.
    static Result<IdempotencyKey, IdempotencyKeyError> make(std::string_view name, LogOffset position);
};

/// Identifier of a booking: a 128-bit BLAKE2b hash of workspace, service and idempotency key.
struct BookingId {
    std::array<std::uint8_t, 16> digest {};

    auto operator<=>(const BookingId&) const = default;
};

/// Hash of a request with an idempotency key; distinguishes a repeat from a different request with the same key.
using RequestFingerprint = StrongNumber<struct RequestFingerprintTag>;

/// Index of a log partition.
using BookingPartitionId = StrongNumber<struct BookingPartitionTag>;

BookingId makeBookingId(const WorkspaceId& workspace, const ServiceId& service, const IdempotencyKey& key);

RequestFingerprint computeRequestFingerprint(std::string_view method, std::string_view path, BytesView body);

/// Maps a key to one of `partitions` partitions. Of the key only the name is hashed, because the position in the key is
/// an offset in the selected partition and is chosen afterwards.
BookingPartitionId selectBookingPartition(
    const WorkspaceId& workspace, const ServiceId& service, std::string_view keyName, std::uint32_t partitions);

/// Name of the log stream of a partition.
std::string bookingStreamName(BookingPartitionId partition);

} // namespace hornbeamgate

template <>
struct std::hash<hornbeamgate::BookingId> {
    std::size_t operator()(const hornbeamgate::BookingId& id) const noexcept
    {
        std::size_t value = 0;
        std::memcpy(&value, id.digest.data(), sizeof(value));
        return value;
    }
};
