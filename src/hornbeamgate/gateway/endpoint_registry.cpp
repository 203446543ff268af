#include "hornbeamgate/gateway/endpoint_registry.hpp"

#include <set>

namespace hornbeamgate::gateway {

namespace {

    /// Returns whether the sequence of `entry` can be compared with one of `incarnation`.
    bool isSameProcess(const EndpointEntry& entry, Incarnation incarnation)
    {
        return entry.incarnation == incarnation && incarnation != Incarnation() && entry.sequence > 0;
    }

} // namespace

bool EndpointRegistry::isOutdated(const EndpointEntry& entry) const
{
    if (const auto known = m_entries.find(entry.id); known != m_entries.end()) {
        const auto& current = known->second;
        return entry.incarnation < current.incarnation || (isSameProcess(entry, current.incarnation) && entry.sequence < current.sequence);
    }
    const auto removed = m_removed.find(entry.id);
    if (removed == m_removed.end())
        return false;
    const auto& last = removed->second;
    return entry.incarnation < last.incarnation || (isSameProcess(entry, last.incarnation) && entry.sequence <= last.sequence);
}

void EndpointRegistry::put(EndpointEntry entry)
{
    if (isOutdated(entry))
        return;
    m_withdrawn.erase(entry.id);
    m_removed.erase(entry.id);
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
    remove(id, now);
    return true;
}

void EndpointRegistry::remove(const EndpointId& id, MonotonicTime now)
{
    std::erase_if(m_removed, [now](const auto& entry) { return entry.second.forgetAt <= now; });
    const auto& last = m_entries.at(id);
    m_removed.insert_or_assign(id, Removed { last.incarnation, last.sequence, now + kRemovedRetention });
    m_entries.erase(id);
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
        remove(entry->first, now);
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
