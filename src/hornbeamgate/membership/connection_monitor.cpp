#include "hornbeamgate/membership/connection_monitor.hpp"

#include <nlohmann/json.hpp>

namespace hornbeamgate {

ConnectionMonitor::ConnectionMonitor(ConnectionOptions options, MonotonicTime now)
    : m_options(options)
    , m_confirmedAliveUntil(now + options.confirmedAliveWindow)
    , m_idleDeadline(now + options.idleTimeout)
    , m_silenceDeadline(now + options.silenceTimeout)
{
}

Result<ConnectionMonitor, ConnectionOptionsError> ConnectionMonitor::create(ConnectionOptions options, MonotonicTime now)
{
    if (options.silenceTimeout <= Duration::zero() || options.pingTimeout <= Duration::zero())
        return failure(ConnectionOptionsError { "silenceTimeout and pingTimeout must be positive" });
    if (options.confirmedAliveWindow < Duration::zero() || options.idleTimeout < Duration::zero())
        return failure(ConnectionOptionsError { "confirmedAliveWindow and idleTimeout must not be negative" });
    return ConnectionMonitor(options, now);
}

std::vector<ConnectionAction> ConnectionMonitor::handle(const ConnectionEvent& event, MonotonicTime now)
{
    m_now = now;
    if (m_state != State::Closed)
        std::visit([this](const auto& typed) { on(typed); }, event);
    checkDeadlines();
    return std::exchange(m_actions, {});
}

std::optional<MonotonicTime> ConnectionMonitor::nextDeadline() const
{
    if (m_state == State::Probing)
        return m_pingDeadline;
    if (m_state == State::Healthy && m_outstanding > 0)
        return m_silenceDeadline;
    return std::nullopt;
}

bool ConnectionMonitor::recentlyConfirmedAlive(MonotonicTime now) const
{
    return m_state == State::Healthy && now < m_confirmedAliveUntil;
}

nlohmann::json ConnectionMonitor::dump() const
{
    static constexpr const char* kNames[] = { "healthy", "probing", "silent", "closed" };
    return { { "state", kNames[static_cast<std::size_t>(m_state)] }, { "outstanding", m_outstanding } };
}

void ConnectionMonitor::on(const ConnectionBytesReceived& /*event*/)
{
    if (m_state == State::Silent)
        m_actions.push_back(ConnectionAction::ResumeUse);
    m_state = State::Healthy;
    m_confirmedAliveUntil = m_now + m_options.confirmedAliveWindow;
    m_idleDeadline = m_now + m_options.idleTimeout;
    m_silenceDeadline = m_now + m_options.silenceTimeout;
}

void ConnectionMonitor::on(const ConnectionRequestSent& /*event*/)
{
    if (m_outstanding == 0)
        m_silenceDeadline = m_now + m_options.silenceTimeout;
    ++m_outstanding;
}

void ConnectionMonitor::on(const ConnectionRequestEnded& /*event*/)
{
    if (m_outstanding > 0)
        --m_outstanding;
    closeIfUnused();
}

void ConnectionMonitor::on(const ConnectionUseRequested& /*event*/)
{
    if (m_state == State::Healthy && m_now >= m_idleDeadline)
        ping();
}

void ConnectionMonitor::on(const ConnectionClosed& /*event*/)
{
    if (m_state != State::Silent)
        m_actions.push_back(ConnectionAction::OpenReplacement);
    m_state = State::Closed;
}

void ConnectionMonitor::on(const ConnectionTimerExpired& /*event*/)
{
}

void ConnectionMonitor::ping()
{
    m_state = State::Probing;
    m_pingDeadline = m_now + m_options.pingTimeout;
    m_actions.push_back(ConnectionAction::SendPing);
}

void ConnectionMonitor::checkDeadlines()
{
    if (m_state == State::Healthy && m_outstanding > 0 && m_now >= m_silenceDeadline)
        return ping();
    if (m_state != State::Probing || m_now < m_pingDeadline)
        return;
    m_state = State::Silent;
    m_actions.push_back(ConnectionAction::OpenReplacement);
    closeIfUnused();
}

void ConnectionMonitor::closeIfUnused()
{
    if (m_state != State::Silent || m_outstanding > 0)
        return;
    m_state = State::Closed;
    m_actions.push_back(ConnectionAction::Close);
}

} // namespace hornbeamgate
