#include "hornbeamgate/runtime/gateway/gateway_request.hpp"

#include "hornbeamgate/base/hash.hpp"
#include "hornbeamgate/observability/log.hpp"
#include "hornbeamgate/runtime/gateway/quarantine_log.hpp"

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

    /// Allows several round trips between regions; a healthy endpoint accepts connections immediately.
    constexpr milliseconds kConnectTimeout { 500 };
    /// Failed connection attempts after which the request is refused.
    constexpr int kMaxConnectFailures = 3;
    /// Non-streaming responses up to this size are buffered, so that an incomplete one can be replaced by an error. Larger
    /// error responses are not forwarded.
    constexpr std::size_t kMaxBufferedResponse = 262144;
    /// Unsent bytes buffered for a slow caller before reading from the endpoint is paused.
    constexpr std::size_t kMaxUnsentBytes = 262144;
    constexpr milliseconds kCallerCheckInterval { 50 };
    /// Bytes of a response that may be held while the memory for peers is used up and that cannot be passed on yet. Responses
    /// that grow beyond are passed on early or, where that is impossible, given up.
    constexpr std::size_t kMaxHeldWithoutMemory = 32768;
    /// Estimate of the memory of a request without its texts: its objects, callbacks and timers, and those of its exchange.
    constexpr std::size_t kRequestBytes = 8192;
    /// Minimum retry time for refused callers; addRetryJitter() adds jitter so that they do not all return at once.
    constexpr milliseconds kMinRetryAfter { 100 };
    constexpr milliseconds kDefaultRetryAfter { 400 };
    /// Longer than the deadline of any request; an expected wait is cut to it.
    constexpr std::chrono::duration<double> kMaxAdmissionWait { 3600 };
    constexpr std::string_view kNotAdmittedReason = "no endpoint takes more requests now";
    /// Maximum retry time for requests whose prompts are quarantined.
    constexpr milliseconds kMaxQuarantineRetryAfter { 10000 };
    /// Number of route priority levels; a workspace's priority takes precedence over the route's.
    constexpr int kRoutePriorityLevels = 3;
    /// Fraction of the latency objective after which a non-streaming request that may run again is retried on another
    /// endpoint.
    constexpr double kOverdueFraction = 0.6;
    /// A waiting stream stays at its engine, since another engine would process the prompt again from the end of its own
    /// queue. It is retried elsewhere only after it has missed its latency objective and been overtaken this many times.
    constexpr int kMaxTimesOvertaken = 2;
    constexpr milliseconds kOvertakenCheckInterval { 100 };

    bool statusMeansNotExecuted(int status)
    {
        return status == kUnavailable || status == kTooManyRequests || status == kMisdirected || status == kRequestTimeout;
    }

} // namespace

GatewayRequest::GatewayRequest(GatewayState& state, HttpServerConnection& caller, HttpRequestMessage message)
    : m_state(state)
    , m_caller(caller)
    , m_message(std::move(message))
    , m_body(std::make_shared<const std::string>(std::exchange(m_message.body, {})))
    , m_deadlineTimer([this] { onDeadline(); })
    , m_overdueTimer([this] { onOverdue(); })
    , m_weightsTimer([this] { onWeightsExpired(); })
    , m_callerTimer([this] { resumeReadingIfDrained(); })
{
}

GatewayRequest::~GatewayRequest()
{
    if (m_isSending)
        endSend(SendOutcome::Abandoned);
}

void GatewayRequest::start()
{
    m_state.metrics.add(Counter::RequestsAccepted);
    if (m_state.isClosing) {
        refuse({ kUnavailable, "this daemon is about to end", kMinRetryAfter });
        return;
    }
    if (!authorizeAndRoute() || !chargeRate())
        return;
    m_deadlineTimer.set(m_deadline);
    m_state.retryBudget(m_service).recordRequest(MonotonicClock::now());
    m_state.advisories.recordRequest(m_service, MonotonicClock::now());
    sendOrQueue();
}

bool GatewayRequest::authorizeAndRoute()
{
    auto metadata = m_state.wire.decodeRequest(m_message.head);
    if (!metadata) {
        refuse({ kBadRequest, metadata.error().detail, {} });
        return false;
    }
    m_metadata = std::move(*metadata);
    m_routes = m_state.routes;
    if (!m_routes) {
        refuse({ kUnavailable, "no configuration yet", addRetryJitter(kDefaultRetryAfter) });
        return false;
    }
    m_route = m_routes->findRoute(m_metadata.authority, m_metadata.path);
    if (!m_route) {
        refuse({ kNotFound, "no route", {} });
        return false;
    }
    if (!m_route->allowsAnonymous && !m_routes->config().allowsAnonymous) {
        m_workspace = m_metadata.apiKey ? m_routes->findWorkspace(*m_metadata.apiKey) : nullptr;
        if (!m_workspace) {
            refuse({ kUnauthorized, "unknown key", {} });
            return false;
        }
    }
    const auto timeLeft = std::min(m_metadata.timeLeft.value_or(m_route->timeout), m_route->timeout);
    m_deadline = m_message.headArrived + timeLeft;
    m_service = RouteTable::chooseService(*m_route, stableHash(m_metadata.requestId));
    m_relay = EventRelay(m_metadata.lastEventId);
    for (std::size_t i = 0; i + 1 < m_metadata.prompt.size(); ++i)
        m_sharedParts.push_back(partKey(m_metadata.prompt[i].id));
    return true;
}

bool GatewayRequest::chargeRate()
{
    if (!m_workspace)
        return true;
    const auto now = MonotonicClock::now();
    const auto units = m_workspace->countsTokens ? m_metadata.tokens.value_or(m_workspace->defaultUnits) : 1;
    if (!m_state.rates.draw(m_workspace->id, units, now)) {
        const auto wait = std::chrono::ceil<milliseconds>(m_state.rates.nextDraw(m_workspace->id, now) - now);
        refuse({ kTooManyRequests, "rate reached", addRetryJitter(wait) });
        return false;
    }
    m_chargedUnits = units;
    return true;
}

PlacementRequest GatewayRequest::makePlacementRequest(MonotonicTime now) const
{
    PlacementRequest placementRequest;
    placementRequest.service = m_service;
    placementRequest.prompt = m_metadata.prompt;
    placementRequest.model = m_metadata.model;
    placementRequest.tried = m_triedEndpoints;
    placementRequest.timeLeft = m_deadline - now;
    if (m_state.overload.isOn(m_service)) {
        placementRequest.objectiveLeft = m_message.headArrived + m_route->latencyObjective - now;
        placementRequest.daemons = m_state.peers.runningCount(now) + 1;
        placementRequest.sampleSeed = stableHash(m_metadata.requestId, static_cast<std::uint64_t>(m_sendCount));
    }
    placementRequest.cacheDomain = cacheDomain();
    if (m_state.versionRollouts)
        placementRequest.versions = m_state.versionRollouts->choose(m_service, now);
    if (m_metadata.model) {
        const auto& targets = m_state.weightsRollout.targets();
        const auto target = targets.find(*m_metadata.model);
        if (target != targets.end())
            placementRequest.newestWeights = target->second;
        placementRequest.oldestWeights = m_state.weightsRollout.oldestAllowed(*m_metadata.model, now);
        placementRequest.oldestSendable = m_state.weightsRollout.oldestSendable(*m_metadata.model, now);
    }
    return placementRequest;
}

void GatewayRequest::sendOrQueue()
{
    m_admissionWait.reset();
    if (!trySend())
        waitForCapacity();
}

void GatewayRequest::resend(std::string_view cause)
{
    m_resendCause = cause;
    sendOrQueue();
}

void GatewayRequest::waitForCapacity()
{
    const auto now = MonotonicClock::now();
    auto& queue = m_state.queueOf(m_service);
    const auto wait = std::max(queue.expectedWait(), m_admissionWait.value_or(Duration::zero()));
    const auto queueDeadline = latestQueueDeadline();
    if (now + wait + PromptQueue::kMinTimeLeft > queueDeadline) {
        refuseForCapacity(std::chrono::ceil<milliseconds>(wait));
        return;
    }
    const auto reason = m_admissionWait ? PromptQueueDispatcher::Reason::Admission : PromptQueueDispatcher::Reason::Room;
    m_queueTicket = queue.add(queueDeadline, { reason, [this] { return trySend(); }, [this] { refuseForCapacity(kDefaultRetryAfter); } });
}

MonotonicTime GatewayRequest::latestQueueDeadline() const
{
    if (!m_state.overload.isOn(m_service))
        return m_deadline;
    return PromptQueue::usefulDeadline(m_message.headArrived, m_route->latencyObjective, m_state.speeds.prefillTime(m_service, promptTokens()), m_deadline);
}

std::int64_t GatewayRequest::promptTokens() const
{
    std::int64_t tokens = 0;
    for (const auto& part : m_metadata.prompt)
        tokens += part.tokens;
    return tokens;
}

void GatewayRequest::refuseForCapacity(milliseconds wait)
{
    refuse({ m_mayHaveExecuted ? kBadGateway : kUnavailable, m_admissionWait ? kNotAdmittedReason : "no engine has room in time", addRetryJitter(wait) });
}

bool GatewayRequest::trySend()
{
    const auto now = MonotonicClock::now();
    if (refuseQuarantined(now))
        return true;
    const auto placement = place(now);
    const auto* endpoint = placement.endpoint ? m_state.registry.find(*placement.endpoint) : nullptr;
    // An interrupted stream is resumed without waiting for capacity, since its caller is waiting for the next event.
    if (endpoint && !placement.hasRoom && !m_hasBegunResponse)
        return false;
    if (!endpoint && placement.admissionRate > 0) {
        awaitAdmission(placement);
        return false;
    }
    if (!endpoint) {
        refuseUnplaced(placement);
        return true;
    }
    if (wouldOvertake(*endpoint)) {
        m_admissionWait = Duration::zero();
        return false;
    }
    m_queueTicket.dispatch();
    send(*endpoint, placement);
    return true;
}

Placement GatewayRequest::place(MonotonicTime now) const
{
    const auto view = m_state.viewFor(m_service);
    auto placementRequest = makePlacementRequest(now);
    auto placement = m_state.placer.choose(placementRequest, view, now);
    const auto& versions = placementRequest.versions;
    if (!versions || !versions->hasFallback() || (placement.endpoint && placement.hasRoom))
        return placement;
    // A request that should show how a new version does neither waits for its engines nor is refused for them.
    placementRequest.versions = versions->fallback();
    return m_state.placer.choose(placementRequest, view, now);
}

void GatewayRequest::awaitAdmission(const Placement& placement)
{
    if (!m_admissionWait)
        m_state.metrics.add(Counter::RequestsAtLimit);
    const std::chrono::duration<double> ahead(static_cast<double>(m_state.queueOf(m_service).size()) / placement.admissionRate);
    m_admissionWait = std::max<Duration>(placement.expectedWait, std::chrono::duration_cast<Duration>(std::min(ahead, kMaxAdmissionWait)));
}

bool GatewayRequest::wouldOvertake(const EndpointEntry& endpoint)
{
    return !m_queueTicket.isHeld() && m_state.advisories.admissionRate(instanceOf(endpoint), MonotonicClock::now()) > 0
        && m_state.queueOf(m_service).hasWaiters(PromptQueueDispatcher::Reason::Admission);
}

bool GatewayRequest::refuseQuarantined(MonotonicTime now)
{
    const auto until = m_state.quarantine.withheldUntil(m_sharedParts, now);
    const bool mayRepeat = !m_mayHaveExecuted || m_hasBegunResponse || m_state.quarantine.mayRepeat(m_sharedParts);
    if (!until && mayRepeat)
        return false;
    m_state.metrics.add(Counter::RequestsQuarantined);
    // An answer to another request may end the quarantine earlier.
    const auto wait = until ? std::min(std::chrono::ceil<milliseconds>(*until - now), kMaxQuarantineRetryAfter) : kDefaultRetryAfter;
    refuse({ m_mayHaveExecuted ? kBadGateway : kUnavailable, "engines crash under a part of the prompt", addRetryJitter(wait) });
    return true;
}

void GatewayRequest::refuseUnplaced(const Placement& placement)
{
    if (m_mayHaveExecuted) {
        refuse({ kBadGateway, "no endpoint left", {} });
        return;
    }
    if (placement.refusal == PlacementRefusal::AtLimit) {
        refuse({ kUnavailable, kNotAdmittedReason, addRetryJitter(kDefaultRetryAfter) });
        return;
    }
    const bool isBusy = placement.refusal == PlacementRefusal::AllBusy;
    refuse({ kUnavailable, isBusy ? "all endpoints busy" : "no endpoint", addRetryJitter(isBusy ? placement.expectedWait / 2 : kDefaultRetryAfter) });
}

const BlockStore* GatewayRequest::findRegionalBlockStore(const EndpointEntry& endpoint) const
{
    for (const auto& store : m_routes->config().blockStores) {
        if (m_state.placer.regionOf(store.dataCenter) == m_state.placer.regionOf(endpoint.dataCenter))
            return &store;
    }
    return nullptr;
}

int GatewayRequest::enginePriority() const
{
    const int ofWorkspace = m_workspace ? m_workspace->priority.value_or(0) : 0;
    return ofWorkspace * kRoutePriorityLevels + std::min(m_route->priority, kRoutePriorityLevels - 1);
}

std::string GatewayRequest::cacheDomain() const
{
    // The configuration may have changed since the request arrived, while it waited or was sent before.
    const auto& domains = m_state.routes->cacheDomains();
    return m_workspace ? domains.domainOf(m_workspace->id) : domains.shared();
}

ForwardMetadata GatewayRequest::forwardMetadata(const EndpointEntry& endpoint, const Placement& placement, MonotonicTime now) const
{
    ForwardMetadata metadata;
    metadata.endpoint = endpoint.id;
    if (m_workspace)
        metadata.workspace = m_workspace->id;
    metadata.timeLeft = std::chrono::floor<milliseconds>(m_deadline - now);
    metadata.priority = enginePriority();
    metadata.cacheDomain = cacheDomain();
    metadata.lastEventId = m_relay.lastId();
    const auto* source = placement.blockSource ? m_state.registry.find(*placement.blockSource) : nullptr;
    const auto* store = findRegionalBlockStore(endpoint);
    const auto weights = m_metadata.model ? endpoint.weights.find(*m_metadata.model) : endpoint.weights.end();
    if (placement.blocks && weights != endpoint.weights.end()) {
        // Blocks are valid only for the weights that produced them, so the cache domain includes the weights version and the
        // endpoint must run the request on that version.
        if (source)
            metadata.blockSource = source->address;
        else if (store)
            metadata.blockSource = store->address;
        if (store)
            metadata.blockStore = store->address;
        metadata.requiredWeights = weights->second;
        metadata.cacheDomain = domainOfWeights(metadata.cacheDomain, weights->second);
    }
    return metadata;
}

void GatewayRequest::send(const EndpointEntry& endpoint, const Placement& placement)
{
    const auto now = MonotonicClock::now();
    const auto previousEndpoint = std::exchange(m_endpoint, endpoint.id);
    m_triedEndpoints.insert(endpoint.id);
    m_sendNumber = ++m_state.sendCount;
    m_sentAt = now;
    m_isSending = true;
    m_firstEventAt.reset();
    m_incarnation = endpoint.incarnation;
    m_engine = engineKey(endpoint.id, endpoint.incarnation);
    ++m_sendCount;
    m_responseHead.reset();
    m_responseBody.clear();
    m_responseMode = ResponseMode::Buffered;
    m_relay.startRun();
    if (placement.blocks)
        m_state.blocks.recordUse(endpoint.id, *placement.blocks, now);
    m_state.loads.sent(endpoint.id, m_sendNumber, placement.prefillTokens, now);
    m_prefillTokens = placement.prefillTokens;
    m_state.advisories.recordSend(instanceOf(endpoint), now);
    recordPaceSend(placement, now);
    if (m_state.versionRollouts) {
        m_judgedEndpoint = endpoint;
        m_isResponseJudged = false;
        m_state.versionRollouts->recordSend(endpoint, now);
    }
    const auto metadata = forwardMetadata(endpoint, placement, now);
    m_requiredWeights = metadata.requiredWeights;
    if (placement.blocks)
        logPlacement(placement, now);

    ExchangeRequest request;
    request.peer = endpoint.address;
    request.text = requestHeadText(m_state.wire.encodeForEndpoint(m_message.head, metadata), m_body->size());
    request.sharedBody = m_body;
    request.isHeadRequest = m_message.head.method == "HEAD";
    request.connectDeadline = std::min(now + kConnectTimeout, m_deadline);
    request.excludedConnections = m_usedConnections;
    request.isMatchingResponse = [this](const HttpResponseHead& head) { return m_state.wire.decodeResponse(head).requestId == m_metadata.requestId; };
    m_exchange = std::make_unique<HttpExchange>(m_state.endpointConnections, std::move(request),
        HttpExchange::Handlers { [this](HttpResponseHead head) { onHead(std::move(head)); }, [this](std::string_view bytes) { onBody(bytes); },
            [this] { onComplete(); }, [this](ExchangeFailure failure, const std::string& reason) { onFailed(failure, reason); }, [this] { m_caller.updateMemory(); } });
    if (const auto connection = m_exchange->connection())
        m_usedConnections.push_back(*connection);
    if (m_sendCount > 1 || m_connectFailures > 0)
        logResend(previousEndpoint);
    if (m_route->isRetryable() && m_sendCount < m_route->maxEndpoints) {
        const double part = m_route->isStreaming ? 1.0 : kOverdueFraction;
        m_overdueTimer.set(now + std::chrono::duration_cast<Duration>(m_route->latencyObjective * part));
    }
    // Other responses may have no head before their end, so it is not known whether they have begun.
    if (const auto latest = latestBegin(); m_route->isStreaming && latest && *latest < m_deadline)
        m_weightsTimer.set(*latest);
}

void GatewayRequest::recordPaceSend(const Placement& placement, MonotonicTime now)
{
    m_expectedAnswer = placement.expectedWait;
    m_isPaceAnswerRecorded = false;
    m_isPaced = m_state.overload.isOn(m_service);
    if (placement.isHeldBack)
        m_state.metrics.add(Counter::SendsHeldBack);
    if (m_isPaced)
        m_state.paces.recordSend(sentTo(), now);
}

void GatewayRequest::recordPaceAnswer(MonotonicTime now)
{
    if (m_isPaced && !std::exchange(m_isPaceAnswerRecorded, true))
        m_state.paces.recordAnswer(sentTo(), now - m_sentAt, m_expectedAnswer, now);
}

void GatewayRequest::recordPaceEnd(SendOutcome outcome, MonotonicTime now)
{
    if (!m_isPaced)
        return;
    // The latency of a response that has begun has been recorded.
    const bool isRecorded = outcome == SendOutcome::Served && m_isPaceAnswerRecorded;
    m_state.paces.recordOutcome(sentTo(), isRecorded ? SendOutcome::Abandoned : outcome, now - m_sentAt, m_expectedAnswer, now);
}

void GatewayRequest::startPaceIfFailing(MonotonicTime now)
{
    const auto* entry = m_state.registry.find(m_endpoint);
    if (entry && entry->incarnation == m_incarnation && m_state.loads.isFailing(m_endpoint, now))
        m_state.startPace(instanceOf(*entry), entry->slots, PaceCause::BackoffEnds, now);
}

void GatewayRequest::logPlacement(const Placement& placement, MonotonicTime now) const
{
    logEvent(LogEvent::RequestPlaced,
        { { "request", m_metadata.requestId }, { "endpoint", m_endpoint.value() }, { "load", m_state.loads.load(m_endpoint, now) },
            { "unread_tokens", m_state.loads.pendingPrefillTokens(m_endpoint, now) }, { "tokens_to_read", placement.prefillTokens },
            { "block_source", placement.blockSource ? placement.blockSource->value() : std::string() }, { "cache_domain", cacheDomain() }, { "expected_ms", placement.expectedWait.count() } });
}

void GatewayRequest::logResend(const EndpointId& previousEndpoint)
{
    logEvent(LogEvent::RequestResent,
        { { "request", m_metadata.requestId }, { "route", m_route->name }, { "endpoint", m_endpoint.value() }, { "previous", previousEndpoint.value() }, { "connection", m_exchange->connection().value_or(ConnectionNumber()).value() },
            { "sends", m_sendCount }, { "cause", std::exchange(m_resendCause, "none") }, { "may_have_run", m_mayHaveExecuted ? 1 : 0 } });
}

void GatewayRequest::onHead(HttpResponseHead head)
{
    const auto now = MonotonicClock::now();
    m_responseMetadata = m_state.wire.decodeResponse(head);
    recordLoad(now);
    if (m_responseMetadata.weights && m_metadata.model)
        m_state.recordWeights(m_endpoint, *m_metadata.model, *m_responseMetadata.weights, now);
    if (m_route->isStreaming && head.status / kStatusClass == kSuccessClass && m_responseMetadata.isSigned)
        m_responseMode = ResponseMode::Streamed;
    m_responseHead = std::move(head);
    recordAdvice(now);
}

void GatewayRequest::recordSpeed(MonotonicTime now)
{
    const auto* engine = m_state.registry.find(m_endpoint);
    if (!engine || !m_state.overload.isOn(m_service))
        return;
    m_state.speeds.recordPrefill(*engine, m_prefillTokens, now - m_sentAt, now);
    m_state.speeds.recordFirstEvent(*engine, now - m_sentAt, m_expectedAnswer);
}

void GatewayRequest::recordLoad(MonotonicTime now)
{
    const auto& load = m_responseMetadata.load;
    if (load)
        m_state.loads.reported(m_endpoint, *load, now);
    if (load && load->slowdownPercent)
        m_state.speeds.recordReport(m_endpoint, *load->slowdownPercent, now);
    if (load && load->slowdownPercent && m_state.overload.recordSharedMachine(m_service))
        logEvent(LogEvent::OverloadControlChanged, { { "service", m_service.value() }, { "endpoint", m_endpoint.value() }, { "slowdown_percent", *load->slowdownPercent } });
    if (!m_responseMetadata.unreadableLoad.empty() && m_state.loads.shouldLogUnreadable(m_endpoint, now))
        logEvent(LogEvent::LoadUnreadable, { { "endpoint", m_endpoint.value() }, { "field", m_responseMetadata.unreadableLoad } });
}

void GatewayRequest::recordAdvice(MonotonicTime now)
{
    // Another engine at the same address speaks for itself, and an intermediary for no engine.
    const bool isMisdirected = m_responseHead->status == kMisdirected && m_responseMetadata.endpoint != m_endpoint;
    if (isMisdirected || !(m_responseMetadata.isSigned || m_responseMetadata.isNotExecuted))
        return;
    if (!m_responseMetadata.unreadableAdvice.empty())
        logEvent(LogEvent::AdviceUnreadable, { { "endpoint", m_endpoint.value() }, { "field", m_responseMetadata.unreadableAdvice } });
    const auto endpoint = sentTo();
    if (m_responseMetadata.advice.isLeaving && m_state.advisories.recordLeaving(endpoint, now))
        logEvent(LogEvent::EndpointsChanged, { { "endpoint", m_endpoint.value() }, { "state", "leaving" }, { "request", m_metadata.requestId } });
    recordPause(endpoint, now);
    const bool isSuccess = m_responseMetadata.isSigned && m_responseHead->status / kStatusClass == kSuccessClass;
    const bool isChange = isSuccess ? m_state.advisories.recordResponse(endpoint, m_responseMetadata.advice, m_sentAt, now)
                                    : m_state.advisories.recordError(endpoint, m_responseMetadata.advice, m_sentAt, now);
    if (!isChange)
        return;
    logEvent(LogEvent::EndpointLimited, { { "endpoint", m_endpoint.value() }, { "per_second", m_state.advisories.limitOf(endpoint).value_or(-1) }, { "share", m_state.advisories.shareOf(endpoint) }, { "request", m_metadata.requestId } });
}

void GatewayRequest::recordPause(const EndpointInstance& endpoint, MonotonicTime now)
{
    const auto& retryAfter = m_responseMetadata.advice.retryAfter;
    const auto* entry = m_state.registry.find(m_endpoint);
    if (retryAfter && m_state.advisories.recordRetryAfter(endpoint, entry ? entry->slots : 1, *retryAfter, now)) {
        m_state.startPace(endpoint, entry ? entry->slots : 1, PaceCause::PauseEnds, now);
        logEvent(LogEvent::EndpointPaused, { { "endpoint", m_endpoint.value() }, { "ms", retryAfter->count() }, { "request", m_metadata.requestId } });
    }
}

void GatewayRequest::onBody(std::string_view bytes)
{
    if (m_responseMode == ResponseMode::Streamed) {
        relayEvents(bytes);
        return;
    }
    if (m_responseMode == ResponseMode::PassedThrough) {
        m_caller.sendChunk(bytes);
        pauseReadingIfBacklogged();
        return;
    }
    m_responseBody += bytes;
    m_caller.updateMemory();
    if (m_responseBody.size() <= (m_caller.isMemoryNearlyUsed() ? kMaxHeldWithoutMemory : kMaxBufferedResponse))
        return;
    const bool isSuccess = m_responseMetadata.isSigned && m_responseHead->status / kStatusClass == kSuccessClass;
    if (!isSuccess || m_hasBegunResponse) {
        endSend(SendOutcome::Failed);
        onPossiblyExecuted("the error response is too large");
        return;
    }
    m_responseMode = ResponseMode::PassedThrough;
    beginResponse();
    m_caller.sendChunk(std::exchange(m_responseBody, {}));
}

void GatewayRequest::relayEvents(std::string_view bytes)
{
    const auto events = m_relay.feed(bytes);
    m_caller.updateMemory();
    if (!events) {
        endSend(SendOutcome::Failed);
        onPossiblyExecuted("an event is missing or too large");
        return;
    }
    if (m_relay.heldBytes() > kMaxHeldWithoutMemory && m_caller.isMemoryExceeded()) {
        endSend(SendOutcome::Failed);
        onPossiblyExecuted("too little memory for an event");
        return;
    }
    if (events->empty())
        return;
    m_overdueTimer.clear();
    m_state.loads.answerBegan(m_endpoint, m_sendNumber);
    const auto now = MonotonicClock::now();
    if (m_firstEventAt)
        m_state.quarantine.engineAnswered(m_engine, m_sentAt, now);
    else {
        recordSpeed(now);
        recordAnswer(now);
    }
    if (!m_hasBegunResponse) {
        m_timeToFirstPiece = now - m_message.headArrived;
        m_state.metrics.observe(Latency::TimeToFirstPiece, *m_timeToFirstPiece);
        beginResponse();
    }
    m_state.metrics.add(Counter::StreamPieces);
    m_caller.sendChunk(*events);
    pauseReadingIfBacklogged();
}

std::size_t GatewayRequest::maxUnsentBytes() const
{
    return m_caller.isMemoryNearlyUsed() ? 0 : kMaxUnsentBytes;
}

std::size_t GatewayRequest::heldBytes() const
{
    const std::size_t prompt = m_metadata.prompt.capacity() * sizeof(m_metadata.prompt.front()) + m_sharedParts.capacity() * sizeof(PartKey);
    const std::size_t response = m_responseBody.capacity() + m_relay.heldBytes() + (m_responseHead ? m_responseHead->fields.heldBytes() : 0);
    return kRequestBytes + m_message.head.heldBytes() + (m_body ? m_body->capacity() : 0) + prompt + response + (m_exchange ? m_exchange->heldBytes() : 0);
}

void GatewayRequest::pauseReadingIfBacklogged()
{
    if (m_caller.unsent() <= maxUnsentBytes())
        return;
    m_exchange->pauseReading(true);
    m_callerTimer.set(MonotonicClock::now() + kCallerCheckInterval);
}

void GatewayRequest::resumeReadingIfDrained()
{
    m_caller.updateMemory();
    if (m_caller.unsent() > maxUnsentBytes()) {
        m_callerTimer.set(MonotonicClock::now() + kCallerCheckInterval);
        return;
    }
    if (m_exchange)
        m_exchange->pauseReading(false);
}

void GatewayRequest::beginResponse()
{
    m_hasBegunResponse = true;
    auto fields = m_responseHead->fields;
    removeHopByHopFields(fields);
    fields.remove("Content-Length");
    m_caller.beginResponse(m_responseHead->status, std::move(fields));
}

void GatewayRequest::recordAnswer(MonotonicTime now)
{
    m_firstEventAt = now;
    recordPaceAnswer(now);
    logQuarantineChanges(m_state.quarantine.runAnswered(m_sharedParts, now));
    m_state.quarantine.engineAnswered(m_engine, m_sentAt, now);
}

void GatewayRequest::onComplete()
{
    // A stream without a length ends with its connection, also if the engine crashes before the first event.
    const bool endsBeforeFirstEvent = m_responseMode == ResponseMode::Streamed && m_responseHead->endsWithConnection && !m_firstEventAt;
    if (endsBeforeFirstEvent || m_relay.isInsideEvent()) {
        onRunLost(endsBeforeFirstEvent ? "the stream ended before its first event" : "the stream ended inside an event");
        return;
    }
    // An error says nothing about the prompt.
    if (m_responseMetadata.isSigned && m_responseHead->status / kStatusClass == kSuccessClass)
        recordAnswer(MonotonicClock::now());
    if (m_responseMode == ResponseMode::Buffered) {
        handleBufferedResponse();
        return;
    }
    if (!m_hasBegunResponse)
        beginResponse();
    m_caller.sendChunk(m_relay.takeRemainder());
    m_caller.finishResponse();
    m_state.placer.recordServiceTime(m_service, MonotonicClock::now() - m_sentAt);
    endSend(SendOutcome::Served);
    finish("served", m_responseHead->status);
}

void GatewayRequest::handleBufferedResponse()
{
    const int status = m_responseHead->status;
    if (m_responseMetadata.isNotExecuted) {
        onNotExecuted();
        return;
    }
    // A response that has begun as a stream cannot be replaced by a different response.
    if (!m_responseMetadata.isSigned || m_hasBegunResponse) {
        endSend(SendOutcome::Failed);
        onPossiblyExecuted(m_hasBegunResponse ? "no stream to go on with" : "an answer without a signature");
        return;
    }
    if (status < kServerErrors && !statusMeansNotExecuted(status)) {
        m_state.placer.recordServiceTime(m_service, MonotonicClock::now() - m_sentAt);
        endSend(SendOutcome::Served);
        forwardResponse();
        return;
    }
    recordVersionResponse(status >= kServerErrors);
    endSend(SendOutcome::Failed);
    m_mayHaveExecuted = true;
    if (m_route->isRetryable() && tryAcquireRetry()) {
        m_state.metrics.add(Counter::RunsRetried);
        resend("error_response");
        return;
    }
    if (statusMeansNotExecuted(status))
        refuse({ kBadGateway, "the endpoint may have run it", {} });
    else
        forwardResponse();
}

void GatewayRequest::onNotExecuted()
{
    const bool isMisdirected = m_responseHead->status == kMisdirected;
    const bool hasOtherWeights = isMisdirected && m_requiredWeights && m_responseMetadata.endpoint == m_endpoint;
    endSend(SendOutcome::Shed);
    if (hasOtherWeights) {
        // The endpoint runs other weights; it can be tried again once its current version is known.
        m_triedEndpoints.erase(m_endpoint);
        m_state.loads.pauseUntil(m_endpoint, MonotonicClock::now() + kMinRetryAfter);
    } else if (isMisdirected)
        m_state.loads.unreachable(m_endpoint, MonotonicClock::now());
    else
        m_state.loads.pauseUntil(m_endpoint, MonotonicClock::now() + kMinRetryAfter);
    if (tryAcquireRetry()) {
        m_state.metrics.add(Counter::RunsRetried);
        resend("not_executed");
        return;
    }
    if (m_mayHaveExecuted)
        refuse({ kBadGateway, "an earlier endpoint may have run it", {} });
    else
        refuse({ kUnavailable, "the endpoint is full", addRetryJitter(kDefaultRetryAfter) });
}

void GatewayRequest::onFailed(ExchangeFailure failure, const std::string& reason)
{
    const auto now = MonotonicClock::now();
    if (failure == ExchangeFailure::MalformedAnswer) {
        endSend(SendOutcome::Failed);
        onPossiblyExecuted(reason);
        return;
    }
    if (failure != ExchangeFailure::NotSent) {
        onRunLost(reason);
        return;
    }
    recordPaceEnd(SendOutcome::Failed, now);
    m_isPaced = false;
    endSend(SendOutcome::Abandoned);
    m_state.loads.unreachable(m_endpoint, now);
    startPaceIfFailing(now);
    --m_sendCount;
    ++m_connectFailures;
    if (m_connectFailures < kMaxConnectFailures && now < m_deadline) {
        resend("not_sent");
        return;
    }
    if (m_mayHaveExecuted)
        onPossiblyExecuted(reason);
    else
        refuse({ kUnavailable, "no endpoint can be reached", addRetryJitter(kDefaultRetryAfter) });
}

void GatewayRequest::onRunLost(std::string_view reason)
{
    // A resumed stream may have no events left, and engines have answered its prompt before.
    if (!m_firstEventAt && !m_relay.lastId()) {
        const auto now = MonotonicClock::now();
        logQuarantineChanges(m_state.quarantine.runLost({ runKey(m_metadata.requestId, m_sendCount), m_engine, m_sharedParts, m_responseHead.has_value(), m_sentAt, now }));
    }
    endSend(SendOutcome::Failed);
    onPossiblyExecuted(reason);
}

void GatewayRequest::onPossiblyExecuted(std::string_view reason)
{
    m_mayHaveExecuted = true;
    logEvent(LogEvent::RunFailed, { { "request", m_metadata.requestId }, { "endpoint", m_endpoint.value() }, { "reason", reason } });
    const bool canGoOn = m_route->isStreaming ? m_route->isResumable : !m_hasBegunResponse;
    if (m_route->isRetryable() && canGoOn && tryAcquireRetry()) {
        m_state.metrics.add(m_hasBegunResponse ? Counter::RunsResumed : Counter::RunsRetried);
        resend("failed");
        return;
    }
    refuse({ kBadGateway, reason, {} });
}

bool GatewayRequest::tryAcquireRetry()
{
    const auto now = MonotonicClock::now();
    if (m_sendCount >= m_route->maxEndpoints || now >= m_deadline)
        return false;
    return m_state.retryBudget(m_service).tryTakeRetry(m_state.peers.runningCount(now) + 1, now);
}

void GatewayRequest::onOverdue()
{
    if (!m_isSending || m_responseHead)
        return;
    if (m_route->isStreaming && m_state.loads.timesOvertaken(m_endpoint, m_sendNumber) < kMaxTimesOvertaken) {
        m_overdueTimer.set(MonotonicClock::now() + kOvertakenCheckInterval);
        return;
    }
    if (!tryAcquireRetry())
        return;
    logEvent(LogEvent::RunFailed, { { "request", m_metadata.requestId }, { "endpoint", m_endpoint.value() }, { "reason", "overdue" } });
    m_mayHaveExecuted = true;
    // The time so far is judged in place of the latency, which is at least as long.
    recordVersionResponse(false);
    endSend(SendOutcome::Failed);
    m_state.metrics.add(Counter::RunsRetried);
    resend("overdue");
}

std::optional<MonotonicTime> GatewayRequest::latestBegin() const
{
    const auto* entry = m_state.registry.find(m_endpoint);
    if (!m_metadata.model || !entry || entry->incarnation != m_incarnation)
        return std::nullopt;
    const auto weights = entry->weights.find(*m_metadata.model);
    return weights == entry->weights.end() ? std::nullopt : m_state.weightsRollout.latestBegin(*m_metadata.model, weights->second);
}

void GatewayRequest::onWeightsExpired()
{
    if (!m_isSending || m_responseHead)
        return;
    const auto latest = latestBegin();
    if (!latest)
        return;
    if (*latest > MonotonicClock::now()) {
        m_weightsTimer.set(std::min(*latest, m_deadline));
        return;
    }
    endSend(SendOutcome::Abandoned);
    onPossiblyExecuted("waited too long at an engine with old weights");
}

void GatewayRequest::onDeadline()
{
    if (m_isSending) {
        m_mayHaveExecuted = true;
        recordVersionResponse(false);
        endSend(SendOutcome::Failed);
    }
    if (m_mayHaveExecuted)
        refuse({ kGatewayTimeout, "deadline reached", {} });
    else
        refuse({ kUnavailable, "deadline reached", {} });
}

void GatewayRequest::clientDisconnected()
{
    if (m_isFinished)
        return;
    if (m_isSending)
        endSend(SendOutcome::Abandoned);
    m_state.metrics.add(Counter::RunsCancelled);
    finish("caller left", 0);
}

void GatewayRequest::responseSent()
{
    m_state.metrics.observe(Latency::ResponseDelivery, MonotonicClock::now() - m_finishedAt);
}

void GatewayRequest::responseCutOff(std::size_t unsent, std::string_view reason)
{
    m_state.metrics.add(Counter::ResponsesCutOff);
    logEvent(LogEvent::ResponseCutOff, { { "request", m_metadata.requestId }, { "unsent_bytes", unsent }, { "reason", reason }, { "ms", std::chrono::duration_cast<milliseconds>(MonotonicClock::now() - m_finishedAt).count() } });
}

void GatewayRequest::endSend(SendOutcome outcome)
{
    m_isSending = false;
    m_exchange.reset();
    m_overdueTimer.clear();
    m_weightsTimer.clear();
    const auto now = MonotonicClock::now();
    m_state.loads.finished(m_endpoint, m_sendNumber, outcome, now);
    recordPaceEnd(outcome, now);
    if (outcome == SendOutcome::Failed)
        startPaceIfFailing(now);
    recordForRollout(outcome);
}

void GatewayRequest::recordForRollout(SendOutcome outcome)
{
    if (!m_judgedEndpoint)
        return;
    if (outcome == SendOutcome::Served || outcome == SendOutcome::Failed)
        recordVersionResponse(outcome == SendOutcome::Failed);
    m_state.versionRollouts->recordEnd(*m_judgedEndpoint);
    m_judgedEndpoint.reset();
}

void GatewayRequest::recordVersionResponse(bool isFailure)
{
    if (!m_judgedEndpoint || std::exchange(m_isResponseJudged, true))
        return;
    const auto now = MonotonicClock::now();
    const auto latency = m_route->isStreaming ? m_firstEventAt.value_or(now) - m_sentAt : now - m_sentAt;
    m_state.versionRollouts->recordResponse(*m_judgedEndpoint, m_route->name, isFailure, latency, now);
}

void GatewayRequest::refuse(const Refusal& refusal)
{
    if (m_isFinished)
        return;
    const bool isNotExecuted = statusMeansNotExecuted(refusal.status);
    if (isNotExecuted && m_chargedUnits > 0)
        m_state.rates.refund(m_workspace->id, m_chargedUnits, MonotonicClock::now());
    m_state.metrics.add(isNotExecuted ? Counter::RequestsRefused : Counter::RequestsFailed);
    if (m_hasBegunResponse)
        m_caller.abort();
    else
        m_caller.answer(refusal.status, m_state.wire.encodeRefusal(m_metadata.requestId, refusal.retryAfter), {});
    finish(refusal.reason, refusal.status);
}

void GatewayRequest::forwardResponse()
{
    auto fields = m_responseHead->fields;
    removeHopByHopFields(fields);
    fields.remove("Content-Length");
    m_caller.answer(m_responseHead->status, std::move(fields), m_responseBody);
    finish("served", m_responseHead->status);
}

void GatewayRequest::finish(std::string_view outcome, int status)
{
    m_isFinished = true;
    m_queueTicket.release();
    m_deadlineTimer.clear();
    m_overdueTimer.clear();
    m_weightsTimer.clear();
    m_callerTimer.clear();
    // The request lives on until its response is sent, which a slow caller may delay.
    m_body.reset();
    std::string().swap(m_responseBody);
    m_responseHead.reset();
    m_relay.startRun();
    m_message.head.fields = {};
    const auto now = MonotonicClock::now();
    m_finishedAt = now;
    m_state.metrics.observe(Latency::RequestDuration, now - m_message.headArrived);
    const bool isServed = outcome == "served";
    if (isServed)
        m_state.metrics.add(Counter::RequestsCompleted);
    logEvent(isServed ? LogEvent::RequestFinished : LogEvent::RequestRefused,
        { { "request", m_metadata.requestId }, { "route", m_route ? std::string_view(m_route->name) : std::string_view() },
            { "workspace", m_workspace ? m_workspace->id.value() : std::string() }, { "config", m_routes ? m_routes->config().version.value() : 0 },
            { "config_age_ms", m_state.configAge(now).count() },
            { "endpoint", m_endpoint.value() }, { "sends", m_sendCount }, { "status", status }, { "outcome", outcome },
            { "may_have_run", m_mayHaveExecuted ? 1 : 0 }, { "first_ms", m_timeToFirstPiece ? std::chrono::duration_cast<milliseconds>(*m_timeToFirstPiece).count() : -1 },
            { "ms", std::chrono::duration_cast<milliseconds>(now - m_message.headArrived).count() } });
}

milliseconds GatewayRequest::addRetryJitter(milliseconds wait) const
{
    constexpr std::uint64_t kSteps = 1024;
    const auto least = std::max(wait, kMinRetryAfter);
    // Hashing the request id spreads callers evenly and yields the same delay for the same request.
    const auto step = static_cast<std::int64_t>(stableHash(m_metadata.requestId) % kSteps);
    return least + least * step / static_cast<std::int64_t>(kSteps);
}

} // namespace hornbeamgate::gateway
