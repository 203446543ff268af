#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hornbeamgate::gateway {

/// Forwards complete server-sent events byte for byte and keeps them in order across several runs of one stream.
///
/// A partially received event is never forwarded, so that another engine can resume after the last complete one.
/// Duplicate events are dropped.
class EventRelay {
public:
    /// Size of the largest event that is forwarded.
    static constexpr std::size_t kMaxEventBytes = 262144;

    /// `lastSeen` is the ID of the last event that the caller received in an earlier request.
    explicit EventRelay(std::optional<std::uint64_t> lastSeen)
        : m_lastId(lastSeen)
    {
    }

    /// Consumes the next bytes and returns the data to forward, or nullopt if an event is missing or too large. Then the
    /// next run resumes after the events that earlier calls returned.
    std::optional<std::string> feed(std::string_view bytes);

    /// Returns true if the bytes received so far end inside an event. Line ends alone are no part of an event.
    bool isInsideEvent() const;

    /// Returns the bytes after the last complete event, for a stream that ended normally.
    std::string takeRemainder();

    /// Starts another run that resumes after the last complete event.
    void startRun() { std::string().swap(m_partial); }

    std::size_t heldBytes() const { return m_partial.capacity(); }

    std::optional<std::uint64_t> lastId() const { return m_lastId; }

private:
    std::string m_partial;
    std::optional<std::uint64_t> m_lastId;
};

} // namespace hornbeamgate::gateway
