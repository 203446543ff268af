#pragma once

#include "common/faults.hpp"
#include "common/http_server.hpp"
#include "platform/host_registry.hpp"
#include "platform/log_store.hpp"

#include <chrono>
#include <cstdint>
#include <list>
#include <string>

namespace hornbeamgate::standins {

struct PlatformOptions {
    LogLimits log;
    std::chrono::milliseconds hostListLag { 0 };
    double weightReadsPerSecond = 10;
    std::chrono::milliseconds weightReadTime { 0 };
};

/// Serves the platform's three interfaces from memory.
class PlatformServer {
public:
    explicit PlatformServer(const PlatformOptions& options);

    void serve(ExchangePtr exchange);
    void registerHost(RegisteredHost host);

private:
    /// Read that waits for a record.
    struct Waiter {
        std::uint64_t id = 0;
        std::string stream;
        std::uint64_t from = 0;
        std::size_t max = 0;
        ExchangePtr exchange;
    };

    void serveLog(ExchangePtr exchange);
    void append(const std::string& stream, Exchange&);
    void read(const std::string& stream, ExchangePtr exchange);
    void wait(Waiter waiter, std::chrono::milliseconds limit);
    void answerWaiters(const std::string& stream);
    void endWait(std::uint64_t id);
    void answerRead(const std::string& stream, std::uint64_t from, std::size_t max, Exchange&);
    /// Adds the log's era to an answer, unless it is the first one.
    nlohmann::json withEra(nlohmann::json answer) const;
    /// Lets the log come back from a copy that lacks the newest `lost` records of each stream.
    void returnLog(Exchange& exchange);
    void serveHosts(Exchange&);
    void serveWeights(ExchangePtr exchange);

    LogStore m_log;
    HostRegistry m_hosts;
    TokenBucket m_weightRate;
    std::chrono::milliseconds m_weightReadTime;
    FaultTable m_faults;
    std::list<Waiter> m_waiters;
    std::uint64_t m_nextWaiter = 0;
};

} // namespace hornbeamgate::standins
