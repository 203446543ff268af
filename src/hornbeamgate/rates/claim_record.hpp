#pragma once

#include "hornbeamgate/base/bytes.hpp"
#include "hornbeamgate/base/cbor.hpp"
#include "hornbeamgate/rates/share_layout.hpp"

#include <string>
#include <vector>

namespace hornbeamgate {

/// Name of the log stream to which claims are appended.
inline constexpr std::string_view kClaimStream = "rates";

/// Identifies a process that claims shards. Only one live process can listen on `address`.
struct ClaimHolderId {
    HostId host;
    std::string address; ///< IP address and port on which the process listens
    Incarnation incarnation;

    bool operator==(const ClaimHolderId&) const = default;
};

/// State of an account in a released shard, from which the next holder continues.
struct ReleasedAccount {
    WorkspaceId workspace;
    std::uint32_t share = 0;
    Amounts level;
    Amounts lent;

    bool operator==(const ReleasedAccount&) const = default;
};

enum class ClaimKind : std::uint8_t { Hold,
    Release };

/// Log record with which a process claims, renews or releases shards of its region.
///
/// The record is valid for a shard only if no other record from `readTo` up to the record itself names that shard. Every
/// reader that has read these offsets reaches the same result, regardless of where it started to read.
struct ClaimRecord {
    ClaimHolderId holder;
    std::uint64_t sequence = 0; ///< number of the append within the process
    RegionId region;
    ClaimKind kind = ClaimKind::Hold;
    LogOffset readTo; ///< offset after the last record that the appender had read
    std::chrono::seconds lifetime {}; ///< measured by the holder from before the append
    std::vector<std::uint32_t> shards;
    std::vector<ReleasedAccount> accounts; ///< set for a release

    bool operator==(const ClaimRecord&) const = default;
};

Bytes encodeClaimRecord(const ClaimRecord& record);

Result<ClaimRecord, CodecError> decodeClaimRecord(BytesView bytes);

} // namespace hornbeamgate
