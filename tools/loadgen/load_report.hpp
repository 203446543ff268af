#pragma once

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace hornbeamgate::loadgen {

/// Counts and distributions of one load run.
class LoadReport {
public:
    LoadReport();
    ~LoadReport();
    LoadReport(const LoadReport&) = delete;
    LoadReport& operator=(const LoadReport&) = delete;

    void addComplete() { ++m_complete; }
    void addIncomplete() { ++m_incomplete; }
    void addUnanswered(const std::string& detail) { ++m_unanswered[detail]; }
    void addWrong(const std::string& detail) { ++m_wrong[detail]; }
    void addFailed(const std::string& code) { ++m_failed[code]; }
    void addRefused(const std::string& code) { ++m_refused[code]; }
    void addSkipped() { ++m_skipped; }
    void addFirstToken(std::chrono::nanoseconds sinceRequest);
    void addBetweenTokens(std::chrono::nanoseconds span);

    /// Whether no answer was wrong or cut off without an explicit error.
    bool sound() const { return m_wrong.empty() && m_incomplete == 0; }

    nlohmann::json toJson() const;

    /// The same figures, one `name=value` a line.
    std::string toText() const;

private:
    struct Distributions;

    std::uint64_t m_complete = 0;
    std::uint64_t m_incomplete = 0;
    std::uint64_t m_skipped = 0;
    std::map<std::string, std::uint64_t> m_unanswered; ///< no status line came
    std::map<std::string, std::uint64_t> m_wrong;
    std::map<std::string, std::uint64_t> m_failed;
    std::map<std::string, std::uint64_t> m_refused;
    std::unique_ptr<Distributions> m_distributions;
};

} // namespace hornbeamgate::loadgen
