#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hornbeamgate::gateway {

/// Passes whole server-sent events on, octet for octet, and keeps their order over several runs of one stream.
///
/// An event that an engine broke off midway is never passed on, so that another engine can go on after the last whole
/// one. An event that comes twice is left out.
class EventRelay {
public:
    /// `lastSeen` is the number of the last event that the caller has from an earlier request.
    explicit EventRelay(std::optional<std::uint64_t> lastSeen)
        : m_lastId(lastSeen)
    {
    }

    /// Takes the next octets; returns what can be passed on. Nothing when an event is missing.
    std::optional<std::string> feed(std::string_view bytes);

    /// Octets after the last whole event, for a stream that ended properly.
    std::string takeRemainder();

    /// Begins another run that goes on after the last whole event.
    void startRun() { m_partial.clear(); }

    std::optional<std::uint64_t> lastId() const { return m_lastId; }
    bool hasForwardedEvents() const { return m_hasForwardedEvents; }

private:
    std::string m_partial;
    std::optional<std::uint64_t> m_lastId;
    bool m_hasForwardedEvents = false;
};

} // namespace hornbeamgate::gateway
