#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/time.hpp"

#include <map>
#include <optional>
#include <set>

namespace hornbeamgate {

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
    /// Notes a send; the number names it in `finished`.
    void sent(const EndpointId& id, std::uint64_t number, MonotonicTime now);
    void finished(const EndpointId& id, std::uint64_t number, SendOutcome outcome, MonotonicTime now);
    void reported(const EndpointId& id, const LoadReport& report, MonotonicTime now);
    /// No connection to the endpoint could be opened.
    void unreachable(const EndpointId& id, MonotonicTime now);

    /// Keeps requests away until then, such as while the endpoint loads weights.
    void pauseUntil(const EndpointId& id, MonotonicTime end);
    void resume(const EndpointId& id);

    /// Requests that the endpoint is estimated to hold.
    double load(const EndpointId& id, MonotonicTime now) const;
    /// Share of recent sends that failed, from 0 to 1.
    double failureShare(const EndpointId& id) const;
    /// True while no request should go there if another endpoint can take it.
    bool isAvoided(const EndpointId& id, MonotonicTime now) const;
    /// Time since the oldest unanswered send, or zero.
    Duration oldestUnanswered(const EndpointId& id, MonotonicTime now) const;

    void forget(const EndpointId& id) { m_endpoints.erase(id); }

private:
    struct State {
        std::map<std::uint64_t, MonotonicTime> unanswered;
        double othersAtReport = 0;
        MonotonicTime reportedAt {};
        double failureShare = 0;
        int failuresInRow = 0;
        MonotonicTime avoidedUntil {};
        MonotonicTime pausedUntil {};
    };

    void noteFailure(State& state, MonotonicTime now);

    std::map<EndpointId, State> m_endpoints;
};

} // namespace hornbeamgate
