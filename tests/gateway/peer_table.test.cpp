#include "hornbeamgate/gateway/peer_table.hpp"

#include "gateway/time_support.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace hornbeamgate::gateway::testing;
using namespace std::chrono_literals;

namespace {

const SocketAddress kAddress { "10.0.0.1", 7600 };

} // namespace

TEST_CASE("a silent daemon counts as running for longer than a typical partition [peers]")
{
    PeerTable peers;
    peers.add(HostId("a"), kAddress, Incarnation(1), at(0ms));
    CHECK(peers.heard(HostId("a"), false, at(0ms)));
    CHECK(peers.heardCount(at(1s)) == 1);
    CHECK(peers.heardCount(at(2s)) == 0);
    CHECK(peers.runningCount(at(11s)) == 1);
    CHECK(peers.running(at(11s)) == std::vector { HostId("a") });
    CHECK(peers.runningCount(at(12s)) == 0);
    CHECK(peers.running(at(12s)).empty());
}

TEST_CASE("a registered daemon that was never heard counts only briefly [peers]")
{
    PeerTable peers;
    peers.add(HostId("left over"), kAddress, Incarnation(1), at(0ms));
    CHECK(peers.heardCount(at(1ms)) == 0);
    CHECK(peers.runningCount(at(3s)) == 1);
    CHECK(peers.runningCount(at(4s)) == 0);
    CHECK_FALSE(peers.heard(HostId("unknown"), false, at(0ms)));
}

TEST_CASE("only heard daemons that started later and are not leaving are counted [peers]")
{
    PeerTable peers;
    for (const auto& [name, incarnation] : { std::pair("old", 1), std::pair("young", 9), std::pair("leaving", 8), std::pair("silent", 7) })
        peers.add(HostId(name), kAddress, Incarnation(static_cast<std::uint64_t>(incarnation)), at(0ms));
    peers.heard(HostId("old"), false, at(0ms));
    peers.heard(HostId("young"), false, at(0ms));
    peers.heard(HostId("leaving"), true, at(0ms));
    CHECK(peers.heardStartedAfter(Incarnation(5), at(1ms)) == 1);
}

TEST_CASE("a restarted daemon is reached at the address of its newest incarnation [peers]")
{
    PeerTable peers;
    peers.add(HostId("a"), kAddress, Incarnation(2), at(0ms));
    peers.add(HostId("a"), { "10.0.0.2", 7600 }, Incarnation(3), at(0ms));
    peers.add(HostId("a"), kAddress, Incarnation(1), at(0ms));
    CHECK(peers.addressOf(HostId("a"))->ip == "10.0.0.2");
    CHECK(peers.addresses().size() == 1);
}
