#include "hornbeamgate/membership/member.hpp"

#include <tuple>

namespace hornbeamgate {

std::string_view toString(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Dead:
        return "dead";
    }
    return "unknown";
}

bool supersedes(const MemberStatus& a, const MemberStatus& b)
{
    return std::tie(a.incarnation, a.revision, a.state, a.loadRevision)
        > std::tie(b.incarnation, b.revision, b.state, b.loadRevision);
}

} // namespace hornbeamgate
