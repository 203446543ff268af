#include "hornbeamgate/gateway/engine_speeds.hpp"

#include <algorithm>
#include <cmath>

namespace hornbeamgate::gateway {

namespace {

    using Milliseconds = std::chrono::duration<double, std::milli>;

    /// Assumed until the first prompt of a service is answered; engines in use read 30 to 70 tokens per millisecond beside
    /// their other work.
    constexpr double kInitialTokensPerMs = 50;
    constexpr double kMinTokensPerMs = 10;
    constexpr double kMaxTokensPerMs = 1000;
    /// Shorter prompts are dominated by the constant part of an answer.
    constexpr std::int64_t kMinObservedTokens = 2048;
    /// Time constant of the smoothing of reported slowdowns, which change many times per second.
    constexpr Milliseconds kReportSmoothing { 300 };
    /// An older report says nothing about the engine's machine now.
    constexpr std::chrono::seconds kReportLifetime { 2 };
    constexpr double kPercent = 100;
    constexpr double kMinSlowdown = 0.25;
    constexpr double kMaxSlowdown = 8;
    /// Weights of one observation. A service has many times as many as each of its engines.
    constexpr double kServiceSmoothing = 1.0 / 64;
    constexpr double kEngineSmoothing = 1.0 / 8;
    /// Weights of an observed prefill rate above and below the estimate. An estimate that followed the prompts that wait behind
    /// others would refuse prompts while engines are idle.
    constexpr double kRateRise = 1.0 / 8;
    constexpr double kRateFall = 1.0 / 64;
    /// Observations of an engine before its own ratio is used.
    constexpr int kMinObservations = 4;
    /// Bounds of one observed ratio, so that a single stalled answer does not decide.
    constexpr double kMinRatio = 0.1;
    constexpr double kMaxRatio = 20;

    /// Moves `average` towards `value`; the first observations have equal weights.
    void smooth(double& average, int& observations, double value, double weight)
    {
        ++observations;
        average += (value - average) * std::max(weight, 1.0 / observations);
    }

} // namespace

void EngineSpeeds::recordReport(const EndpointId& id, int slowdownPercent, MonotonicTime now)
{
    auto& engine = m_engines[id];
    const double slowdown = std::clamp(slowdownPercent / kPercent, kMinSlowdown, kMaxSlowdown);
    const bool isFirst = !engine.hasReport || now >= engine.reportedAt + kReportLifetime;
    const double weight = isFirst ? 1 : 1 - std::exp(-Milliseconds(now - engine.reportedAt) / kReportSmoothing);
    engine.reportedSlowdown += (slowdown - engine.reportedSlowdown) * weight;
    engine.reportedAt = now;
    engine.hasReport = true;
}

void EngineSpeeds::recordPrefill(const EndpointEntry& engine, std::int64_t tokens, Duration time, MonotonicTime now)
{
    if (tokens < kMinObservedTokens || time <= Duration::zero())
        return;
    const double rate = static_cast<double>(tokens) / Milliseconds(time).count() * slowdown(engine, now);
    auto& service = m_services[engine.service];
    if (service.tokensPerMs == 0)
        service.tokensPerMs = kInitialTokensPerMs;
    const double difference = std::clamp(rate, kMinTokensPerMs, kMaxTokensPerMs) - service.tokensPerMs;
    service.tokensPerMs += difference * (difference > 0 ? kRateRise : kRateFall);
}

void EngineSpeeds::recordFirstEvent(const EndpointEntry& engine, Duration time, Duration expected)
{
    if (expected <= Duration::zero())
        return;
    const double ratio = std::clamp(Milliseconds(time) / Milliseconds(expected), kMinRatio, kMaxRatio);
    auto& service = m_services[engine.service];
    smooth(service.timeRatio, service.observations, ratio, kServiceSmoothing);
    auto& own = m_engines[engine.id];
    smooth(own.timeRatio, own.observations, ratio, kEngineSmoothing);
}

double EngineSpeeds::tokensPerMs(const ServiceId& service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() || found->second.tokensPerMs == 0 ? kInitialTokensPerMs : found->second.tokensPerMs;
}

double EngineSpeeds::slowdown(const EndpointEntry& engine, MonotonicTime now) const
{
    const auto found = m_engines.find(engine.id);
    if (found == m_engines.end())
        return 1;
    const auto& own = found->second;
    if (own.hasReport && now < own.reportedAt + kReportLifetime)
        return own.reportedSlowdown;
    const auto service = m_services.find(engine.service);
    if (own.observations < kMinObservations || service == m_services.end())
        return 1;
    return std::clamp(own.timeRatio / service->second.timeRatio, kMinSlowdown, kMaxSlowdown);
}

Duration EngineSpeeds::prefillTime(const ServiceId& service, std::int64_t tokens) const
{
    return std::chrono::duration_cast<Duration>(Milliseconds(static_cast<double>(tokens) / tokensPerMs(service)));
}

Duration EngineSpeeds::prefillTime(const EndpointEntry& engine, std::int64_t tokens, MonotonicTime now) const
{
    return std::chrono::duration_cast<Duration>(prefillTime(engine.service, tokens) * slowdown(engine, now));
}

} // namespace hornbeamgate::gateway
