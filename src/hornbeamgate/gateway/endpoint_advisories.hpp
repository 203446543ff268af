#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/time.hpp"
#include "hornbeamgate/gateway/endpoint_registry.hpp"
#include "hornbeamgate/gateway/shared_token_bucket.hpp"
#include "hornbeamgate/rates/demand_meter.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace hornbeamgate::gateway {

/// What an endpoint asks of all daemons in the head of a response.
struct EndpointAdvice {
    std::optional<double> requestsPerSecond; ///< the most that it takes from all daemons together
    bool isLeaving = false; ///< it will end and wants no more requests
    std::optional<std::chrono::milliseconds> retryAfter; ///< it wants nothing from this daemon for so long
};

/// Size of a request as far as limits are concerned. A limit counts requests whatever they cost the endpoint, so large ones
/// are admitted first.
enum class RequestSize {
    Small,
    Large,
};

/// An incarnation of an endpoint, to which advice belongs.
struct EndpointInstance {
    EndpointId id;
    Incarnation incarnation;
    ServiceId service;
};

inline EndpointInstance instanceOf(const EndpointEntry& entry)
{
    return { entry.id, entry.incarnation, entry.service };
}

/// Limit that a daemon has read in a response, as it is told to other daemons.
struct AdvisedLimit {
    EndpointId endpoint;
    Incarnation incarnation;
    std::optional<double> requestsPerSecond; ///< none if the endpoint names no limit any more
    std::chrono::milliseconds age {}; ///< of the response with the limit, or of the request that was answered without one
};

/// Endpoint that has said in a response that it leaves.
struct LeavingEndpoint {
    EndpointId endpoint;
    Incarnation incarnation;
};

/// What a daemon tells the others about the endpoints' advice.
struct AdvisoryReport {
    std::vector<AdvisedLimit> limits;
    std::vector<LeavingEndpoint> leaving;
    std::map<ServiceId, std::int64_t> demand; ///< requests that the daemon expects within DemandHorizon
};

/// What the endpoints have asked for in their responses, as far as it still holds, and this daemon's share of it.
///
/// Advice belongs to one incarnation of an endpoint. It holds until the endpoint asks for something else, or for nothing, in
/// a response to a request that was sent after the advice had been received: responses overtake each other.
///
/// A request to be left alone for some time holds for the daemon that was told. When the time is over, the daemon sends as
/// many requests per second as its share of the endpoint's slots, and doubles that several times a second, since everything
/// that waited would otherwise arrive at once.
///
/// A limit holds for all daemons together. It is divided by the demand that the daemons last reported, so that all of them
/// compute the same shares. A daemon with a share may send a request without having waited for it, so only as many daemons
/// share a limit as such requests are few beside it; rendezvous hashing selects them.
///
/// Designed for most engines of a fleet that name limits at the same time, under traffic that the balancer distributes
/// unevenly over the daemons.
class EndpointAdvisories {
public:
    explicit EndpointAdvisories(HostId self)
        : m_self(std::move(self))
    {
    }

    /// Handles the head of a successful response, received at `now`, to a request that was sent to `endpoint` at `sentAt`.
    /// Returns true if the endpoint's limit has changed.
    bool recordResponse(const EndpointInstance& endpoint, const EndpointAdvice& advice, MonotonicTime sentAt, MonotonicTime now);
    /// Handles a response that says nothing about what the endpoint does not ask for, such as an error.
    bool recordError(const EndpointInstance& endpoint, const EndpointAdvice& advice, MonotonicTime sentAt, MonotonicTime now);
    /// Handles what another daemon says of `endpoint`. Returns true if the endpoint's limit has changed.
    bool recordPeerLimit(const EndpointInstance& endpoint, const AdvisedLimit& limit, MonotonicTime now);
    /// Records that the endpoint said in a response that it leaves, which holds until its incarnation ends. Returns true if
    /// this was not known.
    bool recordLeaving(const EndpointInstance& endpoint, MonotonicTime now);
    /// Records that another daemon read it in a response.
    bool recordPeerLeaving(const EndpointInstance& endpoint, MonotonicTime now);
    /// Records that the endpoint, which runs `slots` requests at a time, wants nothing from this daemon for `retryAfter`.
    /// Returns true if that is later than what was known.
    bool recordRetryAfter(const EndpointInstance& endpoint, int slots, std::chrono::milliseconds retryAfter, MonotonicTime now);
    /// Forgets the limit of an endpoint that is gone. What else it asked for holds on, since an older record of the directory
    /// may bring it back.
    void forget(const EndpointId& id);

    /// Sets the other daemons that may be running.
    void setFleet(std::vector<HostId> others, MonotonicTime now);
    void recordRequest(const ServiceId& service, MonotonicTime now);
    void setPeerDemand(const HostId& peer, const std::map<ServiceId, std::int64_t>& demand);
    /// Returns what the other daemons have to know: limits read in responses since `since`, and the demand for services
    /// with limited endpoints, by which the shares are computed from now on.
    AdvisoryReport report(MonotonicTime since, MonotonicTime now);

    /// Returns whether the endpoint has said that it leaves.
    bool isLeaving(const EndpointInstance& endpoint) const;
    /// Returns the limit of requests per second over all daemons that the endpoint has named.
    std::optional<double> limitOf(const EndpointInstance& endpoint) const;
    /// Returns this daemon's share of the limit in requests per second; zero if it has none.
    double shareOf(const EndpointInstance& endpoint) const;
    /// Returns whether the endpoint has asked this daemon for nothing at this time.
    bool isPaused(const EndpointInstance& endpoint, MonotonicTime now) const;
    /// Returns the requests per second that the endpoint takes from this daemon; zero if there is no limit, or no share of it.
    double admissionRate(const EndpointInstance& endpoint, MonotonicTime now) const;
    /// Returns whether the endpoint may be sent a request now.
    bool admits(const EndpointInstance& endpoint, RequestSize size, MonotonicTime now) const;
    /// Returns the earliest time at which the endpoint may be sent a request; none if this daemon has no share of its limit.
    std::optional<MonotonicTime> nextAdmission(const EndpointInstance& endpoint, RequestSize size, MonotonicTime now) const;
    /// Counts a request that is sent to the endpoint.
    void recordSend(const EndpointInstance& endpoint, MonotonicTime now);

private:
    struct State {
        Incarnation incarnation;
        ServiceId service;
        std::optional<MonotonicTime> leavingSince;
        bool isLeavingRead = false; ///< in a response to this daemon
        MonotonicTime pausedUntil {};
        MonotonicTime resumedAt {}; ///< end of the gradual resumption after the pause
        double resumptionRate = 0; ///< requests per second at its start
        int resumedSends = 0; ///< requests sent in the course of it
        std::optional<double> limit;
        MonotonicTime namedAt {}; ///< last time the endpoint named a limit
        MonotonicTime unlimitedAt {}; ///< the endpoint answered a request sent at this time without a limit
        std::optional<MonotonicTime> readAt; ///< time of the last change that was read in a response
        std::vector<HostId> daemons; ///< that share the limit
        bool hasShare = false;
        SharedTokenBucket share { 0, 0, MonotonicTime() };
    };

    State* find(const EndpointInstance& endpoint);
    const State* find(const EndpointInstance& endpoint) const;
    /// Returns the state of the incarnation, or null if it has been replaced.
    State* obtain(const EndpointInstance& endpoint);
    bool nameLimit(State& state, const EndpointId& id, double limit, MonotonicTime now);
    void selectDaemons(State& state, const EndpointId& id) const;
    void updateShare(State& state, MonotonicTime now) const;
    void dropExpired(MonotonicTime now);
    std::int64_t demandOf(const HostId& daemon, const ServiceId& service) const;

    HostId m_self;
    std::vector<HostId> m_others;
    std::map<EndpointId, State> m_endpoints;
    std::map<ServiceId, DemandMeter> m_demand;
    std::map<HostId, std::map<ServiceId, std::int64_t>> m_reportedDemand; ///< of all daemons, including this one
};

} // namespace hornbeamgate::gateway
