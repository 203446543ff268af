#pragma once

#include "hornbeamgate/base/time.hpp"

#include <optional>

namespace hornbeamgate::gateway {

/// Detects that this daemon stood still, by a periodic timer that fires late.
///
/// Messages that arrived during a standstill are read late and look newer than they are. They may be read before or after
/// the timer fires.
class StandstillDetector {
public:
    /// Lateness of the timer above which the daemon stood still, and time that it then takes to read what has arrived.
    static constexpr std::chrono::milliseconds kMaxDelay { 300 };

    /// Records that the timer has fired, and when it is due next.
    void timerFired(MonotonicTime now, MonotonicTime next)
    {
        if (isLate(now))
            m_backlogEnd = now + kMaxDelay;
        m_due = next;
    }

    /// Returns whether a message that is read now may have arrived much earlier.
    bool mayReadBacklog(MonotonicTime now) const { return isLate(now) || now < m_backlogEnd; }

private:
    bool isLate(MonotonicTime now) const { return m_due && now > *m_due + kMaxDelay; }

    std::optional<MonotonicTime> m_due;
    MonotonicTime m_backlogEnd {};
};

} // namespace hornbeamgate::gateway
