#include "hornbeamgate/membership/membership.hpp"

#include <nlohmann/json.hpp>

namespace hornbeamgate {

nlohmann::json Membership::dump() const
{
    nlohmann::json states = nlohmann::json::object();
    nlohmann::json notAlive = nlohmann::json::array();
    m_table.forEach([&](const Member& member) {
        const std::string state(toString(member.status.state));
        states[state] = states.value(state, 0) + 1;
        if (member.status.state != MemberState::Alive)
            notAlive.push_back({ { "host", member.host.value() }, { "state", state } });
    });
    nlohmann::json probed = nlohmann::json::array();
    for (const auto& [host, probe] : m_probes)
        probed.push_back({ { "host", host.value() }, { "misses", probe.misses } });
    nlohmann::json dataCenters = nlohmann::json::object();
    for (const auto& [name, dataCenter] : m_dataCenters)
        dataCenters[name.value()] = { { "beat", dataCenter.heartbeat }, { "reachable", dataCenter.reachable } };
    return {
        { "host", m_self.host.value() },
        { "incarnation", m_self.status.incarnation.value() },
        { "revision", m_self.status.revision },
        { "state", toString(m_ownState) },
        { "joined", m_joined },
        { "listed", m_listed.size() },
        { "members", states },
        { "not_alive", notAlive },
        { "probed", probed },
        { "data_centers", dataCenters },
        { "links", m_links.size() },
        { "change", m_table.lastChange() },
    };
}

} // namespace hornbeamgate
