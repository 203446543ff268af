#pragma once

#include "common/faults.hpp"
#include "common/http_server.hpp"
#include "engine/block_cache.hpp"
#include "engine/completion_request.hpp"
#include "engine/reader.hpp"
#include "engine/run_table.hpp"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace hornbeamgate::standins {

struct EngineOptions {
    BlockCacheOptions cache;
    RunTableOptions runs;
    std::chrono::milliseconds timePerToken { 10 };
    std::chrono::milliseconds loadLag { 0 }; ///< age that a load report may have
    std::chrono::milliseconds weightLoadTime { 1000 };
    std::map<std::string, std::uint64_t> models; ///< weights version by model
    bool checksFencing = false;
};

/// Model engine without a model: it serves the engine's interface with made-up tokens.
class EngineServer {
public:
    explicit EngineServer(EngineOptions options);

    void serve(ExchangePtr exchange);

    /// Produces the next tokens; called every `timePerToken`.
    void step();

    /// Renews the load report; called every `loadLag`.
    void reportLoad();

private:
    void serveCompletion(CompletionKind kind, ExchangePtr exchange);
    void admit(CompletionKind kind, ExchangePtr exchange, std::optional<Fault> fault);
    void serveRun(ExchangePtr exchange);
    void resume(const std::string& runId, ExchangePtr exchange);
    void serveOrder(ExchangePtr exchange);
    void serveModels(Exchange&) const;
    void serveEvents(Exchange&) const;
    void loadWeights(const std::string& model, std::uint64_t version);
    void sendAll();
    void restart(std::chrono::milliseconds downTime);
    std::string newRunId();

    EngineOptions m_options;
    std::mt19937_64 m_random;
    std::uint64_t m_incarnation = 0;
    std::unique_ptr<BlockCache> m_cache;
    std::unique_ptr<RunTable> m_runs;
    std::list<Reader> m_readers;
    FaultTable m_faults;
    std::string m_loadReport;
    std::uint64_t m_highestFencing = 0;
    MonotonicTime m_downUntil;
};

} // namespace hornbeamgate::standins
