#pragma once

#include "hornbeamgate/config/rule_fault.hpp"
#include "hornbeamgate/config/rule_set.hpp"

#include <vector>

namespace hornbeamgate::internal {

/// Position of a rule in the file.
struct RulePosition {
    std::size_t line = 0;
    std::size_t column = 0;
};

/// Positions of the rule names, in the same order as the corresponding lists of a RuleSet.
struct RulePositions {
    std::vector<RulePosition> workspaces;
    std::vector<RulePosition> keys;
    std::vector<RulePosition> models;
    std::vector<RulePosition> engines;
    std::vector<RulePosition> services;
    std::vector<RulePosition> serviceEndpoints;
    std::vector<RulePosition> openRoutes;
};

/// Finds duplicate definitions and references to undefined names.
std::vector<RuleFault> findReferenceFaults(const RuleSet& rules, const RulePositions& positions);

} // namespace hornbeamgate::internal
