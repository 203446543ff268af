#pragma once

#include "hornbeamgate/base/bytes.hpp"
#include "hornbeamgate/base/cbor.hpp"
#include "hornbeamgate/config/accepted_config.hpp"
#include "hornbeamgate/event_log/store_era.hpp"

#include <variant>

namespace hornbeamgate {

/// Name of the log stream that holds the configuration.
inline constexpr std::string_view kConfigStream = "config";

/// Configuration change proposed by an operator. It is accepted if it is the first proposal in log order that is based
/// on the version current at that point.
struct ConfigProposal {
    ProposalId id;
    ConfigVersion base;
    std::string author;
    RuleDelta delta;
    std::uint64_t digest = 0; ///< digest of the document after the change
    StoreEra era {}; ///< of the log when it was proposed

    bool operator==(const ConfigProposal&) const = default;
};

/// Snapshot of the accepted configuration after processing all records before `config.position`. Records from that
/// position on must be replayed on top of it, including those that precede the checkpoint record itself.
struct ConfigCheckpoint {
    AcceptedConfig config;

    bool operator==(const ConfigCheckpoint&) const = default;
};

using ConfigRecord = std::variant<ConfigProposal, ConfigCheckpoint>;

Bytes encodeConfigRecord(const ConfigRecord& record);

/// Decodes a record. Rejects a checkpoint whose content does not match its digest.
Result<ConfigRecord, CodecError> decodeConfigRecord(BytesView data);

} // namespace hornbeamgate
