#include "hornbeamgate/bookings/booking_key.hpp"

#include "hornbeamgate/base/digest.hpp"
#include "hornbeamgate/base/hash.hpp"

#include <algorithm>
#include <charconv>

namespace hornbeamgate {

namespace {

    constexpr std::size_t kFingerprintHashBytes = 16;
    constexpr char kPositionPrefix = 'p';
    constexpr char kPositionSeparator = '-';

    bool isVisibleAscii(char character) { return character > ' ' && character < '\x7f'; }

} // namespace

Result<IdempotencyKey, IdempotencyKeyError> IdempotencyKey::parse(std::string_view text)
{
    if (text.empty() || text.size() > kMaxIdempotencyKeyLength)
        return failure(IdempotencyKeyError { "an idempotency key has 1 to 200 characters" });
    if (!std::all_of(text.begin(), text.end(), isVisibleAscii))
        return failure(IdempotencyKeyError { "an idempotency key has visible ASCII characters only" });
    IdempotencyKey key { std::string(text), std::string(text), LogOffset(0) };
    if (text.front() != kPositionPrefix)
        return key;
    std::uint64_t position = 0;
    const char* end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data() + 1, end, position);
    if (error != std::errc() || rest == end || *rest != kPositionSeparator || rest + 1 == end)
        return key;
    key.name.assign(rest + 1, end);
    key.position = LogOffset(position);
    return key;
}

Result<IdempotencyKey, IdempotencyKeyError> IdempotencyKey::make(std::string_view name, LogOffset position)
{
    return parse(kPositionPrefix + std::to_string(position.value()) + kPositionSeparator + std::string(name));
}

BookingId makeBookingId(const WorkspaceId& workspace, const ServiceId& service, const IdempotencyKey& key)
{
    BookingId id;
    hashParts({ workspace.value(), service.value(), key.text }, id.digest);
    return id;
}

RequestFingerprint computeRequestFingerprint(std::string_view method, std::string_view path, BytesView body)
{
    std::array<std::uint8_t, kFingerprintHashBytes> digest {};
    hashParts({ method, path, { reinterpret_cast<const char*>(body.data()), body.size() } }, digest);
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(value); ++i)
        value |= static_cast<std::uint64_t>(digest[i]) << (8 * i);
    return RequestFingerprint(value);
}

BookingPartitionId selectBookingPartition(
    const WorkspaceId& workspace, const ServiceId& service, std::string_view keyName, std::uint32_t partitions)
{
    const auto seed = stableHash(workspace.value(), stableHash(service.value()));
    return BookingPartitionId(stableHash(keyName, seed) % std::max<std::uint32_t>(partitions, 1));
}

std::string bookingStreamName(BookingPartitionId partition)
{
    return "bookings-" + std::to_string(partition.value());
}

} // namespace hornbeamgate
