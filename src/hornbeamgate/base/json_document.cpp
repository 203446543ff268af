#include "hornbeamgate/base/json_document.hpp"

#include "hornbeamgate/base/internal/document_bounds.hpp"

namespace hornbeamgate {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t kMaxDepth = 64;

} // namespace

Result<nlohmann::json, CodecError> parseJson(std::string_view text, JsonComments comments)
{
    constexpr bool kStrict = true;
    constexpr bool kAllowExceptions = false;
    const bool ignoresComments = comments == JsonComments::Ignored;
    internal::DocumentBounds bounds(text.size(), kMaxDepth);
    if (!Json::sax_parse(text, &bounds, Json::input_format_t::json, kStrict, ignoresComments))
        return failure(CodecError { bounds.fault() });
    auto value = Json::parse(text, nullptr, kAllowExceptions, ignoresComments);
    if (value.is_discarded())
        return failure(CodecError { "not valid JSON" });
    return value;
}

} // namespace hornbeamgate
