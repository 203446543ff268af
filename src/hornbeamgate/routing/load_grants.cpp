#include "hornbeamgate/routing/load_grants.hpp"

#include "hornbeamgate/event_log/store_era.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hornbeamgate {

namespace {

    constexpr std::size_t kFields = 6;

    std::optional<WeightsLoadStep> stepFrom(const nlohmann::json& value)
    {
        if (!value.is_number_unsigned() || value.get<std::uint64_t>() > static_cast<std::uint64_t>(WeightsLoadStep::Expire))
            return std::nullopt;
        return static_cast<WeightsLoadStep>(value.get<std::uint64_t>());
    }

} // namespace

Bytes encodeWeightsLoadRecord(const WeightsLoadRecord& record)
{
    return toCbor(nlohmann::json::array({ static_cast<std::uint64_t>(record.step), record.endpoint.value(),
        record.model.model.value(), record.model.weights.value(), record.token.value(), static_cast<std::uint64_t>(record.lastStep) }));
}

Result<WeightsLoadRecord, CodecError> decodeWeightsLoadRecord(BytesView bytes)
{
    const auto decoded = fromCbor(bytes);
    if (!decoded)
        return failure(decoded.error());
    const auto& fields = *decoded;
    if (!fields.is_array() || fields.size() != kFields)
        return failure(CodecError { "a load record must have six fields" });
    const auto step = stepFrom(fields[0]);
    const auto lastStep = stepFrom(fields[5]);
    const bool names = fields[1].is_string() && fields[2].is_string();
    const bool numbers = fields[3].is_number_unsigned() && fields[4].is_number_unsigned();
    if (!step || !lastStep || !names || !numbers)
        return failure(CodecError { "a field of a load record has the wrong type" });
    return WeightsLoadRecord { *step, EndpointId(fields[1].get<std::string>()),
        { ModelId(fields[2].get<std::string>()), WeightsVersion(fields[3].get<std::uint64_t>()) },
        FencingToken(fields[4].get<std::uint64_t>()), *lastStep };
}

LoadGrants::LoadGrants(LoadGrantOptions options)
    : m_options(options)
{
}

void LoadGrants::apply(const LogRecord& record, MonotonicTime now)
{
    if (record.offset < m_next)
        return;
    m_next = record.offset.next();
    if (const auto decoded = decodeWeightsLoadRecord(record.data))
        applyStep(*decoded, record.offset, now);
    grantSlots(now);
}

void LoadGrants::skipTo(LogOffset first, MonotonicTime now)
{
    m_next = std::max(m_next, first);
    std::erase_if(m_requests, [&](const auto& entry) { return entry.first < tokenAt(first); });
    grantSlots(now);
}

std::optional<FencingToken> LoadGrants::openRequestOf(const EndpointId& endpoint) const
{
    for (const auto& [token, request] : m_requests)
        if (request.endpoint == endpoint)
            return token;
    return std::nullopt;
}

const WeightsLoadRequest* LoadGrants::find(FencingToken token) const
{
    const auto found = m_requests.find(token);
    return found == m_requests.end() ? nullptr : &found->second;
}

std::size_t LoadGrants::granted() const
{
    return static_cast<std::size_t>(
        std::count_if(m_requests.begin(), m_requests.end(), [](const auto& entry) { return entry.second.granted; }));
}

std::vector<WeightsLoadRecord> LoadGrants::proposeExpiries(MonotonicTime now)
{
    std::vector<WeightsLoadRecord> records;
    for (auto& [token, request] : m_requests) {
        if (!request.granted || request.expiresAt > now)
            continue;
        const auto lastStep = request.started ? WeightsLoadStep::Start : WeightsLoadStep::Request;
        records.push_back({ WeightsLoadStep::Expire, request.endpoint, request.model, token, lastStep });
        request.expiresAt = now + m_options.startTimeout;
    }
    return records;
}

std::optional<MonotonicTime> LoadGrants::nextDeadline() const
{
    std::optional<MonotonicTime> next;
    for (const auto& [token, request] : m_requests)
        if (request.granted && (!next || request.expiresAt < *next))
            next = request.expiresAt;
    return next;
}

void LoadGrants::grantSlots(MonotonicTime now)
{
    std::size_t slots = m_options.slots;
    for (auto& [token, request] : m_requests) {
        if (slots == 0)
            return;
        --slots;
        if (request.granted)
            continue;
        request.granted = true;
        request.expiresAt = now + m_options.startTimeout;
    }
}

void LoadGrants::applyStep(const WeightsLoadRecord& record, LogOffset offset, MonotonicTime now)
{
    if (record.step == WeightsLoadStep::Request) {
        if (eraOf(record.token) == eraOf(offset) && !openRequestOf(record.endpoint))
            m_requests[tokenAt(offset)] = { record.endpoint, record.model, false, false, {} };
        return;
    }
    const auto found = m_requests.find(record.token);
    if (found == m_requests.end() || found->second.endpoint != record.endpoint)
        return;
    auto& request = found->second;
    if (record.step == WeightsLoadStep::Start && request.granted && !request.started) {
        request.started = true;
        request.expiresAt = now + m_options.loadTimeout;
    }
    const bool current = record.lastStep == (request.started ? WeightsLoadStep::Start : WeightsLoadStep::Request);
    if (record.step == WeightsLoadStep::Finish || (record.step == WeightsLoadStep::Expire && current))
        m_requests.erase(found);
}

} // namespace hornbeamgate
