#pragma once

#include "hornbeamgate/base/result.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamgate::gateway {

/// Header field; refers to the fields that it belongs to.
struct HttpField {
    std::string_view name;
    std::string_view value;
};

/// Header fields of a message in their original order. Field names are case-insensitive.
///
/// The fields are kept as one text, so that a head of very many short lines takes no more memory than its bytes: with two
/// strings a line, 16 KB of heads took 260 KB.
class HttpFields {
public:
    /// `name` must be a token and `value` free of line feeds, as in every message that HttpParser accepts.
    void add(std::string_view name, std::string_view value);
    /// Adds a field piece by piece: all of its name, then all of its value, then its end.
    void appendName(std::string_view octets) { m_text += octets; }
    void beginValue() { m_text += ':'; }
    void appendValue(std::string_view octets) { m_text += octets; }
    void endField() { m_text += '\n'; }
    void remove(std::string_view name);
    /// Value of the first field called `name`.
    std::optional<std::string_view> find(std::string_view name) const;
    /// Values of all fields called `name`, in their order.
    std::vector<std::string_view> findAll(std::string_view name) const;
    std::size_t count(std::string_view name) const;
    /// Whether a comma-separated list in the fields called `name` contains `token`, ignoring case.
    bool listContains(std::string_view name, std::string_view token) const;

    std::vector<HttpField> all() const;
    /// Calls `visit` for each field until it returns false.
    template <typename Visit>
    void visit(Visit visit) const
    {
        std::string_view rest(m_text);
        while (!rest.empty()) {
            const auto colon = rest.find(':');
            const auto end = rest.find('\n', colon);
            if (!visit(HttpField { rest.substr(0, colon), rest.substr(colon + 1, end - colon - 1) }))
                return;
            rest.remove_prefix(end + 1);
        }
    }

    std::size_t heldBytes() const { return m_text.capacity(); }

private:
    std::string m_text; ///< a line `NAME:VALUE\n` for each field
};

struct HttpRequestHead {
    std::string method;
    std::string target;
    HttpFields fields;
    bool keepsAlive = true;

    std::size_t heldBytes() const { return target.capacity() + fields.heldBytes(); }
};

struct HttpResponseHead {
    int status = 0;
    HttpFields fields;
    bool keepsAlive = true;
    bool endsWithConnection = false; ///< the end of the connection delimits the body (no length, not chunked)
};

/// Error in an HTTP/1.1 message.
struct HttpParseError {
    std::string detail;
    bool isTooLarge = false;
};

bool equalsIgnoringCase(std::string_view left, std::string_view right);
/// Returns whether `text` can be a method or a field name (RFC 9110, 5.6.2).
bool isToken(std::string_view text);
/// Returns whether `text` has no control character other than a tab.
bool isFieldValue(std::string_view text);

/// Removes the hop-by-hop fields, including those that the sender lists in the Connection field.
void removeHopByHopFields(HttpFields& fields);

std::string requestText(const HttpRequestHead& head, std::string_view body);
/// Returns the head of a request whose body has `bodySize` bytes.
std::string requestHeadText(const HttpRequestHead& head, std::size_t bodySize);
/// Returns whether responses with this status end with their heads, whatever their fields say (RFC 9112, 6.3).
bool isBodylessStatus(int status);

std::string responseHeadText(int status, const HttpFields& fields);
std::string_view statusPhrase(int status);
/// Encodes one chunk of a chunked body. Returns nothing for empty data, because an empty chunk would end the body.
std::string chunkText(std::string_view octets);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

} // namespace hornbeamgate::gateway
