#pragma once

#include "hornbeamgate/base/time.hpp"
#include "hornbeamgate/config/config_message.hpp"
#include "hornbeamgate/event_log/log_events.hpp"

#include <string>
#include <variant>
#include <vector>

namespace hornbeamgate {

/// Other daemon that takes part in the exchange.
struct ConfigPeer {
    HostId host;
    DataCenterId dataCenter;

    bool operator==(const ConfigPeer&) const = default;
};

/// Number of one question to a peer or from a peer.
using ExchangeTicket = StrongNumber<struct ExchangeTicketTag>;

/// Event: the read that ReadConfigLog asked for has ended. `began` is when it was sent.
struct ConfigLogRead {
    LogReadEvent result;
    MonotonicTime began;
};

/// Event: all daemons that may be asked, without this one.
struct ConfigPeersKnown {
    std::vector<ConfigPeer> peers;
};

/// Event: a peer asks; SendConfigResponse with the same ticket follows at once.
struct ConfigRequestReceived {
    ExchangeTicket ticket;
    HostId from;
    ConfigMessage message;
};

/// Event: a peer answered the question with this ticket.
struct ConfigResponseReceived {
    ExchangeTicket ticket;
    ConfigMessage message;
};

/// Event: no usable answer came to the question with this ticket.
struct ConfigRequestFailed {
    ExchangeTicket ticket;
};

/// Event: nextDeadline() has passed.
struct ConfigTimerExpired {
};

using ConfigEvent = std::variant<ConfigTimerExpired, ConfigLogRead, ConfigPeersKnown, ConfigRequestReceived, ConfigResponseReceived,
    ConfigRequestFailed, AppendSucceeded, AppendRefused, AppendOutcomeUnknown>;

/// Action: read the configuration stream from `from`; the log may hold an empty answer back for `wait`.
struct ReadConfigLog {
    LogOffset from;
    Duration wait;
};

/// Action: send `message` to `to` on /control/config.
struct SendConfigRequest {
    ExchangeTicket ticket;
    HostId to;
    ConfigMessage message;
};

/// Action: answer the peer's question.
struct SendConfigResponse {
    ExchangeTicket ticket;
    ConfigMessage message;
};

/// Action: the rules of `version`, to be read from the replica, are in force from now on.
struct ActivateRules {
    ConfigVersion version;
};

/// Action: at `at` nothing newer than the version in force was accepted.
struct ConfigConfirmed {
    MonotonicTime at;
};

/// Action: what a peer asked at `sentAt` said about its own confirmation.
struct ConfigPeerReport {
    DataCenterId dataCenter;
    MonotonicTime sentAt;
    std::optional<Duration> confirmedAgo;
};

enum class ConfigFault {
    UndecodableRecord, ///< the stream holds a record that this program cannot decode
    Conflict, ///< a checkpoint or a peer contradicts what the log's order accepted
    UnreadableRules, ///< lines of the accepted configuration that this program cannot read; they grant nothing
    LogTooShort, ///< the stream ends before the position that was read already
};

/// Action: tell the operators.
struct ReportConfigFault {
    ConfigFault fault;
    std::string detail; ///< holds no rule's content
};

using ConfigAction = std::variant<ReadConfigLog, AppendRecord, SendConfigRequest, SendConfigResponse, ActivateRules, ConfigConfirmed,
    ConfigPeerReport, ReportConfigFault>;

} // namespace hornbeamgate
