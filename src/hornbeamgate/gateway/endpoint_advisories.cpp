#include "hornbeamgate/gateway/endpoint_advisories.hpp"

#include "hornbeamgate/base/hash.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace hornbeamgate::gateway {

namespace {

    using std::chrono::milliseconds;

    /// Span over which demand is expressed, so that the demand of small services does not vanish in whole requests.
    constexpr std::chrono::seconds kDemandHorizon { 10 };
    /// Demand assumed of every daemon beside its own, so that an idle one can serve its next request: one per second.
    constexpr std::int64_t kMinDemand = 10;
    /// Requests that an unused share accumulates. Less than one, so that a daemon sends one request at a time.
    constexpr double kUnusedShare = 0.2;
    /// Share of a small request that has to be left over for large ones, which may take it in advance.
    constexpr double kLargeAdvance = 0.5;
    /// Number of daemons that share a limit of zero, and how many more share it for each request per second. What each of
    /// them may send without having waited, a request with its advance, stays far below the limit for a few seconds.
    constexpr double kMinDaemons = 2;
    constexpr double kDaemonsPerRate = 0.75;
    /// An endpoint that takes nothing is asked this often whether it still does, in requests per second.
    constexpr double kMinRate = 0.25;
    /// How long an endpoint that leaves is reported; daemons that start meanwhile are told too.
    constexpr std::chrono::seconds kLeavingReportTime { 5 };
    /// How long an endpoint that left is remembered; far longer than it takes to leave.
    constexpr std::chrono::minutes kLeavingRetention { 10 };
    /// How long it is remembered that an endpoint names no limit any more, against reports of earlier limits.
    constexpr std::chrono::seconds kUnlimitedRetention { 60 };
    /// Duration of the resumption after a pause, and time in which its rate doubles.
    constexpr milliseconds kResumption { 1500 };
    constexpr std::chrono::duration<double> kResumptionDoubling { 0.25 };
    /// Time that a report of another daemon may take; its age does not include it.
    constexpr milliseconds kMaxReportTransit { 500 };

    /// Returns the time after the start of a resumption at which it has admitted `sends` requests.
    Duration resumptionTime(double rate, int sends)
    {
        const double doublings = std::log2(1 + sends * std::numbers::ln2 / (rate * kResumptionDoubling.count()));
        return std::chrono::duration_cast<Duration>(kResumptionDoubling * doublings);
    }

    /// Mean rate of a whole resumption.
    double meanResumptionRate(double rate)
    {
        const std::chrono::duration<double> time(kResumption);
        return rate * (std::exp2(time / kResumptionDoubling) - 1) * kResumptionDoubling.count() / std::numbers::ln2 / time.count();
    }

    double minLevel(RequestSize size)
    {
        return size == RequestSize::Large ? -kLargeAdvance : 0;
    }

} // namespace

const EndpointAdvisories::State* EndpointAdvisories::find(const EndpointInstance& endpoint) const
{
    const auto found = m_endpoints.find(endpoint.id);
    return found == m_endpoints.end() || found->second.incarnation != endpoint.incarnation ? nullptr : &found->second;
}

EndpointAdvisories::State* EndpointAdvisories::find(const EndpointInstance& endpoint)
{
    return const_cast<State*>(std::as_const(*this).find(endpoint));
}

EndpointAdvisories::State* EndpointAdvisories::obtain(const EndpointInstance& endpoint)
{
    auto& state = m_endpoints[endpoint.id];
    if (endpoint.incarnation < state.incarnation)
        return nullptr;
    if (endpoint.incarnation > state.incarnation)
        state = {};
    state.incarnation = endpoint.incarnation;
    state.service = endpoint.service;
    return &state;
}

bool EndpointAdvisories::recordError(const EndpointInstance& endpoint, const EndpointAdvice& advice, MonotonicTime sentAt, MonotonicTime now)
{
    return advice.requestsPerSecond && recordResponse(endpoint, advice, sentAt, now);
}

bool EndpointAdvisories::recordResponse(const EndpointInstance& endpoint, const EndpointAdvice& advice, MonotonicTime sentAt, MonotonicTime now)
{
    if (!advice.requestsPerSecond) {
        auto* known = find(endpoint);
        if (!known || sentAt <= known->namedAt)
            return false;
        known->unlimitedAt = std::max(known->unlimitedAt, sentAt);
        if (!known->limit)
            return false;
        known->limit.reset();
        known->readAt = now;
        return true;
    }
    auto* state = obtain(endpoint);
    if (!state)
        return false;
    auto limit = *advice.requestsPerSecond;
    // Of two responses that may have overtaken each other, the lower limit holds.
    if (state->limit && sentAt <= state->namedAt)
        limit = std::min(limit, *state->limit);
    if (!nameLimit(*state, endpoint.id, limit, now))
        return false;
    state->readAt = now;
    return true;
}

bool EndpointAdvisories::recordPeerLimit(const EndpointInstance& endpoint, const AdvisedLimit& limit, MonotonicTime now)
{
    const auto at = now - limit.age;
    if (limit.requestsPerSecond) {
        auto* state = obtain(endpoint);
        return state && at > state->namedAt && at > state->unlimitedAt && nameLimit(*state, endpoint.id, *limit.requestsPerSecond, at);
    }
    auto* known = find(endpoint);
    if (!known || at - kMaxReportTransit <= known->namedAt)
        return false;
    known->unlimitedAt = std::max(known->unlimitedAt, at - kMaxReportTransit);
    const bool isChange = known->limit.has_value();
    known->limit.reset();
    return isChange;
}

bool EndpointAdvisories::nameLimit(State& state, const EndpointId& id, double limit, MonotonicTime now)
{
    state.namedAt = std::max(state.namedAt, now);
    if (state.limit == limit)
        return false;
    if (!state.limit)
        state.share = SharedTokenBucket(0, kUnusedShare, now);
    state.limit = limit;
    selectDaemons(state, id);
    updateShare(state, now);
    return true;
}

void EndpointAdvisories::selectDaemons(State& state, const EndpointId& id) const
{
    const auto key = stableHash(id.value());
    std::vector<std::pair<std::uint64_t, const HostId*>> candidates { { rendezvousScore(m_self.value(), key), &m_self } };
    for (const auto& other : m_others)
        candidates.emplace_back(rendezvousScore(other.value(), key), &other);
    const double most = std::floor(kMinDaemons + kDaemonsPerRate * *state.limit);
    if (static_cast<double>(candidates.size()) > most) {
        const auto end = candidates.begin() + static_cast<std::ptrdiff_t>(most);
        std::nth_element(candidates.begin(), end, candidates.end(), [](const auto& left, const auto& right) { return left.first > right.first; });
        candidates.erase(end, candidates.end());
    }
    state.daemons.clear();
    for (const auto& [score, daemon] : candidates)
        state.daemons.push_back(*daemon);
    state.hasShare = std::find(state.daemons.begin(), state.daemons.end(), m_self) != state.daemons.end();
}

std::int64_t EndpointAdvisories::demandOf(const HostId& daemon, const ServiceId& service) const
{
    const auto reported = m_reportedDemand.find(daemon);
    if (reported != m_reportedDemand.end()) {
        if (const auto demand = reported->second.find(service); demand != reported->second.end())
            return kMinDemand + demand->second;
    }
    // Until a daemon has reported its demand, it is taken to be like this one.
    return daemon == m_self ? kMinDemand : demandOf(m_self, service);
}

void EndpointAdvisories::updateShare(State& state, MonotonicTime now) const
{
    std::int64_t total = 0;
    for (const auto& daemon : state.daemons)
        total += demandOf(daemon, state.service);
    const double part = state.hasShare ? static_cast<double>(demandOf(m_self, state.service)) / static_cast<double>(total) : 0;
    state.share.setLimits(std::max(*state.limit, kMinRate) * part, kUnusedShare, now);
}

bool EndpointAdvisories::recordLeaving(const EndpointInstance& endpoint, MonotonicTime now)
{
    const bool isChange = recordPeerLeaving(endpoint, now);
    if (auto* state = find(endpoint))
        state->isLeavingRead = true;
    return isChange;
}

bool EndpointAdvisories::recordPeerLeaving(const EndpointInstance& endpoint, MonotonicTime now)
{
    auto* state = obtain(endpoint);
    if (!state || state->leavingSince)
        return false;
    state->leavingSince = now;
    return true;
}

bool EndpointAdvisories::isLeaving(const EndpointInstance& endpoint) const
{
    const auto* state = find(endpoint);
    return state && state->leavingSince;
}

bool EndpointAdvisories::recordRetryAfter(const EndpointInstance& endpoint, int slots, milliseconds retryAfter, MonotonicTime now)
{
    auto* state = obtain(endpoint);
    const auto end = now + retryAfter;
    if (!state || end <= state->pausedUntil)
        return false;
    state->pausedUntil = end;
    state->resumedAt = end + kResumption;
    state->resumptionRate = std::max(1, slots) / static_cast<double>(m_others.size() + 1);
    state->resumedSends = 0;
    return true;
}

void EndpointAdvisories::forget(const EndpointId& id)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    found->second.limit.reset();
    found->second.readAt.reset();
}

void EndpointAdvisories::dropExpired(MonotonicTime now)
{
    std::erase_if(m_endpoints, [now](const auto& entry) {
        const auto& state = entry.second;
        const bool hasLeft = state.leavingSince && *state.leavingSince + kLeavingRetention <= now;
        const bool isIdle = !state.limit && !state.leavingSince && state.resumedAt <= now && state.unlimitedAt + kUnlimitedRetention <= now;
        return hasLeft || isIdle;
    });
}

void EndpointAdvisories::setFleet(std::vector<HostId> others, MonotonicTime now)
{
    const bool isChange = others != m_others;
    m_others = std::move(others);
    if (isChange)
        std::erase_if(m_reportedDemand, [this](const auto& entry) { return entry.first != m_self && std::find(m_others.begin(), m_others.end(), entry.first) == m_others.end(); });
    dropExpired(now);
    for (auto& [id, state] : m_endpoints) {
        if (!state.limit)
            continue;
        if (isChange)
            selectDaemons(state, id);
        updateShare(state, now);
    }
}

void EndpointAdvisories::recordRequest(const ServiceId& service, MonotonicTime now)
{
    m_demand[service].add({ 1, 0 }, now);
}

void EndpointAdvisories::setPeerDemand(const HostId& peer, const std::map<ServiceId, std::int64_t>& demand)
{
    auto& reported = m_reportedDemand[peer];
    for (const auto& [service, requests] : demand)
        reported[service] = requests;
}

AdvisoryReport EndpointAdvisories::report(MonotonicTime since, MonotonicTime now)
{
    AdvisoryReport report;
    for (const auto& [id, state] : m_endpoints) {
        if (state.readAt && *state.readAt >= since) {
            const auto at = state.limit ? state.namedAt : state.unlimitedAt;
            report.limits.push_back({ id, state.incarnation, state.limit, std::chrono::ceil<milliseconds>(now - at) });
        }
        if (state.isLeavingRead && now < *state.leavingSince + kLeavingReportTime)
            report.leaving.push_back({ id, state.incarnation });
        if (state.limit && !report.demand.contains(state.service))
            report.demand[state.service] = m_demand[state.service].expectedWithin(kDemandHorizon, now).requests;
    }
    if (!report.demand.empty())
        m_reportedDemand[m_self] = report.demand;
    return report;
}

std::optional<double> EndpointAdvisories::limitOf(const EndpointInstance& endpoint) const
{
    const auto* state = find(endpoint);
    return state ? state->limit : std::nullopt;
}

double EndpointAdvisories::shareOf(const EndpointInstance& endpoint) const
{
    const auto* state = find(endpoint);
    return state && state->limit ? state->share.rate() : 0;
}

bool EndpointAdvisories::isPaused(const EndpointInstance& endpoint, MonotonicTime now) const
{
    const auto* state = find(endpoint);
    return state && now < state->pausedUntil;
}

double EndpointAdvisories::admissionRate(const EndpointInstance& endpoint, MonotonicTime now) const
{
    const auto* state = find(endpoint);
    if (!state)
        return 0;
    if (state->limit)
        return state->share.rate();
    return now < state->resumedAt ? meanResumptionRate(state->resumptionRate) : 0;
}

bool EndpointAdvisories::admits(const EndpointInstance& endpoint, RequestSize size, MonotonicTime now) const
{
    const auto* state = find(endpoint);
    if (!state)
        return true;
    if (now < state->resumedAt && now < state->pausedUntil + resumptionTime(state->resumptionRate, state->resumedSends))
        return false;
    return !state->limit || (state->hasShare && state->share.level(now) > minLevel(size));
}

std::optional<MonotonicTime> EndpointAdvisories::nextAdmission(const EndpointInstance& endpoint, RequestSize size, MonotonicTime now) const
{
    const auto* state = find(endpoint);
    auto next = now;
    if (state && now < state->resumedAt)
        next = std::max(now, std::min(state->resumedAt, state->pausedUntil + resumptionTime(state->resumptionRate, state->resumedSends)));
    if (!state || !state->limit)
        return next;
    if (!state->hasShare)
        return std::nullopt;
    return std::max(next, state->share.timeOfLevel(minLevel(size), now));
}

void EndpointAdvisories::recordSend(const EndpointInstance& endpoint, MonotonicTime now)
{
    auto* state = find(endpoint);
    if (!state)
        return;
    if (now < state->resumedAt)
        ++state->resumedSends;
    if (state->limit)
        state->share.charge(1, now);
}

} // namespace hornbeamgate::gateway
