#include "hornbeamgate/runtime/net/http_message.hpp"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace hornbeamgate::gateway {

namespace {

    constexpr std::array<std::string_view, 8> kHopByHopFields { "Connection", "Keep-Alive", "Proxy-Connection",
        "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade" };

    /// Characters besides letters and digits that RFC 9110 allows in a token.
    constexpr std::string_view kTokenMarks = "!#$%&'*+-.^_`|~";

    bool isTokenCharacter(char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || kTokenMarks.find(c) != std::string_view::npos;
    }

    char lower(char c)
    {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    }

    std::string lowerCase(std::string_view text)
    {
        std::string result(text);
        std::transform(result.begin(), result.end(), result.begin(), lower);
        return result;
    }

    std::string_view trimmed(std::string_view text)
    {
        while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
            text.remove_prefix(1);
        while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
            text.remove_suffix(1);
        return text;
    }

    std::vector<std::string> listItems(std::string_view value)
    {
        std::vector<std::string> items;
        while (!value.empty()) {
            const auto comma = std::min(value.find(','), value.size());
            items.emplace_back(trimmed(value.substr(0, comma)));
            value.remove_prefix(std::min(comma + 1, value.size()));
        }
        return items;
    }

    void appendFields(std::string& text, const HttpFields& fields)
    {
        fields.visit([&text](const HttpField& field) {
            text += field.name;
            text += ": ";
            text += field.value;
            text += "\r\n";
            return true;
        });
    }

} // namespace

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) { return lower(a) == lower(b); });
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isFieldValue(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](char c) { return (static_cast<unsigned char>(c) < ' ' && c != '\t') || c == '\x7f'; });
}

void HttpFields::add(std::string_view name, std::string_view value)
{
    m_text.reserve(m_text.size() + name.size() + value.size() + 2);
    m_text += name;
    m_text += ':';
    m_text += value;
    m_text += '\n';
}

void HttpFields::remove(std::string_view name)
{
    if (!find(name))
        return;
    HttpFields kept;
    visit([&](const HttpField& field) {
        if (!equalsIgnoringCase(field.name, name))
            kept.add(field.name, field.value);
        return true;
    });
    *this = std::move(kept);
}

std::optional<std::string_view> HttpFields::find(std::string_view name) const
{
    std::optional<std::string_view> value;
    visit([&](const HttpField& field) {
        if (equalsIgnoringCase(field.name, name))
            value = field.value;
        return !value;
    });
    return value;
}

std::vector<std::string_view> HttpFields::findAll(std::string_view name) const
{
    std::vector<std::string_view> values;
    visit([&](const HttpField& field) {
        if (equalsIgnoringCase(field.name, name))
            values.push_back(field.value);
        return true;
    });
    return values;
}

std::size_t HttpFields::count(std::string_view name) const
{
    return findAll(name).size();
}

std::vector<HttpField> HttpFields::all() const
{
    std::vector<HttpField> fields;
    visit([&](const HttpField& field) {
        fields.push_back(field);
        return true;
    });
    return fields;
}

bool HttpFields::listContains(std::string_view name, std::string_view token) const
{
    bool isFound = false;
    visit([&](const HttpField& field) {
        if (!equalsIgnoringCase(field.name, name))
            return true;
        const auto items = listItems(field.value);
        isFound = std::any_of(items.begin(), items.end(), [token](std::string_view item) { return equalsIgnoringCase(item, token); });
        return !isFound;
    });
    return isFound;
}

void removeHopByHopFields(HttpFields& fields)
{
    std::vector<std::string> listed;
    for (const auto value : fields.findAll("Connection")) {
        for (const auto& item : listItems(value))
            listed.push_back(lowerCase(item));
    }
    // One pass over the fields: a pass for each listed name took time in proportion to the square of the head.
    std::sort(listed.begin(), listed.end());
    HttpFields kept;
    fields.visit([&](const HttpField& field) {
        const bool isHopByHop = std::any_of(kHopByHopFields.begin(), kHopByHopFields.end(), [&](std::string_view name) { return equalsIgnoringCase(field.name, name); });
        if (!isHopByHop && !std::binary_search(listed.begin(), listed.end(), lowerCase(field.name)))
            kept.add(field.name, field.value);
        return true;
    });
    fields = std::move(kept);
}

std::string requestHeadText(const HttpRequestHead& head, std::size_t bodySize)
{
    std::string text = head.method + ' ' + head.target + " HTTP/1.1\r\n";
    appendFields(text, head.fields);
    if (bodySize > 0 || (head.method != "GET" && head.method != "HEAD" && head.method != "DELETE"))
        text += "Content-Length: " + std::to_string(bodySize) + "\r\n";
    text += "\r\n";
    return text;
}

std::string requestText(const HttpRequestHead& head, std::string_view body)
{
    return requestHeadText(head, body.size()).append(body);
}

bool isBodylessStatus(int status)
{
    constexpr int kFirstFinalStatus = 200;
    constexpr int kNoContent = 204;
    constexpr int kNotModified = 304;
    return status < kFirstFinalStatus || status == kNoContent || status == kNotModified;
}

std::string responseHeadText(int status, const HttpFields& fields)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + ' ';
    text += statusPhrase(status);
    text += "\r\n";
    appendFields(text, fields);
    text += "\r\n";
    return text;
}

std::string_view statusPhrase(int status)
{
    return http_status_str(static_cast<http_status>(status));
}

std::string chunkText(std::string_view octets)
{
    constexpr int kHexadecimal = 16;
    if (octets.empty())
        return {};
    std::array<char, 2 * sizeof(std::size_t)> digits {};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), octets.size(), kHexadecimal).ptr;
    std::string text(digits.data(), end);
    text += "\r\n";
    text += octets;
    text += "\r\n";
    return text;
}

} // namespace hornbeamgate::gateway
