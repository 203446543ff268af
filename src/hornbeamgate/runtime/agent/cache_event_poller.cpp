#include "hornbeamgate/runtime/agent/cache_event_poller.hpp"

#include "hornbeamgate/base/json_document.hpp"
#include "hornbeamgate/observability/log.hpp"

#include <nlohmann/json.hpp>

#include <charconv>

namespace hornbeamgate {

using nlohmann::json;

namespace {

    constexpr std::chrono::milliseconds kInterval { 200 };
    constexpr std::chrono::milliseconds kAnswerTimeout { 1000 };
    constexpr std::size_t kMaxAnswerBytes = std::size_t { 16 } * 1024 * 1024;
    constexpr std::uint16_t kOk = 200;
    constexpr int kHexadecimal = 16;

    Result<BlockHash, std::string> parseBlock(const std::string& text)
    {
        std::uint64_t block = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), block, kHexadecimal);
        if (error != std::errc() || end != text.data() + text.size())
            return failure("not a block: " + text);
        return BlockHash(block);
    }

    Result<CacheEvent, std::string> parseEvent(const json& item)
    {
        const auto kind = item.at("kind").get<std::string>();
        if (kind != "stored" && kind != "evicted")
            return failure("not a kind of event: " + kind);
        const auto block = parseBlock(item.at("block").get<std::string>());
        if (!block)
            return failure(block.error());
        return CacheEvent { item.at("seq").get<std::uint64_t>(), kind == "stored" ? CacheChange::Stored : CacheChange::Evicted, *block };
    }

} // namespace

Result<CacheEventsRead, std::string> parseCacheEvents(const std::string& body)
{
    const auto answer = parseJson(body);
    if (!answer)
        return failure(answer.error().detail);
    CacheEventsRead read;
    try {
        read.incarnation = Incarnation(answer->at("incarnation").get<std::uint64_t>());
        read.next = answer->at("next").get<std::uint64_t>();
        for (const auto& item : answer->at("events")) {
            const auto event = parseEvent(item);
            if (!event)
                return failure(event.error());
            read.events.push_back(*event);
        }
    } catch (const json::exception& error) {
        return failure(std::string(error.what()));
    }
    return read;
}

CacheEventPoller::CacheEventPoller(HttpClient& client, const SocketAddress& engine, EngineIndex& index)
    : m_client(&client)
    , m_engine(engine)
    , m_index(&index)
    , m_timer([this] { read(); })
{
}

void CacheEventPoller::start()
{
    read();
}

void CacheEventPoller::read()
{
    HttpRequest request;
    request.address = m_engine;
    request.target = "/cache/events?from=" + std::to_string(m_index->readFrom());
    m_fetch = HttpFetch::start(*m_client, request, kMaxAnswerBytes, MonotonicClock::now() + kAnswerTimeout,
        [this](const Result<HttpResponse, HttpError>& answer) { handleAnswer(answer); });
}

void CacheEventPoller::handleAnswer(const Result<HttpResponse, HttpError>& answer)
{
    m_timer.set(MonotonicClock::now() + kInterval);
    if (!answer || answer->status != kOk)
        return;
    const auto events = parseCacheEvents(answer->body);
    if (events)
        m_index->handle(*events);
    else
        logEvent(LogEvent::CacheResynced, { { "detail", events.error() } });
}

} // namespace hornbeamgate
