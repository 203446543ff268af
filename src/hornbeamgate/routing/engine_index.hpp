#pragma once

#include "hornbeamgate/base/result.hpp"
#include "hornbeamgate/routing/router.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace hornbeamgate {

enum class CacheChange {
    Stored,
    Evicted,
};

/// Change of an engine's prefix cache. `sequence` increases by one with each change within an incarnation.
struct CacheEvent {
    std::uint64_t sequence = 0;
    CacheChange change = CacheChange::Stored;
    BlockHash block;
};

/// Engine's response to a read of its cache events. `next` is the sequence number that follows its latest event.
struct CacheEventsRead {
    Incarnation incarnation;
    std::uint64_t next = 0;
    std::vector<CacheEvent> events;
};

/// Identity of the running engine and the models that it serves. The index is cleared if the incarnation or the version of
/// any model changes.
struct EngineIdentified {
    Incarnation incarnation;
    std::vector<ServedModel> models;
};

/// Engine incarnation, model and weights version that a request was placed on; see `Placement`.
struct RequestExpectation {
    Incarnation incarnation;
    ModelId model;
    WeightsVersion weights;
};

/// Reason why the engine no longer matches a request's placement. The request has not run.
enum class RequestMismatch {
    OtherIncarnation,
    ModelNotServed,
    OtherWeights,
};

/// Settings of an engine index.
struct EngineIndexOptions {
    std::size_t maxBlocks = 65536;
    std::size_t popularityEntries = 8192;
    Duration popularityHalfLife = std::chrono::seconds(15);
    /// Number of times that a missing range of events is read again before it counts as lost.
    std::uint32_t maxRereads = 1;
};

struct EngineIndexOptionsError {
    std::string detail;
};

/// Tracks the contents of an engine's prefix cache from its cache events. The index is an estimate that affects placement but
/// never the correctness of a response, because the engine recomputes blocks that it does not hold.
class EngineIndex {
public:
    static Result<EngineIndex, EngineIndexOptionsError> create(EngineIndexOptions options);
    EngineIndex(EngineIndex&&) noexcept;
    EngineIndex& operator=(EngineIndex&&) noexcept;
    ~EngineIndex();

    void handle(const EngineIdentified& event);

    /// Applies events in sequence. A gap is read again up to `maxRereads` times. If it persists, one least recently used block is
    /// dropped for each missing event, because each of them may have been an eviction. Events of any incarnation but the
    /// identified one are ignored.
    void handle(const CacheEventsRead& event);

    /// Returns the sequence number from which the next read must start.
    std::uint64_t readFrom() const;

    /// Checks that the engine still has the incarnation, model and weights that the request was placed on.
    Result<void, RequestMismatch> check(const RequestExpectation& expectation) const;

    /// Returns the number of consecutive blocks from the start of a prompt that are cached.
    std::uint32_t leadingBlocks(std::span<const BlockHash> blocks) const;

    /// Adds the blocks of a prompt that was just computed, ahead of the engine's delayed events for them.
    void storeComputed(const std::vector<BlockHash>& blocks);

    /// Records a started request in the popularity counts and marks its cached blocks as recently used.
    void recordRequest(const std::vector<BlockHash>& blocks, MonotonicTime now);

    /// Returns up to `count` of the hottest cached prefixes. A prefix is omitted in favour of a longer one when nearly all of its
    /// requests share that longer prefix.
    std::vector<HotPrefix> digest(std::size_t count, MonotonicTime now) const;

    Incarnation incarnation() const;
    std::size_t size() const;
    std::size_t stateBytes() const;

    /// Returns size, read position and counters for diagnostics.
    nlohmann::json dump() const;

private:
    struct State;
    explicit EngineIndex(std::unique_ptr<State> state);

    std::unique_ptr<State> m_state;
};

} // namespace hornbeamgate
