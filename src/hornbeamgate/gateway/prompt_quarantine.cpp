#include "hornbeamgate/gateway/prompt_quarantine.hpp"

#include "hornbeamgate/base/hash.hpp"

#include <algorithm>
#include <iterator>

namespace hornbeamgate::gateway {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::minutes;
    using std::chrono::seconds;

    /// Weights of an engine that was lost with a run that had begun its response, and with runs that all had not. Three of
    /// the former or four of the latter are sufficient.
    constexpr int kWeightWithHead = 5;
    constexpr int kWeightWithoutHead = 4;
    constexpr int kSufficientWeight = 15;
    /// Engines lost within this time with waiting runs only count once, since they may have been lost in one outage.
    constexpr milliseconds kOutageWindow { 200 };
    /// Latency of responses and of reports between daemons. Events that are less apart may have happened in another order.
    constexpr milliseconds kMaxLatency { 500 };
    /// Engines lost with parts after which their runs are not repeated, and after which a quarantine is narrowed to them.
    constexpr std::size_t kRepeatedLosses = 2;
    /// Time for which observations count.
    constexpr minutes kEvidenceTimeout { 2 };
    /// Time of the first quarantine; it doubles with each further one, since every attempt costs an engine.
    constexpr minutes kFirstQuarantine { 2 };
    constexpr int kMaxDoublings = 4;
    /// Time after a quarantine in which a single loss starts the next one.
    constexpr minutes kRenewalWindow { 10 };
    /// Engines whose losses a daemon remembers, and lost runs of one engine; bound memory in an outage.
    constexpr std::size_t kMaxEngines = 64;
    constexpr std::size_t kMaxRunsPerEngine = 16;
    constexpr std::size_t kMaxQuarantines = 64;
    /// Parts of one prompt that are taken into account; the last ones, if a prompt has more.
    constexpr std::size_t kMaxParts = 16;
    /// Losses and other items in one report, which has to fit into a datagram.
    constexpr std::size_t kMaxReportedLosses = 32;
    constexpr std::size_t kMaxReportedItems = 64;
    constexpr seconds kCleanupInterval { 1 };

    milliseconds ageOf(MonotonicTime time, MonotonicTime now)
    {
        return std::chrono::duration_cast<milliseconds>(now - time);
    }

    /// Number of losses that cannot be due to one outage.
    int countSeparate(std::vector<MonotonicTime> losses)
    {
        std::sort(losses.begin(), losses.end());
        int count = 0;
        MonotonicTime windowEnd {};
        for (const auto loss : losses) {
            if (loss < windowEnd)
                continue;
            ++count;
            windowEnd = loss + kOutageWindow;
        }
        return count;
    }

    bool contains(const std::vector<PartKey>& parts, PartKey part)
    {
        return std::find(parts.begin(), parts.end(), part) != parts.end();
    }

    bool containsAll(const std::vector<PartKey>& parts, const std::set<PartKey>& wanted)
    {
        return std::all_of(wanted.begin(), wanted.end(), [&parts](PartKey part) { return contains(parts, part); });
    }

} // namespace

PartKey partKey(std::string_view part)
{
    return stableHash(part);
}

EngineKey engineKey(const EndpointId& endpoint, Incarnation incarnation)
{
    return stableHash(endpoint.value(), incarnation.value());
}

RunKey runKey(std::string_view requestId, int send)
{
    return stableHash(requestId, static_cast<std::uint64_t>(send));
}

bool PromptQuarantine::Survival::refutes(MonotonicTime lostAt) const
{
    return sentAt <= lostAt && answeredAt >= lostAt + kMaxLatency;
}

bool PromptQuarantine::Evidence::isSufficient() const
{
    // Runs that were all under way before the first loss may have been ended by one outage. Times that peers report are late
    // by their reports' latency.
    return weight >= kSufficientWeight && newestSend >= earliestLoss + kMaxLatency;
}

std::optional<MonotonicTime> PromptQuarantine::withheldUntil(const std::vector<PartKey>& parts, MonotonicTime now) const
{
    for (const auto& quarantine : m_quarantines) {
        if (now < quarantine.until && containsAll(parts, quarantine.parts))
            return quarantine.until;
    }
    return std::nullopt;
}

bool PromptQuarantine::mayRepeat(const std::vector<PartKey>& parts) const
{
    return std::none_of(parts.begin(), parts.end(), [this](PartKey part) {
        return static_cast<std::size_t>(std::count_if(m_losses.begin(), m_losses.end(), [part](const auto& losses) {
            return std::any_of(losses.second.begin(), losses.second.end(), [part](const auto& entry) { return entry.second.hasHead && contains(entry.second.parts, part); });
        })) >= kRepeatedLosses;
    });
}

PromptQuarantine::Changes PromptQuarantine::runLost(const LostRun& lostRun)
{
    Changes changes;
    if (lostRun.parts.empty())
        return changes;
    auto run = lostRun;
    if (run.parts.size() > kMaxParts)
        run.parts.erase(run.parts.begin(), run.parts.end() - kMaxParts);
    const auto now = run.lostAt;
    dropExpired(now);
    ++m_revision;
    m_localLosses.push_back(run);
    if (m_localLosses.size() > kMaxReportedLosses) {
        // Runs that had begun say more than the others.
        const auto waiting = std::find_if(m_localLosses.begin(), m_localLosses.end(), [](const LostRun& loss) { return !loss.hasHead; });
        m_localLosses.erase(waiting == m_localLosses.end() ? m_localLosses.begin() : waiting);
    }
    addLoss(run, now, changes);
    return changes;
}

PromptQuarantine::Changes PromptQuarantine::runAnswered(const std::vector<PartKey>& parts, MonotonicTime now)
{
    Changes changes;
    for (const auto part : parts)
        addAnswer(part, now, true, changes);
    if (!changes.empty())
        ++m_revision;
    return changes;
}

void PromptQuarantine::engineAnswered(EngineKey engine, MonotonicTime sentAt, MonotonicTime now)
{
    addSurvival(engine, { sentAt, now, true });
}

QuarantineReport PromptQuarantine::report(MonotonicTime since, MonotonicTime now) const
{
    QuarantineReport report;
    for (const auto& loss : m_localLosses) {
        const auto known = m_losses.find(loss.engine);
        const bool isKnown = known != m_losses.end() && known->second.contains(loss.run);
        // Losses that say nothing any more are left out, except those of quarantined parts.
        if (loss.lostAt >= since && (isKnown || m_attributedUntil.contains(loss.engine)))
            report.losses.push_back({ loss.run, loss.engine, isKnown ? known->second.at(loss.run).parts : loss.parts, loss.hasHead, ageOf(loss.sentAt, now), ageOf(loss.lostAt, now) });
    }
    for (const auto& [part, answer] : m_answered) {
        if (answer.isLocal && answer.at >= since && report.answered.size() < kMaxReportedItems)
            report.answered.push_back({ part, ageOf(answer.at, now) });
    }
    for (const auto& [engine, survival] : m_survivals) {
        if (survival.isLocal && survival.answeredAt >= since && report.survivors.size() < kMaxReportedItems)
            report.survivors.push_back({ engine, ageOf(survival.sentAt, now), ageOf(survival.answeredAt, now) });
    }
    for (const auto& quarantine : m_quarantines) {
        if (now < quarantine.until && report.quarantined.size() < kMaxReportedItems)
            report.quarantined.push_back({ quarantine.parts, ageOf(now, quarantine.until), ageOf(quarantine.lostAt, now), quarantine.renewals });
    }
    return report;
}

QuarantineReport PromptQuarantine::snapshot(MonotonicTime now) const
{
    QuarantineReport snapshot;
    for (const bool hasHead : { true, false }) {
        for (const auto& [engine, runs] : m_losses) {
            for (const auto& [key, run] : runs) {
                if (run.hasHead == hasHead && snapshot.losses.size() < kMaxReportedLosses)
                    snapshot.losses.push_back({ key, engine, run.parts, run.hasHead, ageOf(run.sentAt, now), ageOf(run.lostAt, now) });
            }
        }
    }
    for (const auto& quarantine : m_quarantines) {
        if (snapshot.quarantined.size() < kMaxReportedItems)
            snapshot.quarantined.push_back({ quarantine.parts, std::max(milliseconds(0), ageOf(now, quarantine.until)), ageOf(quarantine.lostAt, now), quarantine.renewals });
    }
    return snapshot;
}

PromptQuarantine::Changes PromptQuarantine::recordPeerReport(const QuarantineReport& report, MonotonicTime now)
{
    Changes changes;
    dropExpired(now);
    for (const auto& answered : report.answered)
        addAnswer(answered.part, now - answered.age, false, changes);
    for (const auto& survivor : report.survivors)
        addSurvival(survivor.engine, { now - survivor.sentAge, now - survivor.answeredAge, false });
    for (const auto& quarantined : report.quarantined)
        adopt(quarantined, now, changes);
    for (const auto& loss : report.losses)
        addLoss({ loss.run, loss.engine, loss.parts, loss.hasHead, now - loss.sentAge, now - loss.lostAge }, now, changes);
    return changes;
}

void PromptQuarantine::addLoss(LostRun run, MonotonicTime now, Changes& changes)
{
    if (const auto survival = m_survivals.find(run.engine); survival != m_survivals.end() && survival->second.refutes(run.lostAt))
        return;
    if (auto* quarantine = findQuarantineOf(run)) {
        quarantine->lostAt = std::max(quarantine->lostAt, run.lostAt);
        if (run.sentAt >= quarantine->until) {
            extend(*quarantine, run.lostAt, now);
            changes.push_back({ quarantine->parts, true, 1 });
        }
        attribute(run.engine, now);
        return;
    }
    narrowQuarantines(run, now, changes);
    std::erase_if(run.parts, [&](PartKey part) {
        const auto answer = m_answered.find(part);
        return answer != m_answered.end() && answer->second.at >= run.lostAt;
    });
    if (run.parts.empty() || m_attributedUntil.contains(run.engine))
        return;
    if (!m_losses.contains(run.engine))
        makeRoom();
    auto& runs = m_losses[run.engine];
    const bool hasRunsWithHead = !runs.empty() && runs.begin()->second.hasHead;
    if (hasRunsWithHead && !run.hasHead)
        return;
    if (run.hasHead && !hasRunsWithHead)
        runs.clear();
    if (runs.size() >= kMaxRunsPerEngine || !runs.emplace(run.run, run).second)
        return;
    evaluate(run.parts, now, changes);
}

void PromptQuarantine::addAnswer(PartKey part, MonotonicTime answeredAt, bool isLocal, Changes& changes)
{
    const auto isHere = [part](const Quarantine& quarantine) { return quarantine.parts.contains(part); };
    if (!isImplicated(part) && std::none_of(m_quarantines.begin(), m_quarantines.end(), isHere))
        return;
    if (auto& answer = m_answered[part]; answer.at < answeredAt)
        answer = { answeredAt, isLocal };
    for (auto& quarantine : m_quarantines) {
        std::erase_if(quarantine.partialLosses, [part](const auto& entry) { return entry.first.contains(part); });
        if (quarantine.lostAt >= answeredAt || quarantine.parts.erase(part) == 0)
            continue;
        if (quarantine.parts.empty())
            changes.push_back({ { part }, false, 0 });
    }
    std::erase_if(m_quarantines, [](const Quarantine& quarantine) { return quarantine.parts.empty(); });
    for (auto& [engine, runs] : m_losses) {
        for (auto& [key, run] : runs) {
            if (run.lostAt <= answeredAt)
                std::erase(run.parts, part);
        }
        std::erase_if(runs, [](const auto& entry) { return entry.second.parts.empty(); });
    }
    std::erase_if(m_losses, [](const auto& entry) { return entry.second.empty(); });
}

void PromptQuarantine::addSurvival(EngineKey engine, const Survival& survival)
{
    const auto losses = m_losses.find(engine);
    if (losses == m_losses.end())
        return;
    auto& known = m_survivals[engine];
    // Overlapping connections together show a longer life.
    if (survival.sentAt <= known.answeredAt)
        known = { std::min(known.sentAt, survival.sentAt), std::max(known.answeredAt, survival.answeredAt), survival.isLocal };
    else
        known = survival;
    std::erase_if(losses->second, [&known](const auto& entry) { return known.refutes(entry.second.lostAt); });
    if (losses->second.empty())
        m_losses.erase(losses);
}

void PromptQuarantine::adopt(const QuarantineReport::Quarantined& reported, MonotonicTime now, Changes& changes)
{
    const auto lostAt = now - reported.lostAge;
    auto parts = reported.parts;
    std::erase_if(parts, [&](PartKey part) {
        const auto answer = m_answered.find(part);
        return answer != m_answered.end() && answer->second.at > lostAt;
    });
    auto* quarantine = findQuarantine(parts);
    if (parts.empty() || (!quarantine && m_quarantines.size() >= kMaxQuarantines))
        return;
    const bool isNew = !quarantine || quarantine->until <= now;
    if (!quarantine)
        quarantine = &m_quarantines.emplace_back(Quarantine { parts, {}, {}, 0, {} });
    // Each report is a little late, so a small difference is no news. Taking it would extend the quarantine with each report.
    if (now + reported.remaining > quarantine->until + kMaxLatency)
        quarantine->until = now + reported.remaining;
    if (lostAt > quarantine->lostAt + kMaxLatency)
        quarantine->lostAt = lostAt;
    quarantine->renewals = std::max(quarantine->renewals, reported.renewals);
    if (!isNew)
        return;
    std::set<EngineKey> attributed;
    for (const auto& [engine, runs] : m_losses) {
        if (std::any_of(runs.begin(), runs.end(), [&parts](const auto& entry) { return containsAll(entry.second.parts, parts); }))
            attributed.insert(engine);
    }
    changes.push_back({ parts, true, attributed.size() });
    for (const auto engine : attributed)
        attribute(engine, now);
}

PromptQuarantine::Quarantine* PromptQuarantine::findQuarantineOf(const LostRun& run)
{
    const auto found = std::find_if(m_quarantines.begin(), m_quarantines.end(), [&run](const Quarantine& quarantine) { return containsAll(run.parts, quarantine.parts); });
    return found == m_quarantines.end() ? nullptr : &*found;
}

void PromptQuarantine::narrowQuarantines(const LostRun& run, MonotonicTime now, Changes& changes)
{
    if (!run.hasHead || m_attributedUntil.contains(run.engine))
        return;
    for (auto& quarantine : m_quarantines) {
        std::set<PartKey> recurring;
        std::copy_if(run.parts.begin(), run.parts.end(), std::inserter(recurring, recurring.end()), [&quarantine](PartKey part) { return quarantine.parts.contains(part); });
        if (recurring.empty() || now >= quarantine.until)
            continue;
        auto& engines = quarantine.partialLosses[recurring];
        engines.insert(run.engine);
        if (engines.size() < kRepeatedLosses)
            continue;
        quarantine.parts = recurring;
        quarantine.partialLosses.clear();
        changes.push_back({ recurring, true, kRepeatedLosses });
    }
}

PromptQuarantine::Quarantine* PromptQuarantine::findQuarantine(const std::set<PartKey>& parts)
{
    const auto found = std::find_if(m_quarantines.begin(), m_quarantines.end(), [&parts](const Quarantine& quarantine) { return quarantine.parts == parts; });
    return found == m_quarantines.end() ? nullptr : &*found;
}

bool PromptQuarantine::isImplicated(PartKey part) const
{
    return std::any_of(m_losses.begin(), m_losses.end(), [part](const auto& losses) {
        return std::any_of(losses.second.begin(), losses.second.end(), [part](const auto& entry) { return contains(entry.second.parts, part); });
    });
}

void PromptQuarantine::evaluate(const std::vector<PartKey>& parts, MonotonicTime now, Changes& changes)
{
    std::optional<Evidence> strongest;
    for (const auto part : parts) {
        auto made = collectEvidence(part);
        // The largest set of parts withholds the fewest requests.
        if (made.isSufficient() && (!strongest || made.parts.size() > strongest->parts.size()))
            strongest = std::move(made);
    }
    if (!strongest || m_quarantines.size() >= kMaxQuarantines)
        return;
    extend(m_quarantines.emplace_back(Quarantine { strongest->parts, {}, {}, 0, {} }), strongest->newestLoss, now);
    changes.push_back({ strongest->parts, true, strongest->engines.size() });
    for (const auto engine : strongest->engines)
        attribute(engine, now);
}

PromptQuarantine::Evidence PromptQuarantine::collectEvidence(PartKey part) const
{
    Evidence made;
    std::vector<MonotonicTime> lossesWithoutHead;
    for (const auto& [engine, runs] : m_losses) {
        for (const auto& entry : runs) {
            const auto& run = entry.second;
            if (!contains(run.parts, part))
                continue;
            if (made.engines.empty())
                made.parts.insert(run.parts.begin(), run.parts.end());
            else
                std::erase_if(made.parts, [&run](PartKey other) { return !contains(run.parts, other); });
            if (made.engines.insert(engine).second) {
                if (run.hasHead)
                    made.weight += kWeightWithHead;
                else
                    lossesWithoutHead.push_back(run.lostAt);
            }
            made.earliestLoss = std::min(made.earliestLoss, run.lostAt);
            made.newestLoss = std::max(made.newestLoss, run.lostAt);
            made.newestSend = std::max(made.newestSend, run.sentAt);
        }
    }
    made.weight += kWeightWithoutHead * countSeparate(std::move(lossesWithoutHead));
    return made;
}

void PromptQuarantine::extend(Quarantine& quarantine, MonotonicTime lostAt, MonotonicTime now)
{
    quarantine.until = now + kFirstQuarantine * (1 << std::min(quarantine.renewals, kMaxDoublings));
    quarantine.lostAt = std::max(quarantine.lostAt, lostAt);
    ++quarantine.renewals;
}

void PromptQuarantine::attribute(EngineKey engine, MonotonicTime now)
{
    m_losses.erase(engine);
    m_attributedUntil[engine] = now + kEvidenceTimeout;
}

void PromptQuarantine::makeRoom()
{
    if (m_losses.size() < kMaxEngines)
        return;
    const auto newestLoss = [](const auto& losses) {
        MonotonicTime newest {};
        for (const auto& [key, run] : losses.second)
            newest = std::max(newest, run.lostAt);
        return newest;
    };
    m_losses.erase(std::min_element(m_losses.begin(), m_losses.end(), [&](const auto& left, const auto& right) { return newestLoss(left) < newestLoss(right); }));
}

void PromptQuarantine::dropExpired(MonotonicTime now)
{
    if (now < m_nextCleanup)
        return;
    m_nextCleanup = now + kCleanupInterval;
    const auto isOld = [now](MonotonicTime time) { return time + kEvidenceTimeout <= now; };
    for (auto& [engine, runs] : m_losses)
        std::erase_if(runs, [&](const auto& entry) { return isOld(entry.second.lostAt); });
    std::erase_if(m_losses, [](const auto& entry) { return entry.second.empty(); });
    std::erase_if(m_answered, [&](const auto& entry) { return isOld(entry.second.at); });
    std::erase_if(m_survivals, [&](const auto& entry) { return isOld(entry.second.answeredAt); });
    std::erase_if(m_attributedUntil, [now](const auto& entry) { return entry.second <= now; });
    std::erase_if(m_quarantines, [now](const Quarantine& quarantine) { return quarantine.until + kRenewalWindow <= now; });
    while (!m_localLosses.empty() && isOld(m_localLosses.front().lostAt))
        m_localLosses.pop_front();
}

} // namespace hornbeamgate::gateway
