#include "hornbeamgate/config/rule_document.hpp"

#include "hornbeamgate/base/hash.hpp"
#include "hornbeamgate/config/rule_line.hpp"
#include "hornbeamgate/config/rules_parser.hpp"

#include <algorithm>
#include <set>

namespace hornbeamgate {
namespace {

    constexpr std::string_view kKindOrder[] = { "workspace", "key", "model", "engine", "service", "endpoint", "open" };

    std::size_t kindRank(std::string_view name)
    {
        const auto kind = name.substr(0, name.find(' '));
        const auto* found = std::find(std::begin(kKindOrder), std::end(kKindOrder), kind);
        return static_cast<std::size_t>(found - std::begin(kKindOrder));
    }

    std::string joinLines(const std::vector<std::string>& lines)
    {
        std::string text;
        for (const auto& line : lines)
            text.append(line).append("\n");
        return text;
    }

    /// Moves the lines listed in `faults` from `lines` to `unreadable`.
    void moveFaultyLines(const std::vector<RuleFault>& faults, std::vector<std::string>& lines, std::vector<std::string>& unreadable)
    {
        std::set<std::size_t> faulty;
        for (const auto& fault : faults)
            faulty.insert(fault.line - 1);
        std::vector<std::string> kept;
        for (std::size_t index = 0; index < lines.size(); ++index) {
            auto& target = faulty.contains(index) ? unreadable : kept;
            target.push_back(std::move(lines[index]));
        }
        lines = std::move(kept);
    }

} // namespace

std::optional<std::string> ruleNameOf(std::string_view line)
{
    if (line.size() > kMaxRuleLineBytes || line.find_first_of("\r\n") != std::string_view::npos)
        return std::nullopt;
    const auto kindEnd = line.find(' ');
    if (kindEnd == std::string_view::npos || kindEnd == 0)
        return std::nullopt;
    const auto nameEnd = std::min(line.find(' ', kindEnd + 1), line.size());
    if (nameEnd == kindEnd + 1)
        return std::nullopt;
    return std::string(line.substr(0, nameEnd));
}

Result<RuleDocument, DocumentError> RuleDocument::fromLines(const std::vector<std::string>& lines)
{
    RuleDocument document;
    auto applied = document.apply({ lines, {} });
    if (!applied)
        return failure(std::move(applied.error()));
    return document;
}

Result<void, DocumentError> RuleDocument::apply(const RuleDelta& delta)
{
    auto changed = m_lines;
    for (const auto& name : delta.removed) {
        if (changed.erase(name) == 0)
            return failure(DocumentError { "cannot remove rule '" + name + "': it does not exist" });
    }
    std::set<std::string> names;
    for (const auto& line : delta.put) {
        auto name = ruleNameOf(line);
        if (!name)
            return failure(DocumentError { "a line does not start with a kind and a name" });
        if (!names.insert(*name).second)
            return failure(DocumentError { "rule '" + *name + "' is defined twice" });
        changed.insert_or_assign(std::move(*name), line);
    }
    if (changed.size() > kMaxDocumentLines)
        return failure(DocumentError { "more than " + std::to_string(kMaxDocumentLines) + " rules" });
    m_lines = std::move(changed);
    return {};
}

RuleDelta RuleDocument::deltaTo(const RuleDocument& target) const
{
    RuleDelta delta;
    for (const auto& [name, line] : target.m_lines) {
        const auto current = m_lines.find(name);
        if (current == m_lines.end() || current->second != line)
            delta.put.push_back(line);
    }
    for (const auto& [name, line] : m_lines) {
        if (!target.m_lines.contains(name))
            delta.removed.push_back(name);
    }
    return delta;
}

std::vector<std::string> RuleDocument::lines() const
{
    std::vector<std::string> ordered;
    ordered.reserve(m_lines.size());
    for (const auto& [name, line] : m_lines)
        ordered.push_back(line);
    std::stable_sort(ordered.begin(), ordered.end(), [](const auto& left, const auto& right) { return kindRank(left) < kindRank(right); });
    return ordered;
}

std::string RuleDocument::text() const
{
    return joinLines(lines());
}

std::uint64_t RuleDocument::digest(ConfigVersion version) const
{
    auto digest = version.value();
    for (const auto& [name, line] : m_lines)
        digest = stableHash(line, digest);
    return digest;
}

ReadableRules RuleDocument::readableRules() const
{
    ReadableRules readable;
    auto kept = lines();
    while (true) {
        auto rules = parseRules(joinLines(kept));
        if (rules) {
            readable.rules = std::move(*rules);
            return readable;
        }
        moveFaultyLines(rules.error(), kept, readable.unreadableLines);
    }
}

} // namespace hornbeamgate
