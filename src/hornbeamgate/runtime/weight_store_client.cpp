#include "hornbeamgate/runtime/weight_store_client.hpp"

#include <glib.h>

#include <charconv>
#include <memory>

namespace hornbeamgate {

namespace {

    constexpr unsigned kStatusOk = 200;
    constexpr unsigned kStatusNotFound = 404;
    constexpr unsigned kStatusTooManyRequests = 429;

    /// Model names come from operators and may hold any character.
    std::string escaped(const std::string& text)
    {
        const std::unique_ptr<char, decltype(&g_free)> result(g_uri_escape_string(text.c_str(), nullptr, FALSE), &g_free);
        return result.get();
    }

    std::optional<MonotonicTime> retryTime(const std::string& retryAfter)
    {
        std::int32_t seconds = 0;
        const auto parsed = std::from_chars(retryAfter.data(), retryAfter.data() + retryAfter.size(), seconds);
        if (parsed.ec != std::errc() || seconds < 0)
            return std::nullopt;
        return MonotonicClock::now() + std::chrono::seconds(seconds);
    }

    Result<void, WeightStoreError> toResult(const Result<HttpResponse, HttpError>& answer)
    {
        if (!answer)
            return failure(WeightStoreError { WeightStoreErrorKind::Unreachable, std::nullopt, answer.error().detail });
        const std::string detail = "answered with status " + std::to_string(answer->status);
        switch (answer->status) {
        case kStatusOk:
            return {};
        case kStatusNotFound:
            return failure(WeightStoreError { WeightStoreErrorKind::Missing, std::nullopt, detail });
        case kStatusTooManyRequests:
            return failure(WeightStoreError { WeightStoreErrorKind::RateLimited, retryTime(answer->retryAfter), detail });
        default:
            return failure(WeightStoreError { WeightStoreErrorKind::Unreachable, std::nullopt, detail });
        }
    }

} // namespace

WeightStoreClient::WeightStoreClient(SocketAddress address)
    : m_address(std::move(address))
{
}

void WeightStoreClient::check(const ModelId& model, WeightsVersion version, MonotonicTime deadline, Reply reply)
{
    const std::string target = "/weights/" + escaped(model.value()) + "/" + std::to_string(version.value());
    m_http.send({ "GET", m_address, target, "", "" }, deadline,
        [reply = std::move(reply)](const Result<HttpResponse, HttpError>& answer) { reply(toResult(answer)); });
}

} // namespace hornbeamgate
