#pragma once

#include "hornbeamgate/base/result.hpp"
#include "hornbeamgate/config/config_events.hpp"

#include <map>
#include <set>
#include <variant>

namespace hornbeamgate {

/// Settings of the freshness rule.
struct KeyFreshnessOptions {
    Duration maxAcceptAge = std::chrono::seconds(6); ///< age of a confirmation up to which keyed requests are accepted
    Duration maxStreamAge = std::chrono::seconds(10); ///< age up to which running keyed streams go on
    Duration peerStaleAge = std::chrono::milliseconds(3500); ///< age from which a peer counts as unable to read the log
};

/// Reason why options were refused.
struct KeyFreshnessError {
    std::string detail;
};

/// Event: the data centres in which other hosts are live.
struct KeyDataCentersKnown {
    std::set<DataCenterId> dataCenters;
};

using KeyFreshnessEvent = std::variant<ConfigConfirmed, ConfigPeerReport, KeyDataCentersKnown>;

/// How far the keys in force can be trusted.
enum class KeyTrust {
    Confirmed, ///< nothing newer was accepted a few seconds ago
    OutageEverywhere, ///< peers in every data centre cannot read the log either, so that nobody can withdraw a key
    Unconfirmed, ///< a key may have been withdrawn without word of it reaching this daemon
};

/// Says whether keyed requests may be accepted while the configuration is not confirmed. Open routes are not its matter.
class KeyFreshness {
public:
    static Result<KeyFreshness, KeyFreshnessError> create(KeyFreshnessOptions options);

    void handle(const KeyFreshnessEvent& event, MonotonicTime now);

    KeyTrust trust(MonotonicTime now) const;

    bool mayAccept(MonotonicTime now) const { return trust(now) != KeyTrust::Unconfirmed; }

    /// Whether running keyed streams must be cut, too.
    bool mustCutStreams(MonotonicTime now) const;

private:
    explicit KeyFreshness(KeyFreshnessOptions options)
        : m_options(options)
    {
    }

    void on(const ConfigConfirmed& event);
    void on(const ConfigPeerReport& event);
    void on(const KeyDataCentersKnown& event);
    bool isOutageEverywhere(MonotonicTime now) const;

    KeyFreshnessOptions m_options;
    std::optional<MonotonicTime> m_confirmedUntil;
    std::optional<MonotonicTime> m_trustedUntil; ///< end of the last time in which requests were accepted, as far as known
    std::set<DataCenterId> m_dataCenters;
    std::map<DataCenterId, MonotonicTime> m_peerOutageUntil; ///< until when a peer's word counts that it cannot read the log
};

} // namespace hornbeamgate
