#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/time.hpp"

#include <map>
#include <optional>

namespace hornbeamgate::gateway {

/// What an endpoint asks of all daemons in the head of a response.
struct EndpointAdvice {
    std::optional<double> requestsPerSecond; ///< the most that it takes from all daemons together
};

/// An incarnation of an endpoint, to which advice belongs.
struct EndpointInstance {
    EndpointId id;
    Incarnation incarnation;
};

/// What the endpoints have asked for in their responses, as far as it still holds.
///
/// Advice belongs to one incarnation of an endpoint. It holds until the endpoint asks for something else, or for nothing, in
/// a response to a request that was sent after the advice had been received: responses overtake each other.
class EndpointAdvisories {
public:
    /// Handles the head of a response, received at `now`, to a request that was sent to `endpoint` at `sentAt`. Returns true
    /// if the endpoint's limit has changed.
    bool recordResponse(const EndpointInstance& endpoint, const EndpointAdvice& advice, MonotonicTime sentAt, MonotonicTime now);

    /// Returns the limit of requests per second over all daemons that the endpoint has named.
    std::optional<double> limitOf(const EndpointInstance& endpoint) const;
    void forget(const EndpointId& id) { m_limits.erase(id); }

private:
    struct Limit {
        Incarnation incarnation;
        double requestsPerSecond = 0;
        MonotonicTime namedAt; ///< last time the endpoint named it
    };

    std::map<EndpointId, Limit> m_limits;
};

} // namespace hornbeamgate::gateway
