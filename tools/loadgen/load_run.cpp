#include "load_run.hpp"

#include "hornbeamgate/base/time.hpp"
#include "hornbeamgate/runtime/glib_support.hpp"
#include "stream_check.hpp"

#include <libsoup/soup.h>
#include <nlohmann/json.hpp>

#include <array>
#include <cmath>

namespace hornbeamgate::loadgen {

namespace {

    constexpr std::chrono::milliseconds kTick { 2 };
    constexpr std::size_t kRequestsPerSession = 32;
    constexpr std::size_t kLargestBurst = 8; ///< requests that begin in one tick
    constexpr std::size_t kReadSize = 16384;
    constexpr std::size_t kLongestErrorBody = 65536;

    /// Body of the request, as text.
    std::string requestBody(const LoadOptions& options, const Prompt& prompt)
    {
        const nlohmann::json body {
            { "model", options.model }, { "prompt", prompt.text }, { "max_tokens", options.maxTokens }, { "stream", true }
        };
        return body.dump();
    }

    standins::Answer expectedAnswer(const LoadOptions& options, const Prompt& prompt)
    {
        standins::CompletionRequest request;
        request.model = options.model;
        request.prompt = prompt.text;
        request.maxTokens = options.maxTokens;
        request.stream = true;
        return { request, options.weightsVersion };
    }

} // namespace

struct LoadRun::Impl {
    explicit Impl(LoadOptions loadOptions)
        : options(std::move(loadOptions))
        , prompts(options.prompts, options.seed)
        , tick([this] { begin(); })
    {
    }

    void begin();
    void beginOne();
    void ended();
    bool mayBegin() const { return MonotonicClock::now() < endsAt; }

    LoadOptions options;
    PromptSource prompts;
    LoadReport report;
    std::vector<GObjectPtr<SoupSession>> sessions;
    GMainLoop* loop = nullptr;
    Timer tick;
    MonotonicTime startedAt;
    MonotonicTime endsAt;
    std::uint64_t due = 0;
    std::size_t nextSession = 0;
    std::size_t underWay = 0;
};

/// One request. It owns itself until its answer has ended.
class LoadRun::Call {
public:
    static void start(Impl& run, const Prompt& prompt);

private:
    Call(Impl& run, const Prompt& prompt);

    static void answered(GObject* source, GAsyncResult* result, gpointer data);
    static void received(GObject* source, GAsyncResult* result, gpointer data);

    void read();
    void take(std::string_view bytes);
    void failUnanswered(const char* detail);
    void end();
    void judge();

    Impl& m_run;
    StreamCheck m_check;
    GObjectPtr<SoupMessage> m_message;
    GObjectPtr<GInputStream> m_body;
    std::array<char, kReadSize> m_buffer {};
    std::string m_errorBody;
    MonotonicTime m_lastEventAt;
    bool m_first = true;
};

void LoadRun::Call::start(Impl& run, const Prompt& prompt)
{
    auto* call = new Call(run, prompt);
    SoupSession* session = run.sessions[run.nextSession++ % run.sessions.size()].get();
    soup_session_send_async(session, call->m_message.get(), G_PRIORITY_DEFAULT, nullptr, &Call::answered, call);
}

LoadRun::Call::Call(Impl& run, const Prompt& prompt)
    : m_run(run)
    , m_check(expectedAnswer(run.options, prompt))
    , m_lastEventAt(MonotonicClock::now())
{
    const std::string uri = "http://" + run.options.target + "/v1/completions";
    m_message.reset(soup_message_new("POST", uri.c_str()));
    const std::string body = requestBody(run.options, prompt);
    const GBytesPtr bytes(g_bytes_new(body.data(), body.size()));
    soup_message_set_request_body_from_bytes(m_message.get(), "application/json", bytes.get());
    if (run.options.keys.empty())
        return;
    const std::string key = "Bearer " + run.options.keys[prompt.workspace % run.options.keys.size()];
    soup_message_headers_replace(soup_message_get_request_headers(m_message.get()), "Authorization", key.c_str());
}

void LoadRun::Call::answered(GObject* source, GAsyncResult* result, gpointer data)
{
    auto* call = static_cast<Call*>(data);
    GError* rawError = nullptr;
    call->m_body.reset(soup_session_send_finish(SOUP_SESSION(source), result, &rawError));
    const GErrorPtr error(rawError);
    if (call->m_body)
        call->read();
    else
        call->failUnanswered(error->message);
}

void LoadRun::Call::read()
{
    g_input_stream_read_async(
        m_body.get(), m_buffer.data(), m_buffer.size(), G_PRIORITY_DEFAULT, nullptr, &Call::received, this);
}

void LoadRun::Call::received(GObject* source, GAsyncResult* result, gpointer data)
{
    auto* call = static_cast<Call*>(data);
    GError* rawError = nullptr;
    const gssize size = g_input_stream_read_finish(G_INPUT_STREAM(source), result, &rawError);
    const GErrorPtr error(rawError);
    if (size <= 0) {
        call->end();
        return;
    }
    call->take({ call->m_buffer.data(), static_cast<std::size_t>(size) });
    call->read();
}

void LoadRun::Call::take(std::string_view bytes)
{
    if (soup_message_get_status(m_message.get()) != SOUP_STATUS_OK) {
        if (m_errorBody.size() < kLongestErrorBody)
            m_errorBody += bytes;
        return;
    }
    const std::size_t events = m_check.feed(bytes);
    const MonotonicTime now = MonotonicClock::now();
    for (std::size_t i = 0; i < events; ++i) {
        if (m_first)
            m_run.report.addFirstToken(now - m_lastEventAt);
        else
            m_run.report.addBetweenTokens(now - m_lastEventAt);
        m_first = false;
        m_lastEventAt = now;
    }
}

void LoadRun::Call::failUnanswered(const char* detail)
{
    m_run.report.addUnanswered(detail);
    end();
}

void LoadRun::Call::end()
{
    if (m_body)
        judge();
    Impl& run = m_run;
    delete this;
    run.ended();
}

void LoadRun::Call::judge()
{
    LoadReport& report = m_run.report;
    const auto status = soup_message_get_status(m_message.get());
    if (status != SOUP_STATUS_OK)
        report.addRefused(std::to_string(status) + " " + errorCode(m_errorBody));
    else if (m_check.verdict() == StreamVerdict::Complete)
        report.addComplete();
    else if (m_check.verdict() == StreamVerdict::Failed)
        report.addFailed(m_check.detail());
    else if (m_check.verdict() == StreamVerdict::Wrong)
        report.addWrong(m_check.detail());
    else
        report.addIncomplete();
}

void LoadRun::Impl::beginOne()
{
    ++underWay;
    Call::start(*this, prompts.next());
}

void LoadRun::Impl::begin()
{
    if (!mayBegin()) {
        if (underWay == 0)
            g_main_loop_quit(loop);
        return;
    }
    if (options.requestsPerSecond <= 0) {
        for (std::size_t begun = 0; begun < kLargestBurst && underWay < options.concurrency; ++begun)
            beginOne();
    } else {
        const std::chrono::duration<double> elapsed = MonotonicClock::now() - startedAt;
        const auto dueNow = static_cast<std::uint64_t>(std::floor(elapsed.count() * options.requestsPerSecond));
        for (; due < dueNow; ++due) {
            if (underWay < options.concurrency)
                beginOne();
            else
                report.addSkipped();
        }
    }
    tick.set(MonotonicClock::now() + kTick);
}

void LoadRun::Impl::ended()
{
    --underWay;
    if (!mayBegin() && underWay == 0)
        g_main_loop_quit(loop);
}

LoadRun::LoadRun(LoadOptions options)
    : m_impl(std::make_unique<Impl>(std::move(options)))
{
    const auto timeout = static_cast<guint>(m_impl->options.answerTimeout.count());
    const std::size_t count = m_impl->options.concurrency / kRequestsPerSession + 1;
    // One session works through its whole queue at each event, so many small ones cost less than a large one.
    const auto connections = static_cast<int>(m_impl->options.concurrency / count + 2);
    for (std::size_t i = 0; i < count; ++i) {
        m_impl->sessions.emplace_back(soup_session_new_with_options("max-conns", connections, "max-conns-per-host",
            connections, "proxy-resolver", nullptr, "timeout", timeout, "idle-timeout", timeout, nullptr));
    }
}

LoadRun::~LoadRun() = default;

void LoadRun::run()
{
    m_impl->loop = g_main_loop_new(nullptr, FALSE);
    m_impl->startedAt = MonotonicClock::now();
    m_impl->endsAt = m_impl->startedAt + m_impl->options.length;
    m_impl->tick.set(m_impl->startedAt);
    g_main_loop_run(m_impl->loop);
    g_main_loop_unref(m_impl->loop);
}

const LoadReport& LoadRun::report() const
{
    return m_impl->report;
}

} // namespace hornbeamgate::loadgen
