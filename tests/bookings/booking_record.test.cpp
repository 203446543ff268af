#include "hornbeamgate/bookings/booking_record.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace hornbeamgate;

namespace {

BookingRecord makeSampleRecord()
{
    BookingId id;
    id.digest.fill(7);
    return { WriterId(99),
        { IntentEntry { id, 1, RequestFingerprint(5) }, ReleaseEntry { id, 1 },
            ResultEntry { id, 2, { 201, "text/plain", { 1, 2, 3 }, true } }, OutcomeUnknownEntry { id, 3 } } };
}

} // namespace

TEST_CASE("a booking record is unchanged by encoding and decoding [bookings]")
{
    const auto decoded = decodeBookingRecord(encodeBookingRecord(makeSampleRecord()));
    REQUIRE(decoded.has_value());
    CHECK(*decoded == makeSampleRecord());
}

TEST_CASE("truncated booking records are rejected and corrupted ones do not crash the decoder [bookings]")
{
    const auto whole = encodeBookingRecord(makeSampleRecord());
    for (std::size_t size = 0; size < whole.size(); ++size)
        CHECK_FALSE(decodeBookingRecord(BytesView(whole.data(), size)).has_value());
    for (std::size_t at = 0; at < whole.size(); ++at) {
        for (int value = 0; value < 256; ++value) {
            auto altered = whole;
            altered[at] = static_cast<std::uint8_t>(value);
            static_cast<void>(decodeBookingRecord(altered));
        }
    }
}

TEST_CASE("malformed booking records are rejected [bookings]")
{
    const auto digest = nlohmann::json::binary(Bytes(16));
    const nlohmann::json cases[] = {
        nullptr,
        nlohmann::json::array(),
        { 2, 1 },
        { 1, -1 },
        { 1, 1, nlohmann::json::array({ 0, digest, 1 }) },
        { 1, 1, nlohmann::json::array({ 0, nlohmann::json::binary(Bytes(15)), 1, 1 }) },
        { 1, 1, nlohmann::json::array({ 1, "digest", 1 }) },
        { 1, 1, nlohmann::json::array({ 2, digest, 1, 70'000, "", nlohmann::json::binary({}), true }) },
        { 1, 1, nlohmann::json::array({ 2, digest, 1, 200, 5, nlohmann::json::binary({}), true }) },
        { 1, 1, nlohmann::json::array({ 9, digest, 1 }) },
    };
    for (const auto& row : cases) {
        CAPTURE(row.dump());
        CHECK_FALSE(decodeBookingRecord(toCbor(row)).has_value());
    }
    CHECK_FALSE(decodeBookingRecord(Bytes(kMaxBookingRecordBytes + 1)).has_value());
}
