#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/result.hpp"
#include "hornbeamgate/config/rule_fault.hpp"
#include "hornbeamgate/config/rule_set.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamgate {

/// Maximum number of lines in a document.
inline constexpr std::size_t kMaxDocumentLines = 50'000;

/// Line-based difference between two documents.
struct RuleDelta {
    std::vector<std::string> put; ///< canonical lines that are added or that replace the line of the same name
    std::vector<std::string> removed; ///< names (`kind name`) of lines that are removed

    bool empty() const { return put.empty() && removed.empty(); }
    bool operator==(const RuleDelta&) const = default;
};

/// Describes why a delta cannot be applied to a document.
struct DocumentError {
    std::string detail;
};

/// Rules that this program can parse, and the lines that were skipped.
struct ReadableRules {
    RuleSet rules;
    std::vector<std::string> unreadableLines;
};

/// Name (`kind name`) of a canonical line, or nothing if the line does not have this form.
std::optional<std::string> ruleNameOf(std::string_view line);

/// Canonical lines of a configuration, at most one per name. The comment of each line names who requested the rule.
class RuleDocument {
public:
    /// Creates a document from canonical lines in any order.
    static Result<RuleDocument, DocumentError> fromLines(const std::vector<std::string>& lines);

    /// Applies a delta atomically: on failure the document is unchanged.
    Result<void, DocumentError> apply(const RuleDelta& delta);

    /// Delta that transforms this document into `target`.
    RuleDelta deltaTo(const RuleDocument& target) const;

    /// Lines grouped by kind, workspaces first, and sorted by name within each kind.
    std::vector<std::string> lines() const;

    /// All lines as text, each terminated by a newline.
    std::string text() const;

    /// Hash of the version and all lines; identical on every host.
    std::uint64_t digest(ConfigVersion version) const;

    /// Rules of all lines that parse and that refer only to rules that parse as well. Lines that this program cannot parse
    /// grant no permissions.
    ReadableRules readableRules() const;

    /// Whether there is a line with the given name (`kind name`).
    bool contains(std::string_view name) const { return m_lines.find(name) != m_lines.end(); }

    std::size_t size() const { return m_lines.size(); }
    bool operator==(const RuleDocument&) const = default;

private:
    std::map<std::string, std::string, std::less<>> m_lines;
};

} // namespace hornbeamgate
