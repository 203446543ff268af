#pragma once

#include "hornbeamgate/base/result.hpp"
#include "hornbeamgate/config/rule_fault.hpp"

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace hornbeamgate {

/// Maximum length of a line in a rules file in bytes, excluding the line terminator.
inline constexpr std::size_t kMaxRuleLineBytes = 1024;

/// Field `name=value` of a rule. The views refer to the parsed line.
struct RuleField {
    std::string_view name;
    std::string_view value;
    std::size_t nameColumn = 0;
    std::size_t valueColumn = 0;
};

/// Tokens of one rule. The views refer to the parsed line.
struct RuleLine {
    std::size_t number = 0;
    std::string_view kind;
    std::size_t kindColumn = 0;
    std::string_view name;
    std::size_t nameColumn = 0;
    std::vector<RuleField> fields;
    std::string_view comment; ///< names who requested the rule; never empty
};

/// Splits line `number` of a file into tokens. Returns an empty optional for blank and comment-only lines.
Result<std::optional<RuleLine>, RuleFault> splitRuleLine(std::string_view line, std::size_t number);

} // namespace hornbeamgate
