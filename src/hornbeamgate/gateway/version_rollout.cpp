#include "hornbeamgate/gateway/version_rollout.hpp"

#include "hornbeamgate/base/hash.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hornbeamgate::gateway {
namespace {

    using std::chrono::microseconds;
    using std::chrono::milliseconds;

    /// Buckets of a latency histogram per doubling of the latency; a median is off by 9 % at most.
    constexpr unsigned kBucketsPerOctave = 8;
    /// Reports about unknown orders that are kept for each peer.
    constexpr std::size_t kMaxPendingServices = 64;
    /// Incarnations of a peer whose counts are kept apart. Older ones remain in the sums.
    constexpr std::size_t kMaxIncarnations = 4;

    /// Returns what `newer` adds to `known`, and adds it. Counts never decrease, so an older report adds nothing.
    RouteSample advance(RouteSample& known, const RouteSample& newer)
    {
        const RouteSample merged { std::max(known.responses, newer.responses), std::max(known.bad, std::min(newer.bad, newer.responses)) };
        const RouteSample difference { merged.responses - known.responses, merged.bad - known.bad };
        known = merged;
        return difference;
    }

    void subtract(RouteSample& from, const RouteSample& other)
    {
        from.responses -= std::min(from.responses, other.responses);
        from.bad = std::min(from.responses, from.bad - std::min(from.bad, other.bad));
    }

    RouteSample sumOf(const RouteSamples& routes)
    {
        RouteSample sum;
        for (const auto& [route, sample] : routes)
            sum += sample;
        return sum;
    }

    std::uint64_t responsesOf(const EngineSamples& samples)
    {
        std::uint64_t responses = 0;
        for (const auto& [engine, routes] : samples)
            responses += sumOf(routes).responses;
        return responses;
    }

    double unexplainedBad(const RouteSample& sample, double controlShare)
    {
        return static_cast<double>(sample.bad) - controlShare * static_cast<double>(sample.responses);
    }

    std::set<std::string> with(std::set<std::string> versions, const std::string& version)
    {
        versions.insert(version);
        return versions;
    }

} // namespace

VersionChoice VersionChoice::allExcept(std::set<std::string> versions)
{
    VersionChoice choice;
    choice.m_excluded = std::move(versions);
    return choice;
}

VersionChoice VersionChoice::only(std::string version, std::set<EndpointId> engines)
{
    VersionChoice choice;
    choice.m_only = std::move(version);
    choice.m_engines = std::move(engines);
    return choice;
}

bool VersionChoice::allows(const EndpointEntry& endpoint) const
{
    if (m_only)
        return endpoint.version == *m_only && (m_engines.empty() || m_engines.contains(endpoint.id));
    return !m_excluded.contains(endpoint.version);
}

VersionChoice& VersionChoice::setFallback(std::set<std::string> excluded)
{
    m_hasFallback = true;
    m_fallbackExcluded = std::move(excluded);
    return *this;
}

void RolloutEvidence::LatencyHistogram::add(Duration latency)
{
    const auto time = static_cast<std::uint64_t>(std::max<microseconds::rep>(1, std::chrono::duration_cast<microseconds>(latency).count()));
    const auto bucket = static_cast<std::size_t>(std::log2(static_cast<double>(time)) * kBucketsPerOctave);
    ++counts.at(std::min(bucket, kBuckets - 1));
    ++total;
}

microseconds RolloutEvidence::LatencyHistogram::median() const
{
    if (total < kMinLatencies)
        return {};
    std::uint64_t below = 0;
    std::size_t bucket = 0;
    while (bucket + 1 < kBuckets && 2 * (below + counts.at(bucket)) < total)
        below += counts.at(bucket++);
    return microseconds(static_cast<microseconds::rep>(std::exp2((static_cast<double>(bucket) + 0.5) / kBucketsPerOctave)));
}

bool RolloutEvidence::recordCandidate(const EndpointId& engine, const std::string& route, bool isFailure, Duration latency)
{
    const RouteSample response { 1, isBad(route, isFailure, latency) ? 1U : 0U };
    m_candidate[engine][route] += response;
    m_sums.candidate[engine][route] += response;
    m_candidateTotal += response;
    return response.bad > 0;
}

void RolloutEvidence::addEngines(const std::set<EndpointId>& engines)
{
    for (const auto& engine : engines)
        m_sums.candidate.try_emplace(engine);
}

void RolloutEvidence::recordControl(const std::string& route, bool isFailure, Duration latency)
{
    const RouteSample response { 1, isBad(route, isFailure, latency) ? 1U : 0U };
    m_control[route] += response;
    m_sums.control[route] += response;
    // A failure says nothing about how long an answer takes.
    if (!isFailure)
        m_latencies[route].add(latency);
}

bool RolloutEvidence::isBad(const std::string& route, bool isFailure, Duration latency) const
{
    if (isFailure)
        return true;
    const auto median = medianLatency(route);
    return median.count() > 0 && latency > kSlowFactor * median;
}

microseconds RolloutEvidence::medianLatency(const std::string& route) const
{
    if (const auto own = m_latencies.find(route); own != m_latencies.end() && own->second.total >= kMinLatencies)
        return own->second.median();
    // The peer with most responses knows it best.
    std::uint64_t mostResponses = 0;
    microseconds median {};
    for (const auto& [peer, incarnations] : m_peers) {
        for (const auto& [incarnation, counts] : incarnations) {
            const auto found = counts.control.find(route);
            if (found == counts.control.end() || found->second.medianLatency.count() == 0 || found->second.sample.responses <= mostResponses)
                continue;
            mostResponses = found->second.sample.responses;
            median = found->second.medianLatency;
        }
    }
    return median;
}

void RolloutEvidence::recordPeer(const HostId& peer, Incarnation incarnation, const RolloutReport::Service& report, MonotonicTime sentAt)
{
    auto& incarnations = m_peers[peer];
    // An incarnation older than all that are kept was dropped before: its counts are in the sums already.
    if (incarnations.size() >= kMaxIncarnations && !incarnations.contains(incarnation)) {
        if (incarnation < incarnations.begin()->first)
            return;
        incarnations.erase(incarnations.begin());
    }
    auto& counts = incarnations[incarnation];
    if (sentAt >= counts.sentAt) {
        counts.sentAt = sentAt;
        counts.isShifted = report.isShifted;
        counts.oldInProgress = report.oldInProgress;
    }
    for (const auto& [engine, routes] : report.candidate) {
        for (const auto& [route, sample] : routes) {
            auto& known = counts.candidate[engine];
            if (!known.contains(route)) {
                if (counts.samples >= kMaxSamplesOfPeer)
                    continue;
                ++counts.samples;
            }
            const auto added = advance(known[route], sample);
            m_sums.candidate[engine][route] += added;
            m_candidateTotal += added;
        }
    }
    for (const auto& [route, control] : report.control) {
        auto& known = counts.control[route];
        m_sums.control[route] += advance(known.sample, control.sample);
        if (control.medianLatency.count() > 0)
            known.medianLatency = control.medianLatency;
    }
}

RolloutEvidence::Sums RolloutEvidence::sumsSince(MonotonicTime since) const
{
    auto sums = m_sums;
    for (const auto& [peer, incarnations] : m_peers) {
        for (const auto& [incarnation, counts] : incarnations) {
            if (counts.sentAt >= since)
                continue;
            for (const auto& [engine, routes] : counts.candidate) {
                for (const auto& [route, sample] : routes)
                    subtract(sums.candidate[engine][route], sample);
            }
            for (const auto& [route, control] : counts.control)
                subtract(sums.control[route], control.sample);
        }
    }
    return sums;
}

std::size_t RolloutEvidence::peersSince(MonotonicTime since) const
{
    return static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), [since](const auto& peer) {
        return !peer.second.empty() && peer.second.rbegin()->second.sentAt >= since;
    }));
}

std::size_t RolloutEvidence::idlePeersSince(MonotonicTime since) const
{
    return static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), [since](const auto& peer) {
        if (peer.second.empty())
            return false;
        const auto& newest = peer.second.rbegin()->second;
        return newest.sentAt >= since && newest.isShifted && newest.oldInProgress == 0;
    }));
}

void RolloutEvidence::fill(RolloutReport::Service& report, MonotonicTime now) const
{
    for (const auto& [route, sample] : m_control) {
        const auto latencies = m_latencies.find(route);
        report.control[route] = { sample, latencies == m_latencies.end() ? microseconds(0) : latencies->second.median() };
    }
    struct Entry {
        const EndpointId* engine;
        const std::string* route;
        RouteSample sample;
    };
    std::vector<Entry> entries;
    for (const auto& [engine, routes] : m_candidate) {
        for (const auto& [route, sample] : routes)
            entries.push_back({ &engine, &route, sample });
    }
    const auto add = [&report](const Entry& entry) { report.candidate[*entry.engine][*entry.route] = entry.sample; };
    if (entries.size() <= kMaxReportedSamples) {
        std::for_each(entries.begin(), entries.end(), add);
        return;
    }
    // The worst engines are in each report, the others in turn.
    std::stable_sort(entries.begin(), entries.end(), [](const auto& a, const auto& b) { return a.sample.bad > b.sample.bad; });
    constexpr auto kHalf = kMaxReportedSamples / 2;
    std::for_each(entries.begin(), entries.begin() + kHalf, add);
    constexpr milliseconds kReportInterval { 200 };
    const auto turn = static_cast<std::size_t>(now.time_since_epoch() / kReportInterval);
    const auto others = entries.size() - kHalf;
    for (std::size_t i = 0; i < kHalf; ++i)
        add(entries.at(kHalf + (turn * kHalf + i) % others));
}

bool isRestated(const RolloutOrder& known, const RolloutOrder& order)
{
    return eraOf(known.offset) < eraOf(order.offset) && known.version == order.version && known.duration == order.duration;
}

bool isEarlier(const RolloutStatus& status, const RolloutStatus& newer)
{
    const auto progress = [](const RolloutStatus& of) {
        if (of.state != RolloutState::Running)
            return 2;
        return of.phase == RolloutPhase::Shift ? 1 : 0;
    };
    return status.order < newer.order || (status.order == newer.order && progress(status) < progress(newer));
}

VersionRollout::VersionRollout(const VersionRolloutLimits& limits, const HostId& self, RolloutOrder order, bool isTrusted, MonotonicTime orderedAt)
    : m_limits(limits)
    , m_self(self)
    , m_order(std::move(order))
    , m_isTrusted(isTrusted)
    , m_orderedAt(orderedAt)
{
}

void VersionRollout::renumber(LogOffset offset)
{
    m_order.offset = offset;
    chooseCanaries();
}

void VersionRollout::setAge(milliseconds age, MonotonicTime now)
{
    // An order is never older than the time since it was given, so the highest age is the most accurate one.
    m_orderedAt = std::min(m_orderedAt, now - age);
}

void VersionRollout::setStatus(const RolloutStatus& status, MonotonicTime now)
{
    if (status.order != m_order.offset || m_state != RolloutState::Running)
        return;
    m_isRecorded = true;
    m_state = status.state;
    if (status.state == RolloutState::Running && status.phase == RolloutPhase::Shift && m_phase == RolloutPhase::Observe) {
        m_phase = RolloutPhase::Shift;
        m_shiftReadAt = now;
        m_paceCredit = 0;
    }
}

void VersionRollout::setFleet(std::size_t runningDaemons)
{
    m_fleet = runningDaemons;
    m_largestFleet = std::max(m_largestFleet, runningDaemons);
}

void VersionRollout::setEngines(const std::set<EndpointId>& candidates, std::size_t others)
{
    m_oldEngines = others;
    m_isServiceKnown = others > 0 || !candidates.empty() || m_isServiceKnown.value_or(false);
    m_isVersionSeen |= !candidates.empty();
    if (candidates == m_candidates)
        return;
    m_candidates = candidates;
    m_evidence.addEngines(candidates);
    chooseCanaries();
}

void VersionRollout::chooseCanaries()
{
    constexpr double kMinCanaries = 2;
    const auto share = std::ceil(m_limits.exposureShare * static_cast<double>(m_candidates.size()));
    const auto count = std::min(m_candidates.size(), static_cast<std::size_t>(std::max(kMinCanaries, share)));
    const auto key = stableHash(m_order.service.value(), m_order.offset.value());
    std::vector<std::pair<std::uint64_t, EndpointId>> ranked;
    ranked.reserve(m_candidates.size());
    for (const auto& engine : m_candidates) {
        if (!m_failing.contains(engine))
            ranked.emplace_back(rendezvousScore(engine.value(), key), engine);
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    m_canaries.clear();
    for (std::size_t i = 0; i < std::min(count, ranked.size()); ++i)
        m_canaries.insert(ranked.at(i).second);
}

void VersionRollout::replaceFailingCanaries()
{
    // More engines than this don't fail by themselves.
    const auto most = std::max<std::size_t>(1, m_candidates.size() / 4);
    const auto& sums = m_evidence.sums();
    std::set<EndpointId> failing;
    for (const auto& engine : m_canaries) {
        const auto samples = sums.candidate.find(engine);
        if (m_candidates.size() > 1 && m_failing.size() + failing.size() < most && samples != sums.candidate.end()
            && VersionJudge().judge({ *samples }, sums.control) == Verdict::Bad)
            failing.insert(engine);
    }
    if (failing.empty())
        return;
    m_failing.merge(failing);
    chooseCanaries();
}

void VersionRollout::abort(MonotonicTime now)
{
    m_isAborted = true;
    stop(now);
}

void VersionRollout::stop(MonotonicTime now)
{
    if (m_stoppedAt == MonotonicTime())
        m_stoppedAt = now;
}

bool VersionRollout::isPast(double fraction, MonotonicTime now) const
{
    return age(now) >= std::chrono::duration_cast<Duration>(m_order.duration * fraction);
}

bool VersionRollout::isInContact(MonotonicTime now) const
{
    const auto since = now - m_limits.rollbackBound / 2;
    if (m_statusConfirmedAsOf >= since)
        return true;
    const auto others = std::max<std::size_t>(m_fleet, 1) - 1;
    return 2 * m_evidence.peersSince(since) >= others;
}

std::int64_t VersionRollout::slackPart() const
{
    return m_largestFleet == 0 ? 0 : m_limits.exposureSlack / 2 / static_cast<std::int64_t>(m_largestFleet);
}

double VersionRollout::creditPerSend(MonotonicTime now) const
{
    constexpr double kCautiousPart = 1.0 / 3;
    // Makes up for the cautious part by the end of the observation.
    constexpr double kLaterPart = 1.25;
    return kObservedShare * m_limits.exposureShare * (isPast(kCautiousEnd, now) ? kLaterPart : kCautiousPart);
}

double VersionRollout::shiftShare(MonotonicTime now) const
{
    if (!m_shiftReadAt)
        return 0;
    const auto step = std::chrono::duration_cast<Duration>(m_order.duration * kShiftStep);
    const auto time = now - *m_shiftReadAt;
    if (time < step)
        return 0.25;
    return time < 2 * step ? 0.5 : 1;
}

bool VersionRollout::isShifted(MonotonicTime now) const
{
    return !isStopped() && !m_candidates.empty() && shiftShare(now) >= 1;
}

bool VersionRollout::takesNext(MonotonicTime now) const
{
    if (isStopped() || m_candidates.empty())
        return false;
    const bool isDue = m_paceCredit + pace(now) >= 1;
    if (m_phase == RolloutPhase::Shift)
        return isDue;
    // After the latest shift, further observation can't change the outcome.
    return isDue && !isPast(kLatestShift, now) && static_cast<double>(m_exposed) + 1 <= m_credit + static_cast<double>(slackPart());
}

double VersionRollout::pace(MonotonicTime now) const
{
    if (m_phase == RolloutPhase::Shift)
        return shiftShare(now);
    if (!isPast(kCautiousEnd, now))
        return kCautiousPace;
    const auto engines = std::max<std::size_t>(1, m_oldEngines == 0 ? m_candidates.size() : std::min(m_oldEngines, m_candidates.size()));
    const auto burstPace = std::min(kMaxBurstPace, static_cast<double>(m_canaries.size()) / static_cast<double>(engines));
    const auto burstPart = burstPace <= 0 ? 1 : std::min(1.0, creditPerSend(now) / burstPace);
    const auto burstStart = kObserveEnd - burstPart * (kObserveEnd - kCautiousEnd);
    return isPast(burstStart, now) ? burstPace : 0;
}

void VersionRollout::recordSend(bool isCandidate, MonotonicTime now)
{
    // Requests that could not go where they were due are not made up for at once.
    constexpr double kMaxPaceCredit = 4;
    ++m_sends;
    m_paceCredit = std::clamp(m_paceCredit + pace(now) - (isCandidate ? 1 : 0), -kMaxPaceCredit, kMaxPaceCredit);
    if (m_phase == RolloutPhase::Shift)
        return;
    m_credit = std::min(m_credit + creditPerSend(now), kObservedShare * m_limits.exposureShare * static_cast<double>(m_sends));
    m_exposed += isCandidate ? 1 : 0;
}

bool VersionRollout::recordResponse(const EndpointEntry& endpoint, const std::string& route, bool isFailure, Duration latency)
{
    if (endpoint.version == m_order.version)
        return m_evidence.recordCandidate(endpoint.id, route, isFailure, latency);
    m_evidence.recordControl(route, isFailure, latency);
    return false;
}

void VersionRollout::recordPeer(const HostId& peer, Incarnation incarnation, const RolloutReport::Service& report, MonotonicTime now)
{
    setAge(report.age, now);
    // A datagram that waited while this daemon was frozen states an age that has passed.
    m_evidence.recordPeer(peer, incarnation, report, std::min(now, m_orderedAt + report.age));
    if (report.isBad && !m_isBad) {
        m_isBad = true;
        stop(now);
    }
}

RolloutReport::Service VersionRollout::report(std::uint64_t oldInProgress, MonotonicTime now) const
{
    RolloutReport::Service report;
    report.service = m_order.service;
    report.order = m_order.offset;
    report.age = std::chrono::floor<milliseconds>(age(now));
    report.isBad = m_isBad;
    report.isShifted = isShifted(now);
    report.oldInProgress = oldInProgress;
    m_evidence.fill(report, now);
    return report;
}

RolloutEvidence::Sums VersionRollout::since(const RolloutEvidence::Sums& start) const
{
    constexpr std::uint64_t kMinControl = 50;
    auto sums = m_evidence.sums();
    for (const auto& [engine, routes] : start.candidate) {
        for (const auto& [route, sample] : routes)
            subtract(sums.candidate[engine][route], sample);
    }
    auto control = sums.control;
    for (const auto& [route, sample] : start.control)
        subtract(control[route], sample);
    if (sumOf(control).responses >= kMinControl)
        sums.control = std::move(control);
    return sums;
}

bool VersionRollout::hasTooManyBad(const Judgement& total) const
{
    if (unexplainedBad(total.candidate, total.controlShare) < kMaxUnexplainedBad)
        return false;
    // One engine that fails is not the version's fault if the others show that the version is good.
    auto others = m_evidence.sums().candidate;
    const auto worst = std::max_element(others.begin(), others.end(), [](const auto& a, const auto& b) { return sumOf(a.second).bad < sumOf(b.second).bad; });
    const auto ofWorst = unexplainedBad(sumOf(worst->second), total.controlShare);
    others.erase(worst);
    if (others.empty())
        return true;
    const auto ofOthers = VersionJudge().judgeInDetail(others, m_evidence.sums().control);
    if (ofOthers.verdict != Verdict::Good)
        return true;
    const auto limited = std::min(ofWorst, VersionJudge::kMaxEngineEvidence * kMaxUnexplainedBad);
    return limited + unexplainedBad(ofOthers.candidate, ofOthers.controlShare) >= kMaxUnexplainedBad;
}

Judgement VersionRollout::judgeAll() const
{
    const VersionJudge judge;
    auto total = judge.judgeInDetail(m_evidence.sums().candidate, m_evidence.sums().control);
    if (total.verdict == Verdict::Bad)
        return total;
    if (hasTooManyBad(total)) {
        total.verdict = Verdict::Bad;
        return total;
    }
    // Fewer bad responses never suffice: each adds log(0.16 / 0.01) at most.
    constexpr std::uint64_t kMinBad = 3;
    for (const auto& start : m_checkpoints) {
        if (m_evidence.candidateTotal().bad < start.bad + kMinBad)
            continue;
        auto sums = since(start.sums);
        // Its part of the evidence would bring each of the tests close to the verdict "bad".
        std::erase_if(sums.candidate, [this](const auto& engine) { return m_failing.contains(engine.first); });
        auto judgement = judge.judgeInDetail(sums.candidate, sums.control);
        if (judgement.verdict == Verdict::Bad)
            return judgement;
    }
    return total;
}

std::optional<Judgement> VersionRollout::judge(MonotonicTime now)
{
    if (!isRunning() || m_isBad || m_isTrusted || now < m_nextJudgement)
        return std::nullopt;
    // While the version is observed each response counts, and there are few. In the shift there are many.
    m_nextJudgement = now + (m_phase == RolloutPhase::Shift ? kJudgementInterval : milliseconds(0));
    if (m_nextCheckpoint == MonotonicTime())
        m_nextCheckpoint = now + m_order.duration / kTests;
    if (now >= m_nextCheckpoint) {
        m_nextCheckpoint = now + m_order.duration / kTests;
        if (m_checkpoints.size() < kTests)
            m_checkpoints.push_back({ m_evidence.sums(), m_evidence.candidateTotal().bad });
    }
    if (m_evidence.candidateTotal() == m_judgedTotal)
        return std::nullopt;
    m_judgedTotal = m_evidence.candidateTotal();
    auto judgement = judgeAll();
    if (judgement.verdict != Verdict::Bad)
        replaceFailingCanaries();
    // "Good" may be undecided again; only the first change is of interest.
    if (judgement.verdict <= m_verdict)
        return std::nullopt;
    m_verdict = judgement.verdict;
    if (m_verdict == Verdict::Bad) {
        m_isBad = true;
        stop(now);
    }
    return judgement;
}

bool VersionRollout::favoursGood(MonotonicTime now) const
{
    const auto sums = m_evidence.sumsSince(now - RolloutEvidence::kFreshness);
    return responsesOf(sums.candidate) >= kMinResponses && VersionJudge().judge(sums.candidate, sums.control) == Verdict::Good;
}

std::string VersionRollout::invalidReason(MonotonicTime now) const
{
    if (!isRunning() || m_phase == RolloutPhase::Shift || !m_isServiceKnown)
        return {};
    if (!*m_isServiceKnown && (age(now) >= kServiceWait || isPast(kVersionWaitEnd, now)))
        return "no engine of the service is listed";
    if (!m_isVersionSeen && isPast(kVersionWaitEnd, now))
        return "no engine of the version is listed";
    return {};
}

std::chrono::milliseconds VersionRollout::writeDelay() const
{
    const auto key = stableHash(m_order.service.value(), m_order.offset.value());
    return kWriteDelay + milliseconds(rendezvousScore(m_self.value(), key) % static_cast<std::uint64_t>(kWriteDelay.count()));
}

std::optional<RolloutStatus> VersionRollout::dueWrite(bool isLeader, std::uint64_t oldInProgress, MonotonicTime now) const
{
    if (!isRunning())
        return std::nullopt;
    const auto rolledBack = status(RolloutState::RolledBack, m_phase);
    if (isStopped())
        return isLeader || (m_isBad && now >= m_stoppedAt + writeDelay()) ? std::optional(rolledBack) : std::nullopt;
    if (!isLeader)
        return std::nullopt;
    if (!invalidReason(now).empty())
        return rolledBack;
    if (m_phase == RolloutPhase::Observe) {
        if (!m_isRecorded)
            return isPast(kGiveUp, now) ? rolledBack : status(RolloutState::Running, RolloutPhase::Observe);
        const bool isObserved = isPast(kObserveEnd, now) && !isPast(kLatestShift, now) && favoursGood(now);
        if (!m_candidates.empty() && (m_isTrusted || isObserved))
            return status(RolloutState::Running, RolloutPhase::Shift);
        return isPast(kGiveUp, now) ? std::optional(rolledBack) : std::nullopt;
    }
    const bool isLate = isPast(kLatestCompletion, now);
    // Without engines of the new version, completing would stop the only ones that are left.
    if (m_candidates.empty())
        return isLate ? std::optional(rolledBack) : std::nullopt;
    const auto others = std::max<std::size_t>(m_fleet, 1) - 1;
    const bool isIdle = isShifted(now) && oldInProgress == 0 && m_evidence.idlePeersSince(now - kWriteInterval * 4) >= others;
    return isIdle || isLate ? std::optional(status(RolloutState::Completed, RolloutPhase::Shift)) : std::nullopt;
}

std::optional<RolloutStatus> VersionRollout::takeWrite(bool isLeader, std::uint64_t oldInProgress, MonotonicTime now)
{
    if (now < m_nextWrite)
        return std::nullopt;
    auto due = dueWrite(isLeader, oldInProgress, now);
    if (due)
        m_nextWrite = now + kWriteInterval;
    return due;
}

VersionRollouts::VersionRollouts(VersionRolloutLimits limits, HostId self)
    : m_limits(limits)
    , m_self(std::move(self))
{
}

void VersionRollouts::addEvent(RolloutEvent::Kind kind, const VersionRollout& rollout, Judgement judgement, std::string reason)
{
    const auto& order = rollout.order();
    m_events.push_back({ kind, order.service, order.version, order.offset, rollout.state(), rollout.phase(), std::move(judgement), std::move(reason) });
}

std::vector<RolloutEvent> VersionRollouts::takeEvents()
{
    return std::exchange(m_events, {});
}

bool VersionRollouts::isInRegularUse(const Service& service, const std::string& version)
{
    if (!service.rollout)
        return service.released == std::set<std::string> { version };
    if (service.rollout->state() == RolloutState::Completed)
        return service.rollout->order().version == version;
    return service.rollout->order().version != version && service.baseline.contains(version);
}

void VersionRollouts::setOrder(const RolloutOrder& order, std::optional<milliseconds> age, MonotonicTime now)
{
    if (order.duration <= milliseconds(0))
        return;
    auto& service = m_services[order.service];
    if (service.rollout) {
        const auto& known = service.rollout->order();
        if (order.offset <= known.offset)
            return;
        if (isRestated(known, order)) {
            continueOrder(service, order.offset, now);
            return;
        }
        // The store's copy is from before the newest order.
        const auto& previous = service.previousOrder;
        if (previous && isRestated(*previous, order) && offsetInEra(previous->offset) == offsetInEra(order.offset)) {
            service.isOrderLost = true;
            return;
        }
        service.previousOrder = known;
    }
    const bool isTrusted = isInRegularUse(service, order.version);
    if (!service.rollout) {
        service.baseline = service.released;
    } else {
        const auto& previous = *service.rollout;
        const auto& version = previous.order().version;
        if (previous.state() == RolloutState::Completed)
            service.baseline = { version };
        else if (previous.isTrusted())
            service.baseline.insert(version);
        if (!service.baseline.contains(version)) {
            service.excluded.insert(version);
            service.released.erase(version);
        }
    }
    service.excluded.erase(order.version);
    service.held.erase(order.version);
    service.isFinished = false;
    service.isInvalidLogged = false;
    service.isOrderLost = false;
    auto& rollout = service.rollout.emplace(m_limits, m_self, order, isTrusted, now - age.value_or(milliseconds(0)));
    rollout.setFleet(m_fleet);
    rollout.statusConfirmed(m_statusConfirmedAsOf);
    if (m_hasListing)
        setEngines(service);
    addEvent(RolloutEvent::Kind::Ordered, rollout);
    if (service.status)
        service.status = renumbered(*service.status, service);
    applyEarlierStatus(service);
    applyStatus(service, now);
    applyPendingReports(service, now);
}

void VersionRollouts::continueOrder(Service& service, LogOffset offset, MonotonicTime now)
{
    auto& rollout = *service.rollout;
    const bool isStatusOfOrder = service.status && service.status->order == rollout.order().offset;
    rollout.renumber(offset);
    service.isOrderLost = false;
    service.previousOrder.reset();
    if (isStatusOfOrder)
        service.status->order = offset;
    // A state that the store holds under another position must be written again, so that daemons that start find it.
    if (service.recorded)
        service.recorded = renumbered(*service.recorded, service);
    applyPendingReports(service, now);
}

void VersionRollouts::applyPendingReports(Service& service, MonotonicTime now)
{
    const auto& order = service.rollout->order();
    for (auto& [peer, reports] : m_pending) {
        const auto pending = reports.find(order.service);
        if (pending == reports.end() || pending->second.report.order > order.offset)
            continue;
        if (pending->second.report.order == order.offset)
            service.rollout->recordPeer(peer, pending->second.incarnation, pending->second.report, now);
        reports.erase(pending);
    }
}

RolloutStatus VersionRollouts::renumbered(RolloutStatus status, const Service& service)
{
    if (!service.rollout)
        return status;
    const auto& order = service.rollout->order();
    // An order that the store's copy holds keeps its offset.
    const bool isOfOrder = eraOf(status.order) < eraOf(order.offset) && offsetInEra(status.order) == offsetInEra(order.offset) && status.version == order.version;
    if (isOfOrder)
        status.order = order.offset;
    return status;
}

void VersionRollouts::storeEntered(StoreEra era)
{
    if (!std::exchange(m_era, era))
        return;
    m_wasRestored = true;
    m_statusReadSince.reset();
    for (auto& [id, service] : m_services)
        service.recorded.reset();
}

void VersionRollouts::orderLost(const ServiceId& id)
{
    const auto found = m_services.find(id);
    if (found != m_services.end() && found->second.rollout)
        found->second.isOrderLost = true;
}

void VersionRollouts::removeOrder(const ServiceId& id, MonotonicTime now)
{
    const auto found = m_services.find(id);
    if (found == m_services.end())
        return;
    if (found->second.rollout && found->second.rollout->isRunning())
        found->second.rollout->abort(now);
}

void VersionRollouts::setStatus(const RolloutStatus& stored, MonotonicTime now)
{
    auto& service = m_services[stored.service];
    const auto status = renumbered(stored, service);
    if (!service.recorded || isEarlier(*service.recorded, status))
        service.recorded = status;
    if (service.status && isEarlier(status, *service.status))
        return;
    const bool isKnownEnd = service.status && service.status->order == status.order && service.status->state != RolloutState::Running;
    if (isKnownEnd)
        return;
    if (!service.status || service.status->order != status.order)
        service.statusSeenAt = now;
    service.status = status;
    applyEarlierStatus(service);
    applyStatus(service, now);
}

void VersionRollouts::applyEarlierStatus(Service& service)
{
    if (!service.status)
        return;
    const auto& status = *service.status;
    if (service.rollout && status.order >= service.rollout->order().offset)
        return;
    // Without its order, a version that was not completed may get no requests.
    if (status.state == RolloutState::Completed)
        service.released.insert(status.version);
    else if ((!service.rollout || service.rollout->order().version != status.version) && !service.baseline.contains(status.version))
        service.excluded.insert(status.version);
}

void VersionRollouts::applyStatus(Service& service, MonotonicTime now)
{
    if (!service.rollout || !service.status || service.status->order != service.rollout->order().offset)
        return;
    auto& rollout = *service.rollout;
    const auto state = rollout.state();
    const auto phase = rollout.phase();
    rollout.setStatus(*service.status, now);
    if (rollout.state() != state || rollout.phase() != phase)
        addEvent(RolloutEvent::Kind::Phase, rollout);
    finish(service);
}

void VersionRollouts::finish(Service& service)
{
    if (!service.rollout || service.isFinished)
        return;
    const auto& version = service.rollout->order().version;
    if (service.rollout->state() == RolloutState::RolledBack) {
        service.excluded.insert(version);
        service.released.erase(version);
        service.isFinished = true;
    } else if (service.rollout->state() == RolloutState::Completed && service.engines.contains(version)) {
        for (const auto& [other, engines] : service.engines) {
            if (other != version) {
                service.excluded.insert(other);
                service.released.erase(other);
            }
        }
        service.released.insert(version);
        service.isFinished = true;
    }
}

void VersionRollouts::statusConfirmed(MonotonicTime asOf)
{
    m_statusConfirmedAsOf = std::max(m_statusConfirmedAsOf, asOf);
    m_statusReadSince = m_statusReadSince.value_or(asOf);
    for (auto& [id, service] : m_services) {
        if (service.rollout)
            service.rollout->statusConfirmed(asOf);
    }
}

void VersionRollouts::setFleet(std::size_t runningGateways)
{
    m_fleet = runningGateways;
    for (auto& [id, service] : m_services) {
        if (service.rollout)
            service.rollout->setFleet(runningGateways);
    }
}

void VersionRollouts::setEngines(Service& service)
{
    if (!service.rollout)
        return;
    const auto& version = service.rollout->order().version;
    std::set<EndpointId> candidates;
    std::size_t others = 0;
    for (const auto& [other, engines] : service.engines) {
        if (other == version)
            candidates = engines;
        else if (!service.excluded.contains(other))
            others += engines.size();
    }
    service.rollout->setEngines(candidates, others);
}

void VersionRollouts::setEndpoints(const EndpointRegistry& registry, MonotonicTime now)
{
    const bool isFirst = !std::exchange(m_hasListing, true);
    for (auto& [id, service] : m_services)
        service.engines.clear();
    for (const auto& [id, entry] : registry.entries()) {
        if (!entry.isLeaving)
            m_services[entry.service].engines[entry.version].insert(id);
    }
    for (auto& entry : m_services) {
        auto& service = entry.second;
        std::erase_if(service.excluded, [&service](const auto& version) {
            const bool isCurrent = service.rollout && service.rollout->order().version == version;
            return !isCurrent && !service.engines.contains(version);
        });
        std::erase_if(service.held, [&service](const auto& held) { return !service.engines.contains(held.first); });
        // A rollout starts new engines beside old ones, so the only version that a starting daemon finds is in regular use.
        const bool isOnlyVersion = isFirst && service.engines.size() == 1 && !service.rollout;
        if (isOnlyVersion)
            service.released.insert(service.engines.begin()->first);
        for (const auto& [version, engines] : service.engines) {
            const bool isOrdered = service.rollout && service.rollout->order().version == version;
            if (!isOrdered && !service.released.contains(version) && !service.excluded.contains(version))
                service.held.try_emplace(version, now);
        }
        setEngines(service);
        finish(service);
    }
}

void VersionRollouts::operatorsConfirmed(MonotonicTime asOf)
{
    m_operatorsConfirmedAsOf = std::max(m_operatorsConfirmedAsOf.value_or(asOf), asOf);
    for (auto& [id, service] : m_services) {
        for (auto held = service.held.begin(); held != service.held.end();) {
            if (held->second > asOf) {
                ++held;
                continue;
            }
            service.released.insert(held->first);
            held = service.held.erase(held);
        }
    }
}

bool VersionRollouts::hasOther(const Service& service, const std::set<std::string>& blocked, const std::string& version)
{
    return std::any_of(service.engines.begin(), service.engines.end(), [&](const auto& entry) { return entry.first != version && !blocked.contains(entry.first); });
}

std::set<std::string> VersionRollouts::blocked(const Service& service, MonotonicTime now) const
{
    auto versions = service.excluded;
    for (const auto& [version, firstSeen] : service.held)
        versions.insert(version);
    if (service.rollout)
        versions.erase(service.rollout->order().version);
    const auto ordered = service.rollout ? service.rollout->order().version : std::string();
    const bool isInUse = service.rollout && service.rollout->state() == RolloutState::Completed && service.engines.contains(ordered);
    if (isInUse || hasOther(service, versions, ordered))
        return versions;
    for (const auto& [version, firstSeen] : service.held) {
        if (now >= firstSeen + kUnknownVersionTimeout && !service.excluded.contains(version))
            versions.erase(version);
    }
    return versions;
}

VersionChoice VersionRollouts::choose(const ServiceId& id, MonotonicTime now) const
{
    const auto found = m_services.find(id);
    if (found == m_services.end())
        return {};
    const auto& service = found->second;
    const auto blockedVersions = blocked(service, now);
    if (!service.rollout || service.rollout->state() == RolloutState::Completed)
        return VersionChoice::allExcept(blockedVersions);
    const auto& rollout = *service.rollout;
    const auto& version = rollout.order().version;
    const auto old = with(blockedVersions, version);
    if (rollout.isStopped())
        return VersionChoice::allExcept(old);
    if (rollout.isTrusted() && !rollout.isShifting())
        return VersionChoice::allExcept(blockedVersions);
    // The operator may have removed the order, and the store may have lost that.
    if (service.isOrderLost && !rollout.isShifting())
        return VersionChoice::allExcept(old);
    const bool isStateKnown = m_statusConfirmedAsOf != MonotonicTime::min() || (service.status && service.status->order == rollout.order().offset);
    if (!isStateKnown)
        return VersionChoice::allExcept(hasOther(service, blockedVersions, version) ? old : blockedVersions);
    if (!rollout.isInContact(now)) {
        auto choice = VersionChoice::allExcept(old);
        // After the shift the old engines may be gone already.
        return rollout.isShifting() ? choice.setFallback(blockedVersions) : choice;
    }
    if (rollout.takesNext(now)) {
        auto choice = VersionChoice::only(version, rollout.engines());
        if (!rollout.isShifting())
            return choice.setFallback(old);
        return rollout.isShifted(now) ? choice : choice.setFallback(blockedVersions);
    }
    auto choice = VersionChoice::allExcept(old);
    return rollout.isShifting() ? choice.setFallback(blockedVersions) : choice;
}

void VersionRollouts::recordSend(const EndpointEntry& endpoint, MonotonicTime now)
{
    auto& service = m_services[endpoint.service];
    auto& inProgress = service.inProgress[endpoint.id];
    inProgress.version = endpoint.version;
    ++inProgress.requests;
    if (!service.rollout || !service.rollout->isRunning())
        return;
    const bool isCandidate = endpoint.version == service.rollout->order().version;
    service.rollout->recordSend(isCandidate, now);
    m_counters.exposed += isCandidate ? 1 : 0;
}

void VersionRollouts::recordResponse(const EndpointEntry& endpoint, const std::string& route, bool isFailure, Duration latency, MonotonicTime now)
{
    const auto found = m_services.find(endpoint.service);
    if (found == m_services.end() || !found->second.rollout || !found->second.rollout->isRunning() || found->second.excluded.contains(endpoint.version))
        return;
    auto& service = found->second;
    const bool isCandidate = endpoint.version == service.rollout->order().version;
    const bool isBad = service.rollout->recordResponse(endpoint, route, isFailure, latency);
    m_counters.bad += isBad ? 1 : 0;
    if (isCandidate)
        judge(service, now);
}

void VersionRollouts::recordEnd(const EndpointEntry& endpoint)
{
    const auto service = m_services.find(endpoint.service);
    if (service == m_services.end())
        return;
    const auto found = service->second.inProgress.find(endpoint.id);
    if (found != service->second.inProgress.end() && --found->second.requests == 0)
        service->second.inProgress.erase(found);
}

std::uint64_t VersionRollouts::oldInProgress(const Service& service)
{
    std::uint64_t requests = 0;
    for (const auto& [engine, inProgress] : service.inProgress) {
        if (service.rollout && inProgress.version != service.rollout->order().version)
            requests += inProgress.requests;
    }
    return requests;
}

void VersionRollouts::judge(Service& service, MonotonicTime now)
{
    if (auto judgement = service.rollout->judge(now))
        addEvent(RolloutEvent::Kind::Verdict, *service.rollout, std::move(*judgement));
}

bool VersionRollouts::isAnyRunning() const
{
    return std::any_of(m_services.begin(), m_services.end(), [](const auto& service) { return service.second.rollout && service.second.rollout->isRunning(); });
}

RolloutReport VersionRollouts::report(MonotonicTime now) const
{
    RolloutReport report;
    for (const auto& [id, service] : m_services) {
        if (!service.rollout || service.rollout->state() == RolloutState::Completed)
            continue;
        if (service.rollout->isRunning()) {
            report.services.push_back(service.rollout->report(oldInProgress(service), now));
            continue;
        }
        // Peers that have not read the state yet learn of it while its engines are there.
        if (service.engines.contains(service.rollout->order().version)) {
            RolloutReport::Service ended;
            ended.service = id;
            ended.order = service.rollout->order().offset;
            ended.isBad = true;
            report.services.push_back(std::move(ended));
        }
    }
    return report;
}

void VersionRollouts::recordPeerReport(const HostId& peer, Incarnation incarnation, const RolloutReport& report, MonotonicTime now)
{
    if (peer == m_self)
        return;
    for (const auto& reported : report.services) {
        const auto found = m_services.find(reported.service);
        const bool hasOrder = found != m_services.end() && found->second.rollout;
        if (hasOrder && reported.order < found->second.rollout->order().offset)
            continue;
        if (!hasOrder || reported.order > found->second.rollout->order().offset) {
            auto& pending = m_pending[peer];
            if (pending.size() < kMaxPendingServices || pending.contains(reported.service))
                pending.insert_or_assign(reported.service, PendingReport { incarnation, reported });
            continue;
        }
        const bool wasBad = found->second.rollout->isBad();
        found->second.rollout->recordPeer(peer, incarnation, reported, now);
        if (!wasBad && found->second.rollout->isBad())
            addEvent(RolloutEvent::Kind::Verdict, *found->second.rollout, { Verdict::Bad, {}, {}, 0 }, "reported by " + peer.value());
        judge(found->second, now);
    }
}

bool VersionRollouts::isStatusLost(const ServiceId& id) const
{
    const auto found = m_services.find(id);
    return found != m_services.end() && isStatusLost(found->second);
}

bool VersionRollouts::isStatusLost(const Service& service) const
{
    if (!m_wasRestored || !m_statusReadSince || !service.rollout || service.isOrderLost || !service.status)
        return false;
    const auto& status = *service.status;
    return status.order == service.rollout->order().offset && (!service.recorded || isEarlier(*service.recorded, status));
}

std::optional<RolloutStatus> VersionRollouts::takeLost(Service& service, bool isLeader, MonotonicTime now) const
{
    if (!isStatusLost(service) || now < service.nextRestatement)
        return std::nullopt;
    // A leader that has started since knows nothing of the state.
    if (!isLeader && now < *m_statusReadSince + service.rollout->writeDelay())
        return std::nullopt;
    service.nextRestatement = now + VersionRollout::kWriteInterval;
    return service.status;
}

std::optional<RolloutStatus> VersionRollouts::takeAbandoned(Service& service, bool isLeader, MonotonicTime now) const
{
    // The order of a running rollout was removed while no daemon that is left knew it. Its record was in the store before the
    // state, so a read of the operators' records that was sent later shows whether it is there.
    const bool isOrderUnknown = !service.rollout || service.rollout->order().offset < service.status->order;
    const bool isConfirmed = m_operatorsConfirmedAsOf && *m_operatorsConfirmedAsOf > service.statusSeenAt;
    // The store may have lost an order of an earlier era, and the operator may give it again.
    const bool isOfThisEra = eraOf(service.status->order) == m_era.value_or(StoreEra());
    const bool isAbandoned = isOrderUnknown && isConfirmed && isOfThisEra && service.status->state == RolloutState::Running;
    if (!isLeader || !isAbandoned || now < service.nextAbandonedWrite)
        return std::nullopt;
    service.nextAbandonedWrite = now + VersionRollout::kWriteInterval;
    auto status = *service.status;
    status.state = RolloutState::RolledBack;
    return status;
}

std::optional<RolloutStatus> VersionRollouts::takeWrite(bool isLeader, MonotonicTime now)
{
    const bool isStateKnown = m_statusConfirmedAsOf != MonotonicTime::min();
    for (auto& [id, service] : m_services) {
        if (service.status && isStateKnown) {
            if (auto status = takeAbandoned(service, isLeader, now))
                return status;
        }
        if (!service.rollout)
            continue;
        judge(service, now);
        if (service.isOrderLost)
            continue;
        if (auto status = takeLost(service, isLeader, now))
            return status;
        if (!service.isInvalidLogged) {
            if (auto reason = service.rollout->invalidReason(now); !reason.empty()) {
                service.isInvalidLogged = true;
                addEvent(RolloutEvent::Kind::Invalid, *service.rollout, {}, std::move(reason));
            }
        }
        if (!isStateKnown)
            continue;
        if (auto status = service.rollout->takeWrite(isLeader, oldInProgress(service), now))
            return status;
    }
    return std::nullopt;
}

} // namespace hornbeamgate::gateway
