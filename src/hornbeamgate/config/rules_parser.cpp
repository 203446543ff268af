#include "hornbeamgate/config/rules_parser.hpp"

#include "hornbeamgate/config/internal/rule_references.hpp"
#include "hornbeamgate/config/internal/rule_values.hpp"
#include "hornbeamgate/config/rule_line.hpp"
#include "hornbeamgate/config/rules_writer.hpp"

#include <algorithm>
#include <span>
#include <tuple>

namespace hornbeamgate {
namespace {

    using namespace internal;

    enum class Presence { Required,
        Optional };

    /// Describes a field of a rule and how to parse its value.
    template <typename Rule>
    struct FieldSpec {
        std::string_view name;
        Presence presence;
        ValueFault (*read)(std::string_view text, Rule& rule);
    };

    constexpr FieldSpec<WorkspaceRule> kWorkspaceFields[] = {
        { "weight", Presence::Optional, [](auto text, auto& rule) { return readPositiveCount(text, rule.weight); } },
        { "priority", Presence::Optional, [](auto text, auto& rule) { return readCount(text, rule.priority); } },
        { "requests", Presence::Required, [](auto text, auto& rule) { return readPerSecond(text, rule.requests.perSecond); } },
        { "burst", Presence::Required, [](auto text, auto& rule) { return readAmount(text, rule.requests.burst); } },
        { "tokens", Presence::Required, [](auto text, auto& rule) { return readPerSecond(text, rule.tokens.perSecond); } },
        { "token-burst", Presence::Required, [](auto text, auto& rule) { return readAmount(text, rule.tokens.burst); } },
    };
    constexpr FieldSpec<KeyRule> kKeyFields[] = {
        { "workspace", Presence::Required, [](auto text, auto& rule) { return readId(text, rule.workspace); } },
        { "hash", Presence::Required, [](auto text, auto& rule) { return readHash(text, rule.hash); } },
    };
    constexpr FieldSpec<ModelRule> kModelFields[] = {
        { "weights", Presence::Required, [](auto text, auto& rule) { return readNumber(text, rule.weights); } },
    };
    constexpr FieldSpec<EngineRule> kEngineFields[] = {
        { "host", Presence::Required, [](auto text, auto& rule) { return readId(text, rule.host); } },
        { "models", Presence::Required, [](auto text, auto& rule) { return readModels(text, rule.models); } },
        { "fencing", Presence::Optional, [](auto text, auto& rule) { return readChoice(text, "checked", "unchecked", rule.checksFencing); } },
    };
    constexpr FieldSpec<ServiceRule> kServiceFields[] = {
        { "idempotent", Presence::Required, [](auto text, auto& rule) { return readChoice(text, "yes", "no", rule.idempotent); } },
    };
    constexpr FieldSpec<ServiceEndpointRule> kEndpointFields[] = {
        { "service", Presence::Required, [](auto text, auto& rule) { return readId(text, rule.service); } },
        { "host", Presence::Required, [](auto text, auto& rule) { return readId(text, rule.host); } },
    };
    constexpr FieldSpec<OpenRouteRule> kOpenRouteFields[] = {
        { "workspace", Presence::Required, [](auto text, auto& rule) { return readId(text, rule.workspace); } },
    };

    template <typename Rule>
    ValueFault readRuleName(std::string_view text, Rule& rule) { return readId(text, rule.id); }

    ValueFault readRuleName(std::string_view text, OpenRouteRule& rule) { return readPath(text, rule.pathPrefix); }

    class RulesReader {
    public:
        void readLine(std::string_view text, std::size_t number)
        {
            auto line = splitRuleLine(text, number);
            if (!line)
                m_faults.push_back(std::move(line.error()));
            else if (*line)
                readRule(**line);
        }

        Result<ParsedRules, std::vector<RuleFault>> finish()
        {
            if (m_faults.empty())
                m_faults = findReferenceFaults(m_parsed.rules, m_positions);
            if (m_faults.empty())
                return std::move(m_parsed);
            std::stable_sort(m_faults.begin(), m_faults.end(), [](const auto& left, const auto& right) {
                return std::tie(left.line, left.column) < std::tie(right.line, right.column);
            });
            m_faults.resize(std::min(m_faults.size(), kMaxRuleFaults));
            return failure(std::move(m_faults));
        }

    private:
        struct KindReader {
            std::string_view kind;
            void (RulesReader::*read)(const RuleLine&);
        };
        static std::span<const KindReader> kinds();

        void readRule(const RuleLine& line)
        {
            for (const auto& kind : kinds()) {
                if (kind.kind == line.kind)
                    return (this->*kind.read)(line);
            }
            addFault(line, line.kindColumn, "unknown kind of rule '" + std::string(line.kind) + "'; expected workspace, key, model, engine, service, endpoint or open");
        }

        template <typename Rule, const auto& Fields, auto List, auto Positions>
        void readKind(const RuleLine& line)
        {
            Rule rule;
            const auto faultsBefore = m_faults.size();
            if (auto fault = readRuleName(line.name, rule); !fault.empty())
                addFault(line, line.nameColumn, std::move(fault));
            readFields(line, std::span<const FieldSpec<Rule>>(Fields), rule);
            if (m_faults.size() != faultsBefore)
                return;
            m_parsed.lines.push_back(formatRuleLine(rule, line.comment));
            (m_parsed.rules.*List).push_back(std::move(rule));
            (m_positions.*Positions).push_back({ line.number, line.nameColumn });
        }

        template <typename Rule>
        void readFields(const RuleLine& line, std::span<const FieldSpec<Rule>> specs, Rule& rule)
        {
            std::vector<bool> isSeen(specs.size(), false);
            for (const auto& field : line.fields) {
                const auto spec = std::find_if(specs.begin(), specs.end(), [&](const auto& candidate) { return candidate.name == field.name; });
                if (spec == specs.end()) {
                    addFault(line, field.nameColumn, "a " + std::string(line.kind) + " rule has no field '" + std::string(field.name) + "'");
                    continue;
                }
                const auto index = static_cast<std::size_t>(spec - specs.begin());
                if (isSeen[index])
                    addFault(line, field.nameColumn, "field '" + std::string(field.name) + "' is given twice");
                isSeen[index] = true;
                if (auto fault = spec->read(field.value, rule); !fault.empty())
                    addFault(line, field.valueColumn, std::move(fault));
            }
            for (std::size_t index = 0; index < specs.size(); ++index) {
                if (!isSeen[index] && specs[index].presence == Presence::Required)
                    addFault(line, line.nameColumn, "field '" + std::string(specs[index].name) + "' is missing");
            }
        }

        void addFault(const RuleLine& line, std::size_t column, std::string text)
        {
            m_faults.push_back({ line.number, column, std::move(text) });
        }

        ParsedRules m_parsed;
        RulePositions m_positions;
        std::vector<RuleFault> m_faults;
    };

    std::span<const RulesReader::KindReader> RulesReader::kinds()
    {
        static constexpr KindReader kKinds[] = {
            { "workspace", &RulesReader::readKind<WorkspaceRule, kWorkspaceFields, &RuleSet::workspaces, &RulePositions::workspaces> },
            { "key", &RulesReader::readKind<KeyRule, kKeyFields, &RuleSet::keys, &RulePositions::keys> },
            { "model", &RulesReader::readKind<ModelRule, kModelFields, &RuleSet::models, &RulePositions::models> },
            { "engine", &RulesReader::readKind<EngineRule, kEngineFields, &RuleSet::engines, &RulePositions::engines> },
            { "service", &RulesReader::readKind<ServiceRule, kServiceFields, &RuleSet::services, &RulePositions::services> },
            { "endpoint", &RulesReader::readKind<ServiceEndpointRule, kEndpointFields, &RuleSet::serviceEndpoints, &RulePositions::serviceEndpoints> },
            { "open", &RulesReader::readKind<OpenRouteRule, kOpenRouteFields, &RuleSet::openRoutes, &RulePositions::openRoutes> },
        };
        return kKinds;
    }

} // namespace

Result<ParsedRules, std::vector<RuleFault>> parseRulesWithLines(std::string_view text)
{
    if (text.size() > kMaxRulesBytes)
        return failure(std::vector { RuleFault { 1, 1, "the file is larger than " + std::to_string(kMaxRulesBytes) + " bytes" } });
    RulesReader reader;
    std::size_t number = 0;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        auto line = text.substr(0, end);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        reader.readLine(line, ++number);
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return reader.finish();
}

Result<RuleSet, std::vector<RuleFault>> parseRules(std::string_view text)
{
    return parseRulesWithLines(text).map([](ParsedRules&& parsed) { return std::move(parsed.rules); });
}

} // namespace hornbeamgate
