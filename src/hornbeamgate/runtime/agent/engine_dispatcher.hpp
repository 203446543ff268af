#pragma once

#include "hornbeamgate/routing/engine_index.hpp"
#include "hornbeamgate/routing/slot_scheduler.hpp"
#include "hornbeamgate/runtime/agent/engine_run.hpp"
#include "hornbeamgate/runtime/agent/run_stream.hpp"

#include <nlohmann/json_fwd.hpp>

#include <list>
#include <map>
#include <memory>

namespace hornbeamgate {

/// Executes run orders on the local engine. Revalidates the engine's incarnation and the weights version that an order
/// expects, shares the engine's slots among workspaces, and applies backpressure to the engine if the reader is slow.
class EngineDispatcher : public RunDispatcher {
public:
    static Result<std::unique_ptr<EngineDispatcher>, std::string> create(const AgentContext& context, EngineIndex& index);
    ~EngineDispatcher() override;

    /// Takes ownership of a stream and waits for its run order.
    void add(std::unique_ptr<LinkStream> stream);
    /// Sets the engine's current incarnation; 0 means that the engine is down.
    void setEngine(Incarnation engine) { m_engine = engine; }
    /// Rejects new runs from now on; runs that are resumed are still accepted.
    void startLeaving() { m_leaving = true; }
    std::size_t activeRuns() const { return m_runs.size(); }
    std::size_t waitingRuns() const { return m_scheduler.waiting(); }
    nlohmann::json dump() const;

private:
    struct Run;

    EngineDispatcher(const AgentContext& context, EngineIndex& index, SlotScheduler scheduler);

    void handleOrder(RunStream& stream, const RunOrder& order) override;
    void streamDrained(RunStream& stream) override;
    void streamCancelled(RunStream& stream) override;
    void streamLost(RunStream& stream) override;
    void streamDone(RunStream& stream) override;

    std::optional<RunFailed> findRefusal(const RunOrder& order) const;
    void schedule(const SchedulerEvent& event);
    void perform(const StartOfferedRun& action);
    void perform(const RefuseOfferedRun& action);
    void startEngineRun(Run& run);
    void scheduleCancellation(const RunId& id);
    /// Returns the number of streams that ordered or resumed the run.
    std::size_t countStreams(const RunId& id) const;
    Run* find(const RunStream& stream);
    Run* find(QueueTicket ticket);
    void remove(const RunStream& stream);

    AgentContext m_context;
    EngineIndex* m_index;
    SlotScheduler m_scheduler;
    Incarnation m_engine;
    std::list<std::unique_ptr<Run>> m_runs;
    QueueTicket m_lastTicket;
    /// Runs whose connection to the entry daemon was lost. Each one is cancelled at the engine unless it is resumed before
    /// its timer expires.
    std::map<RunId, std::unique_ptr<Timer>> m_pendingCancellations;
    Timer m_timer;
    bool m_leaving = false;
};

} // namespace hornbeamgate
