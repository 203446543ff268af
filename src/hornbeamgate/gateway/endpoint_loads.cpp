#include "hornbeamgate/gateway/endpoint_loads.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hornbeamgate::gateway {

namespace {

    /// Half-life of the reported load of other daemons; spans several request lifetimes.
    constexpr std::chrono::milliseconds kPeerLoadHalfLife { 400 };
    /// Smoothing factor of the failure rate; the last ten sends account for most of it.
    constexpr double kFailureSmoothing = 0.15;
    /// Consecutive failures after which an endpoint is avoided; single failures are common.
    constexpr int kFailureThreshold = 3;
    /// Initial time for which a failing endpoint is avoided; doubles with each further failure.
    constexpr std::chrono::milliseconds kInitialBackoff { 500 };
    /// Upper bound of the backoff; a recovered endpoint receives requests again after at most this time.
    constexpr std::chrono::milliseconds kMaxBackoff { 4000 };
    /// An endpoint repeats an unreadable report in every response.
    constexpr std::chrono::seconds kUnreadableLogInterval { 10 };

} // namespace

void EndpointLoads::sent(const EndpointId& id, std::uint64_t number, std::int64_t tokens, MonotonicTime now)
{
    m_endpoints[id].unanswered.emplace(number, Send { now, tokens });
}

void EndpointLoads::answerBegan(const EndpointId& id, std::uint64_t number)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    auto& unanswered = found->second.unanswered;
    const auto send = unanswered.find(number);
    if (send == unanswered.end() || std::exchange(send->second.hasBegun, true))
        return;
    for (auto earlier = unanswered.begin(); earlier != send; ++earlier) {
        if (!earlier->second.hasBegun && earlier->second.tokens <= send->second.tokens)
            ++earlier->second.timesOvertaken;
    }
}

int EndpointLoads::timesOvertaken(const EndpointId& id, std::uint64_t number) const
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return 0;
    const auto send = found->second.unanswered.find(number);
    return send == found->second.unanswered.end() ? 0 : send->second.timesOvertaken;
}

void EndpointLoads::finished(const EndpointId& id, std::uint64_t number, SendOutcome outcome, MonotonicTime now)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    auto& state = found->second;
    // A send from before forget() tells nothing about the process that runs now.
    const bool isKnown = state.unanswered.erase(number) > 0;
    if (!isKnown || outcome == SendOutcome::Abandoned || outcome == SendOutcome::Shed)
        return;
    const bool isFailure = outcome == SendOutcome::Failed;
    state.failureRate += kFailureSmoothing * ((isFailure ? 1.0 : 0.0) - state.failureRate);
    if (isFailure)
        recordFailure(state, now);
    else
        state.consecutiveFailures = 0;
}

void EndpointLoads::reported(const EndpointId& id, const LoadReport& report, MonotonicTime now)
{
    auto& state = m_endpoints[id];
    const double others = report.running + report.waiting - static_cast<double>(state.unanswered.size());
    state.peerRequestsAtReport = std::max(0.0, others);
    state.reportedAt = now;
}

bool EndpointLoads::shouldLogUnreadable(const EndpointId& id, MonotonicTime now)
{
    auto& state = m_endpoints[id];
    if (now < state.unreadableLoggedUntil)
        return false;
    state.unreadableLoggedUntil = now + kUnreadableLogInterval;
    return true;
}

void EndpointLoads::unreachable(const EndpointId& id, MonotonicTime now)
{
    auto& state = m_endpoints[id];
    // A failed connection attempt is conclusive, so a single one reaches the threshold.
    state.consecutiveFailures = std::max(state.consecutiveFailures, kFailureThreshold - 1);
    recordFailure(state, now);
}

void EndpointLoads::pauseUntil(const EndpointId& id, MonotonicTime end)
{
    m_endpoints[id].pausedUntil = end;
}

void EndpointLoads::resume(const EndpointId& id)
{
    const auto found = m_endpoints.find(id);
    if (found != m_endpoints.end())
        found->second.pausedUntil = {};
}

double EndpointLoads::load(const EndpointId& id, MonotonicTime now) const
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return 0;
    const auto& state = found->second;
    const std::chrono::duration<double> age = now - state.reportedAt;
    const double halves = age / std::chrono::duration<double>(kPeerLoadHalfLife);
    return static_cast<double>(state.unanswered.size()) + state.peerRequestsAtReport * std::exp2(-halves);
}

std::int64_t EndpointLoads::pendingPrefillTokens(const EndpointId& id, MonotonicTime now) const
{
    std::int64_t tokens = 0;
    if (const auto found = m_endpoints.find(id); found != m_endpoints.end()) {
        for (const auto& [number, send] : found->second.unanswered)
            tokens += send.hasBegun ? 0 : send.tokens;
    }
    for (const auto& [peer, reported] : m_peerTokens) {
        const auto found = reported.tokens.find(id);
        if (found != reported.tokens.end() && now < reported.reportedAt + m_peerTokensTimeout)
            tokens += found->second;
    }
    return tokens;
}

std::size_t EndpointLoads::localUnreadPrompts(const EndpointId& id, std::int64_t tokens) const
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return 0;
    const auto& unanswered = found->second.unanswered;
    return static_cast<std::size_t>(std::count_if(unanswered.begin(), unanswered.end(), [tokens](const auto& send) { return !send.second.hasBegun && send.second.tokens >= tokens; }));
}

std::map<EndpointId, std::int64_t> EndpointLoads::localPendingPrefillTokens() const
{
    std::map<EndpointId, std::int64_t> tokens;
    for (const auto& [id, state] : m_endpoints) {
        for (const auto& [number, send] : state.unanswered) {
            if (!send.hasBegun && send.tokens > 0)
                tokens[id] += send.tokens;
        }
    }
    return tokens;
}

void EndpointLoads::setPeerPendingPrefillTokens(const HostId& peer, const std::map<EndpointId, std::int64_t>& tokens, MonotonicTime now)
{
    m_peerTokens[peer] = { tokens, now };
}

double EndpointLoads::failureRate(const EndpointId& id) const
{
    const auto found = m_endpoints.find(id);
    return found == m_endpoints.end() ? 0 : found->second.failureRate;
}

bool EndpointLoads::isAvoided(const EndpointId& id, MonotonicTime now) const
{
    const auto found = m_endpoints.find(id);
    return found != m_endpoints.end() && (now < found->second.avoidedUntil || now < found->second.pausedUntil);
}

bool EndpointLoads::isFailing(const EndpointId& id, MonotonicTime now) const
{
    const auto found = m_endpoints.find(id);
    return found != m_endpoints.end() && now < found->second.avoidedUntil;
}

Duration EndpointLoads::oldestUnanswered(const EndpointId& id, MonotonicTime now) const
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end() || found->second.unanswered.empty())
        return {};
    // Send numbers increase over time, so the first entry is the oldest.
    return now - found->second.unanswered.begin()->second.sentAt;
}

void EndpointLoads::recordFailure(State& state, MonotonicTime now)
{
    ++state.consecutiveFailures;
    if (state.consecutiveFailures < kFailureThreshold)
        return;
    const int doublings = std::min(state.consecutiveFailures - kFailureThreshold, 3);
    state.avoidedUntil = now + std::min<Duration>(kInitialBackoff * (1 << doublings), kMaxBackoff);
}

} // namespace hornbeamgate::gateway
