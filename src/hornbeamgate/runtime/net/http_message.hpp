#pragma once

#include "hornbeamgate/base/result.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamgate::gateway {

struct HttpField {
    std::string name;
    std::string value;
};

/// Header fields of a message in their original order. Field names are case-insensitive.
class HttpFields {
public:
    void add(std::string_view name, std::string_view value) { m_fields.push_back({ std::string(name), std::string(value) }); }
    void remove(std::string_view name);
    /// Value of the first field called `name`.
    std::optional<std::string_view> find(std::string_view name) const;
    /// Values of all fields called `name`, in their order.
    std::vector<std::string_view> findAll(std::string_view name) const;
    std::size_t count(std::string_view name) const;
    /// Whether a comma-separated list in the fields called `name` contains `token`, ignoring case.
    bool listContains(std::string_view name, std::string_view token) const;

    const std::vector<HttpField>& all() const { return m_fields; }
    std::vector<HttpField>& all() { return m_fields; }

private:
    std::vector<HttpField> m_fields;
};

struct HttpRequestHead {
    std::string method;
    std::string target;
    HttpFields fields;
    bool keepsAlive = true;
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

/// Removes the hop-by-hop fields, including those that the sender lists in the Connection field.
void removeHopByHopFields(HttpFields& fields);

std::string requestText(const HttpRequestHead& head, std::string_view body);
/// Returns whether responses with this status end with their heads, whatever their fields say (RFC 9112, 6.3).
bool isBodylessStatus(int status);

std::string responseHeadText(int status, const HttpFields& fields);
std::string_view statusPhrase(int status);
/// Encodes one chunk of a chunked body. Returns nothing for empty data, because an empty chunk would end the body.
std::string chunkText(std::string_view octets);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

} // namespace hornbeamgate::gateway
