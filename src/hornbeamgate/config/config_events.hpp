#pragma once

#include "hornbeamgate/base/time.hpp"
#include "hornbeamgate/config/config_message.hpp"
#include "hornbeamgate/event_log/log_events.hpp"

#include <string>
#include <variant>
#include <vector>

namespace hornbeamgate {

/// Another daemon that takes part in the configuration exchange.
struct ConfigPeer {
    HostId host;
    DataCenterId dataCenter;

    bool operator==(const ConfigPeer&) const = default;
};

/// Correlates a request to or from a peer with its response.
using ExchangeTicket = StrongNumber<struct ExchangeTicketTag>;

/// Event: the read requested by ReadConfigLog has completed. `began` is the time at which it was sent.
struct ConfigLogRead {
    LogReadEvent result;
    MonotonicTime began;
};

/// Event: the current list of peers, excluding this daemon.
struct ConfigPeersKnown {
    std::vector<ConfigPeer> peers;
};

/// Event: a peer sent a request. handle() returns a SendConfigResponse with the same ticket.
struct ConfigRequestReceived {
    ExchangeTicket ticket;
    HostId from;
    ConfigMessage message;
};

/// Event: a peer responded to the request with this ticket.
struct ConfigResponseReceived {
    ExchangeTicket ticket;
    ConfigMessage message;
};

/// Event: the request with this ticket received no usable response.
struct ConfigRequestFailed {
    ExchangeTicket ticket;
};

/// Event: nextDeadline() has passed.
struct ConfigTimerExpired {
};

using ConfigEvent = std::variant<ConfigTimerExpired, ConfigLogRead, ConfigPeersKnown, ConfigRequestReceived, ConfigResponseReceived,
    ConfigRequestFailed, AppendSucceeded, AppendRefused, AppendOutcomeUnknown>;

/// Action: read the configuration stream starting at `from`. The log may delay an empty response for up to `wait`.
struct ReadConfigLog {
    LogOffset from;
    Duration wait; ///< how long the log may hold the call for a record
    Duration timeout; ///< until the read is given up, beyond the wait
};

/// Action: send `message` as a request to `to` on /control/config.
struct SendConfigRequest {
    ExchangeTicket ticket;
    HostId to;
    ConfigMessage message;
};

/// Action: respond to a peer's request.
struct SendConfigResponse {
    ExchangeTicket ticket;
    ConfigMessage message;
};

/// Action: apply the rules of `version` from now on. The caller reads them from the replica.
struct ActivateRules {
    ConfigVersion version;
};

/// Action: the active version was confirmed to be the newest accepted one at time `at`.
struct ConfigConfirmed {
    MonotonicTime at;
};

/// Action: a peer reported the age of its own confirmation in response to a request sent at `sentAt`.
struct ConfigPeerReport {
    DataCenterId dataCenter;
    MonotonicTime sentAt;
    std::optional<Duration> confirmedAgo;
};

enum class ConfigFault {
    UndecodableRecord, ///< the stream contains a record that this program cannot decode
    Conflict, ///< a checkpoint or a peer contradicts the configuration replayed from the log
    UnreadableRules, ///< the accepted configuration has lines that this program cannot parse; they grant no permissions
    LogTooShort, ///< the stream ends before a position that has already been read
};

/// Action: report a fault to the operators.
struct ReportConfigFault {
    ConfigFault fault;
    std::string detail; ///< never includes the content of rules
};

using ConfigAction = std::variant<ReadConfigLog, AppendRecord, SendConfigRequest, SendConfigResponse, ActivateRules, ConfigConfirmed,
    ConfigPeerReport, ReportConfigFault>;

} // namespace hornbeamgate
