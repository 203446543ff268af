#include "hornbeamgate/runtime/platform_log_client.hpp"

#include "hornbeamgate/base/json_document.hpp"
#include "hornbeamgate/event_log/store_era.hpp"
#include "hornbeamgate/observability/log.hpp"

#include <nlohmann/json.hpp>

#include <glib.h>

#include <optional>

namespace hornbeamgate {

using nlohmann::json;

namespace {

    constexpr std::uint16_t kOk = 200;
    constexpr std::uint16_t kGone = 410;
    constexpr std::uint16_t kTooManyRequests = 429;
    constexpr std::uint16_t kUnavailable = 503;
    constexpr std::size_t kMaxRecordsPerRead = 1000;
    constexpr std::chrono::milliseconds kAppendTimeout { 2000 };

    std::optional<Bytes> fromBase64(const std::string& text)
    {
        gsize size = 0;
        const std::unique_ptr<guchar, decltype(&g_free)> decoded(g_base64_decode(text.c_str(), &size), &g_free);
        const std::unique_ptr<char, decltype(&g_free)> encoded(g_base64_encode(decoded.get(), size), &g_free);
        // GLib skips what is no base64, so only text that encodes back is taken.
        if (text != encoded.get())
            return std::nullopt;
        return Bytes(decoded.get(), decoded.get() + size);
    }

    /// Era that an answer states; the first one for a log that does not count its returns.
    StoreEra eraIn(const json& answer)
    {
        const auto found = answer.is_object() ? answer.find("era") : answer.end();
        return found != answer.end() && found->is_number_unsigned() ? storeEra(found->get<std::uint64_t>()) : StoreEra();
    }

    /// The member `key` of `object` as a position in `era`; nothing when it is missing, negative or no whole number.
    std::optional<LogOffset> positionAt(const json& object, const char* key, StoreEra era)
    {
        const auto found = object.is_object() ? object.find(key) : object.end();
        if (found == object.end() || !found->is_number_unsigned())
            return std::nullopt;
        return positionInEra(era, found->get<std::uint64_t>());
    }

    std::optional<LogRecord> parseRecord(const json& item, StoreEra era)
    {
        const auto offset = positionAt(item, "offset", era);
        if (!offset || !item.contains("data") || !item["data"].is_string())
            return std::nullopt;
        auto data = fromBase64(item["data"].get<std::string>());
        if (!data)
            return std::nullopt;
        return LogRecord { *offset, std::move(*data) };
    }

    std::optional<LogRecordsRead> parseRecords(const json& answer, StoreEra era)
    {
        const auto next = positionAt(answer, "next", era);
        if (!next || !answer.contains("records") || !answer["records"].is_array())
            return std::nullopt;
        LogRecordsRead read;
        read.next = *next;
        for (const auto& item : answer["records"]) {
            auto record = parseRecord(item, era);
            if (!record)
                return std::nullopt;
            read.records.push_back(std::move(*record));
        }
        return read;
    }

    std::optional<LogOffset> parseOffset(const std::string& body, const char* key)
    {
        const auto answer = parseJson(body);
        return answer ? positionAt(*answer, key, eraIn(*answer)) : std::nullopt;
    }

    std::string streamTarget(const std::string& stream)
    {
        return "/streams/" + stream + "/records";
    }

} // namespace

LogReadEvent parseLogRead(LogOffset from, const Result<HttpResponse, HttpError>& answer)
{
    if (!answer || (answer->status != kOk && answer->status != kGone))
        return LogUnreachable {};
    const auto body = parseJson(answer->body);
    if (!body)
        return LogUnreachable {};
    const auto era = eraIn(*body);
    if (era < eraOf(from))
        return LogUnreachable {};
    if (era > eraOf(from))
        return LogRestarted { positionInEra(era, 0) };
    if (answer->status == kGone) {
        const auto first = positionAt(*body, "first", era);
        return first ? LogReadEvent(LogTrimmed { *first }) : LogReadEvent(LogUnreachable {});
    }
    auto records = parseRecords(*body, era);
    return records ? LogReadEvent(std::move(*records)) : LogReadEvent(LogUnreachable {});
}

AppendEvent parseAppend(AppendTicket ticket, const Result<HttpResponse, HttpError>& answer)
{
    if (!answer)
        return answer.error().sent() ? AppendEvent(AppendOutcomeUnknown { ticket }) : AppendEvent(AppendRefused { ticket });
    if (answer->status == kTooManyRequests || answer->status == kUnavailable)
        return AppendRefused { ticket };
    const auto offset = answer->status == kOk ? parseOffset(answer->body, "offset") : std::nullopt;
    return offset ? AppendEvent(AppendSucceeded { ticket, *offset }) : AppendEvent(AppendOutcomeUnknown { ticket });
}

PlatformLogClient::PlatformLogClient(SocketAddress address)
    : m_address(std::move(address))
{
}

void PlatformLogClient::read(const std::string& stream, LogOffset from, Duration wait, Duration timeout, ReadDone done)
{
    const auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    HttpRequest request;
    request.address = m_address;
    request.target = streamTarget(stream) + "?from=" + std::to_string(offsetInEra(from)) + "&max=" + std::to_string(kMaxRecordsPerRead)
        + "&wait_ms=" + std::to_string(waitMs);
    m_requester.send(request, MonotonicClock::now() + wait + timeout,
        [stream, from, done = std::move(done)](const Result<HttpResponse, HttpError>& answer) {
            auto event = parseLogRead(from, answer);
            const auto* restarted = std::get_if<LogRestarted>(&event);
            // A reader that has just started begins in whichever era the log is.
            if (restarted && from > LogOffset(0))
                logEvent(LogEvent::StoreRestored, { { "topic", stream }, { "era", eraOf(restarted->first).value() }, { "before", eraOf(from).value() } });
            done(std::move(event));
        });
}

void PlatformLogClient::append(const AppendRecord& record, AppendDone done)
{
    HttpRequest request;
    request.method = "POST";
    request.address = m_address;
    request.target = streamTarget(record.stream);
    request.contentType = "application/octet-stream";
    request.body.assign(record.data.begin(), record.data.end());
    m_requester.send(request, MonotonicClock::now() + kAppendTimeout,
        [ticket = record.ticket, done = std::move(done)](const Result<HttpResponse, HttpError>& answer) { done(parseAppend(ticket, answer)); });
}

} // namespace hornbeamgate
