#include "hornbeamgate/config/config_message.hpp"

#include "hornbeamgate/config/internal/config_codec.hpp"

#include <algorithm>

namespace hornbeamgate {
namespace {

    using namespace internal;
    using std::chrono::milliseconds;

    constexpr std::uint64_t kMessageFormat = 1;
    constexpr std::size_t kMaxSteps = 256;
    constexpr std::size_t kMaxDataCenterBytes = 64;
    constexpr std::uint64_t kMaxAgeMs = 1'000'000'000'000;

    nlohmann::json encodeStep(const AcceptedStep& step)
    {
        return nlohmann::json::array({ encodeChange(step.change), encodeDelta(step.delta), step.digest, step.position.value() });
    }

    AcceptedStep decodeStep(CborReader& reader)
    {
        CborReader fields(reader.array(4));
        AcceptedStep step;
        step.change = decodeChange(fields);
        step.delta = decodeDelta(fields);
        step.digest = fields.number();
        step.position = LogOffset(fields.number());
        if (!fields.isComplete())
            reader.fail();
        return step;
    }

    std::vector<AcceptedStep> decodeSteps(CborReader& reader)
    {
        const auto& items = reader.array(kMaxSteps);
        CborReader fields(items);
        std::vector<AcceptedStep> steps;
        while (fields.ok() && steps.size() < items.size())
            steps.push_back(decodeStep(fields));
        if (!fields.isComplete())
            reader.fail();
        return steps;
    }

    std::optional<Duration> decodeAge(CborReader& reader)
    {
        if (reader.skipNull())
            return std::nullopt;
        const auto age = reader.number();
        if (age > kMaxAgeMs)
            reader.fail();
        return milliseconds(static_cast<std::int64_t>(std::min(age, kMaxAgeMs)));
    }

    nlohmann::json encodeAge(const std::optional<Duration>& age)
    {
        if (!age)
            return nullptr;
        // Round up so that a confirmation never appears more recent than it is.
        const auto rounded = std::chrono::ceil<milliseconds>(std::max(*age, Duration::zero()));
        return static_cast<std::uint64_t>(rounded.count());
    }

} // namespace

Bytes encodeConfigMessage(const ConfigMessage& message)
{
    auto steps = nlohmann::json::array();
    for (const auto& step : message.steps)
        steps.push_back(encodeStep(step));
    const auto& digest = message.digest;
    auto snapshot = message.snapshot ? encodeConfig(*message.snapshot) : nlohmann::json(nullptr);
    return toCbor(nlohmann::json::array({ kMessageFormat, digest.version.value(), digest.digest, digest.dataCenter.value(),
        encodeAge(digest.confirmedAgo), std::move(steps), std::move(snapshot) }));
}

Result<ConfigMessage, CodecError> decodeConfigMessage(BytesView data)
{
    const auto item = fromCbor(data);
    if (!item)
        return failure(item.error());
    CborReader reader(*item);
    if (reader.number() != kMessageFormat)
        reader.fail();
    ConfigMessage message;
    message.digest.version = ConfigVersion(reader.number());
    message.digest.digest = reader.number();
    message.digest.dataCenter = DataCenterId(reader.text(kMaxDataCenterBytes));
    message.digest.confirmedAgo = decodeAge(reader);
    message.steps = decodeSteps(reader);
    if (!reader.skipNull())
        message.snapshot = decodeConfig(reader);
    if (!reader.isComplete())
        return failure(CodecError { "malformed configuration exchange message" });
    return message;
}

} // namespace hornbeamgate
