#include "hornbeamgate/gateway/block_directory.hpp"

#include "gateway/time_support.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace hornbeamgate::gateway::testing;
using namespace std::chrono_literals;

namespace {

const EndpointId kFirst("e1");
const EndpointId kSecond("e2");
constexpr BlockKey kBlocks = 7;

} // namespace

TEST_CASE("an endpoint holds the blocks of a prompt for some seconds after each use [blocks]")
{
    BlockDirectory directory;
    CHECK(directory.holders(kBlocks, at(0ms)).empty());
    directory.recordUse(kFirst, kBlocks, at(0ms));
    directory.recordUse(kFirst, kBlocks, at(5s));
    REQUIRE(directory.holders(kBlocks, at(12s)).size() == 1);
    CHECK(directory.holders(kBlocks, at(12s)).front().since == at(0ms));
    CHECK(directory.holders(kBlocks, at(13s)).empty());
    CHECK(directory.holders(kBlocks + 1, at(5s)).empty());
}

TEST_CASE("blocks used again after eviction count as newly computed [blocks]")
{
    BlockDirectory directory;
    directory.recordUse(kFirst, kBlocks, at(0ms));
    directory.recordUse(kFirst, kBlocks, at(9s));
    REQUIRE(directory.holders(kBlocks, at(9s)).size() == 1);
    CHECK(directory.holders(kBlocks, at(9s)).front().since == at(9s));
}

TEST_CASE("duplicate or late use reports only change the time of the last use [blocks]")
{
    BlockDirectory sender;
    BlockDirectory receiver;
    sender.recordUse(kFirst, kBlocks, at(0ms));
    sender.recordUse(kSecond, kBlocks, at(100ms));
    const auto blockUses = sender.recentLocalUses(at(0ms), at(300ms));
    REQUIRE(blockUses.size() == 2);
    CHECK(blockUses.back().age == 300ms);
    receiver.recordPeerUses(blockUses, at(300ms));
    receiver.recordPeerUses(blockUses, at(300ms));
    REQUIRE(receiver.holders(kBlocks, at(300ms)).size() == 2);
    CHECK(receiver.holders(kBlocks, at(300ms)).back().usedAt == at(0ms));
    CHECK(sender.recentLocalUses(at(50ms), at(300ms)).size() == 1);
    CHECK(sender.recentLocalUses(at(200ms), at(300ms)).empty());
    CHECK(receiver.recentLocalUses(at(0ms), at(300ms)).empty());
}

TEST_CASE("a forgotten endpoint holds no blocks and is not reported [blocks]")
{
    BlockDirectory directory;
    directory.recordUse(kFirst, kBlocks, at(0ms));
    directory.recordUse(kSecond, kBlocks, at(0ms));
    directory.forget(kFirst);
    REQUIRE(directory.holders(kBlocks, at(1ms)).size() == 1);
    CHECK(directory.holders(kBlocks, at(1ms)).front().endpoint == kSecond);
    CHECK(directory.recentLocalUses(at(0ms), at(1ms)).size() == 1);
}
