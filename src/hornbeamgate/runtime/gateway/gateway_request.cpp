#include "hornbeamgate/runtime/gateway/gateway_request.hpp"

#include "hornbeamgate/base/hash.hpp"
#include "hornbeamgate/observability/log.hpp"

#include <algorithm>
#include <utility>

namespace hornbeamgate::gateway {

namespace {

    using std::chrono::milliseconds;

    constexpr int kBadRequest = 400;
    constexpr int kUnauthorized = 401;
    constexpr int kNotFound = 404;
    constexpr int kRequestTimeout = 408;
    constexpr int kMisdirected = 421;
    constexpr int kTooManyRequests = 429;
    constexpr int kServerErrors = 500;
    constexpr int kBadGateway = 502;
    constexpr int kUnavailable = 503;
    constexpr int kGatewayTimeout = 504;
    constexpr int kSuccessClass = 2;
    constexpr int kStatusClass = 100;

    /// Several round trips between regions; an endpoint that is up takes connections at once.
    constexpr milliseconds kConnectTimeout { 500 };
    /// Endpoints tried in vain for a connection before the request is refused.
    constexpr int kMostConnectFailures = 3;
    /// An answer that is no stream is held back up to this size, so that a broken one can be replaced by an error.
    constexpr std::size_t kMostHeldAnswer = 262144;
    /// Octets that a caller may lag behind before the endpoint is no longer read.
    constexpr std::size_t kMostUnsent = 262144;
    constexpr milliseconds kCallerCheckInterval { 50 };
    /// Time in which most refused callers return, spread so that they do not come together.
    constexpr milliseconds kLeastRetryAfter { 100 };
    constexpr milliseconds kUnknownRetryAfter { 400 };
    /// Priorities that routes use; a workspace's priority goes before the route's.
    constexpr int kRoutePriorities = 3;
    /// Part of the latency objective after which a request that may run again goes to another endpoint.
    constexpr double kOverduePart = 0.6;
    /// A stream is left where it waits, since another engine would read its prompt again from the end of its own queue.
    /// It goes elsewhere only when it has missed its objective and later ones have overtaken it so often.
    constexpr int kOvertakenWhenLost = 2;
    constexpr milliseconds kOvertakenCheckInterval { 100 };

    bool isPromiseNotRun(int status)
    {
        return status == kUnavailable || status == kTooManyRequests || status == kMisdirected || status == kRequestTimeout;
    }

} // namespace

GatewayRequest::GatewayRequest(GatewayState& state, HttpServerConnection& caller, HttpRequestMessage message)
    : m_state(state)
    , m_caller(caller)
    , m_message(std::move(message))
    , m_deadlineTimer([this] { onDeadline(); })
    , m_overdueTimer([this] { onOverdue(); })
    , m_callerTimer([this] { onCallerSlow(); })
{
}

GatewayRequest::~GatewayRequest()
{
    leaveLine();
    if (m_isSending)
        endSend(SendOutcome::Abandoned);
}

void GatewayRequest::start()
{
    m_state.metrics.add(Counter::RequestsAccepted);
    if (m_state.isClosing) {
        refuse({ kUnavailable, "this daemon is about to end", kLeastRetryAfter });
        return;
    }
    if (!identify() || !drawUnits())
        return;
    m_deadlineTimer.set(m_deadline);
    m_state.retryBudget(m_service).recordRequest(MonotonicClock::now());
    sendNext();
}

bool GatewayRequest::identify()
{
    auto facts = m_state.wire.decodeRequest(m_message.head);
    if (!facts) {
        refuse({ kBadRequest, facts.error().detail, {} });
        return false;
    }
    m_facts = std::move(*facts);
    m_routes = m_state.routes;
    if (!m_routes) {
        refuse({ kUnavailable, "no configuration yet", spreadRetry(kUnknownRetryAfter) });
        return false;
    }
    m_route = m_routes->findRoute(m_facts.authority, m_facts.path);
    if (!m_route) {
        refuse({ kNotFound, "no route", {} });
        return false;
    }
    if (!m_route->allowsAnonymous && !m_routes->config().workspaces.empty()) {
        m_workspace = m_facts.secret ? m_routes->findWorkspace(*m_facts.secret) : nullptr;
        if (!m_workspace) {
            refuse({ kUnauthorized, "unknown key", {} });
            return false;
        }
    }
    const auto timeLeft = std::min(m_facts.timeLeft.value_or(m_route->timeout), m_route->timeout);
    m_deadline = m_message.headArrived + timeLeft;
    m_service = RouteTable::chooseService(*m_route, stableHash(m_facts.requestId));
    m_relay = EventRelay(m_facts.lastEventId);
    return true;
}

bool GatewayRequest::drawUnits()
{
    if (!m_workspace)
        return true;
    const auto now = MonotonicClock::now();
    const auto units = m_workspace->countsTokens ? m_facts.tokens.value_or(m_workspace->defaultUnits) : 1;
    if (!m_state.rates.draw(m_workspace->id, units, now)) {
        const auto wait = std::chrono::ceil<milliseconds>(m_state.rates.nextDraw(m_workspace->id, now) - now);
        refuse({ kTooManyRequests, "rate reached", spreadRetry(wait) });
        return false;
    }
    m_units = units;
    return true;
}

PlacementRequest GatewayRequest::makePlacementRequest(MonotonicTime now) const
{
    PlacementRequest placementRequest;
    placementRequest.service = m_service;
    placementRequest.prompt = m_facts.prompt;
    placementRequest.model = m_facts.model;
    placementRequest.tried = m_tried;
    placementRequest.timeLeft = m_deadline - now;
    placementRequest.cacheDomain = cacheDomain();
    if (m_facts.model) {
        const auto& targets = m_state.weightsRollout.targets();
        const auto target = targets.find(*m_facts.model);
        if (target != targets.end())
            placementRequest.newestWeights = target->second;
        placementRequest.oldestWeights = m_state.weightsRollout.oldestAllowed(*m_facts.model, now);
    }
    return placementRequest;
}

void GatewayRequest::sendNext()
{
    if (!trySend())
        waitForRoom();
}

void GatewayRequest::waitForRoom()
{
    const auto now = MonotonicClock::now();
    const auto wait = m_state.waiting.expectedWait();
    if (now + wait + PromptQueue::kMinTimeLeft > m_deadline) {
        refuseWithoutRoom(std::chrono::ceil<milliseconds>(wait));
        return;
    }
    m_lineNumber = m_state.waiting.add(m_deadline, { [this] { return trySend(); }, [this] {
                                                        m_lineNumber.reset();
                                                        refuseWithoutRoom(kUnknownRetryAfter); } });
}

void GatewayRequest::refuseWithoutRoom(milliseconds wait)
{
    refuse({ m_mayHaveRun ? kBadGateway : kUnavailable, "no engine has room in time", spreadRetry(wait) });
}

void GatewayRequest::leaveLine()
{
    if (m_lineNumber)
        m_state.waiting.remove(*std::exchange(m_lineNumber, {}));
}

bool GatewayRequest::trySend()
{
    const auto now = MonotonicClock::now();
    const auto placement = m_state.placer.choose(makePlacementRequest(now), { m_state.registry, m_state.loads, m_state.blocks }, now);
    const auto* endpoint = placement.endpoint ? m_state.registry.find(*placement.endpoint) : nullptr;
    // A stream that broke off goes on at once; its caller waits for the next event.
    if (endpoint && !placement.hasRoom && !m_hasBegunAnswer)
        return false;
    if (!endpoint) {
        refuseUnplaced(placement);
        return true;
    }
    if (m_lineNumber)
        m_state.waiting.dispatch(*std::exchange(m_lineNumber, {}));
    send(*endpoint, placement);
    return true;
}

void GatewayRequest::refuseUnplaced(const Placement& placement)
{
    if (m_mayHaveRun) {
        refuse({ kBadGateway, "no endpoint left", {} });
        return;
    }
    const bool isBusy = placement.refusal == PlacementRefusal::AllBusy;
    refuse({ kUnavailable, isBusy ? "all endpoints busy" : "no endpoint", spreadRetry(isBusy ? placement.expectedWait / 2 : kUnknownRetryAfter) });
}

const BlockStore* GatewayRequest::nearbyBlockStore(const EndpointEntry& endpoint) const
{
    for (const auto& store : m_routes->config().blockStores) {
        if (m_state.placer.regionOf(store.dataCenter) == m_state.placer.regionOf(endpoint.dataCenter))
            return &store;
    }
    return nullptr;
}

int GatewayRequest::urgency() const
{
    const int ofWorkspace = m_workspace ? m_workspace->priority.value_or(0) : 0;
    return ofWorkspace * kRoutePriorities + std::min(m_route->priority, kRoutePriorities - 1);
}

std::string GatewayRequest::cacheDomain() const
{
    return m_workspace && m_workspace->isIsolated ? m_workspace->id.value() : std::string();
}

ForwardFacts GatewayRequest::forwardFacts(const EndpointEntry& endpoint, const Placement& placement, MonotonicTime now) const
{
    ForwardFacts facts;
    facts.endpoint = endpoint.id;
    if (m_workspace)
        facts.workspace = m_workspace->id;
    facts.timeLeft = std::chrono::floor<milliseconds>(m_deadline - now);
    facts.priority = urgency();
    facts.cacheDomain = cacheDomain();
    facts.lastEventId = m_relay.lastId();
    const auto* source = placement.blockSource ? m_state.registry.find(*placement.blockSource) : nullptr;
    const auto* store = nearbyBlockStore(endpoint);
    const auto weights = m_facts.model ? endpoint.weights.find(*m_facts.model) : endpoint.weights.end();
    if (placement.blocks && weights != endpoint.weights.end()) {
        // Blocks move between engines only in a domain of their weights, and only into runs on these weights.
        if (source)
            facts.blockSource = source->address;
        else if (store)
            facts.blockSource = store->address;
        if (store)
            facts.blockStore = store->address;
        facts.requiredWeights = weights->second;
        facts.cacheDomain += '@' + std::to_string(weights->second.value());
    }
    return facts;
}

void GatewayRequest::send(const EndpointEntry& endpoint, const Placement& placement)
{
    const auto now = MonotonicClock::now();
    m_endpoint = endpoint.id;
    m_tried.insert(endpoint.id);
    m_sendNumber = ++m_state.sends;
    m_sentAt = now;
    m_isSending = true;
    ++m_sends;
    m_answerHead.reset();
    m_answerBody.clear();
    m_answerMode = AnswerMode::Held;
    m_relay.startRun();
    if (placement.blocks)
        m_state.blocks.recordUse(endpoint.id, *placement.blocks, now);
    m_state.loads.sent(endpoint.id, m_sendNumber, placement.prefillTokens, now);
    const auto facts = forwardFacts(endpoint, placement, now);
    m_requiredWeights = facts.requiredWeights;
    if (placement.blocks)
        logPlacement(placement, now);

    ExchangeRequest request;
    request.peer = endpoint.address;
    request.text = requestText(m_state.wire.encodeForEndpoint(m_message.head, facts), m_message.body);
    request.isHeadRequest = m_message.head.method == "HEAD";
    request.connectDeadline = std::min(now + kConnectTimeout, m_deadline);
    request.isOwnAnswer = [this](const HttpResponseHead& head) { return m_state.wire.decodeAnswer(head).requestId == m_facts.requestId; };
    m_exchange = std::make_unique<HttpExchange>(m_state.endpointConnections, std::move(request),
        HttpExchange::Handlers { [this](HttpResponseHead head) { onHead(std::move(head)); }, [this](std::string_view octets) { onBody(octets); },
            [this] { onComplete(); }, [this](ExchangeFailure failure, const std::string& reason) { onFailed(failure, reason); } });
    if (m_route->isRetryable() && m_sends < m_route->maxEndpoints) {
        const double part = m_route->isStreaming ? 1.0 : kOverduePart;
        m_overdueTimer.set(now + std::chrono::duration_cast<Duration>(m_route->latencyObjective * part));
    }
}

void GatewayRequest::logPlacement(const Placement& placement, MonotonicTime now) const
{
    logEvent(LogEvent::RequestPlaced,
        { { "request", m_facts.requestId }, { "endpoint", m_endpoint.value() }, { "load", m_state.loads.load(m_endpoint, now) },
            { "unread_tokens", m_state.loads.pendingPrefillTokens(m_endpoint, now) }, { "tokens_to_read", placement.prefillTokens },
            { "block_source", placement.blockSource ? placement.blockSource->value() : std::string() }, { "expected_ms", placement.expectedWait.count() } });
}

void GatewayRequest::onHead(HttpResponseHead head)
{
    const auto now = MonotonicClock::now();
    m_answerFacts = m_state.wire.decodeAnswer(head);
    if (m_answerFacts.load)
        m_state.loads.reported(m_endpoint, *m_answerFacts.load, now);
    if (m_answerFacts.weights && m_facts.model)
        m_state.registry.recordWeights(m_endpoint, *m_facts.model, *m_answerFacts.weights);
    if (m_route->isStreaming && head.status / kStatusClass == kSuccessClass && m_answerFacts.isSigned)
        m_answerMode = AnswerMode::Relayed;
    m_answerHead = std::move(head);
}

void GatewayRequest::onBody(std::string_view octets)
{
    if (m_answerMode == AnswerMode::Relayed) {
        relayEvents(octets);
        return;
    }
    if (m_answerMode == AnswerMode::Passed) {
        m_caller.sendPiece(octets);
        return;
    }
    m_answerBody += octets;
    const bool isSuccess = m_answerFacts.isSigned && m_answerHead->status / kStatusClass == kSuccessClass;
    if (m_answerBody.size() > kMostHeldAnswer && isSuccess && !m_hasBegunAnswer) {
        m_answerMode = AnswerMode::Passed;
        beginAnswer();
        m_caller.sendPiece(std::exchange(m_answerBody, {}));
    }
}

void GatewayRequest::relayEvents(std::string_view octets)
{
    const auto events = m_relay.feed(octets);
    if (!events) {
        endSend(SendOutcome::Failed);
        onMayHaveRun("an event is missing");
        return;
    }
    if (events->empty())
        return;
    m_overdueTimer.clear();
    m_state.loads.answerBegan(m_endpoint, m_sendNumber);
    if (!m_hasBegunAnswer) {
        m_timeToFirstPiece = MonotonicClock::now() - m_message.headArrived;
        m_state.metrics.observe(Latency::TimeToFirstPiece, *m_timeToFirstPiece);
        beginAnswer();
    }
    m_state.metrics.add(Counter::StreamPieces);
    m_caller.sendPiece(*events);
    if (m_caller.unsent() > kMostUnsent) {
        m_exchange->pauseReading(true);
        m_callerTimer.set(MonotonicClock::now() + kCallerCheckInterval);
    }
}

void GatewayRequest::onCallerSlow()
{
    if (m_caller.unsent() > kMostUnsent) {
        m_callerTimer.set(MonotonicClock::now() + kCallerCheckInterval);
        return;
    }
    if (m_exchange)
        m_exchange->pauseReading(false);
}

void GatewayRequest::beginAnswer()
{
    m_hasBegunAnswer = true;
    auto fields = m_answerHead->fields;
    removeConnectionFields(fields);
    fields.remove("Content-Length");
    m_caller.beginAnswer(m_answerHead->status, std::move(fields));
}

void GatewayRequest::onComplete()
{
    if (m_answerMode == AnswerMode::Held) {
        settleHeldAnswer();
        return;
    }
    if (!m_hasBegunAnswer)
        beginAnswer();
    m_caller.sendPiece(m_relay.takeRemainder());
    m_caller.finishAnswer();
    m_state.placer.recordServiceTime(m_service, MonotonicClock::now() - m_sentAt);
    endSend(SendOutcome::Served);
    finish("served", m_answerHead->status);
}

void GatewayRequest::settleHeldAnswer()
{
    const int status = m_answerHead->status;
    if (m_answerFacts.isNotRun) {
        onNotRun();
        return;
    }
    // A stream that has begun cannot end in another answer.
    if (!m_answerFacts.isSigned || m_hasBegunAnswer) {
        endSend(SendOutcome::Failed);
        onMayHaveRun(m_hasBegunAnswer ? "no stream to go on with" : "an answer without a signature");
        return;
    }
    if (status < kServerErrors && !isPromiseNotRun(status)) {
        m_state.placer.recordServiceTime(m_service, MonotonicClock::now() - m_sentAt);
        endSend(SendOutcome::Served);
        passOn();
        return;
    }
    endSend(SendOutcome::Failed);
    m_mayHaveRun = true;
    if (m_route->isRetryable() && mayRepeat()) {
        m_state.metrics.add(Counter::RunsRetried);
        sendNext();
        return;
    }
    if (isPromiseNotRun(status))
        refuse({ kBadGateway, "the endpoint may have run it", {} });
    else
        passOn();
}

void GatewayRequest::onNotRun()
{
    const bool isMisdirected = m_answerHead->status == kMisdirected;
    const bool hasOtherWeights = isMisdirected && m_requiredWeights && m_answerFacts.endpoint == m_endpoint;
    endSend(SendOutcome::Shed);
    if (hasOtherWeights) {
        // The same endpoint may be asked again once its weights are known.
        m_tried.erase(m_endpoint);
        m_state.loads.pauseUntil(m_endpoint, MonotonicClock::now() + kLeastRetryAfter);
    } else if (isMisdirected)
        m_state.loads.unreachable(m_endpoint, MonotonicClock::now());
    else
        m_state.loads.pauseUntil(m_endpoint, MonotonicClock::now() + kLeastRetryAfter);
    if (mayRepeat()) {
        m_state.metrics.add(Counter::RunsRetried);
        sendNext();
        return;
    }
    if (m_mayHaveRun)
        refuse({ kBadGateway, "an earlier endpoint may have run it", {} });
    else
        refuse({ kUnavailable, "the endpoint is full", spreadRetry(kUnknownRetryAfter) });
}

void GatewayRequest::onFailed(ExchangeFailure failure, const std::string& reason)
{
    const auto now = MonotonicClock::now();
    if (failure != ExchangeFailure::NotSent) {
        endSend(SendOutcome::Failed);
        onMayHaveRun(reason);
        return;
    }
    endSend(SendOutcome::Abandoned);
    m_state.loads.unreachable(m_endpoint, now);
    --m_sends;
    ++m_connectFailures;
    if (m_connectFailures < kMostConnectFailures && now < m_deadline) {
        sendNext();
        return;
    }
    if (m_mayHaveRun)
        onMayHaveRun(reason);
    else
        refuse({ kUnavailable, "no endpoint can be reached", spreadRetry(kUnknownRetryAfter) });
}

void GatewayRequest::onMayHaveRun(std::string_view reason)
{
    m_mayHaveRun = true;
    logEvent(LogEvent::RunFailed, { { "request", m_facts.requestId }, { "endpoint", m_endpoint.value() }, { "reason", reason } });
    const bool canGoOn = m_route->isStreaming ? m_route->isResumable : !m_hasBegunAnswer;
    if (m_route->isRetryable() && canGoOn && mayRepeat()) {
        m_state.metrics.add(m_hasBegunAnswer ? Counter::RunsResumed : Counter::RunsRetried);
        sendNext();
        return;
    }
    refuse({ kBadGateway, reason, {} });
}

bool GatewayRequest::mayRepeat()
{
    const auto now = MonotonicClock::now();
    if (m_sends >= m_route->maxEndpoints || now >= m_deadline)
        return false;
    return m_state.retryBudget(m_service).tryTakeRetry(m_state.peers.runningCount(now) + 1, now);
}

void GatewayRequest::onOverdue()
{
    if (!m_isSending || m_answerHead)
        return;
    if (m_route->isStreaming && m_state.loads.timesOvertaken(m_endpoint, m_sendNumber) < kOvertakenWhenLost) {
        m_overdueTimer.set(MonotonicClock::now() + kOvertakenCheckInterval);
        return;
    }
    if (!mayRepeat())
        return;
    logEvent(LogEvent::RunFailed, { { "request", m_facts.requestId }, { "endpoint", m_endpoint.value() }, { "reason", "overdue" } });
    m_mayHaveRun = true;
    m_exchange.reset();
    endSend(SendOutcome::Failed);
    m_state.metrics.add(Counter::RunsRetried);
    sendNext();
}

void GatewayRequest::onDeadline()
{
    if (m_isSending) {
        m_mayHaveRun = true;
        m_exchange.reset();
        endSend(SendOutcome::Failed);
    }
    if (m_mayHaveRun)
        refuse({ kGatewayTimeout, "deadline reached", {} });
    else
        refuse({ kUnavailable, "deadline reached", {} });
}

void GatewayRequest::clientLeft()
{
    if (m_isFinished)
        return;
    m_exchange.reset();
    if (m_isSending)
        endSend(SendOutcome::Abandoned);
    m_state.metrics.add(Counter::RunsCancelled);
    finish("caller left", 0);
}

void GatewayRequest::endSend(SendOutcome outcome)
{
    m_isSending = false;
    m_overdueTimer.clear();
    m_state.loads.finished(m_endpoint, m_sendNumber, outcome, MonotonicClock::now());
}

void GatewayRequest::refuse(const Refusal& refusal)
{
    if (m_isFinished)
        return;
    m_exchange.reset();
    const bool isNotRun = isPromiseNotRun(refusal.status);
    if (isNotRun && m_units > 0)
        m_state.rates.refund(m_workspace->id, m_units, MonotonicClock::now());
    m_state.metrics.add(isNotRun ? Counter::RequestsRefused : Counter::RequestsFailed);
    if (m_hasBegunAnswer)
        m_caller.abort();
    else
        m_caller.answer(refusal.status, m_state.wire.encodeRefusal(m_facts.requestId, refusal.retryAfter), {});
    finish(refusal.reason, refusal.status);
}

void GatewayRequest::passOn()
{
    auto fields = m_answerHead->fields;
    removeConnectionFields(fields);
    fields.remove("Content-Length");
    m_caller.answer(m_answerHead->status, std::move(fields), m_answerBody);
    finish("served", m_answerHead->status);
}

void GatewayRequest::finish(std::string_view outcome, int status)
{
    m_isFinished = true;
    leaveLine();
    m_deadlineTimer.clear();
    m_overdueTimer.clear();
    m_callerTimer.clear();
    const auto now = MonotonicClock::now();
    m_state.metrics.observe(Latency::RequestDuration, now - m_message.headArrived);
    const bool isServed = outcome == "served";
    if (isServed)
        m_state.metrics.add(Counter::RequestsCompleted);
    logEvent(isServed ? LogEvent::RequestFinished : LogEvent::RequestRefused,
        { { "request", m_facts.requestId }, { "route", m_route ? std::string_view(m_route->name) : std::string_view() },
            { "workspace", m_workspace ? m_workspace->id.value() : std::string() }, { "config", m_routes ? m_routes->config().version.value() : 0 },
            { "endpoint", m_endpoint.value() }, { "sends", m_sends }, { "status", status }, { "outcome", outcome },
            { "may_have_run", m_mayHaveRun ? 1 : 0 }, { "first_ms", m_timeToFirstPiece ? std::chrono::duration_cast<milliseconds>(*m_timeToFirstPiece).count() : -1 },
            { "ms", std::chrono::duration_cast<milliseconds>(now - m_message.headArrived).count() } });
}

milliseconds GatewayRequest::spreadRetry(milliseconds wait) const
{
    constexpr std::uint64_t kSteps = 1024;
    const auto least = std::max(wait, kLeastRetryAfter);
    // The request's name spreads callers evenly, and gives the same answer for the same request.
    const auto step = static_cast<std::int64_t>(stableHash(m_facts.requestId) % kSteps);
    return least + least * step / static_cast<std::int64_t>(kSteps);
}

} // namespace hornbeamgate::gateway
