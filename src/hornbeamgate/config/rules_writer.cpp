#include "hornbeamgate/config/rules_writer.hpp"

#include <array>
#include <charconv>

namespace hornbeamgate {
namespace {

    std::string number(double value)
    {
        std::array<char, 400> digits;
        const auto result = std::to_chars(digits.data(), digits.data() + digits.size(), value, std::chars_format::fixed);
        return { digits.data(), result.ptr };
    }

    std::string joinModels(const std::vector<ModelId>& models)
    {
        std::string text;
        for (const auto& model : models) {
            if (!text.empty())
                text += ',';
            text += model.value();
        }
        return text;
    }

    template <typename Rule>
    void appendRules(std::string& text, const std::vector<Rule>& rules, std::string_view comment)
    {
        for (const auto& rule : rules)
            text.append(formatRuleLine(rule, comment)).append("\n");
    }

} // namespace

std::string formatRule(const WorkspaceRule& rule)
{
    return "workspace " + rule.id.value()
        + " weight=" + std::to_string(rule.weight)
        + " priority=" + std::to_string(rule.priority)
        + " requests=" + number(rule.requests.perSecond) + "/s"
        + " burst=" + number(rule.requests.burst)
        + " tokens=" + number(rule.tokens.perSecond) + "/s"
        + " token-burst=" + number(rule.tokens.burst);
}

std::string formatRule(const KeyRule& rule)
{
    return "key " + rule.id.value() + " workspace=" + rule.workspace.value() + " hash=" + rule.hash;
}

std::string formatRule(const ModelRule& rule)
{
    return "model " + rule.id.value() + " weights=" + std::to_string(rule.weights.value());
}

std::string formatRule(const EngineRule& rule)
{
    return "engine " + rule.id.value() + " host=" + rule.host.value() + " models=" + joinModels(rule.models)
        + " fencing=" + (rule.checksFencing ? "checked" : "unchecked");
}

std::string formatRule(const ServiceRule& rule)
{
    return "service " + rule.id.value() + " idempotent=" + (rule.idempotent ? "yes" : "no");
}

std::string formatRule(const ServiceEndpointRule& rule)
{
    return "endpoint " + rule.id.value() + " service=" + rule.service.value() + " host=" + rule.host.value();
}

std::string formatRule(const OpenRouteRule& rule)
{
    return "open " + rule.pathPrefix + " workspace=" + rule.workspace.value();
}

std::string writeRules(const RuleSet& rules, std::string_view comment)
{
    std::string text;
    appendRules(text, rules.workspaces, comment);
    appendRules(text, rules.keys, comment);
    appendRules(text, rules.models, comment);
    appendRules(text, rules.engines, comment);
    appendRules(text, rules.services, comment);
    appendRules(text, rules.serviceEndpoints, comment);
    appendRules(text, rules.openRoutes, comment);
    return text;
}

} // namespace hornbeamgate
