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
