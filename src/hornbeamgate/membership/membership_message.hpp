#pragma once

#include "hornbeamgate/base/cbor.hpp"
#include "hornbeamgate/membership/member.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace hornbeamgate {

/// Largest membership message in octets that is read.
constexpr std::size_t kMaxMembershipMessageBytes = 8192;

/// News of a member. The identity is left out for a receiver that knows it.
struct MemberUpdate {
    HostId host;
    MemberStatus status;
    std::optional<MemberIdentity> identity;

    bool operator==(const MemberUpdate&) const = default;
};

/// Number that a data centre raises while it runs; others find it unreachable when the number stands still.
struct DataCenterHeartbeat {
    DataCenterId dataCenter;
    std::uint64_t heartbeat = 0;

    bool operator==(const DataCenterHeartbeat&) const = default;
};

/// Request or answer of one exchange between two members on /control/membership.
struct MembershipMessage {
    HostId from;
    Incarnation incarnation; ///< of the sender
    std::uint64_t stateHash = 0; ///< of all members that the sender does not hold for dead
    std::uint64_t upToChange = 0; ///< the sender's changes up to this number are in this or earlier messages
    std::uint64_t acknowledged = 0; ///< highest `through` of the receiver that the sender has applied
    Incarnation acknowledgedIncarnation; ///< of the receiver, which `acknowledged` belongs to
    bool joining = false; ///< the sender knows nobody and asks for all members
    bool busy = false; ///< answer: too many members join here, ask another
    HostId subject; ///< request: was this member heard lately? Empty when nothing is asked
    bool heardRecently = false; ///< answer: the subject was heard lately
    std::vector<MemberUpdate> updates;
    std::vector<DataCenterHeartbeat> heartbeats;

    bool operator==(const MembershipMessage&) const = default;
};

Bytes encodeMembershipMessage(const MembershipMessage& message);
Result<MembershipMessage, CodecError> decodeMembershipMessage(BytesView bytes);

/// Upper bound of the encoded size of an update in octets.
std::size_t encodedSizeBound(const MemberUpdate& update);

} // namespace hornbeamgate
