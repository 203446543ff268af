#include "hornbeamgate/runtime/host_list_client.hpp"

#include "hornbeamgate/base/json_document.hpp"

#include <nlohmann/json.hpp>

#include <optional>

namespace hornbeamgate {

namespace {

    constexpr unsigned kStatusOk = 200;

    std::string textAt(const nlohmann::json& host, const char* key)
    {
        const auto found = host.find(key);
        return found != host.end() && found->is_string() ? found->get<std::string>() : std::string();
    }

    std::optional<HostRole> parseRole(const std::string& text)
    {
        if (text == "entry")
            return HostRole::Entry;
        if (text == "agent")
            return HostRole::Agent;
        return std::nullopt;
    }

    std::optional<HostState> parseState(const std::string& text)
    {
        if (text == "live")
            return HostState::Live;
        if (text == "leaving")
            return HostState::Leaving;
        return std::nullopt;
    }

    Result<ListedHost, std::string> parseHost(const nlohmann::json& value)
    {
        if (!value.is_object())
            return failure(std::string("a host is no object"));
        ListedHost host;
        host.host = HostId(textAt(value, "host"));
        if (host.host.empty())
            return failure(std::string("a host has no name"));
        const std::string where = "host " + host.host.value();
        auto address = parseSocketAddress(textAt(value, "address"));
        if (!address)
            return failure(where + ": address: " + address.error());
        const auto role = parseRole(textAt(value, "role"));
        if (!role)
            return failure(where + ": role is neither entry nor agent");
        const auto state = parseState(textAt(value, "state"));
        if (!state)
            return failure(where + ": state is neither live nor leaving");
        host.link = std::move(*address);
        host.dataCenter = DataCenterId(textAt(value, "data_center"));
        host.region = RegionId(textAt(value, "region"));
        host.role = *role;
        host.state = *state;
        if (host.dataCenter.empty() || host.region.empty())
            return failure(where + ": data_center or region is missing");
        return host;
    }

} // namespace

Result<std::vector<ListedHost>, std::string> parseHostList(std::string_view body)
{
    const auto list = parseJson(body);
    if (!list)
        return failure(list.error().detail);
    if (!list->is_object() || !list->contains("hosts") || !list->at("hosts").is_array())
        return failure(std::string("the host list has no array \"hosts\""));
    std::vector<ListedHost> hosts;
    for (const auto& value : list->at("hosts")) {
        auto host = parseHost(value);
        if (!host)
            return failure(std::move(host.error()));
        hosts.push_back(std::move(*host));
    }
    return hosts;
}

HostListClient::HostListClient(HostListOptions options, Observer observer)
    : m_options(std::move(options))
    , m_observer(std::move(observer))
    , m_nextRead([this] { read(); })
{
    read();
}

void HostListClient::read()
{
    const HttpRequest request { "GET", m_options.address, "/hosts", "", "" };
    m_http.send(request, MonotonicClock::now() + m_options.readTimeout,
        [this](const Result<HttpResponse, HttpError>& answer) { report(answer); });
}

void HostListClient::report(const Result<HttpResponse, HttpError>& answer)
{
    m_nextRead.set(MonotonicClock::now() + m_options.interval);
    if (!answer) {
        m_observer(HostListUnreachable { answer.error().detail });
        return;
    }
    if (answer->status != kStatusOk) {
        m_observer(HostListUnreachable { "answered with status " + std::to_string(answer->status) });
        return;
    }
    auto hosts = parseHostList(answer->body);
    if (hosts)
        m_observer(HostListRead { std::move(*hosts) });
    else
        m_observer(HostListUnreachable { hosts.error() });
}

} // namespace hornbeamgate
