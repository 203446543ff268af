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

/// Options of a ConnectionMonitor.
struct ConnectionOptions {
    Duration silenceTimeout = std::chrono::seconds(2); ///< without a byte while answers are outstanding
    Duration idleTimeout = std::chrono::seconds(2); ///< without a byte before the next use asks for a PING
    Duration pingTimeout = std::chrono::milliseconds(700);
    Duration confirmedAliveWindow = std::chrono::milliseconds(200); ///< after a byte the connection counts as just proved alive
};

struct ConnectionOptionsError {
    std::string detail;
};

/// Octets of the peer arrived, of whatever stream.
struct ConnectionBytesReceived {
};

/// A request was handed to the connection and awaits an answer.
struct ConnectionRequestSent {
};

/// An answer ended or was given up.
struct ConnectionRequestEnded {
};

/// Somebody wants to use the connection for a new request.
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
    OpenReplacement, ///< send new requests over a new connection; outstanding answers of this one may still come
    ResumeUse, ///< the connection spoke again and may carry new requests
    Close, ///< replaced, and no answer is outstanding
};

/// Watches one connection to a peer that answers PING at once. An answer may take long; a PING may not.
class ConnectionMonitor {
public:
    static Result<ConnectionMonitor, ConnectionOptionsError> create(ConnectionOptions options, MonotonicTime now);

    std::vector<ConnectionAction> handle(const ConnectionEvent& event, MonotonicTime now);
    std::optional<MonotonicTime> nextDeadline() const;

    /// Whether new requests may go over this connection.
    bool usable() const { return m_state == State::Healthy || m_state == State::Probing; }

    /// Whether the peer was heard so lately that a request which may not be repeated can be risked.
    bool recentlyConfirmedAlive(MonotonicTime now) const;
    nlohmann::json dump() const;

private:
    enum class State : std::uint8_t {
        Healthy,
        Probing, ///< a PING is unanswered
        Silent, ///< replaced; its outstanding answers have an unknown fate
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
    MonotonicTime m_idleDeadline; ///< from then on a use asks for a PING
    MonotonicTime m_silenceDeadline; ///< from then on outstanding answers ask for a PING
    MonotonicTime m_pingDeadline;
    MonotonicTime m_now; // of the event being handled
    std::vector<ConnectionAction> m_actions;
};

} // namespace hornbeamgate
