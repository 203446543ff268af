#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/time.hpp"

#include <map>
#include <optional>
#include <set>

namespace hornbeamgate::gateway {

/// Load that an endpoint reports in a response.
struct LoadReport {
    int running = 0;
    int waiting = 0;
    int slots = 0;
    /// Time that work takes on the endpoint's machine now, in per cent of the usual; stated where machines are shared.
    std::optional<int> slowdownPercent {};
};

/// Outcome of a send to an endpoint, as used for its health.
enum class SendOutcome {
    Served, ///< complete response without an error
    Shed, ///< rejected by the endpoint without execution
    Failed, ///< error response, incomplete response or no response
    Abandoned, ///< cancelled by this daemon; does not affect the endpoint's health
};

/// Estimates the load and health of the endpoints from this daemon's own sends and the responses to them.
///
/// A load report covers the requests of all daemons but becomes stale, while own sends are known immediately. The
/// estimate is the sum of both. The share of other daemons decays, so that a daemon that sends rarely does not act on
/// old peaks.
///
/// Designed for endpoints that fail or stall part of their requests while their health check passes.
class EndpointLoads {
public:
    /// Peers report several times a second, and prefill takes some hundred milliseconds.
    static constexpr std::chrono::milliseconds kPeerTokensTimeout { 600 };

    /// Records a send of a request with `tokens` prompt tokens to prefill. `number` identifies the send in later calls.
    void sent(const EndpointId& id, std::uint64_t number, std::int64_t tokens, MonotonicTime now);
    /// Records that the response has started, so prefill is complete.
    void answerBegan(const EndpointId& id, std::uint64_t number);
    /// Returns how many later sends with prompts of at least the same length were answered before this one. An engine
    /// serves equal requests in order, so a send that is overtaken repeatedly is lost, while one in a long queue is not.
    int timesOvertaken(const EndpointId& id, std::uint64_t number) const;
    void finished(const EndpointId& id, std::uint64_t number, SendOutcome outcome, MonotonicTime now);
    void reported(const EndpointId& id, const LoadReport& report, MonotonicTime now);
    /// Returns whether a load report of the endpoint that cannot be decoded should be logged: once in `kUnreadableLogInterval`.
    bool shouldLogUnreadable(const EndpointId& id, MonotonicTime now);
    /// Records that no connection to the endpoint could be opened.
    void unreachable(const EndpointId& id, MonotonicTime now);

    /// Avoids the endpoint until `end`, for example while it loads weights.
    void pauseUntil(const EndpointId& id, MonotonicTime end);
    void resume(const EndpointId& id);

    /// Returns the estimated number of requests at the endpoint.
    double load(const EndpointId& id, MonotonicTime now) const;
    /// Returns the prompt tokens waiting for prefill at the endpoint, from this daemon's sends and from peer reports.
    std::int64_t pendingPrefillTokens(const EndpointId& id, MonotonicTime now) const;
    /// Returns how many of this daemon's sends with at least `tokens` prompt tokens wait for prefill at the endpoint.
    std::size_t localUnreadPrompts(const EndpointId& id, std::int64_t tokens) const;
    /// Returns the prompt tokens of this daemon's sends that wait for prefill, by endpoint.
    std::map<EndpointId, std::int64_t> localPendingPrefillTokens() const;
    /// Sets how long peers' tokens count. Where it is shorter than the interval of the reports, engines look idle in between.
    void setPeerTokensTimeout(Duration timeout) { m_peerTokensTimeout = timeout; }
    /// Sets the prompt tokens that wait for prefill according to a peer. They expire unless they are reported again soon.
    void setPeerPendingPrefillTokens(const HostId& peer, const std::map<EndpointId, std::int64_t>& tokens, MonotonicTime now);
    /// Returns the share of recent sends that failed, from 0 to 1.
    double failureRate(const EndpointId& id) const;
    /// Returns true while requests should go to another endpoint if one is available.
    bool isAvoided(const EndpointId& id, MonotonicTime now) const;
    /// Returns true during the backoff that follows consecutive failures.
    bool isFailing(const EndpointId& id, MonotonicTime now) const;
    /// Returns the time since the oldest unanswered send, or zero if there is none.
    Duration oldestUnanswered(const EndpointId& id, MonotonicTime now) const;

    void forget(const EndpointId& id) { m_endpoints.erase(id); }

private:
    struct Send {
        MonotonicTime sentAt;
        std::int64_t tokens = 0;
        bool hasBegun = false; ///< the response has started, so prefill is complete
        int timesOvertaken = 0;
    };
    struct PeerTokens {
        std::map<EndpointId, std::int64_t> tokens;
        MonotonicTime reportedAt {};
    };
    struct State {
        std::map<std::uint64_t, Send> unanswered;
        double peerRequestsAtReport = 0;
        MonotonicTime reportedAt {};
        double failureRate = 0;
        int consecutiveFailures = 0;
        MonotonicTime avoidedUntil {};
        MonotonicTime pausedUntil {};
        MonotonicTime unreadableLoggedUntil {};
    };

    void recordFailure(State& state, MonotonicTime now);

    std::map<EndpointId, State> m_endpoints;
    std::map<HostId, PeerTokens> m_peerTokens;
    Duration m_peerTokensTimeout = kPeerTokensTimeout;
};

} // namespace hornbeamgate::gateway
