#include "platform/host_registry.hpp"

#include <nlohmann/json.hpp>

#include <sstream>
#include <vector>

namespace hornbeamgate::standins {

Result<RegisteredHost, std::string> parseHost(const nlohmann::json& value)
{
    if (!value.is_object())
        return failure(std::string("a host is a JSON object"));
    for (const char* key : { "host", "address", "data_center", "region", "role" }) {
        if (!value.contains(key) || !value[key].is_string())
            return failure("\"" + std::string(key) + "\" is missing or no string");
    }
    RegisteredHost host { value["host"], value["address"], value["data_center"], value["region"], value["role"] };
    if (value.contains("state")) {
        if (!value["state"].is_string())
            return failure(std::string("\"state\" is no string"));
        host.state = value["state"];
    }
    return host;
}

Result<RegisteredHost, std::string> parseHostOption(const std::string& text)
{
    std::vector<std::string> fields;
    std::istringstream input(text);
    for (std::string field; std::getline(input, field, ',');)
        fields.push_back(field);
    if (fields.size() != 5)
        return failure("a host is given as name,ip:port,data_center,region,role: " + text);
    return RegisteredHost { fields[0], fields[1], fields[2], fields[3], fields[4] };
}

HostRegistry::HostRegistry(std::chrono::milliseconds lag)
    : m_lag(lag)
{
}

void HostRegistry::set(RegisteredHost host, MonotonicTime now)
{
    m_pending.push_back({ now + m_lag, std::move(host) });
}

nlohmann::json HostRegistry::list(MonotonicTime now)
{
    while (!m_pending.empty() && m_pending.front().visibleAt <= now) {
        apply(std::move(m_pending.front().host));
        m_pending.pop_front();
    }
    auto hosts = nlohmann::json::array();
    for (const auto& [name, host] : m_visible) {
        hosts.push_back({ { "host", name }, { "address", host.address }, { "data_center", host.dataCenter },
            { "region", host.region }, { "role", host.role }, { "state", host.state } });
    }
    return { { "hosts", std::move(hosts) } };
}

void HostRegistry::apply(RegisteredHost host)
{
    if (host.state == "gone") {
        m_visible.erase(host.host);
        return;
    }
    const std::string name = host.host;
    m_visible.insert_or_assign(name, std::move(host));
}

} // namespace hornbeamgate::standins
