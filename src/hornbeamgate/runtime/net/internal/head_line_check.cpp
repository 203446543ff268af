#include "hornbeamgate/runtime/net/internal/head_line_check.hpp"

#include <algorithm>

namespace hornbeamgate::gateway::internal {

namespace {

    /// Size of the protocol version, the status and the octet behind it in a status line.
    constexpr std::size_t kStatusLineStart = std::string_view("HTTP/1.1 200 ").size();

    bool isDigit(char c)
    {
        return c >= '0' && c <= '9';
    }

    /// Whether the first kStatusLineStart octets of a line begin a status line of HTTP/1 (RFC 9112, 4). http_parser accepts any
    /// version, and leading zeros and blanks before the status.
    bool beginsStatusLine(std::string_view start)
    {
        constexpr std::string_view kProtocol = "HTTP/1.";
        constexpr std::string_view kSeparators = " \r\n";
        const auto version = start.substr(kProtocol.size(), 2);
        const auto status = start.substr(kProtocol.size() + version.size(), 3);
        return start.starts_with(kProtocol) && isDigit(version[0]) && version[1] == ' ' && std::all_of(status.begin(), status.end(), isDigit)
            && kSeparators.find(start.back()) != std::string_view::npos;
    }

} // namespace

std::string_view HeadLineCheck::findFault(std::string_view octets)
{
    if (octets.empty())
        return {};
    if (!acceptsLineEnd(octets))
        return "carriage return without a line feed";
    return acceptsStatusLine(octets) ? std::string_view() : "malformed status line";
}

bool HeadLineCheck::acceptsLineEnd(std::string_view octets)
{
    // http_parser takes any octet behind a carriage return for the line feed, so that it would end the head early or drop the octet.
    const auto carriageReturn = octets.find('\r');
    const bool isEndAccepted = !m_isAfterCarriageReturn || octets == "\n";
    m_isAfterCarriageReturn = carriageReturn == octets.size() - 1;
    return isEndAccepted && (carriageReturn == std::string_view::npos || m_isAfterCarriageReturn || octets.substr(carriageReturn) == "\r\n");
}

bool HeadLineCheck::acceptsStatusLine(std::string_view octets)
{
    if (!m_hasStatusLine || m_statusLineStart.size() == kStatusLineStart)
        return true;
    m_statusLineStart += octets.substr(0, kStatusLineStart - m_statusLineStart.size());
    if (m_statusLineStart.size() < kStatusLineStart)
        return !octets.ends_with('\n');
    return beginsStatusLine(m_statusLineStart);
}

} // namespace hornbeamgate::gateway::internal
