#pragma once

#include <string>
#include <string_view>

namespace hornbeamgate::gateway::internal {

/// Checks of the lines of a message head that http_parser leaves out without its strict mode, in which Debian does not build it.
class HeadLineCheck {
public:
    /// Checks the heads of requests or of responses.
    explicit HeadLineCheck(bool hasStatusLine)
        : m_hasStatusLine(hasStatusLine)
    {
    }

    /// Checks the next octets of a head, which must belong to one line, and returns what is wrong with them, or nothing.
    std::string_view findFault(std::string_view octets);

    /// Lets the next line be the first one of a head.
    void startHead() { m_statusLineStart.clear(); }

private:
    bool acceptsLineEnd(std::string_view octets);
    bool acceptsStatusLine(std::string_view octets);

    bool m_hasStatusLine;
    bool m_isAfterCarriageReturn = false;
    std::string m_statusLineStart; ///< version, status and the octet behind them, as far as they have been checked
};

} // namespace hornbeamgate::gateway::internal
