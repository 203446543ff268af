#pragma once

#include "hornbeamgate/base/cbor.hpp"
#include "hornbeamgate/base/time.hpp"
#include "hornbeamgate/gateway/prompt_quarantine.hpp"

namespace hornbeamgate::gateway {

nlohmann::json encodeQuarantine(const QuarantineReport& report);
/// Throws json::exception if `value` is malformed. Ages and times are limited to an hour.
QuarantineReport decodeQuarantine(const nlohmann::json& value);

/// Encodes a report that is kept in the store, for daemons that start later.
Bytes encodeStoredQuarantine(const QuarantineReport& report, WallTime writtenAt);
/// Decodes a stored report and adds the time since it was written to its ages. Fails for a report of more than an hour ago,
/// which says nothing any more.
Result<QuarantineReport, CodecError> decodeStoredQuarantine(BytesView encoded, WallTime now);

} // namespace hornbeamgate::gateway
