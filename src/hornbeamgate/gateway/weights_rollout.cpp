#include "hornbeamgate/gateway/weights_rollout.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hornbeamgate::gateway {

namespace {

    /// At most one in this many engines loads concurrently. More would slow each other down and leave too few engines to serve.
    constexpr std::size_t kEnginesPerConcurrentLoad = 3;
    /// The same where requests compete for capacity and the bound leaves time, so that more engines serve while the others load.
    constexpr std::size_t kEnginesPerLoadIfScarce = 5;
    /// Part of the bound in which all engines should load; the rest is for a change of the leader and for failed loads.
    constexpr double kPlannedShare = 0.75;
    /// Reciprocal weight of one load in the moving average of their times.
    constexpr int kLoadTimeDivisor = 4;
    /// Delay before an order is retried, doubled with each failure. Without it, an unavailable engine would repeatedly
    /// occupy one of the concurrent loads.
    constexpr std::chrono::milliseconds kInitialRetryDelay { 300 };
    constexpr int kMaxDoublings = 3;
    /// Time that a request usually waits in an engine's queue at most. Those that wait longer are called off.
    constexpr std::chrono::milliseconds kMaxQueueTime { 2000 };
    /// Time for a request that is called off to leave the engine's queue.
    constexpr std::chrono::milliseconds kCancellationTime { 500 };

} // namespace

void WeightsRollout::confirm(FencingToken token, MonotonicTime end, MonotonicTime now)
{
    // A membership in another era of the store does not continue the one before.
    if (isConfirmed(now) && eraOf(token) == eraOf(*m_token))
        m_journal.setToken(token);
    else
        m_journal.takeOver(token);
    m_token = token;
    m_confirmedUntil = end;
}

void WeightsRollout::loseLeadership()
{
    m_token.reset();
    m_journal.release();
}

void WeightsRollout::update(MonotonicTime now)
{
    if (m_token && (now >= m_confirmedUntil || m_journal.isSuperseded()))
        loseLeadership();
}

void WeightsRollout::setTarget(const ModelId& model, WeightsVersion version, MonotonicTime now)
{
    auto& target = m_targets[model];
    if (version <= target)
        return;
    target = version;
    m_targetHistory[model].push_back({ version, now, now });
}

void WeightsRollout::setTargetOfUnknownAge(const ModelId& model, WeightsVersion version, MonotonicTime now)
{
    const auto known = m_targets.find(model);
    if (known != m_targets.end() && version <= known->second)
        return;
    setTarget(model, version, now - m_bound);
    auto& target = m_targetHistory[model].back();
    target.isAgeKnown = false;
    target.countedFrom = now;
}

void WeightsRollout::onTargetAge(const TargetAge& target, MonotonicTime now)
{
    const auto found = m_targetHistory.find(target.model);
    if (found == m_targetHistory.end())
        return;
    auto& history = found->second;
    const auto entry = std::find_if(history.begin(), history.end(), [&target](const auto& known) { return known.version >= target.version; });
    // A newer target is taken from the store alone.
    if (entry == history.end())
        return;
    const TargetChange change { target.version, now - target.age, now - target.age };
    if (entry->version != target.version)
        history.insert(entry, change);
    else if (!entry->isAgeKnown)
        *entry = change;
}

std::vector<TargetAge> WeightsRollout::targetAges(MonotonicTime now) const
{
    std::vector<TargetAge> ages;
    for (const auto& [model, history] : m_targetHistory) {
        // Long after the bound of the newest target no engine is behind, and a daemon that starts may count it anew.
        if (now >= history.back().at + 2 * m_bound)
            continue;
        for (auto target = history.rbegin(); target != history.rend(); ++target) {
            if (target->isAgeKnown)
                ages.push_back({ model, target->version, std::chrono::ceil<std::chrono::milliseconds>(now - target->at) });
            if (now >= target->at + m_bound)
                break;
        }
    }
    return ages;
}

WeightsVersion WeightsRollout::oldestAllowed(const ModelId& model, MonotonicTime now) const
{
    WeightsVersion oldest;
    const auto named = m_targetHistory.find(model);
    if (named == m_targetHistory.end())
        return oldest;
    for (const auto& entry : named->second) {
        if (entry.at + m_bound - kMaxQueueTime <= now)
            oldest = entry.version;
    }
    return oldest;
}

void WeightsRollout::storeRegained(MonotonicTime now)
{
    const auto lostAt = std::exchange(m_storeLostAt, std::nullopt);
    if (!lostAt)
        return;
    for (auto& [model, history] : m_targetHistory) {
        for (auto& target : history) {
            if (boundEnd(target) > *lostAt)
                target.countedFrom += now - std::max(*lostAt, target.countedFrom);
        }
    }
}

void WeightsRollout::storeRestored(MonotonicTime now)
{
    for (auto& [model, history] : m_targetHistory) {
        for (auto& target : history) {
            if (boundEnd(target) > now)
                target.countedFrom = now;
        }
    }
}

MonotonicTime WeightsRollout::boundEnd(const TargetChange& target) const
{
    const auto end = target.countedFrom + m_bound;
    return m_storeLostAt && end > *m_storeLostAt ? MonotonicTime::max() : end;
}

WeightsVersion WeightsRollout::oldestSendable(const ModelId& model, MonotonicTime now) const
{
    WeightsVersion oldest;
    const auto named = m_targetHistory.find(model);
    if (named == m_targetHistory.end())
        return oldest;
    for (const auto& target : named->second) {
        if (boundEnd(target) - kMaxQueueTime <= now)
            oldest = target.version;
    }
    return oldest;
}

std::optional<MonotonicTime> WeightsRollout::latestBegin(const ModelId& model, WeightsVersion weights) const
{
    const auto named = m_targetHistory.find(model);
    if (named == m_targetHistory.end())
        return std::nullopt;
    const auto first = std::find_if(named->second.begin(), named->second.end(), [weights](const auto& target) { return target.version > weights; });
    return first == named->second.end() ? std::nullopt : std::optional(boundEnd(*first) - kCancellationTime);
}

std::size_t WeightsRollout::concurrentLoads(const ModelId& model, const std::vector<WeightsVersion>& engines, MonotonicTime now) const
{
    auto needed = maxConcurrentLoads(engines.size(), m_isCapacityScarce);
    const auto named = m_targetHistory.find(model);
    const auto known = m_loadTimes.find(model);
    if (named == m_targetHistory.end() || known == m_loadTimes.end())
        return needed;
    const auto loadTime = known->second;
    for (const auto& target : named->second) {
        const auto behind = std::count_if(engines.begin(), engines.end(), [&target](auto version) { return version < target.version; });
        const auto plannedEnd = target.at + std::chrono::duration_cast<Duration>(m_bound * kPlannedShare);
        const std::chrono::duration<double> timeLeft = std::max<Duration>(plannedEnd - now, loadTime);
        const auto loads = static_cast<double>(behind) * (std::chrono::duration<double>(loadTime) / timeLeft);
        needed = std::max(needed, static_cast<std::size_t>(std::ceil(loads)));
    }
    return std::min(needed, maxConcurrentLoads(engines.size()));
}

std::vector<WeightsOrder> WeightsRollout::takeDue(const EndpointRegistry& registry, const EndpointAdvisories& advisories, MonotonicTime now)
{
    std::vector<WeightsOrder> due;
    if (!isConfirmed(now) || !m_journal.isOwned())
        return due;
    for (const auto& [model, target] : m_targets) {
        std::vector<WeightsVersion> engines;
        std::vector<const EndpointEntry*> outdated;
        // Engines of other models don't serve this one, so their loads leave its capacity as it is.
        std::size_t loading = 0;
        for (const auto& [id, entry] : registry.entries()) {
            const auto known = entry.weights.find(model);
            if (known == entry.weights.end())
                continue;
            engines.push_back(known->second);
            loading += m_inProgress.contains(id) ? 1 : 0;
            if (known->second < target && !entry.isLeaving && !advisories.isLeaving(instanceOf(entry)) && !advisories.isPaused(instanceOf(entry), now))
                outdated.push_back(&entry);
        }
        // Targets may change faster than all engines can load, so engines with the oldest weights come first.
        std::stable_sort(outdated.begin(), outdated.end(), [&model = model](const auto* left, const auto* right) { return left->weights.at(model) < right->weights.at(model); });
        const auto limit = concurrentLoads(model, engines, now);
        for (const auto* entry : outdated) {
            if (loading >= limit)
                break;
            const auto retry = m_retries.find(entry->id);
            if (m_journal.isBlocked(entry->id, now) || m_inProgress.contains(entry->id) || (retry != m_retries.end() && now < retry->second.at))
                continue;
            const WeightsOrder order { entry->id, model, target, *m_token };
            m_inProgress.emplace(entry->id, order);
            ++loading;
            due.push_back(order);
        }
    }
    return due;
}

void WeightsRollout::finishOrder(const EndpointId& endpoint, bool isLoaded, MonotonicTime now)
{
    m_inProgress.erase(endpoint);
    m_journal.cancel(endpoint);
    if (isLoaded) {
        m_retries.erase(endpoint);
        return;
    }
    auto& retry = m_retries[endpoint];
    const int doublings = std::min(retry.failures, kMaxDoublings);
    retry.at = now + kInitialRetryDelay * (1 << doublings);
    ++retry.failures;
}

void WeightsRollout::recordLoadTime(const ModelId& model, Duration time)
{
    const auto [average, isFirst] = m_loadTimes.try_emplace(model, time);
    if (!isFirst)
        average->second += (time - average->second) / kLoadTimeDivisor;
}

std::size_t WeightsRollout::maxConcurrentLoads(std::size_t engines, bool isCapacityScarce)
{
    return std::max<std::size_t>(1, engines / (isCapacityScarce ? kEnginesPerLoadIfScarce : kEnginesPerConcurrentLoad));
}

} // namespace hornbeamgate::gateway
