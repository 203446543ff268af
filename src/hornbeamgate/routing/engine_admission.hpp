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

/// Settings of the admission beside one engine.
struct EngineAdmissionOptions {
    EngineCosts costs;
    FairQueueOptions queue;
    EngineIndexOptions index;
    /// Requests that the engine has before their first token; further ones wait in the fair queue.
    std::uint32_t maxPrefills = 1;
};

/// Request that asks to run on the engine.
struct AdmissionRequest {
    QueueTicket ticket;
    RequestExpectation expectation;
    WorkspaceId workspace;
    std::uint32_t weight = 1;
    std::uint32_t priority = 0;
    std::vector<BlockHash> blocks;
    std::size_t promptBytes = 0;
    MonotonicTime acceptBefore; ///< refuse when the first token is expected later, see `Placement`
    MonotonicTime firstTokenDeadline;
};

/// The request waits, or starts at the next `startNext`.
struct Admitted {
    std::uint32_t hitBlocks = 0; ///< leading blocks expected to be cached when it starts
    MonotonicTime estimatedFirstToken;
    std::vector<QueueTicket> displaced; ///< requests that must be answered as refused; they have not run
};

enum class AdmissionRefusalReason {
    Mismatch, ///< another incarnation, model or weights version
    TooLate, ///< the first token is expected after `acceptBefore`
    QueueFull,
    Invalid, ///< a ticket that is already known, or weight zero
};

/// The request has not run. The figures let the router place it elsewhere, see `PlacementRefused`.
struct AdmissionRefused {
    AdmissionRefusalReason reason = AdmissionRefusalReason::TooLate;
    Duration queuedWork {};
    std::uint32_t hitBlocks = 0;
};

/// Request to hand to the engine now.
struct StartedRequest {
    QueueTicket ticket;
    std::uint32_t hitBlocks = 0;
};

/// Figures for `LoadReported`.
struct EngineLoad {
    std::uint32_t running = 0;
    Duration queuedWork {};
};

/// Decides beside an engine which requests wait, in which order they start and which are turned away. It knows the cache
/// by the engine's late events and by the prompts of the requests that it has admitted itself.
class EngineAdmission {
public:
    static Result<EngineAdmission, std::string> create(const EngineAdmissionOptions& options);

    /// Another incarnation ends all requests; the returned ones had not been handed to the engine.
    std::vector<QueueTicket> handle(const EngineIdentified& event, MonotonicTime now);
    void handle(const CacheEventsRead& event) { m_index.handle(event); }

    Result<Admitted, AdmissionRefused> admit(const AdmissionRequest& request, MonotonicTime now);

    /// Next request for the engine, when it has room. Call again until nothing is returned.
    std::optional<StartedRequest> startNext(MonotonicTime now);

    void firstTokenSeen(QueueTicket ticket, MonotonicTime now);

    /// The request is over or was cancelled, whether it waited or ran.
    void finished(QueueTicket ticket, MonotonicTime now);

    /// Waiting requests whose deadline has passed; they have not run.
    std::vector<QueueTicket> removeExpired(MonotonicTime now);

    EngineLoad load(MonotonicTime now) const;

    /// Service time of the waiting requests that go before a new one of this workspace.
    Duration costAhead(const WorkspaceId& workspace, std::uint32_t priority) const { return m_queue.costAhead(workspace, priority); }
    const EngineIndex& index() const { return m_index; }
    std::size_t waiting() const { return m_queue.size(); }
    std::size_t running() const { return m_running.size(); }

    /// Load, queue and index, for the dump on request.
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
    std::unordered_map<BlockHash, std::uint32_t> m_expectedBlocks; ///< blocks of requests without first token, with their number
};

} // namespace hornbeamgate
