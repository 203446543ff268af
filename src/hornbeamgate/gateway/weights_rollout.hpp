#pragma once

#include "hornbeamgate/gateway/endpoint_registry.hpp"

#include <map>
#include <optional>
#include <vector>

namespace hornbeamgate::gateway {

/// Weights that one engine is to load.
struct WeightsOrder {
    EndpointId endpoint;
    ModelId model;
    WeightsVersion version;
    FencingToken token;

    bool operator==(const WeightsOrder&) const = default;
};

/// Order that was sent lately.
struct RecentOrder {
    EndpointId endpoint;
    std::chrono::milliseconds age {};
};

/// Decides which engines load newer weights now. One daemon holds this duty at a time.
///
/// The store's group membership names the holder and counts its generations, which fence the orders. A new holder
/// waits out the lease of the one before; a holder whose membership is not confirmed in time stops by itself, so two
/// daemons never give orders within one lease.
///
/// Load it answers: weights named every few seconds while requests go on, so only a part of the engines loads at once.
class WeightsRollout {
public:
    /// No request should begin on older weights later than `bound` after newer ones were named.
    WeightsRollout(Duration lease, Duration bound)
        : m_lease(lease)
        , m_bound(bound)
    {
    }

    /// The membership names this daemon as holder, valid until `end` unless confirmed again. The generation that it held
    /// before shows that nobody else held the duty meanwhile, so there is no lease to wait out.
    void confirm(FencingToken token, MonotonicTime end, MonotonicTime now);
    /// This daemon gives no more orders, and others may take the duty at once.
    void resign();
    /// This daemon gives no more orders, since the membership named another one. That is no resignation: if it were told
    /// as one, those that hear it would join, and each join moves the duty again.
    void loseLeadership() { m_token.reset(); }
    /// Gives the duty up when its membership was not confirmed in time.
    void resignIfExpired(MonotonicTime now);
    /// How often this daemon gave the duty up.
    std::uint64_t resignations() const { return m_resignations; }

    /// The holder said that it gives no more orders, and which ones it gave last. Other engines need not wait out its lease.
    void leaderResigned(const std::vector<RecentOrder>& orders, MonotonicTime now);
    /// Another daemon holds the duty, so an earlier resignation tells nothing any more.
    void otherLeaderSeen() { m_leaderResignedAt.reset(); }

    void setTarget(const ModelId& model, WeightsVersion version, MonotonicTime now);
    /// Newest version that was named so long ago that requests on older weights would pass the bound.
    WeightsVersion oldestAllowed(const ModelId& model, MonotonicTime now) const;
    const std::map<ModelId, WeightsVersion>& targets() const { return m_targets; }

    /// Orders to begin now. Each stays in progress until it is settled.
    std::vector<WeightsOrder> takeDue(const EndpointRegistry& registry, MonotonicTime now);
    /// True while this daemon may send orders to `endpoint`.
    bool mayOrder(const EndpointId& endpoint, MonotonicTime now) const;
    void orderSent(const EndpointId& endpoint, MonotonicTime now) { m_sentOrders[endpoint] = now; }
    /// Own orders within the last lease.
    std::vector<RecentOrder> recentOrders(MonotonicTime now) const;
    /// True while the membership is confirmed, also before the first order may be given.
    bool isConfirmed(MonotonicTime now) const { return m_token && now < m_confirmedUntil; }

    /// Ends an order. An engine that still lacks the weights is due again soon, and later after each failure.
    void finishOrder(const EndpointId& endpoint, bool isLoaded, MonotonicTime now);

    /// Engines that may load weights at once out of `engines`.
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
    std::optional<FencingToken> m_lastToken; ///< also after the duty was lost
    MonotonicTime m_ordersAllowedAt {};
    bool m_isHandover = false; ///< the holder before resigned, and its last orders are known
    std::optional<MonotonicTime> m_leaderResignedAt;
    std::map<EndpointId, MonotonicTime> m_previousLeaderOrders;
    std::map<EndpointId, MonotonicTime> m_sentOrders;
    std::uint64_t m_resignations = 0;
    MonotonicTime m_confirmedUntil {};
    std::map<EndpointId, WeightsOrder> m_inProgress;
    std::map<EndpointId, Retry> m_retries;
};

} // namespace hornbeamgate::gateway
