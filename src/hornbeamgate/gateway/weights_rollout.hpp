#pragma once

#include "hornbeamgate/gateway/endpoint_registry.hpp"

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

/// Order that was sent recently.
struct RecentOrder {
    EndpointId endpoint;
    std::chrono::milliseconds age {};
};

/// Decides which engines load newer weights. Only one daemon, the leader, issues orders at a time.
///
/// The store's group membership selects the leader and numbers its generations, which serve as fencing tokens of the
/// orders. A new leader waits until the lease of the previous one has expired, and a leader whose membership is not
/// confirmed in time stops by itself. Two daemons therefore never issue orders within one lease.
///
/// Designed for new weights every few seconds under continuous traffic, so that only some engines load concurrently.
class WeightsRollout {
public:
    /// No request should start on older weights later than `bound` after newer weights were set as the target.
    WeightsRollout(Duration lease, Duration bound)
        : m_lease(lease)
        , m_bound(bound)
    {
    }

    /// Confirms this daemon as leader until `end`, according to the membership. If `token` is unchanged since its last
    /// leadership, no other daemon was leader in between and there is no lease to wait for.
    void confirm(FencingToken token, MonotonicTime end, MonotonicTime now);
    /// Gives up leadership, so that another daemon may take over immediately.
    void resign();
    /// Ends leadership because the membership selected another daemon. This is not reported as a resignation: the daemons
    /// that receive it would join the group, and each join changes the leader again.
    void loseLeadership() { m_token.reset(); }
    /// Resigns if the membership was not confirmed in time.
    void resignIfExpired(MonotonicTime now);
    /// Returns how often this daemon gave up leadership.
    std::uint64_t resignations() const { return m_resignations; }

    /// Handles a resignation of the leader. Only the engines in `orders`, its last orders, must wait for its lease to end.
    void leaderResigned(const std::vector<RecentOrder>& orders, MonotonicTime now);
    /// Discards an earlier resignation, because another daemon has become leader since.
    void otherLeaderSeen() { m_leaderResignedAt.reset(); }

    void setTarget(const ModelId& model, WeightsVersion version, MonotonicTime now);
    /// Returns the newest version that has been a target for so long that requests on older weights would exceed the bound.
    WeightsVersion oldestAllowed(const ModelId& model, MonotonicTime now) const;
    const std::map<ModelId, WeightsVersion>& targets() const { return m_targets; }

    /// Returns the orders to send now. Each remains in progress until `finishOrder` is called.
    std::vector<WeightsOrder> takeDue(const EndpointRegistry& registry, MonotonicTime now);
    /// Returns true while this daemon may send orders to `endpoint`.
    bool mayOrder(const EndpointId& endpoint, MonotonicTime now) const;
    void orderSent(const EndpointId& endpoint, MonotonicTime now) { m_sentOrders[endpoint] = now; }
    /// Returns the orders that this daemon sent within the last lease.
    std::vector<RecentOrder> recentOrders(MonotonicTime now) const;
    /// Returns true while the membership is confirmed, even if orders are not allowed yet.
    bool isConfirmed(MonotonicTime now) const { return m_token && now < m_confirmedUntil; }

    /// Ends an order. An engine that still lacks the weights becomes due again after a delay that grows with each failure.
    void finishOrder(const EndpointId& endpoint, bool isLoaded, MonotonicTime now);

    /// Returns how many of `engines` engines may load weights concurrently.
    static std::size_t maxConcurrentLoads(std::size_t engines);

private:
    struct TargetChange {
        WeightsVersion version;
        MonotonicTime at;
    };
    struct Retry {
        MonotonicTime at;
        int failures = 0;
    };

    Duration m_lease;
    Duration m_bound;
    std::map<ModelId, std::vector<TargetChange>> m_targetHistory; ///< by version
    std::map<ModelId, WeightsVersion> m_targets;
    std::optional<FencingToken> m_token;
    std::optional<FencingToken> m_lastToken; ///< kept after leadership is lost
    MonotonicTime m_ordersAllowedAt {};
    bool m_isHandover = false; ///< the previous leader resigned and its last orders are known
    std::optional<MonotonicTime> m_leaderResignedAt;
    std::map<EndpointId, MonotonicTime> m_previousLeaderOrders;
    std::map<EndpointId, MonotonicTime> m_sentOrders;
    std::uint64_t m_resignations = 0;
    MonotonicTime m_confirmedUntil {};
    std::map<EndpointId, WeightsOrder> m_inProgress;
    std::map<EndpointId, Retry> m_retries;
};

} // namespace hornbeamgate::gateway
