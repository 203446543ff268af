#include "hornbeamgate/routing/engine_index.hpp"

#include "hornbeamgate/routing/internal/prefix_popularity.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <list>
#include <unordered_map>
#include <utility>

namespace hornbeamgate {

struct EngineIndex::State {
    explicit State(const EngineIndexOptions& indexOptions)
        : options(indexOptions)
        , popularity(indexOptions.popularityEntries, indexOptions.popularityHalfLife)
    {
    }

    void clear();
    void apply(const CacheEvent& event);
    void store(BlockHash block);
    void evict(BlockHash block);
    void touch(BlockHash block);
    void evictLeastRecentlyUsed(std::uint64_t count);
    bool requestReread();
    void skipTo(std::uint64_t sequence);

    EngineIndexOptions options;
    Incarnation incarnation;
    std::vector<ServedModel> models;
    std::uint64_t nextSequence = 0;
    std::uint32_t rereadCount = 0;
    std::uint64_t lostEvents = 0;
    std::list<BlockHash> lruOrder; ///< least recently used first
    std::unordered_map<BlockHash, std::list<BlockHash>::iterator> blocks;
    internal::PrefixPopularity popularity;
};

void EngineIndex::State::clear()
{
    lruOrder.clear();
    blocks.clear();
    popularity = internal::PrefixPopularity(options.popularityEntries, options.popularityHalfLife);
}

void EngineIndex::State::apply(const CacheEvent& event)
{
    if (event.change == CacheChange::Stored)
        store(event.block);
    else
        evict(event.block);
    nextSequence = event.sequence + 1;
    rereadCount = 0;
}

void EngineIndex::State::store(BlockHash block)
{
    if (blocks.contains(block)) {
        touch(block);
        return;
    }
    if (blocks.size() >= options.maxBlocks)
        evictLeastRecentlyUsed(1);
    blocks.emplace(block, lruOrder.insert(lruOrder.end(), block));
}

void EngineIndex::State::evict(BlockHash block)
{
    const auto found = blocks.find(block);
    if (found == blocks.end())
        return;
    lruOrder.erase(found->second);
    blocks.erase(found);
}

void EngineIndex::State::touch(BlockHash block)
{
    const auto found = blocks.find(block);
    if (found != blocks.end())
        lruOrder.splice(lruOrder.end(), lruOrder, found->second);
}

void EngineIndex::State::evictLeastRecentlyUsed(std::uint64_t count)
{
    for (; count > 0 && !lruOrder.empty(); --count) {
        blocks.erase(lruOrder.front());
        lruOrder.pop_front();
    }
}

bool EngineIndex::State::requestReread()
{
    if (rereadCount >= options.maxRereads)
        return false;
    ++rereadCount;
    return true;
}

void EngineIndex::State::skipTo(std::uint64_t sequence)
{
    const auto lost = sequence - nextSequence;
    lostEvents += lost;
    evictLeastRecentlyUsed(lost);
    nextSequence = sequence;
    rereadCount = 0;
}

Result<EngineIndex, EngineIndexOptionsError> EngineIndex::create(EngineIndexOptions options)
{
    if (options.maxBlocks == 0)
        return failure(EngineIndexOptionsError { "the index must hold at least one block" });
    if (options.popularityHalfLife <= Duration::zero())
        return failure(EngineIndexOptionsError { "the half-life must be positive" });
    return EngineIndex(std::make_unique<State>(options));
}

EngineIndex::EngineIndex(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}

EngineIndex::EngineIndex(EngineIndex&&) noexcept = default;
EngineIndex& EngineIndex::operator=(EngineIndex&&) noexcept = default;
EngineIndex::~EngineIndex() = default;

void EngineIndex::handle(const EngineIdentified& event)
{
    auto& state = *m_state;
    const bool restarted = event.incarnation != state.incarnation;
    if (restarted || event.models != state.models)
        state.clear();
    if (restarted) {
        state.nextSequence = 0;
        state.rereadCount = 0;
    }
    state.incarnation = event.incarnation;
    state.models = event.models;
}

void EngineIndex::handle(const CacheEventsRead& event)
{
    auto& state = *m_state;
    if (event.incarnation != state.incarnation)
        return;
    for (const auto& change : event.events) {
        if (change.sequence < state.nextSequence || change.sequence >= event.next)
            continue;
        if (change.sequence > state.nextSequence) {
            if (state.requestReread())
                return;
            state.skipTo(change.sequence);
        }
        state.apply(change);
    }
    if (event.next > state.nextSequence && !state.requestReread())
        state.skipTo(event.next);
}

std::uint64_t EngineIndex::readFrom() const
{
    return m_state->nextSequence;
}

Result<void, RequestMismatch> EngineIndex::check(const RequestExpectation& expectation) const
{
    if (expectation.incarnation != m_state->incarnation)
        return failure(RequestMismatch::OtherIncarnation);
    const auto& models = m_state->models;
    const auto served = std::find_if(
        models.begin(), models.end(), [&](const ServedModel& model) { return model.model == expectation.model; });
    if (served == models.end())
        return failure(RequestMismatch::ModelNotServed);
    if (served->weights != expectation.weights)
        return failure(RequestMismatch::OtherWeights);
    return {};
}

std::uint32_t EngineIndex::leadingBlocks(std::span<const BlockHash> blocks) const
{
    const auto missing = std::find_if(
        blocks.begin(), blocks.end(), [&](BlockHash block) { return !m_state->blocks.contains(block); });
    return static_cast<std::uint32_t>(missing - blocks.begin());
}

void EngineIndex::storeComputed(const std::vector<BlockHash>& blocks)
{
    for (const auto block : blocks)
        m_state->store(block);
}

void EngineIndex::recordRequest(const std::vector<BlockHash>& blocks, MonotonicTime now)
{
    m_state->popularity.record(blocks, now);
    for (const auto block : blocks)
        m_state->touch(block);
}

std::vector<HotPrefix> EngineIndex::digest(std::size_t count, MonotonicTime now) const
{
    std::vector<HotPrefix> prefixes;
    for (const auto& hot : m_state->popularity.hottest(now)) {
        if (prefixes.size() == count)
            break;
        if (m_state->blocks.contains(hot.block))
            prefixes.push_back(hot);
    }
    return prefixes;
}

Incarnation EngineIndex::incarnation() const
{
    return m_state->incarnation;
}

std::size_t EngineIndex::size() const
{
    return m_state->blocks.size();
}

std::size_t EngineIndex::stateBytes() const
{
    constexpr std::size_t kBytesPerBlockEntry = 72;
    return sizeof(State) + m_state->blocks.size() * kBytesPerBlockEntry + m_state->popularity.stateBytes();
}

nlohmann::json EngineIndex::dump() const
{
    return { { "incarnation", m_state->incarnation.value() }, { "blocks", size() }, { "read_from", readFrom() },
        { "lost_events", m_state->lostEvents }, { "state_bytes", stateBytes() } };
}

} // namespace hornbeamgate
