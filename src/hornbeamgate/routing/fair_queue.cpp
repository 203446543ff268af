#include "hornbeamgate/routing/fair_queue.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <tuple>

namespace hornbeamgate {

namespace {

    double seconds(Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

} // namespace

bool FairQueue::Position::operator<(const Position& other) const
{
    return std::tie(other.priority, startTag, arrival) < std::tie(priority, other.startTag, other.arrival);
}

Result<FairQueue, FairQueueOptionsError> FairQueue::create(FairQueueOptions options)
{
    if (options.maxItems == 0)
        return failure(FairQueueOptionsError { "the queue must hold at least one item" });
    if (options.maxCost <= Duration::zero())
        return failure(FairQueueOptionsError { "the queue must hold a positive service time" });
    return FairQueue(options);
}

FairQueue::FairQueue(FairQueueOptions options)
    : m_options(options)
{
}

Result<QueuePushed, QueueRefusal> FairQueue::push(const FairQueueItem& item, MonotonicTime serverFreeAt, MonotonicTime now)
{
    if (item.weight == 0 || item.cost < Duration::zero() || m_positions.contains(item.ticket))
        return failure(QueueRefusal::InvalidItem);
    const auto start = std::max(serverFreeAt, now) + costAhead(item.workspace, item.priority);
    if (start > item.startDeadline)
        return failure(QueueRefusal::DeadlineUnreachable);
    auto displaced = makeRoomFor(item);
    if (!displaced)
        return failure(QueueRefusal::Full);
    insert(item);
    return QueuePushed { *std::move(displaced) };
}

std::optional<FairQueueItem> FairQueue::pop(MonotonicTime now)
{
    const auto next = std::find_if(
        m_items.begin(), m_items.end(), [&](const auto& entry) { return entry.second.startDeadline >= now; });
    if (next == m_items.end())
        return std::nullopt;
    auto& level = m_levels.at(next->first.priority);
    level.virtualTime = std::max(level.virtualTime, next->first.startTag);
    return erase(next);
}

std::vector<FairQueueItem> FairQueue::removeExpired(MonotonicTime now)
{
    std::vector<FairQueueItem> expired;
    for (auto entry = m_items.begin(); entry != m_items.end();) {
        const auto current = entry++;
        if (current->second.startDeadline < now)
            expired.push_back(erase(current));
    }
    return expired;
}

bool FairQueue::remove(QueueTicket ticket)
{
    const auto found = m_positions.find(ticket);
    if (found == m_positions.end())
        return false;
    erase(m_items.find(found->second));
    return true;
}

Duration FairQueue::costAhead(const WorkspaceId& workspace, std::uint32_t priority) const
{
    return costBefore(priority, startTagFor(workspace, priority));
}

double FairQueue::startTagFor(const WorkspaceId& workspace, std::uint32_t priority) const
{
    const auto level = m_levels.find(priority);
    if (level == m_levels.end())
        return 0;
    const auto flow = level->second.flows.find(workspace);
    const double finish = flow == level->second.flows.end() ? 0 : flow->second.finishTag;
    return std::max(level->second.virtualTime, finish);
}

Duration FairQueue::costBefore(std::uint32_t priority, double startTag) const
{
    auto ahead = Duration::zero();
    for (const auto& [position, item] : m_items) {
        if (position.priority < priority || (position.priority == priority && position.startTag > startTag))
            break;
        ahead += item.cost;
    }
    return ahead;
}

bool FairQueue::overflows(const FairQueueItem& item) const
{
    return m_items.size() + 1 > m_options.maxItems || m_queuedCost + item.cost > m_options.maxCost;
}

std::optional<std::vector<QueueTicket>> FairQueue::makeRoomFor(const FairQueueItem& item)
{
    std::vector<QueueTicket> displaced;
    if (!overflows(item))
        return displaced;
    if (item.cost > m_options.maxCost || findDisplaceable(item) == m_items.end())
        return std::nullopt;
    auto trial = *this;
    while (trial.overflows(item)) {
        const auto victim = trial.findDisplaceable(item);
        if (victim == trial.m_items.end())
            return std::nullopt;
        displaced.push_back(victim->second.ticket);
        trial.erase(victim);
    }
    *this = std::move(trial);
    return displaced;
}

FairQueue::Items::iterator FairQueue::findDisplaceable(const FairQueueItem& item)
{
    for (auto& [priority, level] : m_levels) {
        if (priority > item.priority)
            break;
        const auto heaviest = std::max_element(level.flows.begin(), level.flows.end(),
            [](const auto& a, const auto& b) { return a.second.weightedCost() < b.second.weightedCost(); });
        const bool displaceable = priority < item.priority || heaviest->second.weightedCost() > weightedCostWith(item);
        if (displaceable)
            return latestItemOf(heaviest->first, priority);
    }
    return m_items.end();
}

double FairQueue::Flow::weightedCost() const
{
    return seconds(cost) / weight;
}

double FairQueue::weightedCostWith(const FairQueueItem& item) const
{
    const auto& flows = m_levels.at(item.priority).flows;
    const auto own = flows.find(item.workspace);
    const auto queued = own == flows.end() ? Duration::zero() : own->second.cost;
    return seconds(queued + item.cost) / item.weight;
}

FairQueue::Items::iterator FairQueue::latestItemOf(const WorkspaceId& workspace, std::uint32_t priority)
{
    const auto last = std::find_if(m_items.rbegin(), m_items.rend(), [&](const auto& entry) {
        return entry.first.priority == priority && entry.second.workspace == workspace;
    });
    return last == m_items.rend() ? m_items.end() : std::prev(last.base());
}

void FairQueue::insert(const FairQueueItem& item)
{
    const double start = startTagFor(item.workspace, item.priority);
    const Position position { item.priority, start, ++m_arrivals };
    auto& level = m_levels[item.priority];
    auto& flow = level.flows[item.workspace];
    flow.finishTag = start + seconds(item.cost) / item.weight;
    flow.weight = item.weight;
    flow.cost += item.cost;
    ++flow.items;
    ++level.items;
    m_queuedCost += item.cost;
    m_items.emplace(position, item);
    m_positions.emplace(item.ticket, position);
}

FairQueueItem FairQueue::erase(Items::iterator entry)
{
    const auto position = entry->first;
    auto item = std::move(entry->second);
    m_items.erase(entry);
    m_positions.erase(item.ticket);
    m_queuedCost -= item.cost;
    auto& level = m_levels.at(position.priority);
    auto& flow = level.flows.at(item.workspace);
    flow.cost -= item.cost;
    --flow.items;
    --level.items;
    if (level.items == 0) {
        m_levels.erase(position.priority);
        return item;
    }
    std::erase_if(level.flows, [&](const auto& known) {
        return known.second.items == 0 && known.second.finishTag <= level.virtualTime;
    });
    return item;
}

nlohmann::json FairQueue::dump() const
{
    auto workspaces = nlohmann::json::array();
    for (const auto& [priority, level] : m_levels)
        for (const auto& [workspace, flow] : level.flows)
            workspaces.push_back({ { "workspace", workspace.value() }, { "priority", priority }, { "items", flow.items },
                { "cost_ms", seconds(flow.cost) * 1e3 } });
    return { { "items", m_items.size() }, { "cost_ms", seconds(m_queuedCost) * 1e3 }, { "workspaces", workspaces } };
}

} // namespace hornbeamgate
