#pragma once

#include "hornbeamgate/base/result.hpp"
#include "hornbeamgate/base/time.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hornbeamgate {

/// Timeouts of a ConnectionMonitor.
struct ConnectionOptions {
    Duration silenceTimeout = std::chrono::seconds(2); ///< without received data until a PING, if answers are outstanding
    Duration idleTimeout = std::chrono::seconds(2); ///< without received data until the next use sends a PING
    Duration pingTimeout = std::chrono::milliseconds(700);
    Duration confirmedAliveWindow = std::chrono::milliseconds(200); ///< received data proves the peer alive for this long
};

struct ConnectionOptionsError {
    std::string detail;
};

/// Data was received from the peer on any stream.
struct ConnectionBytesReceived {
};

/// A request was passed to the connection and is waiting for its answer.
struct ConnectionRequestSent {
};

/// An answer completed, or its request was abandoned.
struct ConnectionRequestEnded {
};

/// A caller is about to send a new request over the connection.
struct ConnectionUseRequested {
};

/// The connection was closed or reset.
struct ConnectionClosed {
};

struct ConnectionTimerExpired {
};

using ConnectionEvent = std::variant<ConnectionBytesReceived, ConnectionRequestSent, ConnectionRequestEnded,
    ConnectionUseRequested, ConnectionClosed, ConnectionTimerExpired>;

enum class ConnectionAction : std::uint8_t {
    SendPing,
    OpenReplacement, ///< send new requests over a new connection; this one may still deliver outstanding answers
    ResumeUse, ///< data was received again; the connection may carry new requests
    Close, ///< the connection was replaced and no answer is outstanding
};

/// Detects an unresponsive connection by PING. An answer may legitimately take long, so that a late answer alone says
/// nothing about the peer; a PING is answered immediately.
class ConnectionMonitor {
public:
    static Result<ConnectionMonitor, ConnectionOptionsError> create(ConnectionOptions options, MonotonicTime now);

    std::vector<ConnectionAction> handle(const ConnectionEvent& event, MonotonicTime now);
    std::optional<MonotonicTime> nextDeadline() const;

    /// Whether the connection may carry new requests.
    bool usable() const { return m_state == State::Healthy || m_state == State::Probing; }

    /// Whether data arrived recently enough to send a request that must not be retried.
    bool recentlyConfirmedAlive(MonotonicTime now) const;
    nlohmann::json dump() const;

private:
    enum class State : std::uint8_t {
        Healthy,
        Probing, ///< a PING is unanswered
        Silent, ///< replaced; the outcome of its outstanding requests is unknown
        Closed,
    };

    ConnectionMonitor(ConnectionOptions options, MonotonicTime now);

    void on(const ConnectionBytesReceived& event);
    void on(const ConnectionRequestSent& event);
    void on(const ConnectionRequestEnded& event);
    void on(const ConnectionUseRequested& event);
    void on(const ConnectionClosed& event);
    void on(const ConnectionTimerExpired& event);
    void ping();
    void checkDeadlines();
    void closeIfUnused();

    ConnectionOptions m_options;
    State m_state = State::Healthy;
    std::uint64_t m_outstanding = 0;
    MonotonicTime m_confirmedAliveUntil;
    MonotonicTime m_idleDeadline; ///< a use at or after this time sends a PING
    MonotonicTime m_silenceDeadline; ///< with answers outstanding, a PING is sent at this time
    MonotonicTime m_pingDeadline;
    MonotonicTime m_now; // time of the current event
    std::vector<ConnectionAction> m_actions;
};

} // namespace hornbeamgate
