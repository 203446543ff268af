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

/// Change of an engine's cache. `sequence` grows by one with each change of one incarnation.
struct CacheEvent {
    std::uint64_t sequence = 0;
    CacheChange change = CacheChange::Stored;
    BlockHash block;
};

/// Answer of the engine to a read of its cache events. `next` is the sequence number after its last event.
struct CacheEventsRead {
    Incarnation incarnation;
    std::uint64_t next = 0;
    std::vector<CacheEvent> events;
};

/// The engine runs, with these models. Another incarnation or another version of any model empties the index.
struct EngineIdentified {
    Incarnation incarnation;
    std::vector<ServedModel> models;
};

/// What a request relies on; see `Placement`.
struct RequestExpectation {
    Incarnation incarnation;
    ModelId model;
    WeightsVersion weights;
};

/// Why a request must not run on this engine as it was placed. It has not run.
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
    /// Times that a missing range of events is asked for again before it counts as lost.
    std::uint32_t maxRereads = 1;
};

struct EngineIndexOptionsError {
    std::string detail;
};

/// Follows the cache of the engine beside an agent. The index is an estimate: it serves placement and never the answer,
/// since the engine itself recomputes what it does not hold.
class EngineIndex {
public:
    static Result<EngineIndex, EngineIndexOptionsError> create(EngineIndexOptions options);
    EngineIndex(EngineIndex&&) noexcept;
    EngineIndex& operator=(EngineIndex&&) noexcept;
    ~EngineIndex();

    void handle(const EngineIdentified& event);

    /// Applies events in sequence. A gap is read again; when it stays, as many of the least recently used blocks are
    /// dropped as events are missing, because each missing event can be the eviction of one of them. Events of another
    /// incarnation than the identified one are ignored.
    void handle(const CacheEventsRead& event);

    /// Sequence number from which the next read must start.
    std::uint64_t readFrom() const;

    /// Checks that the engine still is what the router placed the request on.
    Result<void, RequestMismatch> check(const RequestExpectation& expectation) const;

    /// Number of leading blocks of a prompt that are cached.
    std::uint32_t leadingBlocks(std::span<const BlockHash> blocks) const;

    /// Adds the blocks of a prompt that was just computed, before the late event that tells of them.
    void storeComputed(const std::vector<BlockHash>& blocks);

    /// Counts a request that runs, and marks its cached blocks as recently used.
    void recordRequest(const std::vector<BlockHash>& blocks, MonotonicTime now);

    /// The hottest cached prefixes, at most `count`; a prefix whose requests nearly all extend it is left out in favour
    /// of the longer one.
    std::vector<HotPrefix> digest(std::size_t count, MonotonicTime now) const;

    Incarnation incarnation() const;
    std::size_t size() const;
    std::size_t stateBytes() const;

    /// Size, position and counters, for the dump on request.
    nlohmann::json dump() const;

private:
    struct State;
    explicit EngineIndex(std::unique_ptr<State> state);

    std::unique_ptr<State> m_state;
};

} // namespace hornbeamgate
