#include "hornbeamgate/membership/neighbor_link.hpp"

#include <algorithm>

namespace hornbeamgate {

namespace {

    constexpr Duration kOutOfSyncTimeout = std::chrono::seconds(15); // allows for updates in transit

} // namespace

NeighborLink::NeighborLink(Incarnation incarnation, std::uint64_t cursor)
    : m_incarnation(incarnation)
    , m_cursor(cursor)
{
}

void NeighborLink::resetIfRestarted(Incarnation incarnation, std::uint64_t cursor)
{
    if (incarnation != m_incarnation)
        *this = NeighborLink(incarnation, cursor);
}

void NeighborLink::recordSent(std::uint64_t upToChange)
{
    m_sentUpToChange = std::max(m_sentUpToChange, upToChange);
}

void NeighborLink::acknowledge(std::uint64_t change)
{
    if (change <= m_sentUpToChange)
        m_cursor = std::max(m_cursor, change);
}

void NeighborLink::recordInSync(std::uint64_t change)
{
    m_resendAt.reset();
    if (m_resending)
        m_cursor = std::max(m_cursor, change);
    m_resending = false;
}

void NeighborLink::recordOutOfSync(std::uint64_t lastChange, MonotonicTime now)
{
    const bool resendIncomplete = m_resending && m_cursor < lastChange;
    if (!m_resendAt || resendIncomplete)
        m_resendAt = now + kOutOfSyncTimeout;
    if (now < *m_resendAt)
        return;
    m_resendAt = now + kOutOfSyncTimeout;
    resend();
}

void NeighborLink::resend()
{
    m_cursor = 0;
    m_sentUpToChange = 0;
    m_resending = true;
}

} // namespace hornbeamgate
