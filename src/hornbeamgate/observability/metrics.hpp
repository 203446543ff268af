#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace hornbeamgate {

/// Every counter of a process. docs/operators/reference.md lists them by name.
enum class Counter {
    RequestsAccepted,
    RequestsCompleted,
    RequestsRefused,
    RequestsFailed,
    RequestsQuarantined,
    RequestsAtLimit,
    SendsHeldBack,
    ResponsesCutOff,
    ConnectionsRefused,
    ConnectionsClosedForMemory,
    StreamPieces,
    RunsResumed,
    RunsRetried,
    RunsCancelled,
    PrefixBlocksAsked,
    PrefixBlocksHit,
    BookingsExecuted,
    BookingsReplayed,
    DirectoryCallsFailed,
    PeerBytesSent,
    RequestsExposed,
    VersionResponsesBad,
    CounterCount,
};

/// Every latency distribution of a process.
enum class Latency {
    TimeToFirstPiece,
    TimeBetweenPieces,
    RequestDuration,
    QueueWait,
    ResponseDelivery,
    LatencyCount,
};

std::string_view counterName(Counter counter);
std::string_view latencyName(Latency latency);

/// Counters and latency distributions of one process.
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    void add(Counter counter, std::uint64_t amount = 1);
    std::uint64_t value(Counter counter) const;

    /// Adds one observation to the distribution.
    void observe(Latency latency, std::chrono::nanoseconds span);

    /// The metrics page in the Prometheus text format; distributions as summaries in seconds.
    std::string page() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace hornbeamgate
