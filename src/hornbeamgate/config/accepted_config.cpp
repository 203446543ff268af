#include "hornbeamgate/config/accepted_config.hpp"

#include <algorithm>

namespace hornbeamgate {

std::optional<ProposalOutcome> findProposalOutcome(const AcceptedConfig& config, const ProposalId& id, ConfigVersion base)
{
    if (config.version <= base)
        return std::nullopt;
    const auto accepted = std::find_if(config.recent.begin(), config.recent.end(), [&](const auto& change) { return change.id == id; });
    if (accepted != config.recent.end())
        return ProposalAccepted { accepted->version };
    const auto winner = std::find_if(config.recent.begin(), config.recent.end(), [&](const auto& change) { return change.version == base.next(); });
    if (winner != config.recent.end())
        return ProposalRejected { *winner };
    return ProposalOutcomeUnknown {};
}

} // namespace hornbeamgate
