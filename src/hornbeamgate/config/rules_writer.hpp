#pragma once

#include "hornbeamgate/config/rule_set.hpp"

#include <string>
#include <string_view>

namespace hornbeamgate {

/// Canonical text of one rule without its comment. All fields are written in a fixed order.
std::string formatRule(const WorkspaceRule&);
std::string formatRule(const KeyRule&);
std::string formatRule(const ModelRule&);
std::string formatRule(const EngineRule&);
std::string formatRule(const ServiceRule&);
std::string formatRule(const ServiceEndpointRule&);
std::string formatRule(const OpenRouteRule&);

/// Canonical line of a rule: its text and the comment that names who requested it, without a line terminator.
template <typename Rule>
std::string formatRuleLine(const Rule& rule, std::string_view comment)
{
    return formatRule(rule).append("  # ").append(comment);
}

/// Canonical text of a rule set. `comment` is appended to every line.
std::string writeRules(const RuleSet& rules, std::string_view comment);

} // namespace hornbeamgate
