#pragma once

#include "hornbeamgate/base/result.hpp"
#include "hornbeamgate/config/config_events.hpp"

#include <map>
#include <set>
#include <variant>

namespace hornbeamgate {

/// Limits on the age of the last confirmation of the configuration.
struct KeyFreshnessOptions {
    Duration maxAcceptAge = std::chrono::seconds(6); ///< confirmation age up to which keyed requests are accepted
    Duration maxStreamAge = std::chrono::seconds(10); ///< confirmation age up to which running keyed streams continue
    Duration peerStaleAge = std::chrono::milliseconds(3500); ///< age from which a peer counts as unable to read the log
};

/// Reason why options were rejected.
struct KeyFreshnessError {
    std::string detail;
};

/// Event: the set of data centres with other live hosts.
struct KeyDataCentersKnown {
    std::set<DataCenterId> dataCenters;
};

using KeyFreshnessEvent = std::variant<ConfigConfirmed, ConfigPeerReport, KeyDataCentersKnown>;

/// Whether the active keys can be relied on.
enum class KeyTrust {
    Confirmed, ///< the configuration was confirmed to be the newest a few seconds ago
    OutageEverywhere, ///< peers in every data centre cannot read the log either, so no key can be withdrawn
    Unconfirmed, ///< a key may have been withdrawn without this daemon having received the change
};

/// Decides whether keyed requests are accepted while the configuration is not confirmed. Does not apply to open routes,
/// which need no key.
class KeyFreshness {
public:
    static Result<KeyFreshness, KeyFreshnessError> create(KeyFreshnessOptions options);

    void handle(const KeyFreshnessEvent& event, MonotonicTime now);

    KeyTrust trust(MonotonicTime now) const;

    bool mayAccept(MonotonicTime now) const { return trust(now) != KeyTrust::Unconfirmed; }

    /// Whether running keyed streams must be cut as well.
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
    std::optional<MonotonicTime> m_trustedUntil; ///< latest known time until which keyed requests were accepted
    std::set<DataCenterId> m_dataCenters;
    std::map<DataCenterId, MonotonicTime> m_peerOutageUntil; ///< expiry of a peer's report that it cannot read the log
};

} // namespace hornbeamgate
