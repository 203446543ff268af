#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/time.hpp"

#include <cstdint>
#include <optional>

namespace hornbeamgate {

/// What one neighbor has been told and has told, by the change numbers of both sides.
class NeighborLink {
public:
    /// `cursor` is where to begin; older changes are taken to be known to the neighbor.
    NeighborLink(Incarnation incarnation, std::uint64_t cursor);

    /// Starts anew when the neighbor is another process than before.
    void resetIfRestarted(Incarnation incarnation, std::uint64_t cursor);

    /// A message with changes up to `through` goes out.
    void recordSent(std::uint64_t upToChange);

    /// The neighbor has applied this process's changes up to `change`. Ignored when that was sent before a resend.
    void acknowledge(std::uint64_t change);

    /// Both sides hold the same state; sending everything again can stop at `change`.
    void recordInSync(std::uint64_t change);

    /// The sides differ, as they do while news is under way. If they go on to after all changes up to `lastChange` were
    /// sent, everything is sent again.
    void recordOutOfSync(std::uint64_t lastChange, MonotonicTime now);

    /// Sends everything again.
    void resend();

    /// The neighbor's changes up to `through` were applied.
    void recordReceived(std::uint64_t upToChange) { m_received = upToChange; }

    Incarnation incarnation() const { return m_incarnation; }
    /// Whether everything is being sent again.
    bool resending() const { return m_resending; }
    std::uint64_t cursor() const { return m_cursor; }
    std::uint64_t received() const { return m_received; }

private:
    Incarnation m_incarnation;
    std::uint64_t m_cursor = 0;
    std::uint64_t m_sentUpToChange = 0; // highest change in a message since the last resend
    std::uint64_t m_received = 0;
    bool m_resending = false;
    std::optional<MonotonicTime> m_resendAt; // unless both sides hold the same state before
};

} // namespace hornbeamgate
