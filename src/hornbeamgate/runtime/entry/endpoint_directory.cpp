#include "hornbeamgate/runtime/entry/endpoint_directory.hpp"

#include "hornbeamgate/base/hash.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace hornbeamgate {

namespace {

    constexpr std::array<std::string_view, 3> kStateNames { "up", "leaving", "down" };

} // namespace

bool DirectoryEntry::acceptsRequests() const
{
    return place && status && status->state == EndpointState::Up;
}

EndpointDirectory::EndpointDirectory(ChangeHandler onChanged)
    : m_onChanged(std::move(onChanged))
{
}

void EndpointDirectory::setRules(const RuleSet& rules)
{
    std::map<EndpointId, DirectoryEntry> entries;
    const auto keep = [&](const EndpointId& id, const HostId& host, const ServiceId& service) {
        const auto known = m_entries.find(id);
        const bool same = known != m_entries.end() && known->second.host == host && known->second.service == service;
        auto& entry = entries[id];
        if (same)
            entry = known->second;
        entry.endpoint = id;
        entry.host = host;
        entry.service = service;
        updateAgentLocation(entry);
    };
    for (const auto& rule : rules.engines)
        keep(rule.id, rule.host, ServiceId());
    for (const auto& rule : rules.serviceEndpoints)
        keep(rule.id, rule.host, rule.service);
    for (auto& [id, entry] : m_entries) {
        if (entries.contains(id) || !entry.status)
            continue;
        const auto before = std::exchange(entry.status, std::nullopt);
        m_onChanged(entry, before);
    }
    m_entries = std::move(entries);
}

void EndpointDirectory::setAgentLocations(const std::vector<AgentLocation>& places)
{
    m_agentLocations.clear();
    for (const auto& place : places)
        m_agentLocations[place.host] = place;
    for (auto& [id, entry] : m_entries)
        updateAgentLocation(entry);
}

void EndpointDirectory::updateAgentLocation(DirectoryEntry& entry)
{
    const auto found = m_agentLocations.find(entry.host);
    if (found == m_agentLocations.end())
        return;
    // The host list may lag, so a host that is missing from it keeps its known location. Whether the endpoint accepts
    // requests is decided by its own status.
    entry.place = found->second;
}

void EndpointDirectory::setStatus(const EndpointStatus& status)
{
    const auto found = m_entries.find(status.endpoint);
    if (found == m_entries.end())
        return;
    auto& entry = found->second;
    if (entry.status && status.incarnation < entry.status->incarnation && status.state == entry.status->state)
        return;
    const auto before = std::exchange(entry.status, status);
    m_onChanged(entry, before);
}

void EndpointDirectory::setUnreachable(const EndpointId& endpoint)
{
    const auto found = m_entries.find(endpoint);
    if (found == m_entries.end() || !found->second.status || found->second.status->state == EndpointState::Down)
        return;
    auto& entry = found->second;
    const auto before = entry.status;
    entry.status->state = EndpointState::Down;
    m_onChanged(entry, before);
}

const DirectoryEntry* EndpointDirectory::find(const EndpointId& endpoint) const
{
    const auto found = m_entries.find(endpoint);
    return found == m_entries.end() ? nullptr : &found->second;
}

std::vector<EndpointId> EndpointDirectory::serviceEndpoints(const ServiceId& service, std::uint64_t key) const
{
    std::vector<EndpointId> endpoints;
    for (const auto& [id, entry] : m_entries) {
        if (entry.service == service && entry.acceptsRequests())
            endpoints.push_back(id);
    }
    const auto score = [key](const EndpointId& id) { return rendezvousScore(id.value(), key); };
    std::sort(endpoints.begin(), endpoints.end(), [&](const auto& left, const auto& right) { return score(left) > score(right); });
    return endpoints;
}

nlohmann::json EndpointDirectory::dump() const
{
    auto endpoints = nlohmann::json::array();
    for (const auto& [id, entry] : m_entries) {
        nlohmann::json item { { "endpoint", id.value() }, { "host", entry.host.value() } };
        if (entry.place)
            item["link"] = entry.place->link.text();
        if (entry.status) {
            item["state"] = kStateNames[static_cast<std::size_t>(entry.status->state)];
            item["incarnation"] = entry.status->incarnation.value();
            item["running"] = entry.status->running;
            item["queued"] = entry.status->queued;
        }
        endpoints.push_back(std::move(item));
    }
    return endpoints;
}

} // namespace hornbeamgate
