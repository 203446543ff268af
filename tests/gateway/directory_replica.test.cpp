#include "hornbeamgate/gateway/directory_replica.hpp"

#include "gateway/time_support.hpp"

#include <doctest/doctest.h>

#include <set>

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

// Guards against answers to other daemons that grow with the records of other writers.
TEST_CASE("records beyond the bound of an answer follow the offset of the last one returned [directory]")
{
    constexpr std::uint64_t kRecords = 20;
    DirectoryReplica replica;
    for (std::uint64_t i = 0; i < kRecords; ++i)
        replica.apply(kTopic, record("key-" + std::to_string(i), std::string(262144, 'x'), i));
    DirectoryReplica peer;
    int answers = 0;
    for (; peer.end(kTopic) < replica.end(kTopic) && answers < 10; ++answers) {
        std::size_t bytes = 0;
        for (const auto& returned : replica.recordsFrom(kTopic, peer.end(kTopic))) {
            bytes += returned.key.size() + returned.value.value().size();
            CHECK(peer.apply(kTopic, returned));
        }
        CHECK(bytes <= DirectoryReplica::kMaxReturnedBytes);
    }
    CHECK(peer.recordsFrom(kTopic, LogOffset(kRecords - 1)).size() == 1);
    CHECK(answers == 3);
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

TEST_CASE("a record after a return of the store replaces one at a higher offset before it, and not the other way round [directory][store-return]")
{
    const auto before = positionInEra(storeEra(6), 400);
    const auto after = positionInEra(storeEra(7), 4);
    DirectoryReplica replica;
    CHECK(replica.apply(kTopic, { "config", "old", before }));
    CHECK(replica.apply(kTopic, { "config", "new", after }));
    CHECK_FALSE(replica.apply(kTopic, { "config", "older", before.next() }));
    CHECK(replica.end(kTopic) == after.next());
}

TEST_CASE("a daemon that was cut off learns from a peer which keys are missing after a return of the store [directory][store-return]")
{
    const auto topic = DirectoryTopic::Endpoints;
    const auto before = positionInEra(storeEra(6), 400);
    const DirectoryRecord listed { "listed", "entry", positionInEra(storeEra(7), 3) };
    const DirectoryRecord gone { "gone", "entry", before };
    const DirectoryRecord removedInEra { "removed", "entry", positionInEra(storeEra(7), 2) };
    DirectoryReplica cutOff;
    DirectoryReplica peer;
    for (auto* replica : { &cutOff, &peer }) {
        replica->apply(topic, { "listed", "entry", before.next() });
        replica->apply(topic, gone);
    }
    const auto ownEnd = cutOff.end(topic);
    peer.apply(topic, listed);
    peer.apply(topic, removedInEra);
    const auto withdrawn = peer.findWithdrawn(topic, { listed }, positionInEra(storeEra(7), 5));
    REQUIRE(withdrawn.size() == 2);
    for (const auto& missing : withdrawn) {
        CHECK_FALSE(missing.value);
        CHECK(peer.apply(topic, missing));
    }
    std::set<std::string> received;
    for (const auto& newer : peer.recordsFrom(topic, ownEnd)) {
        CHECK(cutOff.apply(topic, newer));
        received.insert(newer.key);
    }
    CHECK(received == std::set<std::string> { "gone", "listed", "removed" });
    CHECK(cutOff.end(topic) == peer.end(topic));
    // The key is written again, at any offset of the era.
    CHECK(cutOff.apply(topic, { "gone", "entry", positionInEra(storeEra(7), 0) }));
}

TEST_CASE("a value that is kept at a newer offset is passed on with it [directory][store-return]")
{
    const auto offset = positionInEra(storeEra(7), 4);
    DirectoryReplica replica;
    replica.apply(kTopic, { "config", "new", positionInEra(storeEra(6), 400) });
    replica.apply(kTopic, { "removed", std::nullopt, positionInEra(storeEra(6), 401) });
    replica.keepAt(kTopic, "config", offset);
    replica.keepAt(kTopic, "removed", offset.next());
    const auto records = replica.recordsFrom(kTopic, offset);
    REQUIRE(records.size() == 2);
    for (const auto& kept : records) {
        CHECK(kept.value == (kept.key == "config" ? std::optional<std::string>("new") : std::nullopt));
        CHECK(kept.offset == (kept.key == "config" ? offset : offset.next()));
    }
    CHECK(replica.end(kTopic) == offset.next().next());
    CHECK_FALSE(replica.isNewer(kTopic, { "config", "old", offset }));
    // The listing that named the old value does not withdraw the one that was kept.
    CHECK(replica.findWithdrawn(kTopic, { { "config", "old", offset } }, offset.next().next()).empty());
}
