#pragma once

#include "hornbeamgate/base/ids.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace hornbeamgate {

enum class MemberRole : std::uint8_t {
    Entry,
    Agent,
};

/// Ordered by precedence: at equal incarnation and revision a later enumerator supersedes an earlier one.
enum class MemberState : std::uint8_t {
    Alive,
    Leaving, ///< completes its current work and accepts no new work
    Suspect, ///< did not answer probes; declared dead after a timeout unless it refutes the suspicion
    Dead,
};

std::string_view toString(MemberState state);

/// Attributes of a member that are constant during one incarnation.
struct MemberIdentity {
    std::string address; ///< "ip:port"
    MemberRole role = MemberRole::Entry;
    DataCenterId dataCenter;
    EndpointId endpoint; ///< empty for entry daemons

    bool operator==(const MemberIdentity&) const = default;
};

/// Mutable state of a member. Only the member itself increments `revision`; other members may report it as suspect or
/// dead at an existing revision.
struct MemberStatus {
    Incarnation incarnation;
    std::uint64_t revision = 0;
    MemberState state = MemberState::Alive;
    std::uint64_t loadRevision = 0; ///< incremented by the member each time it announces its load
    std::uint8_t load = 0; ///< in units of 1/255 of the endpoint's capacity

    bool operator==(const MemberStatus&) const = default;
};

/// A process that takes part in the membership protocol.
struct Member {
    HostId host;
    MemberIdentity identity;
    MemberStatus status;

    bool operator==(const Member&) const = default;
};

/// Whether `a` replaces `b`. Compares incarnation, revision, state and load revision, in this order; the higher value
/// wins.
bool supersedes(const MemberStatus& a, const MemberStatus& b);

} // namespace hornbeamgate
