#include "hornbeamgate/gateway/endpoint_advisories.hpp"

#include <algorithm>

namespace hornbeamgate::gateway {

bool EndpointAdvisories::recordResponse(const EndpointInstance& endpoint, const EndpointAdvice& advice, MonotonicTime sentAt, MonotonicTime now)
{
    auto found = m_limits.find(endpoint.id);
    if (found != m_limits.end() && endpoint.incarnation < found->second.incarnation)
        return false;
    if (found != m_limits.end() && endpoint.incarnation > found->second.incarnation) {
        m_limits.erase(found);
        found = m_limits.end();
    }
    if (!advice.requestsPerSecond) {
        if (found == m_limits.end() || sentAt <= found->second.namedAt)
            return false;
        m_limits.erase(found);
        return true;
    }
    auto limit = *advice.requestsPerSecond;
    if (found == m_limits.end()) {
        m_limits.emplace(endpoint.id, Limit { endpoint.incarnation, limit, now });
        return true;
    }
    auto& known = found->second;
    // Of two responses that may have overtaken each other, the lower limit holds.
    if (sentAt <= known.namedAt)
        limit = std::min(limit, known.requestsPerSecond);
    known.namedAt = now;
    const bool isChange = limit != known.requestsPerSecond;
    known.requestsPerSecond = limit;
    return isChange;
}

std::optional<double> EndpointAdvisories::limitOf(const EndpointInstance& endpoint) const
{
    const auto found = m_limits.find(endpoint.id);
    if (found == m_limits.end() || found->second.incarnation != endpoint.incarnation)
        return std::nullopt;
    return found->second.requestsPerSecond;
}

} // namespace hornbeamgate::gateway
