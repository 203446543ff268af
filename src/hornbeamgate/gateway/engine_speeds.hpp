#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/time.hpp"
#include "hornbeamgate/gateway/endpoint_registry.hpp"

#include <cstdint>
#include <map>

namespace hornbeamgate::gateway {

/// Estimates how fast engines prefill prompts, from their reports and from the times of their first events.
///
/// The rate of a service is the length of a long prompt divided by the time to its first event. It rises fast and falls slowly, so
/// it follows the prompts that met little other work. Engines differ from it by a factor: the slowdown that the engine's machine
/// states, or else the ratio of its times to the expected ones, compared with the same ratio of the whole service.
///
/// Designed for engines of different speeds on machines that other work slows down for fractions of a second.
class EngineSpeeds {
public:
    /// Records the slowdown that an endpoint states in a response. Each reading is noisy, so they are smoothed.
    void recordReport(const EndpointId& id, int slowdownPercent, MonotonicTime now);
    /// Records that the engine answered `time` after the send of a prompt with `tokens` tokens to prefill.
    void recordPrefill(const EndpointEntry& engine, std::int64_t tokens, Duration time, MonotonicTime now);
    /// Records the time to the first event of a send together with the time that was expected.
    void recordFirstEvent(const EndpointEntry& engine, Duration time, Duration expected);
    void forget(const EndpointId& id) { m_engines.erase(id); }

    /// Returns the prompt tokens that an engine of the service without slowdown reads per millisecond.
    double tokensPerMs(const ServiceId& service) const;
    /// Returns the factor by which the engine is slower than its service.
    double slowdown(const EndpointEntry& engine, MonotonicTime now) const;
    Duration prefillTime(const ServiceId& service, std::int64_t tokens) const;
    Duration prefillTime(const EndpointEntry& engine, std::int64_t tokens, MonotonicTime now) const;

private:
    struct Engine {
        double reportedSlowdown = 1;
        MonotonicTime reportedAt {};
        bool hasReport = false;
        double timeRatio = 1; ///< of the observed time to the expected one
        int observations = 0;
    };
    struct Service {
        double tokensPerMs = 0; ///< zero until the first observation
        double timeRatio = 1;
        int observations = 0;
    };

    std::map<EndpointId, Engine> m_engines;
    std::map<ServiceId, Service> m_services;
};

} // namespace hornbeamgate::gateway
