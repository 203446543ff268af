#include "hornbeamgate/streams/run_message.hpp"

#include <nlohmann/json.hpp>

#include <array>

namespace hornbeamgate {

using nlohmann::json;

namespace {

    constexpr std::array<std::string_view, static_cast<std::size_t>(RunError::ErrorCount)> kErrorNames {
        "bad_request",
        "body_too_large",
        "unknown_route",
        "unknown_model",
        "key_missing",
        "key_refused",
        "keys_unverified",
        "rate_exceeded",
        "rate_unavailable",
        "no_endpoint",
        "queue_full",
        "deadline_unreachable",
        "endpoint_leaving",
        "engine_changed",
        "run_unknown",
        "endpoint_failed",
        "stream_interrupted",
        "outcome_unknown",
        "in_progress",
        "idempotency_key_reused",
        "idempotency_key_too_old",
        "booking_unavailable",
        "not_ready",
        "internal_error",
    };

    /// Type tag, encoded as the first element of each message. Equals the index of the alternative in RunMessage.
    enum class Kind : std::uint8_t { Accepted,
        Piece,
        Completed,
        Response,
        Failed };

    json toFields(const RunAccepted& message)
    {
        return json::array({ Kind::Accepted, message.engine.value(), message.cachedBlocks, message.running, message.queued });
    }

    json toFields(const RunPiece& message)
    {
        const Bytes data(message.data.begin(), message.data.end());
        return json::array({ Kind::Piece, message.index, json::binary(data) });
    }

    json toFields(const RunCompleted& message)
    {
        return json::array({ Kind::Completed, message.count });
    }

    json toFields(const ServiceResponse& message)
    {
        const Bytes body(message.body.begin(), message.body.end());
        return json::array({ Kind::Response, message.status, message.contentType, json::binary(body), message.replayed });
    }

    json toFields(const RunFailed& message)
    {
        return json::array({ Kind::Failed, message.error, message.notRun, message.detail });
    }

    std::string toText(const json& binary)
    {
        const auto& bytes = binary.get_binary();
        return { bytes.begin(), bytes.end() };
    }

    RunMessage decodeAccepted(const json& fields)
    {
        RunAccepted message;
        message.engine = Incarnation(fields.at(1).get<std::uint64_t>());
        message.cachedBlocks = fields.at(2).get<std::uint32_t>();
        message.running = fields.at(3).get<std::uint32_t>();
        message.queued = fields.at(4).get<std::uint32_t>();
        return message;
    }

    RunMessage decodePiece(const json& fields)
    {
        return RunPiece { fields.at(1).get<std::uint64_t>(), toText(fields.at(2)) };
    }

    RunMessage decodeCompleted(const json& fields)
    {
        return RunCompleted { fields.at(1).get<std::uint64_t>() };
    }

    RunMessage decodeServiceResponse(const json& fields)
    {
        ServiceResponse message;
        message.status = fields.at(1).get<std::uint16_t>();
        message.contentType = fields.at(2).get<std::string>();
        message.body = toText(fields.at(3));
        message.replayed = fields.at(4).get<bool>();
        return message;
    }

    RunMessage decodeFailed(const json& fields)
    {
        RunFailed message;
        const auto error = fields.at(1).get<std::uint64_t>();
        const auto known = error < static_cast<std::uint64_t>(RunError::ErrorCount);
        message.error = known ? static_cast<RunError>(error) : RunError::InternalError;
        message.notRun = fields.at(2).get<bool>();
        message.detail = fields.at(3).get<std::string>();
        return message;
    }

    using DecodeFields = RunMessage (*)(const json&);
    constexpr std::array<DecodeFields, 5> kDecoders { decodeAccepted, decodePiece, decodeCompleted, decodeServiceResponse, decodeFailed };

} // namespace

std::string_view runErrorName(RunError error)
{
    return kErrorNames[static_cast<std::size_t>(error)];
}

Bytes encodeRunMessage(const RunMessage& message)
{
    return toCbor(std::visit([](const auto& alternative) { return toFields(alternative); }, message));
}

Result<RunMessage, CodecError> decodeRunMessage(BytesView bytes)
{
    const auto fields = fromCbor(bytes);
    if (!fields)
        return failure(fields.error());
    if (!fields->is_array() || fields->empty() || !fields->front().is_number_unsigned())
        return failure(CodecError { "run message must be an array that starts with its kind" });
    const auto kind = fields->front().get<std::uint64_t>();
    if (kind >= kDecoders.size())
        return failure(CodecError { "run message has an unknown kind" });
    try {
        return kDecoders[kind](*fields);
    } catch (const json::exception& error) {
        return failure(CodecError { error.what() });
    }
}

} // namespace hornbeamgate
