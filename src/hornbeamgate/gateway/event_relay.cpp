#include "hornbeamgate/gateway/event_relay.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace hornbeamgate::gateway {

namespace {

    /// Returns the length of the first complete event in `text`, including the terminating blank line, or 0.
    std::size_t eventLength(std::string_view text)
    {
        bool isLineEmpty = true;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '\r')
                continue;
            if (text[i] != '\n') {
                isLineEmpty = false;
                continue;
            }
            if (isLineEmpty)
                return i + 1;
            isLineEmpty = true;
        }
        return 0;
    }

    std::optional<std::uint64_t> eventId(std::string_view event)
    {
        constexpr std::string_view kField = "id:";
        for (std::size_t start = 0; start < event.size();) {
            const auto end = std::min(event.find('\n', start), event.size());
            auto line = event.substr(start, end - start);
            start = end + 1;
            if (!line.starts_with(kField))
                continue;
            line.remove_prefix(kField.size());
            if (line.starts_with(' '))
                line.remove_prefix(1);
            std::uint64_t id = 0;
            if (std::from_chars(line.data(), line.data() + line.size(), id).ec == std::errc())
                return id;
        }
        return std::nullopt;
    }

} // namespace

std::optional<std::string> EventRelay::feed(std::string_view bytes)
{
    m_partial += bytes;
    std::string forwarded;
    std::size_t taken = 0;
    // On a failure nothing is handed out, so m_lastId moves only with the events that are returned.
    auto lastId = m_lastId;
    for (;;) {
        const auto rest = std::string_view(m_partial).substr(taken);
        const auto length = eventLength(rest);
        if (length == 0)
            break;
        const auto event = rest.substr(0, length);
        taken += length;
        if (const auto id = eventId(event)) {
            if (lastId && *id <= *lastId)
                continue;
            if (lastId && *id != *lastId + 1) {
                m_partial.clear();
                return std::nullopt;
            }
            lastId = id;
        }
        forwarded += event;
    }
    m_partial.erase(0, taken);
    if (m_partial.size() > kMaxEventBytes) {
        m_partial.clear();
        return std::nullopt;
    }
    m_lastId = lastId;
    return forwarded;
}

bool EventRelay::isInsideEvent() const
{
    return m_partial.find_first_not_of("\r\n") != std::string::npos;
}

std::string EventRelay::takeRemainder()
{
    return std::exchange(m_partial, {});
}

} // namespace hornbeamgate::gateway
