#include "hornbeamgate/bookings/booking_key.hpp"

#include "hornbeamgate/base/hash.hpp"

#include <sodium.h>

#include <algorithm>
#include <charconv>

namespace hornbeamgate {

namespace {

    constexpr char kPositionPrefix = 'p';
    constexpr char kPositionSeparator = '-';

    bool isVisibleAscii(char character) { return character > ' ' && character < '\x7f'; }

    /// BLAKE2b over length-prefixed parts; the prefixes ensure that different lists of parts are different hash inputs.
    class LengthPrefixedHash {
    public:
        explicit LengthPrefixedHash(std::size_t size)
        {
            crypto_generichash_init(&m_state, nullptr, 0, size);
        }

        void add(BytesView part)
        {
            const std::uint64_t size = part.size();
            std::array<std::uint8_t, sizeof(size)> prefix {};
            for (std::size_t i = 0; i < prefix.size(); ++i)
                prefix[i] = static_cast<std::uint8_t>(size >> (8 * i));
            crypto_generichash_update(&m_state, prefix.data(), prefix.size());
            crypto_generichash_update(&m_state, part.data(), part.size());
        }

        void add(std::string_view part)
        {
            const Bytes octets(part.begin(), part.end());
            add(BytesView(octets));
        }

        void finish(std::span<std::uint8_t> digest)
        {
            crypto_generichash_final(&m_state, digest.data(), digest.size());
        }

    private:
        crypto_generichash_state m_state {};
    };

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
    LengthPrefixedHash hash(id.digest.size());
    hash.add(std::string_view(workspace.value()));
    hash.add(std::string_view(service.value()));
    hash.add(std::string_view(key.text));
    hash.finish(id.digest);
    return id;
}

RequestFingerprint computeRequestFingerprint(std::string_view method, std::string_view path, BytesView body)
{
    std::array<std::uint8_t, crypto_generichash_BYTES_MIN> digest {};
    LengthPrefixedHash hash(digest.size());
    hash.add(method);
    hash.add(path);
    hash.add(body);
    hash.finish(digest);
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
