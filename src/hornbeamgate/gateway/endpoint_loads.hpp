#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/time.hpp"

#include <map>
#include <optional>
#include <set>

namespace hornbeamgate::gateway {

/// Load that an endpoint states in an answer.
struct LoadReport {
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

/// How a send to an endpoint ended, as far as the endpoint's health is concerned.
enum class SendOutcome {
    Served, ///< a whole answer that is no failure
    Shed, ///< turned away without running it
    Failed, ///< an error answer, a broken answer or none
    Abandoned, ///< given up on our side; says nothing about the endpoint
};

/// Estimated load and health of the endpoints, from this daemon's own sends and the answers to them.
///
/// A report counts the requests of all daemons but ages; own sends are known at once. The estimate adds both, with the
/// part of other daemons fading, so that a daemon that sends rarely does not act on old peaks.
///
/// Load it answers: endpoints that fail or hold a part of their requests while their health check passes.
class EndpointLoads {
public:
    /// Notes a send of a request with `tokens` of prompt to read; the number names it from here on.
    void sent(const EndpointId& id, std::uint64_t number, std::int64_t tokens, MonotonicTime now);
    /// The answer began, so the prompt has been read.
    void answerBegan(const EndpointId& id, std::uint64_t number);
    /// How many later sends, with prompts no shorter, began their answer before this one did. An engine serves equal
    /// requests in order, so a send that is overtaken again and again is lost, while one in a long queue is not.
    int timesOvertaken(const EndpointId& id, std::uint64_t number) const;
    void finished(const EndpointId& id, std::uint64_t number, SendOutcome outcome, MonotonicTime now);
    void reported(const EndpointId& id, const LoadReport& report, MonotonicTime now);
    /// No connection to the endpoint could be opened.
    void unreachable(const EndpointId& id, MonotonicTime now);

    /// Keeps requests away until then, such as while the endpoint loads weights.
    void pauseUntil(const EndpointId& id, MonotonicTime end);
    void resume(const EndpointId& id);

    /// Requests that the endpoint is estimated to hold.
    double load(const EndpointId& id, MonotonicTime now) const;
    /// Prompt tokens that wait to be read there, of this daemon's sends and of what others report.
    std::int64_t pendingPrefillTokens(const EndpointId& id, MonotonicTime now) const;
    /// Prompt tokens of this daemon's sends that wait to be read, by endpoint.
    std::map<EndpointId, std::int64_t> localPendingPrefillTokens() const;
    /// Takes another daemon's tokens that wait to be read. They are forgotten unless reported again soon.
    void setPeerPendingPrefillTokens(const HostId& peer, const std::map<EndpointId, std::int64_t>& tokens, MonotonicTime now);
    /// Share of recent sends that failed, from 0 to 1.
    double failureRate(const EndpointId& id) const;
    /// True while no request should go there if another endpoint can take it.
    bool isAvoided(const EndpointId& id, MonotonicTime now) const;
    /// True after failures in a row, for a while.
    bool isFailing(const EndpointId& id, MonotonicTime now) const;
    /// Time since the oldest unanswered send, or zero.
    Duration oldestUnanswered(const EndpointId& id, MonotonicTime now) const;

    void forget(const EndpointId& id) { m_endpoints.erase(id); }

private:
    struct Send {
        MonotonicTime sentAt;
        std::int64_t tokens = 0;
        bool hasBegun = false; ///< its answer, so the prompt is read
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
    };

    void recordFailure(State& state, MonotonicTime now);

    std::map<EndpointId, State> m_endpoints;
    std::map<HostId, PeerTokens> m_peerTokens;
};

} // namespace hornbeamgate::gateway
