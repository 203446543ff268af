#include "hornbeamgate/streams/endpoint_status.hpp"

#include <nlohmann/json.hpp>

namespace hornbeamgate {

using nlohmann::json;

namespace {

    constexpr std::size_t kFieldCount = 7;

    EndpointStatus fromFields(const json& fields)
    {
        EndpointStatus status;
        status.endpoint = EndpointId(fields.at(0).get<std::string>());
        status.service = ServiceId(fields.at(1).get<std::string>());
        status.incarnation = Incarnation(fields.at(2).get<std::uint64_t>());
        const auto state = fields.at(3).get<std::uint64_t>();
        status.state = state > static_cast<std::uint64_t>(EndpointState::Down) ? EndpointState::Down : static_cast<EndpointState>(state);
        status.running = fields.at(4).get<std::uint32_t>();
        status.queued = fields.at(5).get<std::uint32_t>();
        for (const auto& item : fields.at(6))
            status.models.push_back({ ModelId(item.at(0).get<std::string>()), WeightsVersion(item.at(1).get<std::uint64_t>()) });
        return status;
    }

} // namespace

Bytes encodeEndpointStatus(const EndpointStatus& status)
{
    auto models = json::array();
    for (const auto& loaded : status.models)
        models.push_back(json::array({ loaded.model.value(), loaded.weights.value() }));
    return toCbor(json::array({
        status.endpoint.value(),
        status.service.value(),
        status.incarnation.value(),
        static_cast<std::uint8_t>(status.state),
        status.running,
        status.queued,
        std::move(models),
    }));
}

Result<EndpointStatus, CodecError> decodeEndpointStatus(BytesView bytes)
{
    const auto fields = fromCbor(bytes);
    if (!fields)
        return failure(fields.error());
    if (!fields->is_array() || fields->size() != kFieldCount)
        return failure(CodecError { "endpoint status must be an array of 7 fields" });
    try {
        return fromFields(*fields);
    } catch (const json::exception& error) {
        return failure(CodecError { error.what() });
    }
}

} // namespace hornbeamgate
