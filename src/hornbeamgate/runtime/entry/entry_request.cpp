#include "hornbeamgate/runtime/entry/entry_request.hpp"

#include "hornbeamgate/base/hash.hpp"
#include "hornbeamgate/observability/log.hpp"
#include "hornbeamgate/runtime/http/run_error_response.hpp"

#include <nlohmann/json.hpp>

#include <array>

namespace hornbeamgate {

namespace {

    constexpr std::string_view kBearerPrefix = "Bearer ";
    constexpr std::string_view kJson = "application/json";
    constexpr unsigned kOk = 200;
    constexpr std::uint64_t kServiceCallTokens = 0;

    std::string bearerKey(const HttpExchange& exchange)
    {
        const auto value = exchange.header("Authorization");
        if (!value.starts_with(kBearerPrefix))
            return {};
        return value.substr(kBearerPrefix.size());
    }

    RunError toRunError(RoutingRefusalReason reason)
    {
        return reason == RoutingRefusalReason::DeadlineUnreachable ? RunError::DeadlineUnreachable : RunError::NoEndpoint;
    }

    std::int64_t milliseconds(Duration span)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    }

} // namespace

EntryRequest::EntryRequest(const EntryContext& context, RequestId id, std::unique_ptr<HttpExchange> exchange, std::function<void()> onFinished)
    : m_context(&context)
    , m_id(id)
    , m_exchange(std::move(exchange))
    , m_onFinished(std::move(onFinished))
    , m_arrived(MonotonicClock::now())
    , m_assembler(RunKind::Completion)
    , m_timer([this] { feed(RelayTimerExpired {}); })
{
    m_exchange->setHeader("X-Request-Id", RunId { context.incarnation, id }.text());
}

EntryRequest::~EntryRequest() = default;

/// Route of the public API with the handler that parses the request.
struct EntryRequest::Route {
    std::string_view method; ///< empty matches any method
    std::string_view path;
    bool wholePath;
    RunKind kind;
    Step (EntryRequest::*read)();
};

void EntryRequest::start()
{
    static constexpr std::array kRoutes {
        Route { "POST", "/v1/completions", true, RunKind::Completion, &EntryRequest::readCompletion },
        Route { "POST", "/v1/chat/completions", true, RunKind::ChatCompletion, &EntryRequest::readCompletion },
        Route { "", "/services/", false, RunKind::ServiceCall, &EntryRequest::readServiceCall },
    };
    m_context->metrics->add(Counter::RequestsAccepted);
    const auto path = m_exchange->path();
    const auto method = m_exchange->method();
    if (const auto identified = authenticate(); !identified) {
        refuse(identified.error());
        return;
    }
    if (method == "GET" && path == "/v1/models") {
        serveModels();
        return;
    }
    for (const auto& route : kRoutes) {
        const bool samePath = route.wholePath ? path == route.path : path.starts_with(route.path);
        if (!samePath || (!route.method.empty() && method != route.method))
            continue;
        m_kind = route.kind;
        if (const auto read = (this->*route.read)(); !read)
            refuse(read.error());
        else
            reserveBudget();
        return;
    }
    refuse({ RunError::UnknownRoute, true, "no such path or method" });
}

EntryRequest::Step EntryRequest::authenticate()
{
    if (m_exchange->bodyTooLarge())
        return failure(RunFailed { RunError::BodyTooLarge, true, "the body is larger than this daemon takes" });
    if (!m_context->config)
        return failure(RunFailed { RunError::NotReady, true, "no configuration is known yet" });
    const auto& keys = m_context->config->keys();
    const auto secret = bearerKey(*m_exchange);
    if (secret.empty()) {
        const auto workspace = keys.findOpenRouteWorkspace(m_exchange->path());
        if (!workspace)
            return failure(RunFailed { RunError::KeyMissing, true, "a key is needed: Authorization: Bearer KEY" });
        m_workspace = *workspace;
        m_openRoute = true;
        return {};
    }
    if (!m_context->keyTrustMonitor->mayAccept())
        return failure(RunFailed { RunError::KeysUnverified, true, "this daemon cannot tell whether keys were withdrawn" });
    const auto owner = keys.find(secret);
    if (!owner)
        return failure(RunFailed { RunError::KeyRefused, true, "the key is unknown or withdrawn" });
    m_workspace = owner->workspace;
    m_key = owner->key;
    m_context->keyedStreams->start(m_id, m_key);
    return {};
}

EntryRequest::Step EntryRequest::readCompletion()
{
    auto parsed = parseCompletionRequest(m_kind, m_exchange->body());
    if (!parsed)
        return failure(RunFailed { parsed.error().error, true, parsed.error().detail });
    const auto* model = m_context->config->model(parsed->model);
    if (!model)
        return failure(RunFailed { RunError::UnknownModel, true, "no such model" });
    m_weights = model->weights;
    const auto domain = m_openRoute ? openRouteDomain(m_workspace) : workspaceDomain(m_workspace);
    m_blocks = chainBlocks(parsed->prompt, { domain, parsed->model, m_weights });
    m_assembler = CompletionAssembler(m_kind);
    m_completion = std::move(*parsed);
    m_completion->prompt = {};
    m_exchange->releaseBody();
    return {};
}

EntryRequest::Step EntryRequest::readServiceCall()
{
    m_service = ServiceId(serviceName(m_exchange->path()));
    const auto* rule = m_context->config->service(m_service);
    if (!rule)
        return failure(RunFailed { RunError::UnknownRoute, true, "no such service" });
    m_idempotent = rule->idempotent || m_exchange->method() == "GET" || m_exchange->method() == "HEAD";
    m_idempotencyKey = m_exchange->header("Idempotency-Key");
    if (!m_idempotencyKey.empty() && !isValidIdempotencyKey(m_idempotencyKey))
        return failure(RunFailed { RunError::BadRequest, true, "Idempotency-Key must be 1 to 255 visible ASCII characters" });
    const auto routingKey = m_idempotencyKey.empty() ? m_id.value() : stableHash(m_workspace.value() + '/' + m_idempotencyKey);
    m_serviceEndpoints = m_context->directory->serviceEndpoints(m_service, routingKey);
    return {};
}

void EntryRequest::serveModels()
{
    auto models = nlohmann::json::array();
    for (const auto& model : m_context->config->rules().models)
        models.push_back({ { "id", model.id.value() }, { "object", "model" }, { "owned_by", "hornbeamgate" } });
    m_exchange->answer(kOk, std::string(kJson), nlohmann::json { { "object", "list" }, { "data", std::move(models) } }.dump());
    m_context->metrics->add(Counter::RequestsCompleted);
    end("completed");
}

void EntryRequest::reserveBudget()
{
    m_exchange->watch([this] {
        if (m_relay)
            feed(CallerDisconnected {});
        else
            end("caller_gone"); },
        [this] { callerDrained(); });
    const auto tokens = m_completion ? m_completion->estimatedTokens() : kServiceCallTokens;
    m_reserved = true;
    m_context->budget->reserve(m_id, m_workspace, tokens, [this](const Result<void, BudgetRefusal>& decision) { handleBudgetDecision(decision); });
}

void EntryRequest::handleBudgetDecision(const Result<void, BudgetRefusal>& decision)
{
    if (m_ended)
        return;
    if (decision) {
        startRelay();
        return;
    }
    m_reserved = false;
    const auto detail = decision.error().error == RunError::RateExceeded ? "the workspace's rate is used up" : "the workspace's budget cannot be reached";
    refuse({ decision.error().error, true, detail }, decision.error().retryAt);
}

void EntryRequest::startRelay()
{
    RelayOptions options;
    options.firstPieceTimeout = m_context->settings->firstPieceTimeout;
    options.pieceTimeout = m_context->settings->pieceTimeout;
    if (!m_idempotent)
        options.safety = m_idempotencyKey.empty() ? RetrySafety::Never : RetrySafety::Deduplicated;
    m_context->retries->creditRequest();
    m_relay.emplace(options);
    perform(m_relay->start(MonotonicClock::now()));
}

void EntryRequest::feed(const RelayEvent& event)
{
    if (!m_ended && m_relay)
        perform(m_relay->handle(event, *m_context->retries, MonotonicClock::now()));
    if (std::holds_alternative<CallerDisconnected>(event))
        end("caller_gone");
}

void EntryRequest::perform(const std::vector<RelayAction>& actions)
{
    if (const auto deadline = m_relay->nextDeadline())
        m_timer.set(*deadline);
    else
        m_timer.clear();
    for (const auto& action : actions) {
        std::visit([this](const auto& alternative) { perform(alternative); }, action);
        if (m_ended)
            return;
    }
}

void EntryRequest::perform(const OpenAttempt& action)
{
    const auto target = chooseTarget(action);
    if (!target) {
        post([this, attempt = action.attempt, cause = target.error(), alive = m_liveness.watch()] {
            if (!alive.expired())
                feed(AttemptUnroutable { attempt, cause.error, cause.detail });
        });
        return;
    }
    if (action.attempt != AttemptNumber(1))
        m_context->metrics->add(action.resumeFrom > 0 ? Counter::RunsResumed : Counter::RunsRetried);
    m_target = *target;
    m_withheldCredit = 0;
    m_attempt = std::make_unique<RunAttempt>(action.attempt, m_context->links->openStream(target->address, "/run"),
        [this](const RelayEvent& event, std::size_t bytes) { handleAttemptEvent(event, bytes); });
    m_attempt->send(makeRunOrder(action, *target));
}

void EntryRequest::perform(const CancelAttempt&)
{
    releaseAttempt();
}

void EntryRequest::perform(const ForwardPiece& action)
{
    const auto now = MonotonicClock::now();
    m_context->metrics->add(Counter::StreamPieces);
    if (m_lastPieceAt) {
        m_context->metrics->observe(Latency::TimeBetweenPieces, now - *m_lastPieceAt);
    } else {
        m_context->metrics->observe(Latency::TimeToFirstPiece, now - m_arrived);
        m_completion->engineBody = {}; // After the first piece the run can only be resumed, which needs no body.
    }
    m_lastPieceAt = now;
    if (!m_completion->stream) {
        if (const auto added = m_assembler.add(action.data); !added)
            logEvent(LogEvent::RunFailed, { { "request", m_id.value() }, { "error", added.error().detail } });
        return;
    }
    if (!m_exchange->streaming())
        m_exchange->startStream("text/event-stream");
    m_exchange->write("data: " + action.data + "\n\n");
}

void EntryRequest::perform(const CompleteResponse&)
{
    if (m_completion->stream) {
        if (!m_exchange->streaming())
            m_exchange->startStream("text/event-stream");
        m_exchange->write("data: [DONE]\n\n");
        m_exchange->finishStream();
    } else {
        m_exchange->answer(kOk, std::string(kJson), m_assembler.finish());
    }
    m_context->metrics->add(Counter::RequestsCompleted);
    end("completed");
}

void EntryRequest::perform(const ForwardServiceResponse& action)
{
    if (action.answer.replayed)
        m_exchange->setHeader("Idempotency-Replayed", "true");
    m_exchange->answer(action.answer.status, action.answer.contentType, action.answer.body);
    m_context->metrics->add(Counter::RequestsCompleted);
    end("completed");
}

void EntryRequest::perform(const FailResponse& action)
{
    if (!m_exchange->streaming()) {
        refuse(action.failure);
        return;
    }
    m_exchange->write(errorEvent(action.failure));
    m_exchange->finishStream();
    m_context->metrics->add(Counter::RequestsFailed);
    end(runErrorName(action.failure.error));
}

Result<EntryRequest::Target, RunFailed> EntryRequest::chooseTarget(const OpenAttempt& action)
{
    if (action.target == AttemptTarget::SameEndpoint && m_target)
        return *m_target;
    return m_kind == RunKind::ServiceCall ? chooseServiceEndpoint() : chooseEngine();
}

PlacementResult EntryRequest::place()
{
    const auto now = MonotonicClock::now();
    if (!m_placed) {
        RequestArrived arrived;
        arrived.request = m_id;
        arrived.model = m_completion->model;
        arrived.weights = m_weights;
        arrived.blocks = m_blocks;
        arrived.promptBytes = m_completion->promptBytes;
        arrived.firstTokenDeadline = m_arrived + m_context->settings->firstPieceTimeout;
        return m_context->router->place(arrived, now);
    }
    const bool refused = m_lastFailure && m_lastFailure->notRun && m_lastFailure->error != RunError::EndpointFailed;
    if (refused)
        return m_context->router->replace(PlacementRefused { m_id, Duration::zero(), 0 }, now);
    return m_context->router->replace(PlacementFailed { m_id }, now);
}

Result<EntryRequest::Target, RunFailed> EntryRequest::chooseEngine()
{
    const auto placement = place();
    m_placed = placement.has_value();
    if (!placement)
        return failure(RunFailed { toRunError(placement.error().reason), true, "no engine can answer in time" });
    auto target = targetAt(placement->endpoint);
    if (!target)
        return target;
    target->incarnation = placement->incarnation;
    target->waitLimit = placement->acceptBefore - MonotonicClock::now();
    return target;
}

Result<EntryRequest::Target, RunFailed> EntryRequest::chooseServiceEndpoint()
{
    if (m_serviceEndpoints.empty())
        return failure(RunFailed { RunError::NoEndpoint, true, "no endpoint offers the service now" });
    const auto endpoint = m_serviceEndpoints.front();
    m_serviceEndpoints.erase(m_serviceEndpoints.begin());
    return targetAt(endpoint);
}

Result<EntryRequest::Target, RunFailed> EntryRequest::targetAt(const EndpointId& endpoint) const
{
    const auto* entry = m_context->directory->find(endpoint);
    if (!entry || !entry->place)
        return failure(RunFailed { RunError::NoEndpoint, true, "the endpoint's host is not known" });
    return Target { endpoint, entry->place->link, Incarnation(), Duration::zero() };
}

RunOrder EntryRequest::makeRunOrder(const OpenAttempt& action, const Target& target) const
{
    RunOrder order;
    order.id = { m_context->incarnation, m_id };
    order.kind = m_kind;
    order.workspace = m_workspace;
    if (const auto* workspace = m_context->config->workspace(m_workspace)) {
        order.weight = workspace->weight;
        order.priority = workspace->priority;
    }
    order.engine = action.engine == Incarnation() ? target.incarnation : action.engine;
    order.resumeFrom = action.resumeFrom;
    order.maxQueueWaitMs = static_cast<std::uint64_t>(std::max<std::int64_t>(0, milliseconds(target.waitLimit)));
    std::string_view body = m_exchange->body();
    if (m_completion) {
        body = m_completion->engineBody;
        order.model = m_completion->model;
        order.weights = m_weights;
        order.cost = m_completion->estimatedTokens();
        for (const auto& block : m_blocks)
            order.prefixBlocks.push_back(block.value());
    } else {
        order.service = m_service;
        order.idempotent = m_idempotent;
        order.method = m_exchange->method();
        order.path = servicePath(m_exchange->target());
        order.contentType = m_exchange->header("Content-Type");
        order.idempotencyKey = m_idempotencyKey;
    }
    order.body.assign(body.begin(), body.end());
    return order;
}

void EntryRequest::handleAttemptEvent(const RelayEvent& event, std::size_t messageBytes)
{
    if (m_ended)
        return;
    if (const auto* message = std::get_if<AttemptMessage>(&event))
        recordMessage(message->message);
    // The poll interval is long in a large fleet, so a failed connection attempt detects a lost agent sooner.
    if (const auto* lost = std::get_if<AttemptConnectionLost>(&event); lost && !lost->sent && m_target)
        m_context->directory->setUnreachable(m_target->endpoint);
    const auto* attempt = m_attempt.get();
    feed(event);
    if (!m_ended && attempt == m_attempt.get())
        returnCredit(messageBytes);
}

void EntryRequest::recordMessage(const RunMessage& message)
{
    if (const auto* accepted = std::get_if<RunAccepted>(&message)) {
        m_hitBlocks = accepted->cachedBlocks;
        m_context->metrics->add(Counter::PrefixBlocksAsked, m_blocks.size());
        m_context->metrics->add(Counter::PrefixBlocksHit, accepted->cachedBlocks);
        m_context->router->handle(FirstPieceSeen { m_id, accepted->cachedBlocks }, MonotonicClock::now());
    }
    if (const auto* failed = std::get_if<RunFailed>(&message))
        m_lastFailure = *failed;
}

void EntryRequest::returnCredit(std::size_t bytes)
{
    m_withheldCredit += bytes;
    if (m_exchange->unsentBytes() > m_context->settings->maxUnsentBytes) {
        if (!std::exchange(m_blocked, true))
            feed(CallerWriteBlocked {});
        return;
    }
    if (m_attempt)
        m_attempt->consume(std::exchange(m_withheldCredit, 0));
}

void EntryRequest::callerDrained()
{
    if (!m_blocked || m_ended || m_exchange->unsentBytes() > m_context->settings->maxUnsentBytes / 2)
        return;
    m_blocked = false;
    feed(CallerWritable {});
    returnCredit(0);
}

void EntryRequest::releaseAttempt()
{
    // Defers the destruction, because the attempt may be on the call stack.
    if (m_attempt)
        post([attempt = std::shared_ptr<RunAttempt>(std::move(m_attempt))] {});
}

void EntryRequest::terminateForKey()
{
    if (m_ended)
        return;
    if (m_relay)
        feed(KeyWithdrawn {});
    else
        refuse({ RunError::KeyRefused, true, "the key was withdrawn" });
}

void EntryRequest::refuse(const RunFailed& failure, std::optional<MonotonicTime> retryAt)
{
    if (retryAt) {
        const auto wait = std::chrono::ceil<std::chrono::seconds>(*retryAt - MonotonicClock::now());
        m_exchange->setHeader("Retry-After", std::to_string(std::max<std::int64_t>(1, wait.count())));
    }
    m_exchange->answer(httpStatus(failure.error), std::string(kJson), errorBody(failure));
    m_context->metrics->add(failure.notRun ? Counter::RequestsRefused : Counter::RequestsFailed);
    logEvent(LogEvent::RequestRefused, {
                                           { "request", m_id.value() },
                                           { "workspace", m_workspace.value() },
                                           { "error", runErrorName(failure.error) },
                                           { "not_run", failure.notRun ? "true" : "unknown" },
                                           { "detail", failure.detail },
                                       });
    end(runErrorName(failure.error));
}

void EntryRequest::end(std::string_view outcome)
{
    if (std::exchange(m_ended, true))
        return;
    m_timer.clear();
    releaseAttempt();
    m_context->keyedStreams->end(m_id);
    const auto now = MonotonicClock::now();
    if (m_placed)
        m_context->router->handle(RequestFinished { m_id }, now);
    if (m_reserved) {
        const auto generated = m_relay ? m_relay->forwardedPieces() : 0;
        const auto prompt = m_completion ? m_completion->estimatedTokens() - m_completion->maxTokens : 0;
        m_context->budget->settle(m_id, m_workspace, m_relay ? prompt + generated : 0);
    }
    m_context->metrics->observe(Latency::RequestDuration, now - m_arrived);
    logEvent(LogEvent::RequestFinished, {
                                            { "request", m_id.value() },
                                            { "workspace", m_workspace.value() },
                                            { "endpoint", m_target ? m_target->endpoint.value() : "" },
                                            { "outcome", outcome },
                                            { "pieces", m_relay ? m_relay->forwardedPieces() : 0 },
                                            { "blocks", m_blocks.size() },
                                            { "hit_blocks", m_hitBlocks },
                                            { "duration_ms", milliseconds(now - m_arrived) },
                                        });
    m_onFinished();
}

nlohmann::json EntryRequest::dump() const
{
    return {
        { "request", m_id.value() },
        { "workspace", m_workspace.value() },
        { "endpoint", m_target ? m_target->endpoint.value() : "" },
        { "pieces", m_relay ? m_relay->forwardedPieces() : 0 },
        { "unsent_bytes", m_exchange->unsentBytes() },
        { "blocked", m_blocked },
        { "age_ms", milliseconds(MonotonicClock::now() - m_arrived) },
    };
}

} // namespace hornbeamgate
