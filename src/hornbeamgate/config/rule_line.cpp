#include "hornbeamgate/config/rule_line.hpp"

#include "hornbeamgate/config/internal/utf8.hpp"

#include <algorithm>
#include <string>

namespace hornbeamgate {
namespace {

    constexpr std::string_view kBlanks = " \t";

    struct Word {
        std::string_view text;
        std::size_t column = 0;
    };

    std::string_view trim(std::string_view text)
    {
        const auto first = text.find_first_not_of(kBlanks);
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
    }

    std::vector<Word> splitWords(std::string_view text)
    {
        std::vector<Word> words;
        auto begin = text.find_first_not_of(kBlanks);
        while (begin != std::string_view::npos) {
            const auto end = std::min(text.find_first_of(kBlanks, begin), text.size());
            words.push_back({ text.substr(begin, end - begin), begin + 1 });
            begin = text.find_first_not_of(kBlanks, end);
        }
        return words;
    }

    std::optional<RuleFault> findTextFault(std::string_view line, std::size_t number)
    {
        if (line.size() > kMaxRuleLineBytes)
            return RuleFault { number, kMaxRuleLineBytes + 1, "the line is longer than " + std::to_string(kMaxRuleLineBytes) + " bytes" };
        if (const auto invalid = internal::findInvalidUtf8(line))
            return RuleFault { number, *invalid + 1, "the line is not valid UTF-8" };
        for (std::size_t index = 0; index < line.size(); ++index) {
            const auto byte = static_cast<unsigned char>(line[index]);
            const bool isControl = (byte < 0x20 && byte != '\t') || byte == 0x7f;
            if (isControl)
                return RuleFault { number, index + 1, "the line contains a control character" };
        }
        return std::nullopt;
    }

    Result<RuleField, RuleFault> splitField(const Word& word, std::size_t number)
    {
        const auto equals = word.text.find('=');
        if (equals == std::string_view::npos || equals == 0)
            return failure(RuleFault { number, word.column, "expected a field of the form name=value" });
        const auto value = word.text.substr(equals + 1);
        if (value.empty())
            return failure(RuleFault { number, word.column + equals + 1, "the field has no value" });
        return RuleField { word.text.substr(0, equals), value, word.column, word.column + equals + 1 };
    }

} // namespace

Result<std::optional<RuleLine>, RuleFault> splitRuleLine(std::string_view line, std::size_t number)
{
    if (auto fault = findTextFault(line, number))
        return failure(std::move(*fault));
    const auto hash = line.find('#');
    const auto words = splitWords(line.substr(0, hash));
    if (words.empty())
        return std::optional<RuleLine> {};
    if (hash == std::string_view::npos)
        return failure(RuleFault { number, line.size() + 1, "the line lacks a comment (# ...) that names who requested the rule" });
    RuleLine rule;
    rule.number = number;
    rule.comment = trim(line.substr(hash + 1));
    if (rule.comment.empty())
        return failure(RuleFault { number, hash + 1, "the comment is empty; it must name who requested the rule" });
    rule.kind = words[0].text;
    rule.kindColumn = words[0].column;
    if (words.size() < 2 || words[1].text.find('=') != std::string_view::npos)
        return failure(RuleFault { number, words[0].column + rule.kind.size(), "the rule lacks a name after its kind" });
    rule.name = words[1].text;
    rule.nameColumn = words[1].column;
    for (std::size_t index = 2; index < words.size(); ++index) {
        auto field = splitField(words[index], number);
        if (!field)
            return failure(std::move(field.error()));
        rule.fields.push_back(*field);
    }
    return std::optional<RuleLine>(std::move(rule));
}

} // namespace hornbeamgate
