#pragma once

#include "load_report.hpp"
#include "prompt_source.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace hornbeamgate::loadgen {

struct LoadOptions {
    std::string target; ///< `ip:port`
    std::string model;
    std::vector<std::string> keys; ///< one for each workspace in turn; none sends no key
    std::uint64_t weightsVersion = 1; ///< weights that the engines run; decides the expected answers
    std::uint64_t maxTokens = 32;
    double requestsPerSecond = 0; ///< 0: a new request begins whenever one ends
    std::size_t concurrency = 16; ///< largest number of requests under way
    std::chrono::seconds length { 10 }; ///< time in which requests begin
    std::chrono::seconds answerTimeout { 60 }; ///< longest silence on one connection
    PromptOptions prompts;
    std::uint64_t seed = 1;
};

/// Sends streamed completion requests and checks each answer.
class LoadRun {
public:
    explicit LoadRun(LoadOptions options);
    ~LoadRun();
    LoadRun(const LoadRun&) = delete;
    LoadRun& operator=(const LoadRun&) = delete;

    /// Runs the main loop until every request that began has ended.
    void run();

    const LoadReport& report() const;

private:
    class Call;
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace hornbeamgate::loadgen
