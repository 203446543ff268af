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

/// Longest idempotency key that is accepted, in octets.
constexpr std::size_t kMaxIdempotencyKeyLength = 200;

/// Reason why the text of an idempotency key is refused.
struct IdempotencyKeyError {
    std::string detail;
};

/// Idempotency key as a caller sends it: `p<position>-<name>`, or any other text.
/// `position` is an offset of the key's log partition that was not past its end when the key was made. A booking under
/// the key can therefore not stand in the log before `position`. A key without a position is taken to be as old as
/// the log itself.
struct IdempotencyKey {
    std::string text;
    std::string name;
    LogOffset position;

    /// Reads a key; accepts 1 to kMaxIdempotencyKeyLength visible ASCII characters.
    static Result<IdempotencyKey, IdempotencyKeyError> parse(std::string_view text);

    /// Makes the key `name` that is valid from `position` on.
    static Result<IdempotencyKey, IdempotencyKeyError> make(std::string_view name, LogOffset position);
};

/// Identity of a booking: a 128-bit BLAKE2b hash of workspace, service and idempotency key.
struct BookingId {
    std::array<std::uint8_t, 16> digest {};

    auto operator<=>(const BookingId&) const = default;
};

/// Hash of the request that came with an idempotency key; tells a repeat from another request under the same key.
using RequestFingerprint = StrongNumber<struct RequestFingerprintTag>;

/// Number of a log partition.
using BookingPartitionId = StrongNumber<struct BookingPartitionTag>;

BookingId makeBookingId(const WorkspaceId& workspace, const ServiceId& service, const IdempotencyKey& key);

RequestFingerprint computeRequestFingerprint(std::string_view method, std::string_view path, BytesView body);

/// Partition of a key among `partitions`. It depends on the name alone, so that a position can be chosen for it.
BookingPartitionId selectBookingPartition(
    const WorkspaceId& workspace, const ServiceId& service, std::string_view keyName, std::uint32_t partitions);

/// Log stream of a partition.
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
