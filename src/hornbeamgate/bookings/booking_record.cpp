#include "hornbeamgate/bookings/booking_record.hpp"

#include "hornbeamgate/base/hash.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace hornbeamgate {

namespace {

    using Json = nlohmann::json;

    constexpr std::uint64_t kFormatVersion = 1;
    constexpr std::size_t kHeaderFieldCount = 2; // format version and writer id

    enum class EntryKind : std::uint8_t {
        Intent,
        Release,
        Result,
        OutcomeUnknown,
    };

    Json encodeEntryHeader(EntryKind kind, const BookingId& booking, std::uint64_t attempt)
    {
        const Bytes digest(booking.digest.begin(), booking.digest.end());
        return Json::array({ static_cast<std::uint8_t>(kind), Json::binary(digest), attempt });
    }

    struct EntryEncoder {
        Json operator()(const IntentEntry& entry) const
        {
            auto json = encodeEntryHeader(EntryKind::Intent, entry.booking, entry.attempt);
            json.push_back(entry.fingerprint.value());
            return json;
        }

        Json operator()(const ReleaseEntry& entry) const
        {
            return encodeEntryHeader(EntryKind::Release, entry.booking, entry.attempt);
        }

        Json operator()(const ResultEntry& entry) const
        {
            auto json = encodeEntryHeader(EntryKind::Result, entry.booking, entry.attempt);
            json.push_back(entry.result.status);
            json.push_back(entry.result.contentType);
            json.push_back(Json::binary(entry.result.body));
            json.push_back(entry.result.bodyKept);
            return json;
        }

        Json operator()(const OutcomeUnknownEntry& entry) const
        {
            return encodeEntryHeader(EntryKind::OutcomeUnknown, entry.booking, entry.attempt);
        }
    };

    CodecError malformed(const char* what)
    {
        return CodecError { std::string("booking record: ") + what };
    }

    bool decodeEntryHeader(const Json& json, BookingId& booking, std::uint64_t& attempt)
    {
        if (!json[1].is_binary() || !json[2].is_number_unsigned())
            return false;
        const auto& digest = json[1].get_binary();
        if (digest.size() != booking.digest.size())
            return false;
        std::copy(digest.begin(), digest.end(), booking.digest.begin());
        attempt = json[2].get<std::uint64_t>();
        return true;
    }

    Result<BookingEntry, CodecError> decodeResult(const Json& json, ResultEntry entry)
    {
        const bool typed = json.size() == 7 && json[3].is_number_unsigned() && json[4].is_string() && json[5].is_binary()
            && json[6].is_boolean();
        if (!typed || json[3].get<std::uint64_t>() > std::numeric_limits<std::uint16_t>::max())
            return failure(malformed("invalid result fields"));
        entry.result.status = json[3].get<std::uint16_t>();
        entry.result.contentType = json[4].get<std::string>();
        entry.result.body = json[5].get_binary();
        entry.result.bodyKept = json[6].get<bool>();
        return BookingEntry(std::move(entry));
    }

    Result<BookingEntry, CodecError> decodeEntry(const Json& json)
    {
        if (!json.is_array() || json.size() < 3 || !json[0].is_number_unsigned())
            return failure(malformed("invalid entry"));
        BookingId booking;
        std::uint64_t attempt = 0;
        if (!decodeEntryHeader(json, booking, attempt))
            return failure(malformed("invalid booking id or attempt"));
        const auto kind = json[0].get<std::uint64_t>();
        if (kind == static_cast<std::uint64_t>(EntryKind::Intent) && json.size() == 4 && json[3].is_number_unsigned())
            return IntentEntry { booking, attempt, RequestFingerprint(json[3].get<std::uint64_t>()) };
        if (kind == static_cast<std::uint64_t>(EntryKind::Release) && json.size() == 3)
            return ReleaseEntry { booking, attempt };
        if (kind == static_cast<std::uint64_t>(EntryKind::Result))
            return decodeResult(json, { booking, attempt, {} });
        if (kind == static_cast<std::uint64_t>(EntryKind::OutcomeUnknown) && json.size() == 3)
            return OutcomeUnknownEntry { booking, attempt };
        return failure(malformed("unknown entry kind or wrong number of fields"));
    }

} // namespace

WriterId makeWriterId(const HostId& host, Incarnation incarnation)
{
    return WriterId(stableHash(host.value(), incarnation.value()));
}

Bytes encodeBookingRecord(const BookingRecord& record)
{
    Json json = Json::array({ kFormatVersion, record.writer.value() });
    for (const auto& entry : record.entries)
        json.push_back(std::visit(EntryEncoder {}, entry));
    return toCbor(json);
}

Result<BookingRecord, CodecError> decodeBookingRecord(BytesView bytes)
{
    if (bytes.size() > kMaxBookingRecordBytes)
        return failure(malformed("record exceeds the maximum size"));
    const auto json = fromCbor(bytes);
    if (!json)
        return failure(json.error());
    if (!json->is_array() || json->size() < kHeaderFieldCount)
        return failure(malformed("not an array with a version and a writer"));
    if (!(*json)[0].is_number_unsigned() || (*json)[0].get<std::uint64_t>() != kFormatVersion)
        return failure(malformed("unsupported format version"));
    if (!(*json)[1].is_number_unsigned())
        return failure(malformed("invalid writer id"));
    BookingRecord record { WriterId((*json)[1].get<std::uint64_t>()), {} };
    for (std::size_t i = kHeaderFieldCount; i < json->size(); ++i) {
        auto entry = decodeEntry((*json)[i]);
        if (!entry)
            return failure(entry.error());
        record.entries.push_back(std::move(*entry));
    }
    return record;
}

} // namespace hornbeamgate
