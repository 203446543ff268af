#include "hornbeamgate/membership/topology.hpp"

#include "hornbeamgate/base/hash.hpp"

#include <algorithm>

namespace hornbeamgate {

namespace {

    enum class Direction : std::uint8_t {
        Forward,
        Backward,
    };

    bool isActiveMember(const Member& member, const DataCenterId& dataCenter)
    {
        return member.status.state != MemberState::Dead && member.identity.dataCenter == dataCenter;
    }

    std::vector<HostId> ringNeighbors(const MemberTable& members, const DataCenterId& dataCenter, const HostId& host,
        unsigned rings, Direction direction)
    {
        std::vector<HostId> neighbors;
        for (unsigned ring = 0; ring < rings; ++ring) {
            const auto own = stableHash(host.value(), ring);
            const Member* nearest = nullptr;
            std::uint64_t nearestDistance = 0;
            members.forEach([&](const Member& member) {
                if (!isActiveMember(member, dataCenter) || member.host == host)
                    return;
                const auto other = stableHash(member.host.value(), ring);
                // Unsigned subtraction wraps around the ring.
                const auto distance = direction == Direction::Forward ? other - own : own - other;
                if (nearest != nullptr && distance >= nearestDistance)
                    return;
                nearest = &member;
                nearestDistance = distance;
            });
            if (nearest != nullptr && std::find(neighbors.begin(), neighbors.end(), nearest->host) == neighbors.end())
                neighbors.push_back(nearest->host);
        }
        return neighbors;
    }

} // namespace

std::vector<HostId> ringSuccessors(
    const MemberTable& members, const DataCenterId& dataCenter, const HostId& host, unsigned rings)
{
    return ringNeighbors(members, dataCenter, host, rings, Direction::Forward);
}

std::vector<HostId> ringPredecessors(
    const MemberTable& members, const DataCenterId& dataCenter, const HostId& host, unsigned rings)
{
    return ringNeighbors(members, dataCenter, host, rings, Direction::Backward);
}

std::vector<HostId> bridgeMembers(
    const MemberTable& members, const DataCenterId& dataCenter, const DataCenterId& other, std::size_t count)
{
    struct Candidate {
        std::uint64_t score;
        HostId host;
    };
    std::vector<Candidate> candidates;
    const auto key = stableHash(other.value());
    members.forEach([&](const Member& member) {
        if (isActiveMember(member, dataCenter))
            candidates.push_back({ rendezvousScore(member.host.value(), key), member.host });
    });
    const auto kept = std::min(count, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(kept), candidates.end(),
        [](const Candidate& a, const Candidate& b) { return a.score > b.score; });
    std::vector<HostId> hosts;
    for (std::size_t i = 0; i < kept; ++i)
        hosts.push_back(candidates[i].host);
    return hosts;
}

} // namespace hornbeamgate
