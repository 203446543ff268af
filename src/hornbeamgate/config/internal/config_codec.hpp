#pragma once

#include "hornbeamgate/config/accepted_config.hpp"
#include "hornbeamgate/config/internal/cbor_reader.hpp"

namespace hornbeamgate::internal {

/// Maximum length of an author name in bytes.
inline constexpr std::size_t kMaxAuthorBytes = 128;
/// Maximum length of a proposal id in bytes.
inline constexpr std::size_t kMaxProposalIdBytes = 64;

nlohmann::json encodeDelta(const RuleDelta& delta);
RuleDelta decodeDelta(CborReader& reader);

nlohmann::json encodeChange(const AcceptedChange& change);
AcceptedChange decodeChange(CborReader& reader);

nlohmann::json encodeConfig(const AcceptedConfig& config);

/// Decodes a configuration and verifies its digest.
AcceptedConfig decodeConfig(CborReader& reader);

} // namespace hornbeamgate::internal
