#pragma once

#include "hornbeamgate/base/cbor.hpp"
#include "hornbeamgate/base/result.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace hornbeamgate {

enum class JsonComments {
    Rejected,
    Ignored, ///< C and C++ comments
};

/// Decodes a JSON text from outside the process.
///
/// A text of a few octets a value takes many times its size as a document: each `[` takes some 75 octets. Texts that nest
/// deeper than 64 levels, or whose document would take more than 8 MiB and eight times the text, are rejected before the
/// document is built. A record of the platform's store, of up to 256 KiB, reaches the second bound only if it consists of
/// nearly empty containers. The size of the text is up to the caller.
Result<nlohmann::json, CodecError> parseJson(std::string_view text, JsonComments comments = JsonComments::Rejected);

} // namespace hornbeamgate
