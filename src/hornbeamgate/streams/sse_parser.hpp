#pragma once

#include "hornbeamgate/base/result.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamgate {

/// A server-sent event that carries data.
struct SseEvent {
    std::optional<std::uint64_t> id;
    std::string data;

    bool operator==(const SseEvent&) const = default;
};

/// Error: an event, or one of its lines, exceeds the size limit.
struct SseEventTooLarge {
};

/// Incremental parser for server-sent events (WHATWG HTML, section 9.2). Events without data are skipped.
class SseParser {
public:
    /// Consumes the next bytes of the stream and returns the events that they complete.
    Result<std::vector<SseEvent>, SseEventTooLarge> feed(std::string_view octets);

private:
    void parseLine(std::string_view line, std::vector<SseEvent>& events);

    std::string m_partialLine;
    SseEvent m_event;
    bool m_hasData = false;
};

} // namespace hornbeamgate
