#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/time.hpp"

#include <cstdint>
#include <optional>

namespace hornbeamgate {

/// Synchronization state with one neighbor: the change numbers that were sent, acknowledged and received.
class NeighborLink {
public:
    /// Sends changes after `cursor`; the neighbor is assumed to know older ones.
    NeighborLink(Incarnation incarnation, std::uint64_t cursor);

    /// Resets the link if the neighbor's incarnation has changed.
    void resetIfRestarted(Incarnation incarnation, std::uint64_t cursor);

    /// A message with changes up to `upToChange` is being sent.
    void recordSent(std::uint64_t upToChange);

    /// The neighbor has applied the local changes up to `change`. Ignored if `change` has not been sent since the last
    /// resend.
    void acknowledge(std::uint64_t change);

    /// The tables of both sides are equal. Ends a resend at `change`.
    void recordInSync(std::uint64_t change);

    /// The tables of both sides differ, which is normal while updates are in transit. Resends all changes if they
    /// still differ after a timeout, which does not start before a running resend has reached `lastChange`.
    void recordOutOfSync(std::uint64_t lastChange, MonotonicTime now);

    /// Starts sending all changes again.
    void resend();

    /// The neighbor's changes up to `upToChange` were applied.
    void recordReceived(std::uint64_t upToChange) { m_received = upToChange; }

    Incarnation incarnation() const { return m_incarnation; }
    /// Whether all changes are being sent again.
    bool resending() const { return m_resending; }
    std::uint64_t cursor() const { return m_cursor; }
    std::uint64_t received() const { return m_received; }

private:
    Incarnation m_incarnation;
    std::uint64_t m_cursor = 0;
    std::uint64_t m_sentUpToChange = 0; // highest change in a message since the last resend
    std::uint64_t m_received = 0;
    bool m_resending = false;
    std::optional<MonotonicTime> m_resendAt; // cleared when both sides are in sync
};

} // namespace hornbeamgate
