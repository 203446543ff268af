#include "platform/platform_server.hpp"

#include "common/main_loop.hpp"

#include <glib.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace hornbeamgate::standins {

namespace {

    constexpr std::size_t kDefaultReadMax = 1000;
    constexpr std::uint64_t kLongestWaitMs = 60000;
    constexpr std::string_view kStreamPrefix = "/streams/";
    constexpr std::string_view kStreamSuffix = "/records";

    std::string toBase64(const std::string& data)
    {
        char* text = g_base64_encode(reinterpret_cast<const guchar*>(data.data()), data.size());
        std::string result = text;
        g_free(text);
        return result;
    }

    /// NAME of `/streams/NAME/records`; empty when the path is another one.
    std::string streamName(const std::string& path)
    {
        const bool fits = path.size() > kStreamPrefix.size() + kStreamSuffix.size()
            && path.ends_with(kStreamSuffix);
        if (!fits)
            return {};
        return path.substr(kStreamPrefix.size(), path.size() - kStreamPrefix.size() - kStreamSuffix.size());
    }

} // namespace

PlatformServer::PlatformServer(const PlatformOptions& options)
    : m_log(options.log)
    , m_hosts(options.hostListLag)
    , m_weightRate(options.weightReadsPerSecond, std::max(1.0, options.weightReadsPerSecond))
    , m_weightReadTime(options.weightReadTime)
    , m_faults({ "log", "hosts", "weights" },
          { FaultKind::Outage, FaultKind::Slow, FaultKind::LoseAnswer, FaultKind::Drop, FaultKind::Silent })
{
}

void PlatformServer::serve(ExchangePtr exchange)
{
    const std::string path = exchange->path();
    if (path == "/faults")
        m_faults.serve(*exchange);
    else if (path.starts_with(kStreamPrefix))
        serveUnderFaults(m_faults, "log", std::move(exchange), [this](ExchangePtr served) { serveLog(std::move(served)); });
    else if (path == "/log/return" && exchange->method() == "POST")
        returnLog(*exchange);
    else if (path == "/hosts")
        serveUnderFaults(m_faults, "hosts", std::move(exchange), [this](const ExchangePtr& served) { serveHosts(*served); });
    else if (path.starts_with("/weights/"))
        serveUnderFaults(m_faults, "weights", std::move(exchange), [this](ExchangePtr served) { serveWeights(std::move(served)); });
    else
        exchange->answerError(404, "not_found", "no such path");
}

void PlatformServer::registerHost(RegisteredHost host)
{
    m_hosts.set(std::move(host), MonotonicClock::now());
}

void PlatformServer::serveLog(ExchangePtr exchange)
{
    const std::string stream = streamName(exchange->path());
    if (stream.empty())
        exchange->answerError(404, "not_found", "expected /streams/NAME/records");
    else if (exchange->method() == "POST")
        append(stream, *exchange);
    else if (exchange->method() == "GET")
        read(stream, std::move(exchange));
    else
        exchange->answerError(405, "method_not_allowed", "use GET or POST");
}

void PlatformServer::append(const std::string& stream, Exchange& exchange)
{
    const auto offset = m_log.append(stream, exchange.body(), MonotonicClock::now());
    if (!offset) {
        exchange.setHeader("Retry-After", "1");
        exchange.answerError(429, "append_rate", "too many appends; nothing was appended");
        return;
    }
    exchange.answer(200, withEra({ { "offset", *offset } }));
    answerWaiters(stream);
}

void PlatformServer::read(const std::string& stream, ExchangePtr exchange)
{
    const std::uint64_t from = exchange->queryNumber("from", 0);
    const std::size_t max = std::max<std::uint64_t>(1, exchange->queryNumber("max", kDefaultReadMax));
    const std::uint64_t waitMs = std::min(kLongestWaitMs, exchange->queryNumber("wait_ms", 0));
    const LogSlice slice = m_log.read(stream, from, 1, MonotonicClock::now());
    if (slice.trimmed || from < slice.next || waitMs == 0) {
        answerRead(stream, from, max, *exchange);
        return;
    }
    wait({ m_nextWaiter++, stream, from, max, std::move(exchange) }, std::chrono::milliseconds(waitMs));
}

void PlatformServer::wait(Waiter waiter, std::chrono::milliseconds limit)
{
    const std::uint64_t id = waiter.id;
    m_waiters.push_back(std::move(waiter));
    runAfter(limit, [this, id] { endWait(id); });
}

void PlatformServer::answerWaiters(const std::string& stream)
{
    std::vector<std::uint64_t> due;
    const MonotonicTime now = MonotonicClock::now();
    for (const Waiter& waiter : m_waiters) {
        if (waiter.stream == stream && m_log.read(stream, waiter.from, 1, now).next > waiter.from)
            due.push_back(waiter.id);
    }
    for (const std::uint64_t id : due)
        endWait(id);
}

void PlatformServer::endWait(std::uint64_t id)
{
    const auto found = std::find_if(m_waiters.begin(), m_waiters.end(), [&](const Waiter& waiter) { return waiter.id == id; });
    if (found == m_waiters.end())
        return;
    answerRead(found->stream, found->from, found->max, *found->exchange);
    m_waiters.erase(found);
}

void PlatformServer::answerRead(const std::string& stream, std::uint64_t from, std::size_t max, Exchange& exchange)
{
    const LogSlice slice = m_log.read(stream, from, max, MonotonicClock::now());
    if (slice.trimmed) {
        exchange.answer(410, withEra({ { "first", slice.first } }));
        return;
    }
    auto records = nlohmann::json::array();
    for (const StoredRecord& record : slice.records)
        records.push_back({ { "offset", record.offset }, { "data", toBase64(record.data) } });
    exchange.answer(200, withEra({ { "first", slice.first }, { "next", slice.next }, { "records", std::move(records) } }));
}

nlohmann::json PlatformServer::withEra(nlohmann::json answer) const
{
    if (m_log.era() > 0)
        answer["era"] = m_log.era();
    return answer;
}

void PlatformServer::returnLog(Exchange& exchange)
{
    m_log.returnFromCopy(exchange.queryNumber("lost", 0));
    while (!m_waiters.empty())
        endWait(m_waiters.front().id);
    exchange.answer(200, { { "era", m_log.era() } });
}

void PlatformServer::serveHosts(Exchange& exchange)
{
    if (exchange.method() == "GET") {
        exchange.answer(200, m_hosts.list(MonotonicClock::now()));
        return;
    }
    auto host = parseHost(nlohmann::json::parse(exchange.body(), nullptr, false));
    if (!host) {
        exchange.answerError(400, "invalid_host", host.error());
        return;
    }
    registerHost(std::move(*host));
    exchange.answer(200, nlohmann::json::object());
}

void PlatformServer::serveWeights(ExchangePtr exchange)
{
    if (!m_weightRate.take(MonotonicClock::now())) {
        exchange->setHeader("Retry-After", "1");
        exchange->answerError(429, "weight_rate", "too many reads");
        return;
    }
    runAfter(m_weightReadTime, [exchange = std::move(exchange)] {
        exchange->answer(200, "application/octet-stream", exchange->path());
    });
}

} // namespace hornbeamgate::standins
