#pragma once

#include "hornbeamgate/gateway/endpoint_roster.hpp"

#include <map>
#include <optional>
#include <vector>

namespace hornbeamgate {

/// Weights that one engine is to load.
struct WeightsOrder {
    EndpointId endpoint;
    ModelId model;
    WeightsVersion version;
    FencingToken token;

    bool operator==(const WeightsOrder&) const = default;
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
    explicit WeightsDuty(Duration lease)
        : m_lease(lease)
    {
    }

    /// The membership names this daemon as holder, valid until `end` unless confirmed again.
    void confirm(FencingToken token, MonotonicTime end, MonotonicTime now);
    /// Another daemon holds the duty, or nobody does.
    void lose();

    void setTarget(const ModelId& model, WeightsVersion version);
    const std::map<ModelId, WeightsVersion>& targets() const { return m_targets; }

    /// Orders to begin now. Each stays in progress until it is settled.
    std::vector<WeightsOrder> takeDue(const EndpointRoster& roster, MonotonicTime now);
    /// True while this daemon may still carry out orders.
    bool isHeld(MonotonicTime now) const;

    /// Ends an order. An engine that still lacks the weights is due again at `retryAt`.
    void settle(const EndpointId& endpoint, MonotonicTime retryAt);

    /// Engines that may load weights at once out of `engines`.
    static std::size_t mostAtOnce(std::size_t engines);

private:
    Duration m_lease;
    std::map<ModelId, WeightsVersion> m_targets;
    std::optional<FencingToken> m_token;
    MonotonicTime m_mayStart {};
    MonotonicTime m_heldUntil {};
    std::map<EndpointId, WeightsOrder> m_inProgress;
    std::map<EndpointId, MonotonicTime> m_retryAt;
};

} // namespace hornbeamgate
