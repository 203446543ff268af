#include "hornbeamgate/gateway/endpoint_registry.hpp"

#include <set>

namespace hornbeamgate::gateway {

void EndpointRegistry::put(EndpointEntry entry)
{
    const auto found = m_entries.find(entry.id);
    if (found != m_entries.end() && entry.incarnation < found->second.incarnation)
        return;
    m_withdrawn.erase(entry.id);
    const auto id = entry.id;
    m_entries.insert_or_assign(id, std::move(entry));
}

bool EndpointRegistry::withdraw(const EndpointId& id, MonotonicTime now)
{
    if (!m_entries.contains(id))
        return false;
    if (now < m_graceEnd) {
        m_withdrawn.emplace(id, m_graceEnd);
        return false;
    }
    m_withdrawn.erase(id);
    m_entries.erase(id);
    return true;
}

void EndpointRegistry::replaceAll(std::vector<EndpointEntry> entries, MonotonicTime now)
{
    std::set<EndpointId> listed;
    for (auto& entry : entries) {
        listed.insert(entry.id);
        put(std::move(entry));
    }
    std::vector<EndpointId> missing;
    for (const auto& [id, entry] : m_entries) {
        if (!listed.contains(id))
            missing.push_back(id);
    }
    for (const auto& id : missing)
        withdraw(id, now);
}

std::vector<EndpointId> EndpointRegistry::expire(MonotonicTime now)
{
    std::vector<EndpointId> dropped;
    for (auto entry = m_withdrawn.begin(); entry != m_withdrawn.end();) {
        if (now < entry->second) {
            ++entry;
            continue;
        }
        dropped.push_back(entry->first);
        m_entries.erase(entry->first);
        entry = m_withdrawn.erase(entry);
    }
    return dropped;
}

void EndpointRegistry::recordWeights(const EndpointId& id, const ModelId& model, WeightsVersion version)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    auto& known = found->second.weights[model];
    if (known < version)
        known = version;
}

const EndpointEntry* EndpointRegistry::find(const EndpointId& id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

} // namespace hornbeamgate::gateway
