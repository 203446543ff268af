#include "hornbeamgate/routing/digest_writer.hpp"

#include "routing/router_fixture.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate;
using namespace hornbeamgate::test;

namespace {

const EndpointId kEndpoint("engine-0");

class IndexFixture {
public:
    explicit IndexFixture(std::uint64_t incarnation = 1)
    {
        index.handle(EngineIdentified { Incarnation(incarnation), {} });
    }

    void change(CacheChange kind, std::uint64_t value)
    {
        index.handle(CacheEventsRead { index.incarnation(), m_next + 1, { { m_next, kind, BlockHash(value) } } });
        ++m_next;
    }

    void use(std::uint64_t value) { index.recordRequest({ BlockHash(value) }, kStart); }

    EngineIndex index = EngineIndex::create({ 64, 64, seconds(15), 0 }).value();

private:
    std::uint64_t m_next = 0;
};

} // namespace

TEST_CASE("a digest announces a hot prefix once, repeats it after the refresh interval and reports its eviction [routing]")
{
    IndexFixture engine;
    engine.change(CacheChange::Stored, 1);
    engine.use(1);
    DigestWriter writer({ 8, 4, seconds(15) });
    CHECK(writer.next(kEndpoint, engine.index, kStart).prefixes.size() == 1);
    CHECK(writer.next(kEndpoint, engine.index, kStart + seconds(14)).prefixes.empty());
    CHECK(writer.next(kEndpoint, engine.index, kStart + seconds(15)).prefixes.size() == 1);
    engine.change(CacheChange::Evicted, 1);
    CHECK(writer.next(kEndpoint, engine.index, kStart).evicted == std::vector { BlockHash(1) });
    const auto quiet = writer.next(kEndpoint, engine.index, kStart);
    CHECK(quiet.evicted.empty());
    CHECK(quiet.prefixes.empty());
}

TEST_CASE("a digest is limited to its maximum number of entries and the next ones announce the rest [routing]")
{
    IndexFixture engine;
    for (std::uint64_t value = 1; value <= 6; ++value) {
        engine.change(CacheChange::Stored, value);
        engine.use(value);
    }
    DigestWriter writer({ 8, 4, seconds(15) });
    CHECK(writer.next(kEndpoint, engine.index, kStart).prefixes.size() == 4);
    CHECK(writer.next(kEndpoint, engine.index, kStart).prefixes.size() == 2);
}

TEST_CASE("a digest after a restart has the new incarnation and reports no evictions [routing]")
{
    IndexFixture engine;
    engine.change(CacheChange::Stored, 1);
    engine.use(1);
    DigestWriter writer({ 8, 4, seconds(15) });
    writer.next(kEndpoint, engine.index, kStart);
    engine.index.handle(EngineIdentified { Incarnation(2), {} });
    const auto digest = writer.next(kEndpoint, engine.index, kStart);
    CHECK(digest.incarnation == Incarnation(2));
    CHECK(digest.evicted.empty());
}

TEST_CASE("a router uses a digest of the live incarnation until the prefix is reported as evicted [routing]")
{
    const auto blocks = chain(3, 4);
    const auto hits = [&](std::uint64_t incarnation, std::vector<BlockHash> evicted) {
        auto router = makeRouter();
        router.handle(upEvent(0), kStart);
        router.handle(PrefixDigest { engine(0), Incarnation(incarnation), { { blocks[2], 1 } }, {} }, kStart);
        router.handle(PrefixDigest { engine(0), Incarnation(1), {}, std::move(evicted) }, kStart);
        return router.place(request(1, blocks), kStart)->expectedHitBlocks;
    };
    CHECK(hits(1, {}) == 3);
    CHECK(hits(2, {}) == 0);
    CHECK(hits(1, { blocks[2] }) == 0);
}
