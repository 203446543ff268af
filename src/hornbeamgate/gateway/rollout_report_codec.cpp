#include "hornbeamgate/gateway/rollout_report_codec.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hornbeamgate::gateway {

using nlohmann::json;

namespace {

    /// Ages and latencies lie below these.
    constexpr std::chrono::hours kMaxAge { 24 * 365 };
    constexpr std::chrono::hours kMaxLatency { 1 };

    /// Route names of a service in the order of their first use.
    class RouteNames {
    public:
        std::size_t indexOf(const std::string& name)
        {
            const auto found = std::find(m_names.begin(), m_names.end(), name);
            if (found != m_names.end())
                return static_cast<std::size_t>(found - m_names.begin());
            m_names.push_back(name);
            return m_names.size() - 1;
        }
        const std::vector<std::string>& names() const { return m_names; }

    private:
        std::vector<std::string> m_names;
    };

    json encodeService(const RolloutReport::Service& service)
    {
        RouteNames routes;
        json candidate = json::array();
        for (const auto& [engine, samples] : service.candidate) {
            json counts = json::array();
            for (const auto& [route, sample] : samples)
                counts.push_back(json::array({ routes.indexOf(route), sample.responses, sample.bad }));
            candidate.push_back(json::array({ engine.value(), std::move(counts) }));
        }
        json control = json::array();
        for (const auto& [route, known] : service.control)
            control.push_back(json::array({ routes.indexOf(route), known.sample.responses, known.sample.bad, known.medianLatency.count() }));
        return json::array({ service.service.value(), service.order.value(), service.age.count(), service.isBad, service.isShifted, service.oldInProgress,
            routes.names(), std::move(candidate), std::move(control) });
    }

    /// A sample never has more bad responses than responses, so that a malformed report cannot break the judgement.
    RouteSample decodeSample(const json& item)
    {
        const auto responses = item.at(1).get<std::uint64_t>();
        return { responses, std::min(item.at(2).get<std::uint64_t>(), responses) };
    }

    template <typename Time>
    Time decodeTime(const json& value, std::chrono::hours max)
    {
        return std::clamp(Time(value.get<std::int64_t>()), Time::zero(), Time(max));
    }

    RolloutReport::Service decodeService(const json& value)
    {
        RolloutReport::Service service;
        service.service = ServiceId(value.at(0).get<std::string>());
        service.order = LogOffset(value.at(1).get<std::uint64_t>());
        service.age = decodeTime<std::chrono::milliseconds>(value.at(2), kMaxAge);
        service.isBad = value.at(3).get<bool>();
        service.isShifted = value.at(4).get<bool>();
        service.oldInProgress = value.at(5).get<std::uint64_t>();
        const auto& routes = value.at(6);
        const auto routeOf = [&routes](const json& item) { return routes.at(item.at(0).get<std::size_t>()).get<std::string>(); };
        for (const auto& item : value.at(7)) {
            auto& samples = service.candidate[EndpointId(item.at(0).get<std::string>())];
            for (const auto& counts : item.at(1))
                samples[routeOf(counts)] = decodeSample(counts);
        }
        for (const auto& item : value.at(8))
            service.control[routeOf(item)] = { decodeSample(item), decodeTime<std::chrono::microseconds>(item.at(3), kMaxLatency) };
        return service;
    }

} // namespace

json encodeRolloutReport(const RolloutReport& report)
{
    json services = json::array();
    for (const auto& service : report.services)
        services.push_back(encodeService(service));
    return services;
}

RolloutReport decodeRolloutReport(const json& value)
{
    RolloutReport report;
    for (const auto& item : value)
        report.services.push_back(decodeService(item));
    return report;
}

} // namespace hornbeamgate::gateway
