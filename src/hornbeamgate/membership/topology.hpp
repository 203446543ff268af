#pragma once

#include "hornbeamgate/membership/member_table.hpp"

#include <vector>

namespace hornbeamgate {

/// Selection of probe targets and bridge members. The members of a data centre that are not dead form several rings,
/// each ordered by a different hash, and a member probes its successor on each ring. The result depends only on the
/// member table, so that processes with equal tables select the same members.

/// Distinct successors of `host` on the first `rings` rings of its data centre.
std::vector<HostId> ringSuccessors(
    const MemberTable& members, const DataCenterId& dataCenter, const HostId& host, unsigned rings);

/// Members that probe `host`: its distinct predecessors on the rings.
std::vector<HostId> ringPredecessors(
    const MemberTable& members, const DataCenterId& dataCenter, const HostId& host, unsigned rings);

/// Up to `count` members of `dataCenter` that exchange messages with the data centre `other`, in descending order of
/// their rendezvous score.
std::vector<HostId> bridgeMembers(
    const MemberTable& members, const DataCenterId& dataCenter, const DataCenterId& other, std::size_t count);

} // namespace hornbeamgate
