#include "hornbeamgate/runtime/gateway/weights_task.hpp"

#include "hornbeamgate/observability/log.hpp"
#include "hornbeamgate/runtime/gateway/suspension.hpp"

namespace hornbeamgate::gateway {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds kTickInterval { 50 };
    constexpr milliseconds kCallTimeout { 800 };
    /// Between two questions whether the weights are in place; a load takes about a second.
    constexpr milliseconds kStateInterval { 250 };
    /// An engine that has not loaded by then is asked again from the start; runs that go on come first.
    constexpr milliseconds kLoadTimeout { 6000 };
    /// Requests stay away from a loading engine for so long, unless it is known to be done.
    constexpr milliseconds kLoadingPause { 2500 };
    /// The two clocks are not read at the same moment.
    constexpr milliseconds kClockReadingError { 50 };

} // namespace

WeightsTask::WeightsTask(GatewayState& state, const EngineControl& control, PeerTask& peers, HostId self)
    : m_state(state)
    , m_control(control)
    , m_peers(peers)
    , m_self(std::move(self))
    , m_suspendedTime(suspendedTime())
    , m_timer([this] { tick(); })
{
}

void WeightsTask::start()
{
    m_timer.set(MonotonicClock::now() + kTickInterval);
}

void WeightsTask::checkSuspension()
{
    const auto suspended = suspendedTime();
    if (suspended > m_suspendedTime + kClockReadingError)
        m_state.weightsRollout.resign();
    m_suspendedTime = suspended;
}

void WeightsTask::tick()
{
    checkSuspension();
    const auto now = MonotonicClock::now();
    m_state.weightsRollout.resignIfExpired(now);
    for (const auto& order : m_state.weightsRollout.takeDue(m_state.registry, now))
        begin(order);
    m_timer.set(now + kTickInterval);
}

void WeightsTask::begin(const WeightsOrder& order)
{
    const auto endpoint = order.endpoint;
    m_runs.erase(endpoint);
    m_runs.emplace(endpoint, Run { order, ++m_lastNumber, false, MonotonicClock::now() + kLoadTimeout, Timer([this, endpoint] { askState(endpoint); }) });
    m_peers.announceLoading(endpoint, kLoadingPause);
    askState(endpoint);
}

void WeightsTask::askState(const EndpointId& endpoint)
{
    const auto* engine = m_state.registry.find(endpoint);
    const auto now = MonotonicClock::now();
    auto& run = m_runs.at(endpoint);
    if (!engine || now >= run.deadline) {
        finishOrder(endpoint, engine ? "timed out" : "engine gone");
        return;
    }
    m_calls.start(engine->address, requestText(m_control.encodeReportQuery(*engine), {}), now + kCallTimeout,
        [this, endpoint, number = run.number](const Result<HttpAnswer, NetError>& answer) { onState(endpoint, number, answer); });
}

void WeightsTask::onState(const EndpointId& endpoint, std::uint64_t number, const Result<HttpAnswer, NetError>& answer)
{
    auto* run = find(endpoint, number);
    if (!run)
        return;
    if (!answer) {
        finishOrder(endpoint, answer.error().detail);
        return;
    }
    const auto report = m_control.decodeReport(answer->status, answer->body);
    if (!report) {
        finishOrder(endpoint, report.error().detail);
        return;
    }
    const auto known = report->weights.find(run->order.model);
    if (known != report->weights.end() && known->second >= run->order.version) {
        m_peers.announceLoaded({ endpoint, known->first, known->second });
        m_state.loads.resume(endpoint);
        finishOrder(endpoint, "in place", true);
        return;
    }
    if (run->isOrdered || report->isBusy) {
        run->timer.set(MonotonicClock::now() + kStateInterval);
        return;
    }
    sendOrder(endpoint, report->ordersTaken);
}

void WeightsTask::sendOrder(const EndpointId& endpoint, std::uint64_t ordersTaken)
{
    const auto now = MonotonicClock::now();
    auto& run = m_runs.at(endpoint);
    const auto* engine = m_state.registry.find(endpoint);
    checkSuspension();
    if (!engine || !m_state.weightsRollout.mayOrder(endpoint, now)) {
        finishOrder(endpoint, "duty lost");
        return;
    }
    run.isOrdered = true;
    m_state.weightsRollout.orderSent(endpoint, now);
    const auto [head, body] = m_control.encodeOrder(*engine, run.order, m_self, ordersTaken);
    m_calls.start(engine->address, requestText(head, body), now + kCallTimeout,
        [this, endpoint, number = run.number](const Result<HttpAnswer, NetError>& answer) { onOrderAnswer(endpoint, number, answer); });
}

void WeightsTask::onOrderAnswer(const EndpointId& endpoint, std::uint64_t number, const Result<HttpAnswer, NetError>& answer)
{
    auto* run = find(endpoint, number);
    if (!run)
        return;
    if (!answer) {
        // It may be carried out late; the next order names how many orders the engine had taken.
        finishOrder(endpoint, answer.error().detail);
        return;
    }
    const auto meaning = m_control.decodeOrderAnswer(answer->status);
    if (meaning == OrderAnswer::Conflict || meaning == OrderAnswer::Rejected) {
        finishOrder(endpoint, "status " + std::to_string(answer->status));
        return;
    }
    run->timer.set(MonotonicClock::now() + kStateInterval);
}

void WeightsTask::finishOrder(const EndpointId& endpoint, std::string_view outcome, bool isInPlace)
{
    const auto found = m_runs.find(endpoint);
    logEvent(LogEvent::WeightsOrdered, { { "endpoint", endpoint.value() }, { "model", found->second.order.model.value() }, { "version", found->second.order.version.value() }, { "token", found->second.order.token.value() }, { "ordered", found->second.isOrdered ? 1 : 0 }, { "outcome", outcome } });
    m_state.weightsRollout.finishOrder(endpoint, isInPlace, MonotonicClock::now());
    // The run may be in its own timer, so it goes after that.
    post([run = std::make_shared<Run>(std::move(found->second))] {});
    m_runs.erase(found);
}

WeightsTask::Run* WeightsTask::find(const EndpointId& endpoint, std::uint64_t number)
{
    const auto found = m_runs.find(endpoint);
    return found != m_runs.end() && found->second.number == number ? &found->second : nullptr;
}

} // namespace hornbeamgate::gateway
