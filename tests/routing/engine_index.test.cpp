#include "hornbeamgate/routing/engine_index.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <set>

using namespace hornbeamgate;
using std::chrono::seconds;

namespace {

const MonotonicTime kNow = MonotonicTime(seconds(100));
const std::vector<ServedModel> kModels { { ModelId("m"), WeightsVersion(1) } };

EngineIndex makeIndex(EngineIndexOptions options = {})
{
    options.popularityEntries = 128;
    auto index = EngineIndex::create(options).value();
    index.handle(EngineIdentified { Incarnation(1), kModels });
    return index;
}

BlockHash block(std::uint64_t value)
{
    return BlockHash(value);
}

/// Simulated engine with a small LRU cache and a log of its cache events.
class FakeEngine {
public:
    void store(BlockHash stored)
    {
        if (std::find(m_cached.begin(), m_cached.end(), stored) != m_cached.end())
            return;
        m_cached.push_back(stored);
        append(CacheChange::Stored, stored);
        if (m_cached.size() <= kCapacity)
            return;
        append(CacheChange::Evicted, m_cached.front());
        m_cached.pop_front();
    }

    /// Returns the events starting at `from` except those in `lost`. The newest `lag` events are not visible yet.
    CacheEventsRead read(std::uint64_t from, std::size_t lag, const std::set<std::uint64_t>& lost = {}) const
    {
        CacheEventsRead result { Incarnation(1), m_events.size() - std::min(lag, m_events.size()), {} };
        for (auto sequence = from; sequence < result.next; ++sequence)
            if (!lost.contains(sequence))
                result.events.push_back(m_events[sequence]);
        return result;
    }

    bool holds(BlockHash asked) const { return std::find(m_cached.begin(), m_cached.end(), asked) != m_cached.end(); }
    std::size_t size() const { return m_cached.size(); }

private:
    static constexpr std::size_t kCapacity = 8;

    void append(CacheChange change, BlockHash changed) { m_events.push_back({ m_events.size(), change, changed }); }

    std::deque<BlockHash> m_cached;
    std::vector<CacheEvent> m_events;
};

bool equals(const EngineIndex& index, const FakeEngine& engine)
{
    if (index.size() != engine.size())
        return false;
    for (std::uint64_t value = 1; value <= 32; ++value)
        if ((index.leadingBlocks(std::vector { block(value) }) == 1) != engine.holds(block(value)))
            return false;
    return true;
}

/// Feeds an index with delayed reads, repeated reads and temporary gaps. Returns whether it equals the engine's cache at the end.
/// `mutate` can corrupt the reads before the index handles them.
template <typename Mutate>
bool followsEngine(const std::vector<std::uint32_t>& codes, Mutate mutate)
{
    FakeEngine engine;
    auto index = makeIndex();
    for (const auto code : codes) {
        engine.store(block(1 + code % 32));
        if (code / 32 % 3 != 0)
            continue;
        const auto from = index.readFrom() - std::min<std::uint64_t>(index.readFrom(), code / 128 % 3);
        auto read = engine.read(from, code / 512 % 4);
        if (code / 2048 % 4 == 0 && read.events.size() > 2)
            read.events.erase(read.events.begin() + 1);
        mutate(read);
        index.handle(read);
        auto again = engine.read(index.readFrom(), 0);
        mutate(again);
        index.handle(again);
    }
    auto last = engine.read(index.readFrom(), 0);
    mutate(last);
    index.handle(last);
    return equals(index, engine);
}

} // namespace

TEST_CASE("index options without capacity or half-life are rejected [routing]")
{
    CHECK_FALSE(EngineIndex::create({ 0, 1, seconds(1), 1 }));
    CHECK_FALSE(EngineIndex::create({ 1, 1, seconds(0), 1 }));
}

TEST_CASE("an index that receives every event equals the engine's cache [routing]")
{
    CHECK(rc::check([] {
        const auto codes = *rc::gen::container<std::vector<std::uint32_t>>(150, rc::gen::inRange<std::uint32_t>(0, 1U << 16));
        RC_ASSERT(followsEngine(codes, [](CacheEventsRead&) {}));
    }));
}

TEST_CASE("the comparison detects an index that misses evictions or applies them as stores [routing]")
{
    std::mt19937 generator(20261204);
    std::vector<std::uint32_t> codes(150);
    for (auto& code : codes)
        code = generator() % (1U << 16);
    CHECK(followsEngine(codes, [](CacheEventsRead&) {}));
    CHECK_FALSE(followsEngine(codes, [](CacheEventsRead& read) {
        for (auto& event : read.events)
            event.change = CacheChange::Stored;
    }));
    CHECK_FALSE(followsEngine(codes, [](CacheEventsRead& read) {
        std::erase_if(read.events, [](const CacheEvent& event) { return event.change == CacheChange::Evicted; });
    }));
}

TEST_CASE("a gap is read again once and then drops one least recently used block per missing event [routing]")
{
    FakeEngine engine;
    auto index = makeIndex();
    for (std::uint64_t value = 1; value <= 8; ++value)
        engine.store(block(value));
    index.handle(engine.read(0, 0));
    engine.store(block(9));
    engine.store(block(10));
    const std::set<std::uint64_t> lost { 8, 9 };
    index.handle(engine.read(index.readFrom(), 0, lost));
    CHECK(index.readFrom() == 8);
    CHECK(index.size() == 8);
    index.handle(engine.read(index.readFrom(), 0, lost));
    CHECK(index.readFrom() == 12);
    CHECK(index.leadingBlocks(std::vector { block(1) }) == 0);
    CHECK(index.leadingBlocks(std::vector { block(2) }) == 0);
    CHECK(index.leadingBlocks(std::vector { block(10) }) == 1);
    CHECK(index.dump()["lost_events"] == 2);
}

TEST_CASE("lost events at the end of a read are detected from the engine's position [routing]")
{
    FakeEngine engine;
    auto index = makeIndex();
    engine.store(block(1));
    engine.store(block(2));
    index.handle(engine.read(0, 0, { 1 }));
    CHECK(index.readFrom() == 1);
    index.handle(engine.read(1, 0, { 1 }));
    CHECK(index.readFrom() == 2);
}

TEST_CASE("a new incarnation or weights version clears the index and delayed events of an old incarnation are ignored [routing]")
{
    const EngineIdentified changes[] = {
        { Incarnation(2), kModels },
        { Incarnation(1), { { ModelId("m"), WeightsVersion(2) } } },
    };
    for (const auto& change : changes) {
        FakeEngine engine;
        engine.store(block(1));
        auto index = makeIndex();
        index.handle(engine.read(0, 0));
        CHECK(index.size() == 1);
        index.handle(change);
        CHECK(index.size() == 0);
        engine.store(block(2));
        index.handle(engine.read(0, 0));
        CHECK(index.size() == (change.incarnation == Incarnation(1) ? 1 : 0));
    }
}

TEST_CASE("a request placed on another incarnation, model or version is refused [routing]")
{
    const auto index = makeIndex();
    const ModelId model("m");
    CHECK(index.check({ Incarnation(1), model, WeightsVersion(1) }));
    CHECK(index.check({ Incarnation(2), model, WeightsVersion(1) }).error() == RequestMismatch::OtherIncarnation);
    CHECK(index.check({ Incarnation(1), model, WeightsVersion(2) }).error() == RequestMismatch::OtherWeights);
    CHECK(index.check({ Incarnation(1), ModelId("n"), WeightsVersion(1) }).error() == RequestMismatch::ModelNotServed);
}

TEST_CASE("the digest contains the longest hot prefixes that are cached [routing]")
{
    auto index = makeIndex();
    CacheEventsRead read { Incarnation(1), 6, {} };
    for (std::uint64_t sequence = 0; sequence < 6; ++sequence)
        read.events.push_back({ sequence, CacheChange::Stored, block(sequence + 1) });
    index.handle(read);
    for (int i = 0; i < 20; ++i) {
        index.recordRequest({ block(1), block(2), block(3) }, kNow);
        index.recordRequest({ block(1), block(2), i % 2 == 0 ? block(4) : block(5) }, kNow);
        index.recordRequest({ block(99) }, kNow);
    }
    const auto digest = index.digest(3, kNow);
    REQUIRE(digest.size() == 3);
    CHECK(digest[0].block == block(2));
    CHECK(digest[1].block == block(3));
    CHECK(digest[0].requestsPerSecond == doctest::Approx(2 * digest[1].requestsPerSecond));
    CHECK(index.digest(0, kNow).empty());
}

TEST_CASE("the index respects its capacity and counts only consecutive leading blocks [routing]")
{
    auto index = makeIndex({ 4, 128, seconds(15), 1 });
    CacheEventsRead read { Incarnation(1), 10, {} };
    for (std::uint64_t sequence = 0; sequence < 10; ++sequence)
        read.events.push_back({ sequence, CacheChange::Stored, block(sequence + 1) });
    index.handle(read);
    CHECK(index.size() == 4);
    CHECK(index.leadingBlocks(std::vector { block(9), block(10) }) == 2);
    CHECK(index.leadingBlocks(std::vector { block(1), block(10) }) == 0);
}
