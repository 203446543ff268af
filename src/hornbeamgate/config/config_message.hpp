#pragma once

#include "hornbeamgate/base/bytes.hpp"
#include "hornbeamgate/base/cbor.hpp"
#include "hornbeamgate/base/time.hpp"
#include "hornbeamgate/config/accepted_config.hpp"

#include <optional>
#include <vector>

namespace hornbeamgate {

/// Summary of a daemon's configuration and the age of its last confirmation that no newer version was accepted.
struct ConfigDigest {
    ConfigVersion version;
    std::uint64_t digest = 0;
    DataCenterId dataCenter; ///< data centre of the sender
    std::optional<Duration> confirmedAgo; ///< age when sent, in whole milliseconds; empty if never confirmed

    bool operator==(const ConfigDigest&) const = default;
};

/// Request or response exchanged between two daemons on /control/config. A request carries the sender's digest and,
/// after a change, the new steps. A response carries the changes that the requester is missing, as steps or as a
/// snapshot, if the rate limit allows it.
struct ConfigMessage {
    ConfigDigest digest;
    std::vector<AcceptedStep> steps;
    std::optional<AcceptedConfig> snapshot;

    bool operator==(const ConfigMessage&) const = default;
};

Bytes encodeConfigMessage(const ConfigMessage& message);

/// Decodes a message. Rejects a snapshot whose content does not match its digest.
Result<ConfigMessage, CodecError> decodeConfigMessage(BytesView data);

} // namespace hornbeamgate
