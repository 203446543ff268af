#include "hornbeamgate/base/cbor.hpp"

#include "hornbeamgate/base/internal/document_bounds.hpp"

namespace hornbeamgate {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t kMaxDepth = 32; // nested arrays and maps; the parser recurses once for each

} // namespace

Bytes toCbor(const nlohmann::json& value)
{
    return nlohmann::json::to_cbor(value);
}

Result<nlohmann::json, CodecError> fromCbor(BytesView bytes)
{
    constexpr bool kStrict = true;
    constexpr bool kAllowExceptions = false;
    internal::DocumentBounds bounds(bytes.size(), kMaxDepth);
    if (!Json::sax_parse(bytes.begin(), bytes.end(), &bounds, Json::input_format_t::cbor, kStrict))
        return failure(CodecError { bounds.fault() });
    auto value = Json::from_cbor(bytes.begin(), bytes.end(), kStrict, kAllowExceptions);
    if (value.is_discarded())
        return failure(CodecError { "not a single well-formed CBOR item" });
    return value;
}

} // namespace hornbeamgate
