#pragma once

#include "hornbeamgate/routing/engine_index.hpp"
#include "hornbeamgate/routing/fair_queue.hpp"
#include "hornbeamgate/routing/routing_policy.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace hornbeamgate {

/// Settings of the admission control of one engine.
struct EngineAdmissionOptions {
    EngineCosts costs;
    FairQueueOptions queue;
    EngineIndexOptions index;
    /// Maximum number of requests at the engine that have not produced their first token; further ones wait in the queue.
    std::uint32_t maxPrefills = 1;
};

/// Request to admit to the engine.
struct AdmissionRequest {
    QueueTicket ticket;
    RequestExpectation expectation;
    WorkspaceId workspace;
    std::uint32_t weight = 1;
    std::uint32_t priority = 0;
    std::vector<BlockHash> blocks;
    std::size_t promptBytes = 0;
    MonotonicTime acceptBefore; ///< refuse if the first token is expected later than this; see `Placement`
    MonotonicTime firstTokenDeadline;
};

/// Result of a successful admission: the request is queued and starts in a later call of `startNext`.
struct Admitted {
    std::uint32_t hitBlocks = 0; ///< leading blocks expected to be cached when the request starts
    MonotonicTime estimatedFirstToken;
    std::vector<QueueTicket> displaced; ///< requests removed from the queue, to be refused by the caller; they have not run
};

enum class AdmissionRefusalReason {
    Mismatch, ///< another incarnation, model or weights version
    TooLate, ///< the first token is expected after `acceptBefore` or the deadline
    QueueFull,
    Invalid, ///< the ticket is already in use, or the weight is zero
};

/// Refusal of a request that has not run. The router uses the load and cache hits to place it elsewhere; see
/// `PlacementRefused`.
struct AdmissionRefused {
    AdmissionRefusalReason reason = AdmissionRefusalReason::TooLate;
    Duration queuedWork {};
    std::uint32_t hitBlocks = 0;
};

/// Request to send to the engine now.
struct StartedRequest {
    QueueTicket ticket;
    std::uint32_t hitBlocks = 0;
};

/// Load of the engine, as sent in `LoadReported`.
struct EngineLoad {
    std::uint32_t running = 0;
    Duration queuedWork {};
};

/// Admission control of one engine: decides which requests are queued, in which order they start and which are refused. The
/// state of the cache is estimated from the engine's cache events, which arrive with a delay, and from the prompts of the
/// requests admitted since.
class EngineAdmission {
public:
    static Result<EngineAdmission, std::string> create(const EngineAdmissionOptions& options);

    /// Updates the engine's incarnation and models. A new incarnation ends all requests; returns the tickets of those that had
    /// not been sent to the engine.
    std::vector<QueueTicket> handle(const EngineIdentified& event, MonotonicTime now);
    void handle(const CacheEventsRead& event) { m_index.handle(event); }

    Result<Admitted, AdmissionRefused> admit(const AdmissionRequest& request, MonotonicTime now);

    /// Returns the next request to start if the engine has capacity. Call repeatedly until nothing is returned.
    std::optional<StartedRequest> startNext(MonotonicTime now);

    void firstTokenSeen(QueueTicket ticket, MonotonicTime now);

    /// Removes a request that finished or was cancelled, whether it was waiting or running.
    void finished(QueueTicket ticket, MonotonicTime now);

    /// Removes the waiting requests whose deadline has passed and returns their tickets; they have not run.
    std::vector<QueueTicket> removeExpired(MonotonicTime now);

    EngineLoad load(MonotonicTime now) const;

    /// Total service time of the waiting requests that would be served before a new one of this workspace.
    Duration costAhead(const WorkspaceId& workspace, std::uint32_t priority) const { return m_queue.costAhead(workspace, priority); }
    const EngineIndex& index() const { return m_index; }
    std::size_t waiting() const { return m_queue.size(); }
    std::size_t running() const { return m_running.size(); }

    /// Returns load, queue and index state for diagnostics.
    nlohmann::json dump(MonotonicTime now) const;

private:
    struct Waiting {
        std::vector<BlockHash> blocks;
        std::size_t promptBytes = 0;
    };
    struct Running {
        std::vector<BlockHash> blocks;
        Duration work {};
        bool answered = false;
    };

    EngineAdmission(const EngineAdmissionOptions& options, FairQueue queue, EngineIndex index);

    std::uint32_t expectedHits(const std::vector<BlockHash>& blocks) const;
    Duration prefillTime(std::size_t promptBytes, std::uint32_t hitBlocks) const;
    Duration decodeSlotWait() const;
    MonotonicTime engineFreeAt(MonotonicTime now) const;
    std::uint32_t prefills() const;
    void addExpectedBlocks(const std::vector<BlockHash>& blocks);
    void releaseExpectedBlocks(const std::vector<BlockHash>& blocks);
    void dropWaiting(QueueTicket ticket);

    EngineAdmissionOptions m_options;
    FairQueue m_queue;
    EngineIndex m_index;
    Incarnation m_incarnation;
    MonotonicTime m_freeAt;
    std::map<QueueTicket, Waiting> m_waiting;
    std::map<QueueTicket, Running> m_running;
    /// Reference counts of the blocks that requests without a first token will add to the cache.
    std::unordered_map<BlockHash, std::uint32_t> m_expectedBlocks;
};

} // namespace hornbeamgate
