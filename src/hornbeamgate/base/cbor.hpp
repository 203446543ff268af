#pragma once

#include "hornbeamgate/base/bytes.hpp"
#include "hornbeamgate/base/result.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace hornbeamgate {

/// Reason why octets could not be decoded into a message.
struct CodecError {
    std::string detail;
};

/// Encodes `value` as CBOR (RFC 8949). Message codecs use arrays in place of maps to stay small.
Bytes toCbor(const nlohmann::json& value);

/// Decodes one CBOR item that must fill `bytes` entirely. Items that nest deeper than 32 levels, or that would take more than
/// 8 MiB and eight times their octets as a document, are rejected before the document is built.
Result<nlohmann::json, CodecError> fromCbor(BytesView bytes);

} // namespace hornbeamgate
