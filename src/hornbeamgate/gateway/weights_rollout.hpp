#pragma once

#include "hornbeamgate/gateway/endpoint_advisories.hpp"
#include "hornbeamgate/gateway/endpoint_registry.hpp"
#include "hornbeamgate/gateway/order_journal.hpp"

#include <map>
#include <optional>
#include <vector>

namespace hornbeamgate::gateway {

/// Instructs an engine to load a weights version.
struct WeightsOrder {
    EndpointId endpoint;
    ModelId model;
    WeightsVersion version;
    FencingToken token;

    bool operator==(const WeightsOrder&) const = default;
};

/// How long ago a weights version became the target.
struct TargetAge {
    ModelId model;
    WeightsVersion version;
    std::chrono::milliseconds age {};
};

/// Decides which engines load newer weights. Only one daemon, the leader, issues orders at a time.
///
/// The store's group membership selects the leader and numbers its generations, which serve as fencing tokens of the
/// orders. A leader whose membership is not confirmed in time stops by itself, and the order journal names the engines for
/// which a new leader must wait. Two daemons therefore never send orders to one engine within a lease.
///
/// Designed for new weights every few seconds under continuous traffic, so that only some engines load concurrently, for
/// loads that take a good part of the bound, and for leaders that are frozen or die while engines load.
class WeightsRollout {
public:
    /// No request should start on older weights later than `bound` after newer weights were set as the target.
    WeightsRollout(HostId self, Duration lease, Duration bound)
        : m_bound(bound)
        , m_journal(std::move(self), lease)
    {
    }

    /// Confirms this daemon as leader until `end`, according to the membership.
    void confirm(FencingToken token, MonotonicTime end, MonotonicTime now);
    /// Ends leadership. Another daemon may have become leader already.
    void loseLeadership();
    /// Ends leadership if the membership was not confirmed in time, or if another leader has taken the journal over.
    void update(MonotonicTime now);

    void setTarget(const ModelId& model, WeightsVersion version, MonotonicTime now);
    /// Sets a target that became known some unknown time after it was set. Its bound counts as expired until a daemon that
    /// saw it being set reports its age.
    void setTargetOfUnknownAge(const ModelId& model, WeightsVersion version, MonotonicTime now);
    void onTargetAge(const TargetAge& target, MonotonicTime now);
    /// Returns the ages of the newest targets and of those before them whose bounds still matter. A starting daemon finds only
    /// the newest one in the store.
    std::vector<TargetAge> targetAges(MonotonicTime now) const;
    /// Returns the newest version that has been a target for so long that requests on older weights would exceed the bound,
    /// whether or not it could be rolled out meanwhile.
    WeightsVersion oldestAllowed(const ModelId& model, MonotonicTime now) const;
    /// Returns the newest version that has been a target for so long while the store was available. Requests must not be sent
    /// to engines with older weights, even if there are no others.
    WeightsVersion oldestSendable(const ModelId& model, MonotonicTime now) const;
    /// Returns until when a request that waits at an engine with `weights` may begin there.
    std::optional<MonotonicTime> latestBegin(const ModelId& model, WeightsVersion weights) const;
    /// The store is not available, so no leader can record its orders. Bounds that have not ended are suspended.
    void storeLost(MonotonicTime now) { m_storeLostAt = m_storeLostAt.value_or(now); }
    void storeRegained(MonotonicTime now);
    /// The store has lost its newest records, so no order is sent for some time. Bounds that have not ended count from now.
    void storeRestored(MonotonicTime now);
    const std::map<ModelId, WeightsVersion>& targets() const { return m_targets; }

    /// Returns the orders to prepare now. Each remains in progress until `finishOrder` is called.
    std::vector<WeightsOrder> takeDue(const EndpointRegistry& registry, const EndpointAdvisories& advisories, MonotonicTime now);
    /// Returns true while the order for `endpoint` may be sent: its engine was recorded in the journal recently.
    bool mayOrder(const EndpointId& endpoint, MonotonicTime now) const { return isConfirmed(now) && m_journal.isRecorded(endpoint, now); }
    /// Returns true while the membership is confirmed, even if orders are not allowed yet.
    bool isConfirmed(MonotonicTime now) const { return m_token && now < m_confirmedUntil; }
    /// Returns the token of the current leadership, if this daemon is confirmed as leader.
    std::optional<FencingToken> leadership(MonotonicTime now) const { return isConfirmed(now) ? m_token : std::nullopt; }
    OrderJournal& journal() { return m_journal; }

    /// Ends an order. An engine that still lacks the weights becomes due again after a delay that grows with each failure.
    void finishOrder(const EndpointId& endpoint, bool isLoaded, MonotonicTime now);
    /// Records how long an ordered load of a model took, with the requests that the engine finished before it.
    void recordLoadTime(const ModelId& model, Duration time);

    /// Returns how many of `engines` engines may load weights concurrently.
    static std::size_t maxConcurrentLoads(std::size_t engines, bool isCapacityScarce = false);
    /// Tells whether requests compete for the capacity that loading engines lack.
    void setCapacityScarce(bool isCapacityScarce) { m_isCapacityScarce = isCapacityScarce; }

private:
    struct TargetChange {
        WeightsVersion version;
        MonotonicTime at;
        MonotonicTime countedFrom; ///< start of the bound: later than `at` while the age is unknown and after an outage of the store
        bool isAgeKnown = true;
    };
    struct Retry {
        MonotonicTime at;
        int failures = 0;
    };

    /// Returns when requests must not begin on older weights any more.
    MonotonicTime boundEnd(const TargetChange& target) const;
    /// Returns how many of the engines with these weights have to load concurrently so that all have the targets in time.
    std::size_t concurrentLoads(const ModelId& model, const std::vector<WeightsVersion>& engines, MonotonicTime now) const;

    Duration m_bound;
    std::optional<MonotonicTime> m_storeLostAt;
    std::map<ModelId, Duration> m_loadTimes; ///< moving averages; none until the first load
    OrderJournal m_journal;
    std::map<ModelId, std::vector<TargetChange>> m_targetHistory; ///< by version
    std::map<ModelId, WeightsVersion> m_targets;
    bool m_isCapacityScarce = false;
    std::optional<FencingToken> m_token;
    MonotonicTime m_confirmedUntil {};
    std::map<EndpointId, WeightsOrder> m_inProgress;
    std::map<EndpointId, Retry> m_retries;
};

} // namespace hornbeamgate::gateway
