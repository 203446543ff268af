#include "hornbeamgate/gateway/endpoint_roster.hpp"

#include "gateway/time_support.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace hornbeamgate::gateway::testing;
using namespace std::chrono_literals;

namespace {

EndpointEntry entry(const std::string& id, std::uint64_t incarnation = 1)
{
    EndpointEntry made;
    made.id = EndpointId(id);
    made.incarnation = Incarnation(incarnation);
    return made;
}

} // namespace

TEST_CASE("a withdrawn endpoint leaves at once while the directory answers [roster]")
{
    EndpointRoster roster;
    roster.put(entry("a"));
    CHECK(roster.withdraw(EndpointId("a"), at(0ms)));
    CHECK_FALSE(roster.find(EndpointId("a")));
}

TEST_CASE("an entry that lapsed in an outage stays in use until its endpoint had time to register again [roster]")
{
    EndpointRoster roster;
    roster.put(entry("back"));
    roster.put(entry("lost"));
    roster.directoryReturned(at(0ms));
    CHECK_FALSE(roster.withdraw(EndpointId("back"), at(10ms)));
    CHECK_FALSE(roster.withdraw(EndpointId("lost"), at(10ms)));
    CHECK(roster.expire(at(1500ms)).empty());
    roster.put(entry("back"));
    const auto dropped = roster.expire(at(EndpointRoster::kReturnGrace));
    REQUIRE(dropped.size() == 1);
    CHECK(dropped.front() == EndpointId("lost"));
    CHECK(roster.find(EndpointId("back")));
}

TEST_CASE("the entry of an earlier start does not replace that of a later one [roster]")
{
    EndpointRoster roster;
    auto reborn = entry("a", 2);
    reborn.slots = 8;
    roster.put(reborn);
    roster.put(entry("a", 1));
    CHECK(roster.find(EndpointId("a"))->slots == 8);
}

TEST_CASE("weights that an answer names only replace older ones [roster]")
{
    EndpointRoster roster;
    roster.put(entry("a"));
    const ModelId model("m");
    roster.noteWeights(EndpointId("a"), model, WeightsVersion(3));
    roster.noteWeights(EndpointId("a"), model, WeightsVersion(2));
    roster.noteWeights(EndpointId("unknown"), model, WeightsVersion(2));
    CHECK(roster.find(EndpointId("a"))->weights.at(model) == WeightsVersion(3));
}
