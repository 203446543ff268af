#include "hornbeamgate/runtime/entry/key_trust_monitor.hpp"

#include "hornbeamgate/observability/log.hpp"

#include <nlohmann/json.hpp>

namespace hornbeamgate {

namespace {

    constexpr std::chrono::milliseconds kCheckInterval { 250 };

    std::string_view trustName(KeyTrust trust)
    {
        switch (trust) {
        case KeyTrust::Confirmed:
            return "confirmed";
        case KeyTrust::OutageEverywhere:
            return "outage_everywhere";
        case KeyTrust::Unconfirmed:
            break;
        }
        return "unconfirmed";
    }

} // namespace

KeyTrustMonitor::KeyTrustMonitor(KeyFreshness freshness, std::function<void()> terminateStreams)
    : m_freshness(std::move(freshness))
    , m_terminateStreams(std::move(terminateStreams))
    , m_timer([this] { check(); })
{
}

void KeyTrustMonitor::start()
{
    check();
}

void KeyTrustMonitor::handle(const KeyFreshnessEvent& event)
{
    m_freshness.handle(event, MonotonicClock::now());
}

void KeyTrustMonitor::check()
{
    const auto now = MonotonicClock::now();
    const auto trust = m_freshness.trust(now);
    if (trust != m_lastTrust)
        logEvent(LogEvent::KeysUnverified, { { "trust", trustName(trust) } });
    m_lastTrust = trust;
    const bool mustTerminate = m_freshness.mustCutStreams(now);
    if (mustTerminate && !m_streamsTerminated)
        m_terminateStreams();
    m_streamsTerminated = mustTerminate;
    m_timer.set(now + kCheckInterval);
}

nlohmann::json KeyTrustMonitor::dump() const
{
    return { { "trust", trustName(m_freshness.trust(MonotonicClock::now())) }, { "streams_cut", m_streamsTerminated } };
}

} // namespace hornbeamgate
