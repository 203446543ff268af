#include "service/booking_counter.hpp"

#include <nlohmann/json.hpp>

namespace hornbeamgate::standins {

std::uint64_t BookingCounter::run(const std::string& key)
{
    return ++m_runs[key];
}

nlohmann::json BookingCounter::counts() const
{
    std::uint64_t total = 0;
    auto keys = nlohmann::json::object();
    for (const auto& [key, runs] : m_runs) {
        total += runs;
        keys[key] = runs;
    }
    return { { "total", total }, { "keys", std::move(keys) } };
}

} // namespace hornbeamgate::standins
