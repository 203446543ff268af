#include "hornbeamgate/config/internal/rule_references.hpp"

#include <string>
#include <string_view>
#include <unordered_map>

namespace hornbeamgate::internal {
namespace {

    /// Names defined by one kind of rule, with the line of each definition.
    class DefinedNames {
    public:
        DefinedNames(std::string_view what, std::vector<RuleFault>& faults)
            : m_what(what)
            , m_faults(faults)
        {
        }

        void define(const std::string& name, const RulePosition& at)
        {
            const auto [entry, isNew] = m_lines.emplace(name, at.line);
            if (!isNew)
                addFault(at, m_what + " is already defined in line " + std::to_string(entry->second));
        }

        void require(const std::string& name, const RulePosition& at)
        {
            if (!m_lines.contains(name))
                addFault(at, "no rule defines " + m_what + " " + name);
        }

    private:
        void addFault(const RulePosition& at, std::string text)
        {
            m_faults.push_back({ at.line, at.column, std::move(text) });
        }

        std::string m_what;
        std::vector<RuleFault>& m_faults;
        std::unordered_map<std::string, std::size_t> m_lines;
    };

    template <typename Rule, typename Visit>
    void forEach(const std::vector<Rule>& rules, const std::vector<RulePosition>& positions, Visit visit)
    {
        for (std::size_t index = 0; index < rules.size(); ++index)
            visit(rules[index], positions[index]);
    }

} // namespace

std::vector<RuleFault> findReferenceFaults(const RuleSet& rules, const RulePositions& positions)
{
    std::vector<RuleFault> faults;
    DefinedNames workspaces("workspace", faults);
    DefinedNames keys("key", faults);
    DefinedNames hashes("this hash of a key", faults);
    DefinedNames models("model", faults);
    DefinedNames services("service", faults);
    DefinedNames endpoints("engine or endpoint of this name", faults);
    DefinedNames paths("open route", faults);

    forEach(rules.workspaces, positions.workspaces, [&](const auto& rule, const auto& at) { workspaces.define(rule.id.value(), at); });
    forEach(rules.models, positions.models, [&](const auto& rule, const auto& at) { models.define(rule.id.value(), at); });
    forEach(rules.services, positions.services, [&](const auto& rule, const auto& at) { services.define(rule.id.value(), at); });
    forEach(rules.keys, positions.keys, [&](const auto& rule, const auto& at) {
        keys.define(rule.id.value(), at);
        hashes.define(rule.hash, at);
        workspaces.require(rule.workspace.value(), at);
    });
    forEach(rules.engines, positions.engines, [&](const auto& rule, const auto& at) {
        endpoints.define(rule.id.value(), at);
        for (const auto& model : rule.models)
            models.require(model.value(), at);
    });
    forEach(rules.serviceEndpoints, positions.serviceEndpoints, [&](const auto& rule, const auto& at) {
        endpoints.define(rule.id.value(), at);
        services.require(rule.service.value(), at);
    });
    forEach(rules.openRoutes, positions.openRoutes, [&](const auto& rule, const auto& at) {
        paths.define(rule.pathPrefix, at);
        workspaces.require(rule.workspace.value(), at);
    });
    return faults;
}

} // namespace hornbeamgate::internal
