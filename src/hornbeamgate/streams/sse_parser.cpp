#include "hornbeamgate/streams/sse_parser.hpp"

#include <charconv>

namespace hornbeamgate {

namespace {

    /// Size limit of a line, and of the data of an event.
    constexpr std::size_t kMaxEventBytes = std::size_t { 4 } * 1024 * 1024;

    std::optional<std::uint64_t> parseId(std::string_view text)
    {
        std::uint64_t id = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), id);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return id;
    }

} // namespace

Result<std::vector<SseEvent>, SseEventTooLarge> SseParser::feed(std::string_view octets)
{
    std::vector<SseEvent> events;
    while (!octets.empty()) {
        const auto newline = octets.find('\n');
        m_partialLine += octets.substr(0, newline);
        if (m_partialLine.size() + m_event.data.size() > kMaxEventBytes)
            return failure(SseEventTooLarge {});
        if (newline == std::string_view::npos)
            break;
        octets.remove_prefix(newline + 1);
        std::string_view line = m_partialLine;
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        parseLine(line, events);
        m_partialLine.clear();
    }
    return events;
}

void SseParser::parseLine(std::string_view line, std::vector<SseEvent>& events)
{
    if (line.empty()) {
        if (m_hasData)
            events.push_back(std::move(m_event));
        m_event = {};
        m_hasData = false;
        return;
    }
    const auto colon = line.find(':');
    const auto field = line.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    if (field == "id")
        m_event.id = parseId(value);
    if (field == "data") {
        if (m_hasData)
            m_event.data += '\n';
        m_event.data += value;
        m_hasData = true;
    }
}

} // namespace hornbeamgate
