#pragma once

#include "hornbeamgate/base/cbor.hpp"
#include "hornbeamgate/membership/member.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace hornbeamgate {

/// Maximum size of a received membership message in bytes.
constexpr std::size_t kMaxMembershipMessageBytes = 8192;

/// Status update about a member. The identity is omitted if the receiver already knows it.
struct MemberUpdate {
    HostId host;
    MemberStatus status;
    std::optional<MemberIdentity> identity;

    bool operator==(const MemberUpdate&) const = default;
};

/// Heartbeat counter of a data centre. Other data centres consider it unreachable when the counter stops increasing.
struct DataCenterHeartbeat {
    DataCenterId dataCenter;
    std::uint64_t heartbeat = 0;

    bool operator==(const DataCenterHeartbeat&) const = default;
};

/// Request or answer between two members on /control/membership.
struct MembershipMessage {
    HostId from;
    Incarnation incarnation; ///< incarnation of the sender
    std::uint64_t stateHash = 0; ///< hash of all members that the sender does not consider dead
    std::uint64_t upToChange = 0; ///< this and earlier messages contain the sender's changes up to this number
    std::uint64_t acknowledged = 0; ///< highest `upToChange` of the receiver that the sender has applied
    Incarnation acknowledgedIncarnation; ///< receiver incarnation that `acknowledged` refers to
    bool joining = false; ///< request: the sender knows no members and requests the whole table
    bool busy = false; ///< answer: the sender cannot serve the join now; retry with another member
    HostId subject; ///< request: target of an indirect probe, or empty
    bool heardRecently = false; ///< answer: the sender was in recent contact with the subject
    std::vector<MemberUpdate> updates;
    std::vector<DataCenterHeartbeat> heartbeats;

    bool operator==(const MembershipMessage&) const = default;
};

Bytes encodeMembershipMessage(const MembershipMessage& message);
Result<MembershipMessage, CodecError> decodeMembershipMessage(BytesView bytes);

/// Upper bound of the encoded size of an update in bytes.
std::size_t encodedSizeBound(const MemberUpdate& update);

} // namespace hornbeamgate
