#pragma once

#include "hornbeamgate/gateway/endpoint_roster.hpp"

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
class WeightsDuty {
public:
    /// No request should begin on older weights later than `bound` after newer ones were named.
    WeightsDuty(Duration lease, Duration bound)
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
    void lose() { m_token.reset(); }
    /// Gives the duty up when its membership was not confirmed in time.
    void checkLapse(MonotonicTime now);
    /// How often this daemon gave the duty up.
    std::uint64_t resignations() const { return m_resignations; }

    /// The holder said that it gives no more orders, and which ones it gave last. Other engines need not wait out its lease.
    void holderResigned(const std::vector<RecentOrder>& orders, MonotonicTime now);
    /// Another daemon holds the duty, so an earlier resignation tells nothing any more.
    void heldElsewhere() { m_holderResignedAt.reset(); }

    void setTarget(const ModelId& model, WeightsVersion version, MonotonicTime now);
    /// Newest version that was named so long ago that requests on older weights would pass the bound.
    WeightsVersion oldestAllowed(const ModelId& model, MonotonicTime now) const;
    const std::map<ModelId, WeightsVersion>& targets() const { return m_targets; }

    /// Orders to begin now. Each stays in progress until it is settled.
    std::vector<WeightsOrder> takeDue(const EndpointRoster& roster, MonotonicTime now);
    /// True while this daemon may send orders to `endpoint`.
    bool mayOrder(const EndpointId& endpoint, MonotonicTime now) const;
    void orderSent(const EndpointId& endpoint, MonotonicTime now) { m_ownOrders[endpoint] = now; }
    /// Own orders within the last lease.
    std::vector<RecentOrder> recentOrders(MonotonicTime now) const;
    /// True while the membership is confirmed, also before the first order may be given.
    bool isConfirmed(MonotonicTime now) const { return m_token && now < m_heldUntil; }

    /// Ends an order. An engine that still lacks the weights is due again soon, and later after each failure.
    void settle(const EndpointId& endpoint, bool isInPlace, MonotonicTime now);

    /// Engines that may load weights at once out of `engines`.
    static std::size_t mostAtOnce(std::size_t engines);

private:
    struct Named {
        WeightsVersion version;
        MonotonicTime at;
    };
    struct Retry {
        MonotonicTime at;
        int failures = 0;
    };

    Duration m_lease;
    Duration m_bound;
    std::map<ModelId, std::vector<Named>> m_named; ///< by version
    std::map<ModelId, WeightsVersion> m_targets;
    std::optional<FencingToken> m_token;
    std::optional<FencingToken> m_lastToken; ///< also after the duty was lost
    MonotonicTime m_mayStart {};
    bool m_isHandover = false; ///< the holder before resigned, and its last orders are known
    std::optional<MonotonicTime> m_holderResignedAt;
    std::map<EndpointId, MonotonicTime> m_foreignOrders;
    std::map<EndpointId, MonotonicTime> m_ownOrders;
    std::uint64_t m_resignations = 0;
    MonotonicTime m_heldUntil {};
    std::map<EndpointId, WeightsOrder> m_inProgress;
    std::map<EndpointId, Retry> m_retries;
};

} // namespace hornbeamgate::gateway
