#pragma once

#include "hornbeamgate/base/result.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamgate {

/// One server-sent event with data.
struct SseEvent {
    std::optional<std::uint64_t> id;
    std::string data;

    bool operator==(const SseEvent&) const = default;
};

/// A line grew over the limit.
struct SseLineTooLong {
};

/// Cuts a stream of octets into server-sent events (WHATWG HTML, 9.2).
class SseParser {
public:
    /// Takes the next octets and returns the events that they complete.
    Result<std::vector<SseEvent>, SseLineTooLong> feed(std::string_view octets);

private:
    void parseLine(std::string_view line, std::vector<SseEvent>& events);

    std::string m_partialLine;
    SseEvent m_event;
    bool m_hasData = false;
};

} // namespace hornbeamgate
