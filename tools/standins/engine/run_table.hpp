#pragma once

#include "engine/answer.hpp"
#include "engine/block_cache.hpp"
#include "hornbeamgate/base/time.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hornbeamgate::standins {

/// Speed and size of an engine.
struct RunTableOptions {
    std::size_t slots = 32; ///< runs that generate at the same time
    std::chrono::milliseconds prefillPerBlock { 40 }; ///< for each block that is not cached
    std::chrono::milliseconds unwantedLifetime { 5000 }; ///< a run that nobody reads is cancelled after this time
    std::chrono::milliseconds finishedLifetime { 30000 }; ///< time for which a finished run can still be read
};

enum class RunState {
    Queued,
    Running,
    Finished,
    Cancelled,
};

/// One request in the engine.
struct Run {
    std::string id;
    std::uint64_t priority = 0; ///< larger ones start first
    std::uint64_t arrival = 0;
    std::vector<std::string> blocks {};
    Answer answer;
    std::uint64_t weightsVersion = 0;
    RunState state = RunState::Queued;
    std::size_t cachedBlocks = 0;
    std::uint64_t producedEvents = 0;
    MonotonicTime resumesAt {}; ///< end of prefill or of a stall
    MonotonicTime forgetAt {}; ///< when the run is dropped unless somebody reads it
};

/// Runs of one engine under continuous batching: every step produces one token for each running run.
class RunTable {
public:
    RunTable(RunTableOptions options, BlockCache& cache);

    /// Queues a run; false when a run with this id is known already.
    bool add(Run run, MonotonicTime now);

    Run* find(const std::string& id);
    void cancel(const std::string& id);

    /// Says that somebody reads the run.
    void keep(const std::string& id, MonotonicTime now);

    /// Starts queued runs while there are free slots, and produces the next tokens.
    void step(MonotonicTime now);

    void clear();
    std::size_t running() const;
    std::size_t queued() const;

private:
    std::size_t count(RunState) const;
    Run* nextQueued();
    void start(Run&, MonotonicTime now);
    void produce(Run&, MonotonicTime now);
    void forgetOld(MonotonicTime now);

    RunTableOptions m_options;
    BlockCache& m_cache;
    std::map<std::string, Run> m_runs;
    std::uint64_t m_nextArrival = 0;
};

} // namespace hornbeamgate::standins
