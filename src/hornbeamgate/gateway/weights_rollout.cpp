#include "hornbeamgate/gateway/weights_rollout.hpp"

#include <algorithm>

namespace hornbeamgate::gateway {

namespace {

    /// One in this many engines loads concurrently. More would slow each other down and leave too few engines to serve.
    constexpr std::size_t kEnginesPerConcurrentLoad = 3;
    /// The same where requests compete for capacity, so that more engines serve while the others load.
    constexpr std::size_t kEnginesPerLoadIfScarce = 5;
    /// Delay before an order is retried, doubled with each failure. Without it, an unavailable engine would repeatedly
    /// occupy one of the concurrent loads.
    constexpr std::chrono::milliseconds kInitialRetryDelay { 300 };
    constexpr int kMaxDoublings = 3;
    /// Longest time that a request may wait in an engine's queue.
    constexpr std::chrono::milliseconds kMaxQueueTime { 2000 };

} // namespace

void WeightsRollout::confirm(FencingToken token, MonotonicTime end, MonotonicTime now)
{
    if (isConfirmed(now))
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
    m_targetHistory[model].push_back({ version, now });
}

void WeightsRollout::setTargetOfUnknownAge(const ModelId& model, WeightsVersion version, MonotonicTime now)
{
    setTarget(model, version, now - m_bound);
    if (auto& history = m_targetHistory[model]; !history.empty() && history.back().version == version)
        history.back().isAgeKnown = false;
}

void WeightsRollout::onTargetAge(const TargetAge& target, MonotonicTime now)
{
    const auto history = m_targetHistory.find(target.model);
    if (history == m_targetHistory.end())
        return;
    for (auto& entry : history->second) {
        if (entry.version == target.version && !entry.isAgeKnown) {
            entry.at = now - target.age;
            entry.isAgeKnown = true;
        }
    }
}

std::vector<TargetAge> WeightsRollout::targetAges(MonotonicTime now) const
{
    std::vector<TargetAge> ages;
    for (const auto& [model, history] : m_targetHistory) {
        const auto& newest = history.back();
        // An older target is beyond its bound on every daemon.
        if (newest.isAgeKnown && now < newest.at + m_bound)
            ages.push_back({ model, newest.version, std::chrono::ceil<std::chrono::milliseconds>(now - newest.at) });
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

std::vector<WeightsOrder> WeightsRollout::takeDue(const EndpointRegistry& registry, const EndpointAdvisories& advisories, MonotonicTime now)
{
    std::vector<WeightsOrder> due;
    if (!isConfirmed(now) || !m_journal.isOwned())
        return due;
    for (const auto& [model, target] : m_targets) {
        std::size_t engines = 0;
        std::vector<const EndpointEntry*> outdated;
        for (const auto& [id, entry] : registry.entries()) {
            const auto known = entry.weights.find(model);
            if (known == entry.weights.end())
                continue;
            ++engines;
            if (known->second < target && !entry.isLeaving && !advisories.isLeaving(instanceOf(entry)) && !advisories.isPaused(instanceOf(entry), now))
                outdated.push_back(&entry);
        }
        // Targets may change faster than all engines can load, so engines with the oldest weights come first.
        std::stable_sort(outdated.begin(), outdated.end(), [&model = model](const auto* left, const auto* right) { return left->weights.at(model) < right->weights.at(model); });
        for (const auto* entry : outdated) {
            if (m_inProgress.size() >= maxConcurrentLoads(engines, m_isCapacityScarce))
                break;
            const auto retry = m_retries.find(entry->id);
            if (m_journal.isBlocked(entry->id, now) || m_inProgress.contains(entry->id) || (retry != m_retries.end() && now < retry->second.at))
                continue;
            const WeightsOrder order { entry->id, model, target, *m_token };
            m_inProgress.emplace(entry->id, order);
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

std::size_t WeightsRollout::maxConcurrentLoads(std::size_t engines, bool isCapacityScarce)
{
    return std::max<std::size_t>(1, engines / (isCapacityScarce ? kEnginesPerLoadIfScarce : kEnginesPerConcurrentLoad));
}

} // namespace hornbeamgate::gateway
