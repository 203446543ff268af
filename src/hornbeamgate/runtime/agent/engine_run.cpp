#include "hornbeamgate/runtime/agent/engine_run.hpp"

#include "hornbeamgate/runtime/http/http_fetch.hpp"

#include <array>
#include <charconv>

namespace hornbeamgate {

namespace {

    constexpr std::uint16_t kOk = 200;
    constexpr std::size_t kMaxCancelAnswerBytes = 4096;
    constexpr std::chrono::seconds kCancelTimeout { 5 };
    constexpr std::chrono::minutes kFirstEventTimeout { 2 };
    constexpr std::size_t kBlockDigits = 16;

    std::string formatBlock(std::uint64_t block)
    {
        std::array<char, kBlockDigits> digits;
        const auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), block, 16);
        std::string name(digits.data(), end);
        return std::string(kBlockDigits - name.size(), '0') + name;
    }

    std::string formatBlockList(const std::vector<std::uint64_t>& blocks)
    {
        std::string list;
        for (const auto block : blocks)
            list += (list.empty() ? "" : ",") + formatBlock(block);
        return list;
    }

    EngineStreamOptions streamOptions(const AgentContext& context, const RunOrder& order, Incarnation engine)
    {
        EngineStreamOptions options;
        options.resumeFrom = order.resumeFrom;
        options.weights = order.weights;
        options.engine = engine;
        options.firstEventTimeout = kFirstEventTimeout;
        options.eventTimeout = context.settings->pieceTimeout;
        return options;
    }

    std::string runPath(const RunId& run)
    {
        return "/runs/" + run.text();
    }

} // namespace

EngineRun::EngineRun(const AgentContext& context, const RunOrder& order, Incarnation engine, RunSink& sink)
    : m_context(&context)
    , m_order(&order)
    , m_sink(&sink)
    , m_stream(streamOptions(context, order, engine))
    , m_timer([this] { feed(EngineTimerExpired {}); })
{
}

void EngineRun::start()
{
    perform(m_stream.start(MonotonicClock::now()));
}

void EngineRun::cancel()
{
    feed(RunCancelled {});
}

void EngineRun::pauseReading()
{
    if (std::exchange(m_paused, true))
        return;
    if (m_call)
        m_call->pause();
    feed(ReadingPaused {});
}

void EngineRun::resumeReading()
{
    if (!std::exchange(m_paused, false))
        return;
    if (m_call)
        m_call->resume();
    feed(ReadingResumed {});
}

void EngineRun::feed(const EngineStreamEvent& event)
{
    perform(m_stream.handle(event, MonotonicClock::now()));
}

void EngineRun::perform(const std::vector<EngineStreamAction>& actions)
{
    // Sending the final message may destroy this object.
    const auto alive = m_liveness.watch();
    if (m_stream.isFinished())
        m_call.reset();
    if (const auto deadline = m_stream.nextDeadline())
        m_timer.set(*deadline);
    else
        m_timer.clear();
    for (const auto& action : actions) {
        std::visit([this](const auto& alternative) { perform(alternative); }, action);
        if (alive.expired())
            return;
    }
}

void EngineRun::perform(const StartRun& action)
{
    HttpRequest request;
    request.method = "POST";
    request.target = m_order->kind == RunKind::ChatCompletion ? "/v1/chat/completions" : "/v1/completions";
    request.contentType = "application/json";
    request.body.assign(m_order->body.begin(), m_order->body.end());
    request.headers = {
        { "X-Request-Id", m_order->id.text() },
        { "X-Priority", std::to_string(m_order->priority) },
        { "X-Prefix-Blocks", formatBlockList(m_order->prefixBlocks) },
    };
    call(action.call, request);
}

void EngineRun::perform(const ResumeRun& action)
{
    HttpRequest request;
    request.target = runPath(m_order->id) + "/stream?from=" + std::to_string(action.from);
    // The previous connection failed or timed out, so a pooled connection must not be reused.
    request.newConnection = true;
    m_context->metrics->add(Counter::RunsResumed);
    call(action.call, request);
}

void EngineRun::perform(const CancelRun&)
{
    m_context->metrics->add(Counter::RunsCancelled);
    cancelAtEngine(*m_context, m_order->id);
}

void EngineRun::perform(const SendRunMessage& action)
{
    m_sink->sendMessage(action.message);
}

void EngineRun::call(EngineCallNumber number, const HttpRequest& request)
{
    m_callNumber = number;
    m_reader = SseParser();
    m_streaming = false;
    auto addressed = request;
    addressed.address = m_context->settings->endpointAddress;
    m_call = m_context->client->start(addressed, *this);
    if (m_paused)
        m_call->pause();
}

void EngineRun::responseStarted(const HttpResponseHead& head)
{
    m_streaming = head.status() == kOk;
    const auto cachedBlocks = static_cast<std::uint32_t>(head.number("X-Cached-Blocks"));
    feed(EngineResponseStarted { m_callNumber, head.status(), cachedBlocks, WeightsVersion(head.number("X-Weights-Version")) });
}

void EngineRun::dataReceived(std::string_view data)
{
    if (!m_streaming)
        return;
    const auto call = m_callNumber;
    const auto alive = m_liveness.watch();
    const auto events = m_reader.feed(data);
    if (!events) {
        feed(EngineCallEnded { call, true });
        return;
    }
    for (const auto& event : *events) {
        feed(EngineEvent { call, event });
        if (alive.expired())
            return;
    }
}

void EngineRun::responseCompleted()
{
    feed(EngineCallEnded { m_callNumber, true });
}

void EngineRun::callFailed(const HttpError& error)
{
    feed(EngineCallEnded { m_callNumber, error.sent() });
}

void cancelAtEngine(const AgentContext& context, const RunId& run)
{
    HttpRequest request;
    request.method = "DELETE";
    request.address = context.settings->endpointAddress;
    request.target = runPath(run);
    // Fire and forget: the callback owns the fetch, which keeps it alive until the response arrives.
    auto holder = std::make_shared<std::unique_ptr<HttpFetch>>();
    *holder = HttpFetch::start(*context.client, request, kMaxCancelAnswerBytes, MonotonicClock::now() + kCancelTimeout,
        [holder](const Result<HttpResponse, HttpError>&) { post([holder] { holder->reset(); }); });
}

} // namespace hornbeamgate
