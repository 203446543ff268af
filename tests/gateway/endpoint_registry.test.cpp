#include "hornbeamgate/gateway/endpoint_registry.hpp"

#include "gateway/time_support.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace hornbeamgate::gateway::testing;
using namespace std::chrono_literals;

namespace {

EndpointEntry entry(const std::string& id, std::uint64_t incarnation = 1)
{
    EndpointEntry result;
    result.id = EndpointId(id);
    result.incarnation = Incarnation(incarnation);
    return result;
}

/// Entry that a process of `incarnation` has written as the `sequence`th.
EndpointEntry numbered(std::uint64_t incarnation, std::uint64_t sequence, bool isLeaving = false)
{
    auto result = entry("a", incarnation);
    result.sequence = sequence;
    result.isLeaving = isLeaving;
    return result;
}

} // namespace

TEST_CASE("a withdrawn endpoint is removed immediately while the directory is available [registry]")
{
    EndpointRegistry registry;
    registry.put(entry("a"));
    CHECK(registry.withdraw(EndpointId("a"), at(0ms)));
    CHECK_FALSE(registry.find(EndpointId("a")));
}

TEST_CASE("an entry withdrawn after a directory outage stays in use during the grace period [registry]")
{
    EndpointRegistry registry;
    registry.put(entry("back"));
    registry.put(entry("lost"));
    registry.directoryRecovered(at(0ms));
    CHECK_FALSE(registry.withdraw(EndpointId("back"), at(10ms)));
    CHECK_FALSE(registry.withdraw(EndpointId("lost"), at(10ms)));
    CHECK(registry.expire(at(1500ms)).empty());
    registry.put(entry("back"));
    const auto dropped = registry.expire(at(EndpointRegistry::kReregistrationGrace));
    REQUIRE(dropped.size() == 1);
    CHECK(dropped.front() == EndpointId("lost"));
    CHECK(registry.find(EndpointId("back")));
}

TEST_CASE("an entry of an older incarnation does not replace a newer one [registry]")
{
    EndpointRegistry registry;
    auto restarted = entry("a", 2);
    restarted.slots = 8;
    registry.put(restarted);
    registry.put(entry("a", 1));
    CHECK(registry.find(EndpointId("a"))->slots == 8);
}

TEST_CASE("weights stated in a response only replace older ones [registry]")
{
    EndpointRegistry registry;
    registry.put(entry("a"));
    const ModelId model("m");
    registry.recordWeights(EndpointId("a"), model, WeightsVersion(3));
    registry.recordWeights(EndpointId("a"), model, WeightsVersion(2));
    registry.recordWeights(EndpointId("unknown"), model, WeightsVersion(2));
    CHECK(registry.find(EndpointId("a"))->weights.at(model) == WeightsVersion(3));
}

TEST_CASE("an endpoint that leaves is not listed as ready by an entry that it wrote before [registry][store-return]")
{
    EndpointRegistry registry;
    registry.put(numbered(1, 5, true));
    CHECK(registry.isOutdated(numbered(1, 4)));
    registry.put(numbered(1, 4));
    REQUIRE(registry.find(EndpointId("a")));
    CHECK(registry.find(EndpointId("a"))->isLeaving);
    // The process that replaces it numbers its entries from 1 again.
    CHECK_FALSE(registry.isOutdated(numbered(2, 1)));
    registry.put(numbered(2, 1));
    CHECK_FALSE(registry.find(EndpointId("a"))->isLeaving);
}

TEST_CASE("entries without numbers replace each other in the order in which they are received [registry][store-return]")
{
    EndpointRegistry registry;
    registry.put(numbered(1, 0, true));
    registry.put(numbered(1, 0));
    REQUIRE(registry.find(EndpointId("a")));
    CHECK_FALSE(registry.find(EndpointId("a"))->isLeaving);
    registry.withdraw(EndpointId("a"), at(0ms));
    registry.put(numbered(1, 0));
    CHECK(registry.find(EndpointId("a")));
}

TEST_CASE("an endpoint that was removed comes back only with an entry that is newer than its last one [registry][store-return]")
{
    for (const bool isInGrace : { false, true }) {
        CAPTURE(isInGrace);
        EndpointRegistry registry;
        registry.put(numbered(2, 3));
        if (isInGrace)
            registry.directoryRecovered(at(0ms));
        registry.withdraw(EndpointId("a"), at(0ms));
        registry.expire(at(EndpointRegistry::kReregistrationGrace));
        REQUIRE_FALSE(registry.find(EndpointId("a")));
        for (const auto& outdated : { numbered(2, 3), numbered(2, 2), numbered(1, 9) }) {
            CHECK(registry.isOutdated(outdated));
            registry.put(outdated);
            CHECK_FALSE(registry.find(EndpointId("a")));
        }
        registry.put(isInGrace ? numbered(3, 1) : numbered(2, 4));
        CHECK(registry.find(EndpointId("a")));
    }
}

TEST_CASE("a removed endpoint is forgotten once no copy of the directory can list it any more [registry][store-return]")
{
    EndpointRegistry registry;
    const auto remove = [&](const EndpointEntry& removed, MonotonicTime now) {
        registry.put(removed);
        REQUIRE(registry.withdraw(removed.id, now));
    };
    remove(numbered(1, 3), at(0ms));
    remove(entry("b"), at(EndpointRegistry::kRemovedRetention - 1ms));
    CHECK(registry.isOutdated(numbered(1, 3)));
    remove(entry("c"), at(EndpointRegistry::kRemovedRetention));
    CHECK_FALSE(registry.isOutdated(numbered(1, 3)));
}
