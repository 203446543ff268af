#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace hornbeamgate::standins {

/// Counts how often each booking ran, so that a test sees a booking that ran twice.
class BookingCounter {
public:
    /// Runs the booking `key` once more and returns how often it has run now.
    std::uint64_t run(const std::string& key);

    /// `{"total":N,"keys":{"KEY":N,..}}`
    nlohmann::json counts() const;

private:
    std::map<std::string, std::uint64_t> m_runs;
};

} // namespace hornbeamgate::standins
