#include "hornbeamgate/membership/membership_message.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace hornbeamgate;

namespace {

MembershipMessage sample()
{
    MembershipMessage message;
    message.from = HostId("postojna-1");
    message.incarnation = Incarnation(1'796'000'000'000);
    message.stateHash = ~0ULL;
    message.upToChange = 12;
    message.acknowledged = 300;
    message.acknowledgedIncarnation = Incarnation(9);
    message.joining = true;
    message.heardRecently = true;
    message.subject = HostId("postojna-2");
    const MemberIdentity identity { "10.1.2.3:7000", MemberRole::Agent, DataCenterId("postojna"), EndpointId("engine-1") };
    message.updates.push_back({ HostId("a"), { Incarnation(5), 2, MemberState::Suspect, 7, 255 }, identity });
    message.updates.push_back({ HostId("b"), { Incarnation(6), 0, MemberState::Dead, 0, 0 }, std::nullopt });
    message.heartbeats.push_back({ DataCenterId("sezana"), 70'000 });
    return message;
}

} // namespace

TEST_CASE("a membership message round-trips through its encoding [membership]")
{
    const auto decoded = decodeMembershipMessage(encodeMembershipMessage(sample()));
    REQUIRE(decoded.has_value());
    CHECK((*decoded == sample()));
}

TEST_CASE("truncated membership messages are rejected and altered ones do not crash the decoder [membership]")
{
    const auto whole = encodeMembershipMessage(sample());
    for (std::size_t size = 0; size < whole.size(); ++size)
        CHECK_FALSE(decodeMembershipMessage(BytesView(whole.data(), size)).has_value());
    for (std::size_t at = 0; at < whole.size(); ++at) {
        for (int value = 0; value < 256; ++value) {
            auto altered = whole;
            altered[at] = static_cast<std::uint8_t>(value);
            static_cast<void>(decodeMembershipMessage(altered));
        }
    }
}

TEST_CASE("malformed membership messages are rejected [membership]")
{
    const auto good = nlohmann::json::from_cbor(encodeMembershipMessage(sample()));
    struct Case {
        std::string pointer;
        nlohmann::json value;
    };
    const Case cases[] = {
        { "/0", 7 },
        { "/0", "1" },
        { "/1", "" },
        { "/1", std::string(256, 'x') },
        { "/2", -1 },
        { "/3", 0.5 },
        { "/7", 1 },
        { "/8", nullptr },
        { "/8/0", nlohmann::json::array() },
        { "/8/0/0", "" },
        { "/8/0/3", 4 },
        { "/8/0/5", 256 },
        { "/8/0/7", 2 },
        { "/8/1/2", -3 },
        { "/9/0", nlohmann::json::array({ "sezana" }) },
        { "/9/0/1", "many" },
    };
    for (const auto& row : cases) {
        CAPTURE(row.pointer);
        auto altered = good;
        altered[nlohmann::json::json_pointer(row.pointer)] = row.value;
        CHECK_FALSE(decodeMembershipMessage(toCbor(altered)).has_value());
    }
    CHECK_FALSE(decodeMembershipMessage(Bytes(kMaxMembershipMessageBytes + 1)).has_value());
}

TEST_CASE("the encoded size of an update stays within its bound [membership]")
{
    const auto message = sample();
    for (const auto& update : message.updates) {
        auto with = message;
        with.updates = { update };
        auto without = message;
        without.updates.clear();
        const auto size = encodeMembershipMessage(with).size() - encodeMembershipMessage(without).size();
        CHECK(size <= encodedSizeBound(update));
    }
}
