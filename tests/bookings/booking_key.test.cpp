#include "hornbeamgate/bookings/booking_key.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace hornbeamgate;

TEST_CASE("parsing an idempotency key extracts its position, or 0 if it has none [bookings]")
{
    struct Case {
        std::string text;
        bool accepted;
        std::string name;
        std::uint64_t position;
    };
    const Case cases[] = {
        { "p42-haul-7", true, "haul-7", 42 },
        { "p0-a", true, "a", 0 },
        { "haul-7", true, "haul-7", 0 },
        { "p-haul", true, "p-haul", 0 },
        { "p42-", true, "p42-", 0 },
        { "p42", true, "p42", 0 },
        { "p-1-a", true, "p-1-a", 0 },
        { "p99999999999999999999-a", true, "p99999999999999999999-a", 0 },
        { "", false, "", 0 },
        { "two words", false, "", 0 },
        { "line\nend", false, "", 0 },
        { "kr\xc5\xa1", false, "", 0 },
        { std::string(kMaxIdempotencyKeyLength + 1, 'x'), false, "", 0 },
    };
    for (const auto& row : cases) {
        CAPTURE(row.text);
        const auto key = IdempotencyKey::parse(row.text);
        REQUIRE(key.has_value() == row.accepted);
        if (!key)
            continue;
        CHECK(key->name == row.name);
        CHECK(key->position == LogOffset(row.position));
    }
    CHECK(IdempotencyKey::make("a", LogOffset(7)).value().text == "p7-a");
}

TEST_CASE("booking ids differ by workspace, service and key [bookings]")
{
    const auto key = [](const char* text) { return IdempotencyKey::parse(text).value(); };
    const std::set<BookingId> ids {
        makeBookingId(WorkspaceId("a"), ServiceId("b"), key("c")),
        makeBookingId(WorkspaceId("ab"), ServiceId(""), key("c")),
        makeBookingId(WorkspaceId("a"), ServiceId("bc"), key("c")),
        makeBookingId(WorkspaceId("a"), ServiceId("b"), key("p1-c")),
        makeBookingId(WorkspaceId("a"), ServiceId("b"), key("p2-c")),
    };
    CHECK(ids.size() == 5);
    CHECK(makeBookingId(WorkspaceId("a"), ServiceId("b"), key("c")) == *ids.find(makeBookingId(WorkspaceId("a"), ServiceId("b"), key("c"))));
}

TEST_CASE("the partition of a key does not depend on its position [bookings]")
{
    const WorkspaceId workspace("postojna");
    const ServiceId service("hauls");
    CHECK(selectBookingPartition(workspace, service, IdempotencyKey::parse("p1-x").value().name, 8)
        == selectBookingPartition(workspace, service, IdempotencyKey::parse("p900-x").value().name, 8));
    CHECK(selectBookingPartition(workspace, service, "x", 0) == BookingPartitionId(0));
    CHECK(bookingStreamName(BookingPartitionId(3)) == "bookings-3");
}

TEST_CASE("request fingerprint covers method, path and body [bookings]")
{
    const Bytes body { 1, 2 };
    const std::set<RequestFingerprint> fingerprints {
        computeRequestFingerprint("POST", "/hauls", body),
        computeRequestFingerprint("PUT", "/hauls", body),
        computeRequestFingerprint("POST", "/haul", body),
        computeRequestFingerprint("POST", "/hauls", Bytes { 1 }),
    };
    CHECK(fingerprints.size() == 4);
}
