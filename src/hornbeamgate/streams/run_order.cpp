#include "hornbeamgate/streams/run_order.hpp"

#include <nlohmann/json.hpp>

namespace hornbeamgate {

using nlohmann::json;

namespace {

    constexpr std::size_t kFieldCount = 20;

    RunOrder fromFields(const json& fields)
    {
        std::size_t fieldIndex = 0;
        const auto nextField = [&]() -> const json& { return fields.at(fieldIndex++); };
        const auto nextNumber = [&] { return nextField().get<std::uint64_t>(); };
        const auto nextString = [&] { return nextField().get<std::string>(); };

        RunOrder order;
        order.id.entry = Incarnation(nextNumber());
        order.id.request = RequestId(nextNumber());
        order.kind = static_cast<RunKind>(nextNumber());
        order.workspace = WorkspaceId(nextString());
        order.weight = nextField().get<std::uint32_t>();
        order.priority = nextField().get<std::uint32_t>();
        order.cost = nextNumber();
        order.maxQueueWaitMs = nextNumber();
        order.model = ModelId(nextString());
        order.weights = WeightsVersion(nextNumber());
        order.engine = Incarnation(nextNumber());
        order.prefixBlocks = nextField().get<std::vector<std::uint64_t>>();
        order.resumeFrom = nextNumber();
        order.service = ServiceId(nextString());
        order.idempotent = nextField().get<bool>();
        order.method = nextString();
        order.path = nextString();
        order.contentType = nextString();
        order.idempotencyKey = nextString();
        order.body = nextField().get_binary();
        return order;
    }

} // namespace

std::string RunId::text() const
{
    return std::to_string(entry.value()) + '-' + std::to_string(request.value());
}

Bytes encodeRunOrder(const RunOrder& order)
{
    return toCbor(json::array({
        order.id.entry.value(),
        order.id.request.value(),
        static_cast<std::uint8_t>(order.kind),
        order.workspace.value(),
        order.weight,
        order.priority,
        order.cost,
        order.maxQueueWaitMs,
        order.model.value(),
        order.weights.value(),
        order.engine.value(),
        order.prefixBlocks,
        order.resumeFrom,
        order.service.value(),
        order.idempotent,
        order.method,
        order.path,
        order.contentType,
        order.idempotencyKey,
        json::binary(order.body),
    }));
}

Result<RunOrder, CodecError> decodeRunOrder(BytesView bytes)
{
    const auto fields = fromCbor(bytes);
    if (!fields)
        return failure(fields.error());
    if (!fields->is_array() || fields->size() != kFieldCount)
        return failure(CodecError { "run order must be an array of 20 fields" });
    const auto& kind = fields->at(2);
    if (!kind.is_number_unsigned() || kind.get<std::uint64_t>() > static_cast<std::uint64_t>(RunKind::ServiceCall))
        return failure(CodecError { "run order has an unknown kind" });
    try {
        return fromFields(*fields);
    } catch (const json::exception& error) {
        return failure(CodecError { error.what() });
    }
}

} // namespace hornbeamgate
