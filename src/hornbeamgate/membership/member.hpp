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

/// In the order in which they replace each other at equal incarnation and revision.
enum class MemberState : std::uint8_t {
    Alive,
    Leaving, ///< finishes its work and takes no new work
    Suspect, ///< did not answer; dead unless it refutes
    Dead,
};

std::string_view toString(MemberState state);

/// What stays the same during one incarnation.
struct MemberIdentity {
    std::string address; ///< "ip:port"
    MemberRole role = MemberRole::Entry;
    DataCenterId dataCenter;
    EndpointId endpoint; ///< empty for entry daemons

    bool operator==(const MemberIdentity&) const = default;
};

/// What changes. Only the member itself raises `revision`; others may report it suspect or dead at a revision.
struct MemberStatus {
    Incarnation incarnation;
    std::uint64_t revision = 0;
    MemberState state = MemberState::Alive;
    std::uint64_t loadRevision = 0; ///< raised by the member with each announcement of its load
    std::uint8_t load = 0; ///< in 1/255 of the endpoint's capacity

    bool operator==(const MemberStatus&) const = default;
};

/// One process of the system.
struct Member {
    HostId host;
    MemberIdentity identity;
    MemberStatus status;

    bool operator==(const Member&) const = default;
};

/// Whether `a` replaces `b`: a later incarnation, then a later revision, then the graver state, then a later load.
bool supersedes(const MemberStatus& a, const MemberStatus& b);

} // namespace hornbeamgate
