#pragma once

#include "hornbeamgate/base/result.hpp"
#include "hornbeamgate/config/rule_fault.hpp"
#include "hornbeamgate/config/rule_set.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace hornbeamgate {

/// Maximum size of a rules file in bytes.
inline constexpr std::size_t kMaxRulesBytes = std::size_t { 8 } * 1024 * 1024;

/// Maximum number of faults reported for one file.
inline constexpr std::size_t kMaxRuleFaults = 100;

/// Rules of a file and the canonical text of each line, including its comment.
struct ParsedRules {
    RuleSet rules;
    std::vector<std::string> lines; ///< canonical, in the order of the file
};

/// Parses the text of a rules file. Each line contains one rule and ends with a comment that names who requested it.
/// Blank lines and comment-only lines are allowed. Reports all faults, up to kMaxRuleFaults.
Result<RuleSet, std::vector<RuleFault>> parseRules(std::string_view text);

/// Like parseRules(), but also returns the canonical lines.
Result<ParsedRules, std::vector<RuleFault>> parseRulesWithLines(std::string_view text);

} // namespace hornbeamgate
