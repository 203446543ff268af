#include "hornbeamgate/gateway/directory_replica.hpp"

#include "gateway/time_support.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace hornbeamgate::gateway::testing;
using namespace std::chrono_literals;

namespace {

DirectoryRecord record(const std::string& key, std::optional<std::string> value, std::uint64_t offset)
{
    return { key, std::move(value), LogOffset(offset) };
}

constexpr auto kTopic = DirectoryTopic::Operators;

} // namespace

TEST_CASE("an older record never replaces a newer one [directory]")
{
    DirectoryReplica replica;
    CHECK(replica.apply(kTopic, record("config", "new", 7)));
    CHECK_FALSE(replica.apply(kTopic, record("config", "old", 5)));
    CHECK_FALSE(replica.apply(kTopic, record("config", "new", 7)));
    const auto records = replica.recordsFrom(kTopic, LogOffset(0));
    REQUIRE(records.size() == 1);
    CHECK(records.front().value == "new");
    CHECK(replica.end(kTopic) == LogOffset(8));
}

TEST_CASE("a withdrawal is returned like a value [directory]")
{
    DirectoryReplica replica;
    replica.apply(DirectoryTopic::Endpoints, record("i-1", "entry", 3));
    replica.apply(DirectoryTopic::Endpoints, record("i-1", std::nullopt, 4));
    const auto records = replica.recordsFrom(DirectoryTopic::Endpoints, LogOffset(4));
    REQUIRE(records.size() == 1);
    CHECK_FALSE(records.front().value);
}

TEST_CASE("a listing withdraws only missing keys with offsets before its end [directory]")
{
    DirectoryReplica replica;
    replica.apply(DirectoryTopic::Endpoints, record("gone", "entry", 3));
    replica.apply(DirectoryTopic::Endpoints, record("listed", "entry", 4));
    // The store may answer from a replica that lags behind the records received from another daemon.
    replica.apply(DirectoryTopic::Endpoints, record("newer", "entry", 12));
    const auto missing = replica.findWithdrawn(DirectoryTopic::Endpoints, { record("listed", "entry", 4) }, LogOffset(10));
    REQUIRE(missing.size() == 1);
    CHECK(missing.front().key == "gone");
    CHECK_FALSE(missing.front().value);
}

TEST_CASE("a daemon is behind its peers only if the store does not catch it up in time [directory]")
{
    constexpr auto kGrace = ReplicaLag::kGrace;
    ReplicaLag lag;
    CHECK_FALSE(lag.isBehind(LogOffset(5), LogOffset(5), at(0ms)));
    CHECK_FALSE(lag.isBehind(LogOffset(5), LogOffset(6), at(100ms)));
    // The store's own answer arrived.
    CHECK_FALSE(lag.isBehind(LogOffset(6), LogOffset(6), at(200ms)));
    CHECK_FALSE(lag.isBehind(LogOffset(6), LogOffset(7), at(1s)));
    CHECK_FALSE(lag.isBehind(LogOffset(6), LogOffset(7), at(1s + kGrace - 1ms)));
    // A peer without newer records cannot help.
    CHECK_FALSE(lag.isBehind(LogOffset(6), LogOffset(6), at(1s + kGrace)));
    CHECK(lag.isBehind(LogOffset(6), LogOffset(7), at(1s + kGrace)));
}
