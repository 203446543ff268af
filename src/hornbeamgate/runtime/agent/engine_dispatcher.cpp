#include "hornbeamgate/runtime/agent/engine_dispatcher.hpp"

#include "hornbeamgate/observability/log.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hornbeamgate {

namespace {

    constexpr std::size_t kMaxUnsentBytes = std::size_t { 64 } * 1024;
    constexpr std::chrono::seconds kResumeTimeout { 4 };
    constexpr std::chrono::seconds kDefaultWaitLimit { 30 };

    std::string_view describe(RequestMismatch mismatch)
    {
        switch (mismatch) {
        case RequestMismatch::OtherIncarnation:
            return "the engine was restarted";
        case RequestMismatch::ModelNotServed:
            return "the engine does not serve the model";
        case RequestMismatch::OtherWeights:
            break;
        }
        return "the engine runs other weights";
    }

    std::vector<BlockHash> toBlocks(const std::vector<std::uint64_t>& numbers)
    {
        std::vector<BlockHash> blocks;
        blocks.reserve(numbers.size());
        for (const auto number : numbers)
            blocks.emplace_back(number);
        return blocks;
    }

} // namespace

/// A stream and, once the scheduler has started it, its run on the engine.
struct EngineDispatcher::Run : RunSink {
    std::unique_ptr<RunStream> stream;
    RunOrder order;
    std::unique_ptr<EngineRun> engineRun; ///< holds a pointer to `order`
    QueueTicket ticket;
    const SlotScheduler* scheduler = nullptr;

    void sendMessage(const RunMessage& message) override
    {
        if (const auto* accepted = std::get_if<RunAccepted>(&message)) {
            auto withLoad = *accepted;
            withLoad.running = static_cast<std::uint32_t>(scheduler->running());
            withLoad.queued = static_cast<std::uint32_t>(scheduler->waiting());
            stream->sendMessage(withLoad);
            return;
        }
        stream->sendMessage(message);
        if (stream->ended() || stream->unsentBytes() <= kMaxUnsentBytes)
            return;
        engineRun->pauseReading();
        stream->notifyWhenDrained();
    }
};

Result<std::unique_ptr<EngineDispatcher>, std::string> EngineDispatcher::create(const AgentContext& context, EngineIndex& index)
{
    SlotSchedulerOptions options;
    options.slots = context.settings->slots;
    auto scheduler = SlotScheduler::create(options);
    if (!scheduler)
        return failure(scheduler.error().detail);
    return std::unique_ptr<EngineDispatcher>(new EngineDispatcher(context, index, std::move(*scheduler)));
}

EngineDispatcher::EngineDispatcher(const AgentContext& context, EngineIndex& index, SlotScheduler scheduler)
    : m_context(context)
    , m_index(&index)
    , m_scheduler(std::move(scheduler))
    , m_timer([this] { schedule(SchedulerTimerExpired {}); })
{
}

EngineDispatcher::~EngineDispatcher() = default;

void EngineDispatcher::add(std::unique_ptr<LinkStream> stream)
{
    auto run = std::make_unique<Run>();
    run->stream = std::make_unique<RunStream>(std::move(stream), *this);
    run->scheduler = &m_scheduler;
    m_runs.push_back(std::move(run));
}

std::optional<RunFailed> EngineDispatcher::findRefusal(const RunOrder& order) const
{
    const bool resumes = order.resumeFrom > 0;
    if (order.kind == RunKind::ServiceCall)
        return RunFailed { RunError::BadRequest, true, "this agent stands beside an engine" };
    if (m_leaving && !resumes)
        return RunFailed { RunError::EndpointLeaving, true, "the endpoint is leaving" };
    if (m_engine == Incarnation())
        return RunFailed { RunError::EndpointFailed, !resumes, "the engine does not answer" };
    const auto expected = order.engine == Incarnation() ? m_engine : order.engine;
    const auto check = m_index->check({ expected, order.model, order.weights });
    if (!check)
        return RunFailed { RunError::EngineChanged, !resumes, std::string(describe(check.error())) };
    return std::nullopt;
}

void EngineDispatcher::handleOrder(RunStream& stream, const RunOrder& order)
{
    if (const auto refusal = findRefusal(order)) {
        logEvent(LogEvent::RunFailed, { { "run", order.id.text() }, { "error", runErrorName(refusal->error) }, { "not_run", refusal->notRun ? "true" : "unknown" } });
        stream.sendMessage(*refusal);
        return;
    }
    m_pendingCancellations.erase(order.id);
    auto* run = find(stream);
    run->order = order;
    if (order.resumeFrom > 0) {
        startEngineRun(*run);
        return;
    }
    run->ticket = m_lastTicket = m_lastTicket.next();
    RunOffered offered;
    offered.ticket = run->ticket;
    offered.workspace = order.workspace;
    offered.weight = std::max(1U, order.weight);
    offered.priority = order.priority;
    offered.tokens = order.cost;
    const auto limit = order.maxQueueWaitMs > 0 ? Duration(std::chrono::milliseconds(order.maxQueueWaitMs)) : Duration(kDefaultWaitLimit);
    offered.startDeadline = MonotonicClock::now() + limit;
    schedule(offered);
}

void EngineDispatcher::schedule(const SchedulerEvent& event)
{
    const auto actions = m_scheduler.handle(event, MonotonicClock::now());
    if (const auto deadline = m_scheduler.nextDeadline())
        m_timer.set(*deadline);
    else
        m_timer.clear();
    for (const auto& action : actions)
        std::visit([this](const auto& alternative) { perform(alternative); }, action);
}

void EngineDispatcher::perform(const StartOfferedRun& action)
{
    auto* run = find(action.ticket);
    if (!run)
        return;
    m_context.metrics->observe(Latency::QueueWait, action.waited);
    // Checks again, because the engine may have restarted or changed its models while the run was queued.
    if (const auto refusal = findRefusal(run->order))
        run->stream->sendMessage(*refusal);
    else
        startEngineRun(*run);
}

void EngineDispatcher::perform(const RefuseOfferedRun& action)
{
    auto* run = find(action.ticket);
    if (!run)
        return;
    const bool late = action.reason == QueueRefusal::DeadlineUnreachable;
    run->stream->sendMessage(RunFailed { late ? RunError::DeadlineUnreachable : RunError::QueueFull, true, late ? "the run cannot start in time" : "the engine's queue is full" });
}

void EngineDispatcher::startEngineRun(Run& run)
{
    m_index->recordRequest(toBlocks(run.order.prefixBlocks), MonotonicClock::now());
    run.engineRun = std::make_unique<EngineRun>(m_context, run.order, m_engine, run);
    run.engineRun->start();
}

void EngineDispatcher::streamDrained(RunStream& stream)
{
    auto* run = find(stream);
    if (run && run->engineRun)
        run->engineRun->resumeReading();
}

void EngineDispatcher::streamCancelled(RunStream& stream)
{
    auto* run = find(stream);
    if (run && run->engineRun)
        run->engineRun->cancel();
    remove(stream);
}

void EngineDispatcher::streamLost(RunStream& stream)
{
    auto* run = find(stream);
    // The entry daemon may have noticed the loss earlier, so that another stream reads the run already.
    if (run && run->engineRun && countStreams(run->order.id) == 1)
        scheduleCancellation(run->order.id);
    remove(stream);
}

std::size_t EngineDispatcher::countStreams(const RunId& id) const
{
    return static_cast<std::size_t>(std::count_if(m_runs.begin(), m_runs.end(), [&](const auto& run) { return run->order.id == id; }));
}

void EngineDispatcher::scheduleCancellation(const RunId& id)
{
    auto timer = std::make_unique<Timer>([this, id] {
        m_context.metrics->add(Counter::RunsCancelled);
        cancelAtEngine(m_context, id);
        m_pendingCancellations.erase(id);
    });
    timer->set(MonotonicClock::now() + kResumeTimeout);
    m_pendingCancellations[id] = std::move(timer);
}

void EngineDispatcher::streamDone(RunStream& stream)
{
    if (const auto* run = find(stream); run && run->engineRun)
        logEvent(LogEvent::RunFinished, { { "run", run->order.id.text() }, { "workspace", run->order.workspace.value() } });
    remove(stream);
}

EngineDispatcher::Run* EngineDispatcher::find(const RunStream& stream)
{
    const auto found = std::find_if(m_runs.begin(), m_runs.end(), [&](const auto& run) { return run->stream.get() == &stream; });
    return found == m_runs.end() ? nullptr : found->get();
}

EngineDispatcher::Run* EngineDispatcher::find(QueueTicket ticket)
{
    const auto found = std::find_if(m_runs.begin(), m_runs.end(), [&](const auto& run) { return run->ticket == ticket; });
    return found == m_runs.end() ? nullptr : found->get();
}

void EngineDispatcher::remove(const RunStream& stream)
{
    const auto found = std::find_if(m_runs.begin(), m_runs.end(), [&](const auto& run) { return run->stream.get() == &stream; });
    if (found == m_runs.end())
        return;
    const auto ticket = (*found)->ticket;
    // Defers the destruction, because the run itself may be on the call stack.
    post([ended = std::shared_ptr<Run>(std::move(*found))] {});
    m_runs.erase(found);
    schedule(RunEnded { ticket });
}

nlohmann::json EngineDispatcher::dump() const
{
    auto runs = nlohmann::json::array();
    for (const auto& run : m_runs) {
        runs.push_back({
            { "run", run->order.id.text() },
            { "workspace", run->order.workspace.value() },
            { "started", run->engineRun != nullptr },
            { "unsent_bytes", run->stream->unsentBytes() },
        });
    }
    return {
        { "leaving", m_leaving },
        { "engine", m_engine.value() },
        { "scheduler", m_scheduler.dump() },
        { "runs", std::move(runs) },
        { "abandoned", m_pendingCancellations.size() },
    };
}

} // namespace hornbeamgate
