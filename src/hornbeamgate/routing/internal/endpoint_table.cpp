#include "hornbeamgate/routing/internal/endpoint_table.hpp"

#include <algorithm>

namespace hornbeamgate::internal {

EndpointTable::EndpointTable(std::vector<DataCenterPath> paths)
    : m_paths(std::move(paths))
{
}

void EndpointTable::up(const EndpointUp& event)
{
    const auto path = pathTo(event.dataCenter);
    if (!path)
        return;
    auto& state = m_states[slotFor(event.endpoint)];
    if (event.incarnation < state.incarnation)
        return;
    const bool sameProcess = state.live && event.incarnation == state.incarnation;
    if (!sameProcess || event.models != state.models)
        invalidateCache(state);
    if (!sameProcess) {
        clearPendingWork(state);
        state.leaving = false;
        state.avoidUntil = {};
        state.running = 0;
        state.queuedWork = {};
        state.reportedAt = event.readySince;
    }
    state.incarnation = event.incarnation;
    state.path = *path;
    state.models = event.models;
    state.readySince = event.readySince;
    state.live = true;
    m_serversStale = true;
}

void EndpointTable::down(const EndpointDown& event)
{
    const auto slot = find(event.endpoint);
    if (!slot || event.incarnation < m_states[*slot].incarnation)
        return;
    auto& state = m_states[*slot];
    state.live = false;
    invalidateCache(state);
    clearPendingWork(state);
    m_serversStale = true;
}

void EndpointTable::leaving(const EndpointLeaving& event)
{
    const auto slot = find(event.endpoint, event.incarnation);
    if (!slot)
        return;
    m_states[*slot].leaving = true;
    m_serversStale = true;
}

void EndpointTable::report(const LoadReported& event)
{
    const auto slot = find(event.endpoint, event.incarnation);
    if (!slot || event.asOf < m_states[*slot].reportedAt)
        return;
    auto& state = m_states[*slot];
    state.running = event.running;
    state.queuedWork = event.queuedWork;
    state.reportedAt = event.asOf;
}

std::optional<EndpointSlot> EndpointTable::find(const EndpointId& endpoint) const
{
    const auto found = m_slots.find(endpoint);
    if (found == m_slots.end())
        return std::nullopt;
    return found->second;
}

std::optional<EndpointSlot> EndpointTable::find(const EndpointId& endpoint, Incarnation incarnation) const
{
    const auto slot = find(endpoint);
    if (!slot || !m_states[*slot].live || m_states[*slot].incarnation != incarnation)
        return std::nullopt;
    return slot;
}

const std::vector<EndpointSlot>& EndpointTable::servers(const ServedModel& model)
{
    static const std::vector<EndpointSlot> kNone;
    if (m_serversStale)
        rebuildServers();
    const auto found = m_servers.find({ model.model, model.weights });
    return found == m_servers.end() ? kNone : found->second;
}

std::size_t EndpointTable::stateBytes() const
{
    constexpr std::size_t kMapNodeBytes = 96;
    std::size_t bytes = m_states.size() * (sizeof(EndpointState) + kMapNodeBytes);
    for (const auto& state : m_states)
        bytes += state.models.capacity() * sizeof(ServedModel) + state.waiting.capacity() * sizeof(PendingPrefill);
    for (const auto& [model, slots] : m_servers)
        bytes += kMapNodeBytes + slots.capacity() * sizeof(EndpointSlot);
    return bytes;
}

EndpointSlot EndpointTable::slotFor(const EndpointId& endpoint)
{
    const auto [entry, inserted] = m_slots.try_emplace(endpoint, static_cast<EndpointSlot>(m_states.size()));
    if (inserted) {
        EndpointState state;
        state.id = endpoint;
        m_states.push_back(std::move(state));
    }
    return entry->second;
}

std::optional<std::size_t> EndpointTable::pathTo(const DataCenterId& dataCenter) const
{
    const auto found = std::find_if(m_paths.begin(), m_paths.end(),
        [&](const DataCenterPath& path) { return path.dataCenter == dataCenter; });
    if (found == m_paths.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - m_paths.begin());
}

void EndpointTable::invalidateCache(EndpointState& state)
{
    state.epoch = ++m_lastEpoch;
}

void EndpointTable::clearPendingWork(EndpointState& state)
{
    state.waiting.clear();
    state.ownInFlight = 0;
}

void EndpointTable::rebuildServers()
{
    m_servers.clear();
    for (std::size_t slot = 0; slot < m_states.size(); ++slot) {
        if (!m_states[slot].takesRequests())
            continue;
        for (const auto& served : m_states[slot].models)
            m_servers[{ served.model, served.weights }].push_back(static_cast<EndpointSlot>(slot));
    }
    m_serversStale = false;
}

Duration estimateQueueDelay(const EndpointState& state, MonotonicTime now)
{
    auto queued = std::max(Duration::zero(), state.queuedWork - (now - state.reportedAt));
    for (const auto& waiting : state.waiting)
        if (waiting.placedAt > state.reportedAt)
            queued += waiting.work;
    return queued;
}

} // namespace hornbeamgate::internal
