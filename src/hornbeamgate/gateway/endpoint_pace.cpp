#include "hornbeamgate/gateway/endpoint_pace.hpp"

#include "hornbeamgate/base/hash.hpp"

#include <algorithm>
#include <utility>

namespace hornbeamgate::gateway {

namespace {

    using std::chrono::milliseconds;

    /// Requests in progress over all daemons at first; one would leave the endpoint to a daemon that may be dead or idle.
    constexpr int kInitialLimit = 2;
    /// A response is in time within this multiple of the prediction plus the tolerance, and late beyond the larger multiple.
    /// Predictions follow the load of an engine with a delay, small ones are dominated by the network, and the durations of
    /// complete responses scatter about as much as their mean: a fiftieth exceeds four times the mean.
    constexpr int kInTimeFactor = 2;
    constexpr int kLateFactor = 4;
    constexpr milliseconds kInTimeTolerance { 50 };
    /// Reciprocal weight of one response in the usual latency. An endpoint in slow start contributes few.
    constexpr int kUsualLatencyDivisor = 64;
    /// Time without sends after a failure; doubles with each further one. Fast errors would otherwise attract requests.
    constexpr milliseconds kInitialHold { 500 };
    constexpr milliseconds kMaxHold { 4000 };
    constexpr int kMaxHoldDoublings = 3;
    /// Falls after which an endpoint ramps up 2, 4 and 8 times more slowly.
    constexpr int kMaxSlowdownDoublings = 3;
    /// Shortest ramp of an endpoint that has fallen repeatedly, multiplied by its slowdown. An engine that answers within
    /// milliseconds would otherwise collect eight times as many responses in no time.
    constexpr milliseconds kRepeatedRamp { 1500 };
    /// If no daemon sends anything for this long, the daemons selected so far have no traffic, and twice as many are selected.
    constexpr milliseconds kIdleTurn { 1000 };
    /// The same for a daemon whose own sends fail; longer than a hold, in which nobody sends although there is traffic.
    constexpr milliseconds kFailingIdleTurn { 5000 };
    constexpr int kMaxIdleTurns = 10;
    /// Time for daemons to notice a fall of an endpoint and to report it: a report interval and its transit.
    constexpr milliseconds kJoinTime { 1500 };
    /// How long the end of a slow start is reported, since individual reports may be lost.
    constexpr milliseconds kDoneReportTime { 3000 };
    /// Endpoints in a report, about 15 bytes each, which go to each daemon of the fleet. When more are in slow start, those with
    /// the latest changes are reported. The sum over the fleet keeps the traffic of a large fleet near that of 31 daemons.
    constexpr std::size_t kMaxReported = 32;
    constexpr std::size_t kMinReported = 4;
    constexpr std::size_t kReportedToFleet = 1000;
    /// Time for which a ranking is used; below the report interval, after which it may change. Ranking 680 endpoints among 360
    /// daemons for each report or request would take too long.
    constexpr milliseconds kStandingLifetime { 100 };
    /// Time in which the daemons leave slow start one after another, multiplied by the slowdown; several times an engine's
    /// response time.
    constexpr milliseconds kRelease { 1000 };
    constexpr std::chrono::seconds kForgottenRetention { 60 };

    std::uint64_t keyOf(const EndpointId& id, Incarnation incarnation)
    {
        return stableHash(id.value(), incarnation.value());
    }

    /// Whether the cause may concern this daemon alone.
    bool isLocal(PaceCause cause)
    {
        return cause == PaceCause::BackoffEnds || cause == PaceCause::PauseEnds || cause == PaceCause::Silent;
    }

    /// Whether the cause is a failure of the endpoint. Pauses and weight loads are planned.
    bool isFall(PaceCause cause)
    {
        return cause == PaceCause::Restarted || cause == PaceCause::BackoffEnds || cause == PaceCause::Silent;
    }

    int slowdownOf(int falls)
    {
        return 1 << falls;
    }

    int creditNeeded(int slots, int falls)
    {
        return std::max(kInitialLimit, slots - kInitialLimit) * slowdownOf(falls);
    }

    /// Limit of an endpoint that has fallen repeatedly, by the time since the start.
    int limitByTime(int slots, int falls, Duration elapsed)
    {
        if (falls == 0)
            return slots;
        const double part = std::chrono::duration<double>(elapsed) / (kRepeatedRamp * slowdownOf(falls));
        return kInitialLimit + static_cast<int>(std::min(1.0, part) * std::max(0, slots - kInitialLimit));
    }

    /// Part of the daemon with this rank when `total` is divided among `count` daemons.
    int partOf(int total, int rank, int count)
    {
        return total / count + (rank < total % count ? 1 : 0);
    }

} // namespace

std::string_view paceCauseName(PaceCause cause)
{
    constexpr std::array<std::string_view, 6> kNames { "first_seen", "restarted", "backoff", "pause", "weights", "silent" };
    return kNames[static_cast<std::size_t>(cause)];
}

EndpointPaces::EndpointPaces(HostId self)
    : m_self(std::move(self))
{
}

bool EndpointPaces::Rank::isAheadOf(const Rank& other) const
{
    if (isFailing != other.isFailing)
        return other.isFailing;
    if (isUntried != other.isUntried)
        return other.isUntried;
    return score > other.score;
}

const EndpointPaces::State* EndpointPaces::find(const EndpointInstance& endpoint) const
{
    const auto found = m_endpoints.find(endpoint.id);
    return found == m_endpoints.end() || found->second.incarnation != endpoint.incarnation ? nullptr : &found->second;
}

EndpointPaces::State* EndpointPaces::find(const EndpointInstance& endpoint)
{
    return const_cast<State*>(std::as_const(*this).find(endpoint));
}

EndpointPaces::State* EndpointPaces::obtain(const EndpointInstance& endpoint)
{
    auto& state = m_endpoints[endpoint.id];
    if (endpoint.incarnation < state.incarnation)
        return nullptr;
    if (endpoint.incarnation > state.incarnation) {
        m_activeKeys.erase(keyOf(endpoint.id, state.incarnation));
        State next;
        next.incarnation = endpoint.incarnation;
        next.fellAt = state.fellAt;
        next.fallen = state.fallen;
        next.falls = state.falls;
        next.hasServed = state.hasServed;
        state = std::move(next);
    }
    return &state;
}

void EndpointPaces::setFleet(std::vector<HostId> others)
{
    std::sort(others.begin(), others.end());
    if (others == m_others)
        return;
    m_others = std::move(others);
    const auto isGone = [this](const HostId& host) { return !std::binary_search(m_others.begin(), m_others.end(), host); };
    std::erase_if(m_heardAt, [&](const auto& entry) { return isGone(entry.first); });
    for (auto& [id, state] : m_endpoints)
        std::erase_if(state.peers, [&](const auto& entry) { return isGone(entry.first); });
    m_standings.clear();
}

void EndpointPaces::appeared(const EndpointInstance& endpoint, int slots, PaceCause cause, MonotonicTime now)
{
    dropForgotten(now);
    const auto known = m_endpoints.find(endpoint.id);
    const bool isKnown = known != m_endpoints.end();
    const auto previous = isKnown ? known->second.incarnation : Incarnation();
    const bool isReplacement = isKnown && previous < endpoint.incarnation;
    auto* state = obtain(endpoint);
    if (!state)
        return;
    state->isForgotten = false;
    if (cause == PaceCause::FirstSeen && isKnown) {
        // The same incarnation returns after its directory entry has expired, and has not been restarted.
        if (!isReplacement)
            return;
        cause = PaceCause::Restarted;
    }
    const bool isSameFall = state->isActive && !state->hasAnswered;
    if (isSameFall && cause != PaceCause::WeightsLoaded)
        return;
    // A crash shows as failed sends first and as a new incarnation later, and counts once.
    const bool isCounted = cause == PaceCause::Restarted && isKnown && state->fallen == previous && state->fellAt;
    if (isFall(cause) && !isCounted)
        countFall(*state, cause == PaceCause::Restarted ? previous : endpoint.incarnation, now);
    start(*state, endpoint.id, slots, cause, now);
}

void EndpointPaces::countFall(State& state, Incarnation fallen, MonotonicTime now)
{
    const bool isRepeated = state.fellAt && now < *state.fellAt + kFallMemory;
    state.fallen = fallen;
    // An endpoint that has served nobody has not recovered in between.
    if (isRepeated && !state.hasServed)
        return;
    state.falls = isRepeated ? std::min(state.falls + 1, kMaxSlowdownDoublings) : 0;
    state.fellAt = now;
    state.hasServed = false;
}

void EndpointPaces::start(State& state, const EndpointId& id, int slots, PaceCause cause, MonotonicTime now)
{
    state.isActive = true;
    state.slots = std::max(1, slots);
    state.cause = cause;
    state.startedAt = now;
    state.progressAt = now;
    state.changedAt = now;
    state.decreasedAt = now;
    state.heldUntil = {};
    state.silentSince.reset();
    state.failures = 0;
    state.hasAnswered = false;
    state.credit = 0;
    state.lostCredit = 0;
    state.sends = 0;
    state.peers.clear();
    m_activeKeys[keyOf(id, state.incarnation)] = id;
    m_standings.erase(id);
    addChange(state, id, true, now);
}

void EndpointPaces::end(State& state, const EndpointId& id, MonotonicTime now)
{
    addChange(state, id, false, now);
    const auto standing = computeStanding(state, id, now);
    state.releasedAt = now + kRelease * slowdownOf(state.falls) * standing.ahead / standing.daemons;
    state.releaseShare = standing.slotShare;
    state.isActive = false;
    state.endedAt = now;
    state.changedAt = now;
    state.hasServed = true;
    state.peers.clear();
    m_activeKeys.erase(keyOf(id, state.incarnation));
    m_standings.erase(id);
}

void EndpointPaces::forget(const EndpointId& id)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    auto& state = found->second;
    m_activeKeys.erase(keyOf(id, state.incarnation));
    m_standings.erase(id);
    state.isForgotten = true;
    state.isActive = false;
    state.releasedAt = {};
    state.endedAt = {};
    state.peers.clear();
}

void EndpointPaces::dropForgotten(MonotonicTime now)
{
    std::erase_if(m_endpoints, [now](const auto& entry) { return entry.second.isForgotten && entry.second.changedAt + kForgottenRetention <= now; });
}

void EndpointPaces::recordSend(const EndpointInstance& endpoint, MonotonicTime now)
{
    auto* state = obtain(endpoint);
    if (!state)
        return;
    ++state->inProgress;
    state->changedAt = now;
    if (!state->silentSince)
        state->silentSince = now;
    if (!state->isActive)
        return;
    ++state->sends;
    state->progressAt = now;
}

void EndpointPaces::recordOutcome(const EndpointInstance& endpoint, SendOutcome outcome, Duration latency, Duration expected, MonotonicTime now)
{
    auto* state = find(endpoint);
    if (!state)
        return;
    state->inProgress = std::max(0, state->inProgress - 1);
    if (state->isActive) {
        state->progressAt = now;
        state->changedAt = now;
    }
    if (outcome == SendOutcome::Abandoned)
        return;
    if (outcome != SendOutcome::Failed) {
        state->silentSince.reset();
    } else if (state->silentSince && now >= *state->silentSince + kSilenceThreshold) {
        appeared(endpoint, state->slots, PaceCause::Silent, now);
        return;
    }
    const auto timeliness = outcome == SendOutcome::Served ? judge(endpoint.service, latency, expected) : Timeliness::Late;
    recordResult(*state, endpoint.id, timeliness, now - latency, now);
    if (state->isActive && state->failures > 0 && outcome != SendOutcome::Served) {
        const int doublings = std::min(state->failures - 1, kMaxHoldDoublings);
        state->heldUntil = now + std::min<Duration>(kInitialHold * (1 << doublings), kMaxHold);
    }
}

void EndpointPaces::recordAnswer(const EndpointInstance& endpoint, Duration latency, Duration expected, MonotonicTime now)
{
    auto* state = find(endpoint);
    if (!state)
        return;
    state->silentSince.reset();
    recordResult(*state, endpoint.id, judge(endpoint.service, latency, expected), now - latency, now);
}

EndpointPaces::Timeliness EndpointPaces::judge(const ServiceId& service, Duration latency, Duration expected)
{
    auto& usual = m_usualLatency.try_emplace(service, latency).first->second;
    const auto prediction = std::max(expected, usual);
    usual += (latency - usual) / kUsualLatencyDivisor;
    if (latency <= kInTimeFactor * prediction + kInTimeTolerance)
        return Timeliness::InTime;
    return latency <= kLateFactor * prediction + kInTimeTolerance ? Timeliness::Delayed : Timeliness::Late;
}

void EndpointPaces::recordResult(State& state, const EndpointId& id, Timeliness timeliness, MonotonicTime sentAt, MonotonicTime now)
{
    const bool isInTime = timeliness == Timeliness::InTime;
    if (!state.isActive) {
        state.hasServed = state.hasServed || isInTime;
        return;
    }
    // What was sent before the endpoint fell tells nothing about how it recovers.
    if (sentAt < state.startedAt || timeliness == Timeliness::Delayed)
        return;
    state.progressAt = now;
    state.changedAt = now;
    m_standings.erase(id);
    if (isInTime) {
        ++state.credit;
        state.failures = 0;
        state.heldUntil = {};
        state.hasServed = true;
        state.hasAnswered = true;
        // Checked here only: credit from before a fall that this daemon has not noticed must not end the slow start.
        endIfDone(state, id, now);
        return;
    }
    // Requests in progress at the same time fail together and count once.
    if (sentAt < state.decreasedAt)
        return;
    ++state.failures;
    state.credit /= 2;
    loseHalf(state);
    state.decreasedAt = now;
}

void EndpointPaces::endIfDone(State& state, const EndpointId& id, MonotonicTime now)
{
    const bool isLongEnough = state.falls == 0 || now >= state.startedAt + kRepeatedRamp * slowdownOf(state.falls);
    const bool isDone = isLongEnough && creditOf(state) >= creditNeeded(state.slots, state.falls);
    const bool isDoneElsewhere = !isLocal(state.cause) && std::any_of(state.peers.begin(), state.peers.end(), [](const auto& peer) { return peer.second.entry.isDone; });
    if (!isDone && !isDoneElsewhere)
        return;
    if (state.failures == 0) {
        end(state, id, now);
        return;
    }
    // The endpoint serves other daemons and fails this one.
    if (isDoneElsewhere) {
        state.cause = PaceCause::BackoffEnds;
        state.startedAt = now;
        state.peers.clear();
        m_standings.erase(id);
    }
}

int EndpointPaces::reportedCredit(const State& state)
{
    int credit = state.credit;
    for (const auto& [peer, reported] : state.peers)
        credit += reported.entry.credit;
    return credit;
}

int EndpointPaces::creditOf(const State& state)
{
    return std::max(0, reportedCredit(state) - state.lostCredit);
}

void EndpointPaces::loseHalf(State& state)
{
    const int credit = reportedCredit(state);
    state.lostCredit = std::min(state.lostCredit, credit);
    state.lostCredit += (credit - state.lostCredit + 1) / 2;
}

bool EndpointPaces::isUnaffected(const State& state, const HostId& peer, const PeerEntry* reported) const
{
    if (!isLocal(state.cause))
        return false;
    const auto heard = m_heardAt.find(peer);
    if (heard == m_heardAt.end() || heard->second < state.startedAt + kJoinTime)
        return false;
    return !reported || reported->reportedAt < heard->second || reported->entry.isDone;
}

EndpointPaces::Standing EndpointPaces::computeStanding(const State& state, const EndpointId& id, MonotonicTime now) const
{
    const auto key = stableHash(id.value());
    const Rank own { state.failures > 0, state.credit == 0, rendezvousScore(m_self.value(), key) };
    int ahead = 0;
    int daemons = 1;
    auto reported = state.peers.begin(); // in the order of m_others
    for (const auto& peer : m_others) {
        while (reported != state.peers.end() && reported->first < peer)
            ++reported;
        const auto* known = reported != state.peers.end() && reported->first == peer ? &reported->second : nullptr;
        if (isUnaffected(state, peer, known))
            continue;
        ++daemons;
        const Rank rank { known && known->entry.isFailing, !known || known->entry.credit == 0, rendezvousScore(peer.value(), key) };
        ahead += rank.isAheadOf(own) ? 1 : 0;
    }
    const int turns = static_cast<int>(std::min<std::int64_t>((now - state.progressAt) / (own.isFailing ? kFailingIdleTurn : kIdleTurn), kMaxIdleTurns));
    const int widened = turns > 0 ? std::min(daemons, kInitialLimit << turns) : 0;
    Standing standing;
    standing.validUntil = now + kStandingLifetime;
    const int byCredit = std::min(state.slots, kInitialLimit + creditOf(state) / slowdownOf(state.falls));
    standing.limit = std::max(widened, std::min(byCredit, limitByTime(state.slots, state.falls, now - state.startedAt)));
    standing.daemons = daemons;
    standing.ahead = ahead;
    standing.share = partOf(standing.limit, ahead, daemons);
    standing.slotShare = partOf(state.slots, ahead, daemons);
    if (own.isFailing)
        standing.share = std::min(standing.share, 1);
    return standing;
}

const EndpointPaces::Standing& EndpointPaces::standingOf(const State& state, const EndpointId& id, MonotonicTime now) const
{
    auto& standing = m_standings[id];
    if (now >= standing.validUntil)
        standing = computeStanding(state, id, now);
    return standing;
}

PaceTier EndpointPaces::tierOf(const EndpointInstance& endpoint, MonotonicTime now) const
{
    const auto* state = find(endpoint);
    if (!state)
        return PaceTier::Admitted;
    if (!state->isActive)
        return now >= state->releasedAt || state->inProgress < state->releaseShare ? PaceTier::Admitted : PaceTier::HeldBack;
    if (now < state->heldUntil)
        return PaceTier::Failing;
    const auto& standing = standingOf(*state, endpoint.id, now);
    if (state->inProgress < standing.share)
        return PaceTier::Admitted;
    return state->inProgress < standing.slotShare ? PaceTier::WithinSlots : PaceTier::HeldBack;
}

bool EndpointPaces::admits(const EndpointInstance& endpoint, bool othersHaveRoom, MonotonicTime now) const
{
    return !othersHaveRoom || tierOf(endpoint, now) == PaceTier::Admitted;
}

PaceReport EndpointPaces::report(MonotonicTime now) const
{
    std::vector<std::pair<MonotonicTime, PaceEntry>> known;
    for (const auto& [id, state] : m_endpoints) {
        const bool isDone = !state.isActive && now < state.endedAt + kDoneReportTime;
        const bool isTelling = state.credit > 0 || state.failures > 0 || state.inProgress > 0 || isLocal(state.cause);
        if (isDone || (state.isActive && isTelling))
            known.emplace_back(state.changedAt, PaceEntry { keyOf(id, state.incarnation), state.credit, state.sends, state.falls, state.failures > 0, state.inProgress > 0, isDone });
    }
    std::stable_sort(known.begin(), known.end(), [](const auto& left, const auto& right) { return left.first > right.first; });
    const auto most = std::clamp(kReportedToFleet / (m_others.size() + 1), kMinReported, kMaxReported);
    PaceReport report;
    for (std::size_t i = 0; i < std::min(known.size(), most); ++i)
        report.entries.push_back(known[i].second);
    return report;
}

void EndpointPaces::recordPeerReport(const HostId& peer, const PaceReport& report, MonotonicTime now)
{
    if (peer == m_self)
        return;
    m_heardAt[peer] = now;
    for (const auto& entry : report.entries) {
        const auto key = m_activeKeys.find(entry.key);
        if (key == m_activeKeys.end())
            continue;
        const auto id = key->second;
        auto& state = m_endpoints[id];
        // The peer may not have noticed the fall yet.
        if (isLocal(state.cause) && now < state.startedAt + kJoinTime && (entry.isDone || entry.credit > 0))
            continue;
        const auto before = state.peers.find(peer);
        const auto known = before == state.peers.end() ? PaceEntry() : before->second.entry;
        if (entry.isBusy || known.sends != entry.sends)
            state.progressAt = now;
        state.peers[peer] = { entry, now };
        // A peer that starts again from nothing takes its part of the loss with it.
        state.lostCredit = std::min(state.lostCredit, reportedCredit(state));
        if (entry.isFailing && !known.isFailing)
            loseHalf(state);
        state.hasServed = state.hasServed || entry.credit > 0;
        // Daemons that are not sent to an endpoint between two falls see only one of them.
        if (!isLocal(state.cause))
            state.falls = std::max(state.falls, std::min(entry.falls, kMaxSlowdownDoublings));
        if (entry.isDone || entry.credit > known.credit)
            endIfDone(state, id, now);
    }
}

bool EndpointPaces::isInSlowStart(const EndpointInstance& endpoint) const
{
    const auto* state = find(endpoint);
    return state && state->isActive;
}

std::optional<int> EndpointPaces::limitOf(const EndpointInstance& endpoint, MonotonicTime now) const
{
    const auto* state = find(endpoint);
    return state && state->isActive ? std::optional(standingOf(*state, endpoint.id, now).limit) : std::nullopt;
}

void EndpointPaces::addChange(const State& state, const EndpointId& id, bool isStart, MonotonicTime now)
{
    /// Only the log reads the changes; it does so several times a second.
    constexpr std::size_t kMaxChanges = 4096;
    if (m_changes.size() >= kMaxChanges)
        return;
    m_changes.push_back({ id, isStart, state.cause, state.slots, creditOf(state), creditNeeded(state.slots, state.falls), slowdownOf(state.falls), now - state.startedAt });
}

std::vector<PaceChange> EndpointPaces::takeChanges()
{
    return std::exchange(m_changes, {});
}

} // namespace hornbeamgate::gateway
