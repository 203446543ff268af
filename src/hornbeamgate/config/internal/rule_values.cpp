#include "hornbeamgate/config/internal/rule_values.hpp"

#include <algorithm>
#include <charconv>

namespace hornbeamgate::internal {
namespace {

    constexpr std::size_t kMaxNameBytes = 64;
    constexpr std::size_t kMaxPathBytes = 256;
    constexpr std::size_t kHashDigits = 64;
    constexpr double kMaxAmount = 1e12;
    constexpr std::string_view kPerSecondSuffix = "/s";

    bool isNameCharacter(char character)
    {
        const bool isLetter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
        const bool isDigit = character >= '0' && character <= '9';
        return isLetter || isDigit || character == '.' || character == '_' || character == '-';
    }

    bool isHexDigit(char character)
    {
        return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
    }

} // namespace

ValueFault readName(std::string_view text, std::string& name)
{
    if (text.empty() || text.size() > kMaxNameBytes || !std::all_of(text.begin(), text.end(), isNameCharacter))
        return "expected a name of at most 64 letters, digits, '.', '_' or '-'";
    name = text;
    return {};
}

ValueFault readPath(std::string_view text, std::string& path)
{
    const bool isPrintable = std::all_of(text.begin(), text.end(), [](char character) { return character > ' ' && character < 0x7f; });
    if (text.empty() || text.front() != '/' || text.size() > kMaxPathBytes || !isPrintable)
        return "expected a path that starts with '/' and has at most 256 printable ASCII characters";
    path = text;
    return {};
}

ValueFault readCount(std::string_view text, std::uint32_t& count)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
    if (error != std::errc {} || end != text.data() + text.size())
        return "expected a whole number from 0 to 4294967295";
    return {};
}

ValueFault readPositiveCount(std::string_view text, std::uint32_t& count)
{
    auto fault = readCount(text, count);
    if (fault.empty() && count == 0)
        return "expected a number above 0";
    return fault;
}

ValueFault readAmount(std::string_view text, double& amount)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), amount, std::chars_format::fixed);
    const bool isNumber = error == std::errc {} && end == text.data() + text.size();
    if (!isNumber || !(amount > 0) || amount > kMaxAmount)
        return "expected a number above 0 and at most 1000000000000";
    return {};
}

ValueFault readPerSecond(std::string_view text, double& perSecond)
{
    if (!text.ends_with(kPerSecondSuffix))
        return "expected a rate above 0 of the form 20/s";
    return readAmount(text.substr(0, text.size() - kPerSecondSuffix.size()), perSecond);
}

ValueFault readChoice(std::string_view text, std::string_view yes, std::string_view no, bool& value)
{
    value = text == yes;
    if (text == yes || text == no)
        return {};
    return "expected " + std::string(yes) + " or " + std::string(no);
}

ValueFault readHash(std::string_view text, std::string& hash)
{
    if (text.size() != kHashDigits || !std::all_of(text.begin(), text.end(), isHexDigit))
        return "expected the 64 lower-case hexadecimal digits of a key's hash";
    hash = text;
    return {};
}

ValueFault readModels(std::string_view text, std::vector<ModelId>& models)
{
    models.clear();
    while (true) {
        const auto comma = text.find(',');
        ModelId model;
        if (auto fault = readId(text.substr(0, comma), model); !fault.empty())
            return fault;
        if (std::find(models.begin(), models.end(), model) != models.end())
            return "model " + model.value() + " is listed twice";
        models.push_back(std::move(model));
        if (comma == std::string_view::npos)
            return {};
        text.remove_prefix(comma + 1);
    }
}

} // namespace hornbeamgate::internal
