#include "hornbeamgate/runtime/gateway/weights_task.hpp"

#include "hornbeamgate/observability/log.hpp"
#include "hornbeamgate/runtime/gateway/suspension.hpp"

namespace hornbeamgate::gateway {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds kTickInterval { 50 };
    constexpr milliseconds kCallTimeout { 800 };
    /// Interval between two state queries while an engine loads weights; a load takes about a second.
    constexpr milliseconds kStateQueryInterval { 250 };
    /// Time after which an unfinished load is restarted from the beginning. It allows for the running requests that an
    /// engine finishes first.
    constexpr milliseconds kLoadTimeout { 6000 };
    /// Time for the store to record an engine before its order; a slow store takes 50 times its usual few milliseconds.
    constexpr milliseconds kRecordTimeout { 2000 };
    /// Requests avoid a loading engine for this long, unless it reports earlier that the load is complete.
    constexpr milliseconds kLoadingPause { 2500 };
    /// Prolongation of the pause at each state query of an engine that still loads; covers lost reports to the other daemons.
    constexpr milliseconds kLoadingExtension { 1500 };
    /// Tolerance for reading the boot-time and the monotonic clock at slightly different times.
    constexpr milliseconds kClockReadingError { 50 };

} // namespace

WeightsTask::WeightsTask(GatewayState& state, Directory& directory, const EngineControl& control, PeerTask& peers, HostId self)
    : m_state(state)
    , m_directory(directory)
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
        m_state.weightsRollout.loseLeadership();
    m_suspendedTime = suspended;
}

void WeightsTask::tick()
{
    checkSuspension();
    const auto now = MonotonicClock::now();
    m_state.weightsRollout.update(now);
    m_state.weightsRollout.setCapacityScarce(m_state.overload.isAnyOn());
    if (!m_state.weightsRollout.isConfirmed(now))
        abandonUnsentOrders();
    for (const auto& order : m_state.weightsRollout.takeDue(m_state.registry, m_state.advisories, now))
        startOperation(order);
    sendRecordedOrders(now);
    updateJournal(now);
    logExpiredWeights(now);
    m_timer.set(now + kTickInterval);
}

void WeightsTask::logExpiredWeights(MonotonicTime now)
{
    for (const auto& [model, target] : m_state.weightsRollout.targets()) {
        const auto oldest = m_state.weightsRollout.oldestAllowed(model, now);
        const auto oldestSendable = m_state.weightsRollout.oldestSendable(model, now);
        const std::pair limits { oldest, oldestSendable };
        if (std::exchange(m_loggedLimits[model], limits) == limits)
            continue;
        std::size_t engines = 0;
        std::size_t behind = 0;
        for (const auto& [id, entry] : m_state.registry.entries()) {
            const auto known = entry.weights.find(model);
            engines += known != entry.weights.end() ? 1 : 0;
            behind += known != entry.weights.end() && known->second < oldest ? 1 : 0;
        }
        logEvent(LogEvent::WeightsExpired, { { "model", model.value() }, { "oldest", oldest.value() }, { "oldest_sendable", oldestSendable.value() }, { "engines", engines }, { "behind", behind } });
    }
}

void WeightsTask::updateJournal(MonotonicTime now)
{
    auto& journal = m_state.weightsRollout.journal();
    const auto call = journal.takeCall(now);
    if (!call)
        return;
    if (const auto* append = std::get_if<OrderJournal::Append>(&*call)) {
        m_directory.appendOrderRecord(append->record, append->at, [this, &journal](const Result<LogOffset, DirectoryError>& end) {
            const auto answeredAt = MonotonicClock::now();
            if (!end)
                logEvent(LogEvent::OrderJournalFailed, { { "call", "append" }, { "reason", end.error().detail } });
            journal.onAppended(end ? std::optional(*end) : std::nullopt, answeredAt);
            sendRecordedOrders(answeredAt);
        });
        return;
    }
    m_directory.readOrderRecord([&journal](const Result<OrderRecordPosition, DirectoryError>& position) {
        if (!position)
            logEvent(LogEvent::OrderJournalFailed, { { "call", "read" }, { "reason", position.error().detail } });
        journal.onRead(position ? std::optional(*position) : std::nullopt, MonotonicClock::now());
    });
}

void WeightsTask::abandonUnsentOrders()
{
    std::vector<EndpointId> unsent;
    for (const auto& [endpoint, operation] : m_operations) {
        if (operation.acceptedOrderCount)
            unsent.push_back(endpoint);
    }
    for (const auto& endpoint : unsent)
        finishOrder(endpoint, "duty lost");
}

void WeightsTask::sendRecordedOrders(MonotonicTime now)
{
    std::vector<EndpointId> recorded;
    for (const auto& [endpoint, operation] : m_operations) {
        if (!operation.acceptedOrderCount)
            continue;
        if (m_state.weightsRollout.mayOrder(endpoint, now))
            recorded.push_back(endpoint);
        else // A record that took too long, or that an earlier leadership requested, has to be requested again.
            m_state.weightsRollout.journal().request(endpoint);
    }
    for (const auto& endpoint : recorded)
        sendOrder(endpoint);
}

void WeightsTask::startOperation(const WeightsOrder& order)
{
    const auto endpoint = order.endpoint;
    const auto now = MonotonicClock::now();
    m_operations.erase(endpoint);
    m_operations.emplace(endpoint, LoadOperation { order, ++m_lastOperationNumber, false, now, std::nullopt, now + kLoadTimeout, Timer([this, endpoint] { queryState(endpoint); }) });
    m_peers.announceLoading(endpoint, kLoadingPause);
    queryState(endpoint);
}

void WeightsTask::queryState(const EndpointId& endpoint)
{
    const auto* engine = m_state.registry.find(endpoint);
    const auto now = MonotonicClock::now();
    const auto found = m_operations.find(endpoint);
    if (found == m_operations.end())
        return;
    auto& operation = found->second;
    if (!engine || now >= operation.deadline) {
        finishOrder(endpoint, engine ? "timed out" : "engine gone");
        return;
    }
    if (operation.acceptedOrderCount) {
        finishOrder(endpoint, "not recorded");
        return;
    }
    if (m_state.advisories.isPaused(instanceOf(*engine), now)) {
        operation.timer.set(now + kStateQueryInterval);
        return;
    }
    m_calls.start(engine->address, requestText(m_control.encodeReportQuery(*engine), {}), CallLimits::until(now + kCallTimeout),
        [this, endpoint, number = operation.number](const Result<HttpResponse, NetError>& answer) { onEngineState(endpoint, number, answer); });
}

void WeightsTask::onEngineState(const EndpointId& endpoint, std::uint64_t number, const Result<HttpResponse, NetError>& answer)
{
    auto* operation = find(endpoint, number);
    if (!operation)
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
    const auto known = report->weights.find(operation->order.model);
    if (known != report->weights.end() && known->second >= operation->order.version) {
        m_peers.announceLoaded({ endpoint, known->first, known->second });
        m_state.loads.resume(endpoint);
        if (operation->isOrderSent)
            m_state.weightsRollout.recordLoadTime(operation->order.model, MonotonicClock::now() - operation->startedAt);
        finishOrder(endpoint, "in place", true);
        return;
    }
    if (operation->isOrderSent || report->isBusy) {
        // A load waits for the requests that run, so it may take longer than the pause; the engine rejects requests meanwhile.
        if (m_state.overload.isAnyOn())
            m_peers.extendLoading(endpoint, kLoadingExtension);
        operation->timer.set(MonotonicClock::now() + kStateQueryInterval);
        return;
    }
    operation->acceptedOrderCount = report->acceptedOrderCount;
    // Without a record in time, the operation is abandoned and becomes due again.
    operation->timer.set(MonotonicClock::now() + kRecordTimeout);
}

void WeightsTask::sendOrder(const EndpointId& endpoint)
{
    const auto now = MonotonicClock::now();
    auto& operation = m_operations.at(endpoint);
    const auto* engine = m_state.registry.find(endpoint);
    checkSuspension();
    const auto leadership = m_state.weightsRollout.leadership(now);
    if (!engine || !leadership || !m_state.weightsRollout.mayOrder(endpoint, now)) {
        finishOrder(endpoint, "duty lost");
        return;
    }
    if (m_state.advisories.isPaused(instanceOf(*engine), now)) {
        finishOrder(endpoint, "the engine wants nothing now");
        return;
    }
    operation.order.token = *leadership;
    operation.isOrderSent = true;
    operation.timer.clear();
    const auto acceptedOrderCount = *std::exchange(operation.acceptedOrderCount, std::nullopt);
    const auto [head, body] = m_control.encodeOrder(*engine, operation.order, m_self, acceptedOrderCount);
    m_calls.start(engine->address, requestText(head, body), CallLimits::until(now + kCallTimeout),
        [this, endpoint, number = operation.number](const Result<HttpResponse, NetError>& answer) { onOrderResponse(endpoint, number, answer); });
}

void WeightsTask::onOrderResponse(const EndpointId& endpoint, std::uint64_t number, const Result<HttpResponse, NetError>& answer)
{
    auto* operation = find(endpoint, number);
    if (!operation)
        return;
    if (!answer) {
        // The engine may still execute the order later, so the next order is conditional on its accepted order count.
        finishOrder(endpoint, answer.error().detail);
        return;
    }
    const auto orderOutcome = m_control.decodeOrderResponse(answer->status);
    if (orderOutcome == OrderOutcome::Conflict || orderOutcome == OrderOutcome::Rejected) {
        finishOrder(endpoint, "status " + std::to_string(answer->status));
        return;
    }
    operation->timer.set(MonotonicClock::now() + kStateQueryInterval);
}

void WeightsTask::finishOrder(const EndpointId& endpoint, std::string_view outcome, bool isLoaded)
{
    const auto found = m_operations.find(endpoint);
    logEvent(LogEvent::WeightsOrdered, { { "endpoint", endpoint.value() }, { "model", found->second.order.model.value() }, { "version", found->second.order.version.value() }, { "token", found->second.order.token.value() }, { "ordered", found->second.isOrderSent ? 1 : 0 }, { "outcome", outcome }, { "ms", std::chrono::duration_cast<milliseconds>(MonotonicClock::now() - found->second.startedAt).count() } });
    m_state.weightsRollout.finishOrder(endpoint, isLoaded, MonotonicClock::now());
    // The timer may have expired together with the event that ends the operation; it must not fire afterwards.
    found->second.timer.clear();
    // This may run in the operation's own timer callback, so the operation is destroyed after the callback returns.
    post([operation = std::make_shared<LoadOperation>(std::move(found->second))] {});
    m_operations.erase(found);
}

WeightsTask::LoadOperation* WeightsTask::find(const EndpointId& endpoint, std::uint64_t number)
{
    const auto found = m_operations.find(endpoint);
    return found != m_operations.end() && found->second.number == number ? &found->second : nullptr;
}

} // namespace hornbeamgate::gateway
