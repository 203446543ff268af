#include "hornbeamgate/gateway/quarantine_codec.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace std::chrono_literals;

namespace {

const WallTime kWritten { 1'000'000s };

QuarantineReport report()
{
    QuarantineReport made;
    made.losses.push_back({ 1, 2, { 3, 4 }, true, 900ms, 300ms });
    made.answered.push_back({ 5, 20ms });
    made.survivors.push_back({ 6, 1100ms, 30ms });
    made.quarantined.push_back({ { 7, 8 }, 110s, 40ms, 2 });
    return made;
}

} // namespace

TEST_CASE("a stored report grows older until it is read [quarantine]")
{
    const auto read = decodeStoredQuarantine(encodeStoredQuarantine(report(), kWritten), kWritten + 10s);
    REQUIRE(read);
    CHECK(read->losses.front().parts == std::vector<PartKey> { 3, 4 });
    CHECK(read->losses.front().sentAge == 10'900ms);
    CHECK(read->losses.front().lostAge == 10'300ms);
    CHECK(read->answered.front().age == 10'020ms);
    CHECK(read->survivors.front().answeredAge == 10'030ms);
    CHECK(read->quarantined.front().remaining == 100s);
    CHECK(read->quarantined.front().lostAge == 10'040ms);
    CHECK(read->quarantined.front().renewals == 2);
    const auto late = decodeStoredQuarantine(encodeStoredQuarantine(report(), kWritten), kWritten + 30min);
    REQUIRE(late);
    CHECK(late->quarantined.front().remaining == 0ms);
}

TEST_CASE("a stored report of a host whose clock is ahead counts as new, and one of more than an hour ago is refused [quarantine]")
{
    const auto ahead = decodeStoredQuarantine(encodeStoredQuarantine(report(), kWritten), kWritten - 3s);
    REQUIRE(ahead);
    CHECK(ahead->losses.front().lostAge == 300ms);
    CHECK_FALSE(decodeStoredQuarantine(encodeStoredQuarantine(report(), kWritten), kWritten + 61min));
}

TEST_CASE("a stored report that cannot be decoded is an error [quarantine]")
{
    const auto bytes = encodeStoredQuarantine(report(), kWritten);
    for (std::size_t size = 0; size < bytes.size(); ++size)
        CHECK_FALSE(decodeStoredQuarantine(BytesView(bytes.data(), size), kWritten));
}
