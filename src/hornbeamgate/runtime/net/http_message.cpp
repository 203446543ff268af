#include "hornbeamgate/runtime/net/http_message.hpp"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace hornbeamgate::gateway {

namespace {

    constexpr std::array<std::string_view, 8> kHopByHopFields { "Connection", "Keep-Alive", "Proxy-Connection",
        "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade" };

    char lower(char c)
    {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
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
        for (const auto& field : fields.all()) {
            text += field.name;
            text += ": ";
            text += field.value;
            text += "\r\n";
        }
    }

} // namespace

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) { return lower(a) == lower(b); });
}

void HttpFields::remove(std::string_view name)
{
    std::erase_if(m_fields, [name](const HttpField& field) { return equalsIgnoringCase(field.name, name); });
}

std::optional<std::string_view> HttpFields::find(std::string_view name) const
{
    for (const auto& field : m_fields) {
        if (equalsIgnoringCase(field.name, name))
            return field.value;
    }
    return std::nullopt;
}

std::vector<std::string_view> HttpFields::findAll(std::string_view name) const
{
    std::vector<std::string_view> values;
    for (const auto& field : m_fields) {
        if (equalsIgnoringCase(field.name, name))
            values.emplace_back(field.value);
    }
    return values;
}

std::size_t HttpFields::count(std::string_view name) const
{
    return static_cast<std::size_t>(std::count_if(m_fields.begin(), m_fields.end(),
        [name](const HttpField& field) { return equalsIgnoringCase(field.name, name); }));
}

bool HttpFields::listContains(std::string_view name, std::string_view token) const
{
    for (const auto& field : m_fields) {
        if (!equalsIgnoringCase(field.name, name))
            continue;
        for (const auto& item : listItems(field.value)) {
            if (equalsIgnoringCase(item, token))
                return true;
        }
    }
    return false;
}

void removeHopByHopFields(HttpFields& fields)
{
    std::vector<std::string> listed;
    for (const auto& field : fields.all()) {
        if (equalsIgnoringCase(field.name, "Connection")) {
            for (auto& item : listItems(field.value))
                listed.push_back(std::move(item));
        }
    }
    for (const auto& name : listed)
        fields.remove(name);
    for (const auto name : kHopByHopFields)
        fields.remove(name);
}

std::string requestText(const HttpRequestHead& head, std::string_view body)
{
    std::string text = head.method + ' ' + head.target + " HTTP/1.1\r\n";
    appendFields(text, head.fields);
    if (!body.empty() || (head.method != "GET" && head.method != "HEAD" && head.method != "DELETE"))
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    text += "\r\n";
    text += body;
    return text;
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
