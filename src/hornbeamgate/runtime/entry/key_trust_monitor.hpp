#pragma once

#include "hornbeamgate/keys/key_freshness.hpp"
#include "hornbeamgate/runtime/glib_support.hpp"

#include <nlohmann/json_fwd.hpp>

#include <functional>

namespace hornbeamgate {

/// Periodically checks whether keys can be trusted and requests the termination of keyed streams when they cannot.
class KeyTrustMonitor {
public:
    /// `terminateStreams` is called once at the start of each period in which keyed streams must not continue.
    KeyTrustMonitor(KeyFreshness freshness, std::function<void()> terminateStreams);

    void start();
    void handle(const KeyFreshnessEvent& event);
    bool mayAccept() const { return m_freshness.mayAccept(MonotonicClock::now()); }
    nlohmann::json dump() const;

private:
    void check();

    KeyFreshness m_freshness;
    std::function<void()> m_terminateStreams;
    KeyTrust m_lastTrust = KeyTrust::Unconfirmed;
    bool m_streamsTerminated = false;
    Timer m_timer;
};

} // namespace hornbeamgate
