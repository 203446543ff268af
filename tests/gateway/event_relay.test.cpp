#include "hornbeamgate/gateway/event_relay.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate::gateway;

namespace {

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n";
}

} // namespace

TEST_CASE("only complete events are forwarded, byte for byte [events]")
{
    EventRelay relay(std::nullopt);
    const auto text = event(1) + "hornbeam: 1\r\nid: 2\r\ndata: x\r\n\r\n";
    std::string forwarded;
    for (const char c : text + "id: 3\ndata: cut o") {
        const auto part = relay.feed({ &c, 1 });
        REQUIRE(part);
        forwarded += *part;
    }
    CHECK(forwarded == text);
    CHECK(relay.lastId() == 2);
    CHECK(relay.takeRemainder() == "id: 3\ndata: cut o");
}

TEST_CASE("a stream is inside an event until its blank line, and line ends alone are no event [events]")
{
    for (const auto& bytes : { std::string(), std::string("\r"), event(1), event(1) + "\r", event(1) + "\r\n\r" }) {
        CAPTURE(bytes);
        EventRelay relay(std::nullopt);
        REQUIRE(relay.feed(bytes));
        CHECK_FALSE(relay.isInsideEvent());
    }
    for (const auto& bytes : { event(1) + "i", event(1) + "id: 2\ndata: p", event(1) + "id: 2\ndata: p\n", event(1) + "id: 2\r\ndata: p\r\n\r" }) {
        CAPTURE(bytes);
        EventRelay relay(std::nullopt);
        REQUIRE(relay.feed(bytes));
        CHECK(relay.isInsideEvent());
        relay.startRun();
        CHECK_FALSE(relay.isInsideEvent());
    }
}

TEST_CASE("a second run resumes after the last complete event without duplicates [events]")
{
    EventRelay relay(std::nullopt);
    REQUIRE(relay.feed(event(1) + event(2) + "id: 3\ndata: broken o") == event(1) + event(2));
    relay.startRun();
    CHECK(relay.feed(event(2) + event(3)) == event(3));
    CHECK(relay.lastId() == 3);
}

TEST_CASE("a missing event is detected, also after the last event of an earlier request [events]")
{
    EventRelay relay(12);
    CHECK(relay.feed(event(13)) == event(13));
    CHECK_FALSE(relay.feed(event(15)));
}

TEST_CASE("events that were not handed out before a failure are not skipped by the next run [events]")
{
    for (const auto& broken : { event(5), "id: 4\ndata: " + std::string(EventRelay::kMaxEventBytes, 'x') }) {
        EventRelay relay(std::nullopt);
        REQUIRE(relay.feed(event(1)) == event(1));
        CHECK_FALSE(relay.feed(event(2) + event(3) + broken));
        CHECK(relay.lastId() == 1);
        relay.startRun();
        CHECK(relay.feed(event(2) + event(3) + event(4)) == event(2) + event(3) + event(4));
        CHECK(relay.lastId() == 4);
    }
}

TEST_CASE("bytes that never end an event are a failure, not a growing buffer [events]")
{
    EventRelay relay(std::nullopt);
    REQUIRE(relay.feed(event(1)));
    const std::string junk(65536, 'x');
    std::size_t fed = 0;
    while (relay.feed(junk))
        REQUIRE((fed += junk.size()) <= EventRelay::kMaxEventBytes);
    CHECK(fed > EventRelay::kMaxEventBytes - 2 * junk.size());
    CHECK(relay.takeRemainder().empty());
}
