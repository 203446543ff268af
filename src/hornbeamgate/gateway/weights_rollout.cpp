#include "hornbeamgate/gateway/weights_rollout.hpp"

#include <algorithm>

namespace hornbeamgate::gateway {

namespace {

    /// One in this many engines loads concurrently. More would slow each other down and leave too few engines to serve.
    constexpr std::size_t kEnginesPerConcurrentLoad = 3;
    /// Delay before an order is retried, doubled with each failure. Without it, an unavailable engine would repeatedly
    /// occupy one of the concurrent loads.
    constexpr std::chrono::milliseconds kInitialRetryDelay { 300 };
    constexpr int kMaxDoublings = 3;
    /// Longest time that a request may wait in an engine's queue.
    constexpr std::chrono::milliseconds kMaxQueueTime { 2000 };
    /// A takeover within this time after a resignation leaves no time for another leader in between.
    constexpr std::chrono::milliseconds kHandoverWindow { 2000 };
    /// Time for an order to reach its engine, added to the lease.
    constexpr std::chrono::milliseconds kOrderTransitTime { 500 };

} // namespace

void WeightsRollout::confirm(FencingToken token, MonotonicTime end, MonotonicTime now)
{
    const bool isTakenOver = !isConfirmed(now) && m_lastToken != token;
    if (isTakenOver) {
        m_ordersAllowedAt = now + m_lease + kOrderTransitTime;
        m_isHandover = m_leaderResignedAt && now < *m_leaderResignedAt + kHandoverWindow;
        m_leaderResignedAt.reset();
    }
    m_token = token;
    m_lastToken = token;
    m_confirmedUntil = end;
}

void WeightsRollout::resign()
{
    if (m_token)
        ++m_resignations;
    m_token.reset();
}

void WeightsRollout::resignIfExpired(MonotonicTime now)
{
    if (m_token && now >= m_confirmedUntil)
        resign();
}

void WeightsRollout::leaderResigned(const std::vector<RecentOrder>& orders, MonotonicTime now)
{
    m_leaderResignedAt = now;
    for (const auto& order : orders)
        m_previousLeaderOrders[order.endpoint] = now - order.age;
}

bool WeightsRollout::mayOrder(const EndpointId& endpoint, MonotonicTime now) const
{
    if (!isConfirmed(now))
        return false;
    if (now >= m_ordersAllowedAt)
        return true;
    const auto foreign = m_previousLeaderOrders.find(endpoint);
    return m_isHandover && (foreign == m_previousLeaderOrders.end() || now >= foreign->second + m_lease + kOrderTransitTime);
}

std::vector<RecentOrder> WeightsRollout::recentOrders(MonotonicTime now) const
{
    std::vector<RecentOrder> recent;
    for (const auto& [endpoint, sentAt] : m_sentOrders) {
        if (now < sentAt + m_lease + kOrderTransitTime)
            recent.push_back({ endpoint, std::chrono::floor<std::chrono::milliseconds>(now - sentAt) });
    }
    return recent;
}

void WeightsRollout::setTarget(const ModelId& model, WeightsVersion version, MonotonicTime now)
{
    auto& target = m_targets[model];
    if (version <= target)
        return;
    target = version;
    m_targetHistory[model].push_back({ version, now });
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

std::vector<WeightsOrder> WeightsRollout::takeDue(const EndpointRegistry& registry, MonotonicTime now)
{
    std::vector<WeightsOrder> due;
    if (!isConfirmed(now))
        return due;
    for (const auto& [model, target] : m_targets) {
        std::size_t engines = 0;
        std::vector<const EndpointEntry*> outdated;
        for (const auto& [id, entry] : registry.entries()) {
            const auto known = entry.weights.find(model);
            if (known == entry.weights.end())
                continue;
            ++engines;
            if (known->second < target && !entry.isLeaving)
                outdated.push_back(&entry);
        }
        // Targets may change faster than all engines can load, so engines with the oldest weights come first.
        std::stable_sort(outdated.begin(), outdated.end(), [&model = model](const auto* left, const auto* right) { return left->weights.at(model) < right->weights.at(model); });
        for (const auto* entry : outdated) {
            if (m_inProgress.size() >= maxConcurrentLoads(engines))
                break;
            const auto retry = m_retries.find(entry->id);
            if (!mayOrder(entry->id, now) || m_inProgress.contains(entry->id) || (retry != m_retries.end() && now < retry->second.at))
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
    if (isLoaded) {
        m_retries.erase(endpoint);
        return;
    }
    auto& retry = m_retries[endpoint];
    const int doublings = std::min(retry.failures, kMaxDoublings);
    retry.at = now + kInitialRetryDelay * (1 << doublings);
    ++retry.failures;
}

std::size_t WeightsRollout::maxConcurrentLoads(std::size_t engines)
{
    return std::max<std::size_t>(1, engines / kEnginesPerConcurrentLoad);
}

} // namespace hornbeamgate::gateway
