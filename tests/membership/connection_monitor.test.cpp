#include "hornbeamgate/membership/connection_monitor.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace hornbeamgate;
using namespace std::chrono_literals;

namespace {

using Actions = std::vector<ConnectionAction>;
constexpr MonotonicTime kStart { std::chrono::hours(1) };

ConnectionMonitor newMonitor()
{
    return ConnectionMonitor::create({}, kStart).value();
}

} // namespace

TEST_CASE("a connection is replaced only after an unanswered PING [membership]")
{
    struct Step {
        Duration at;
        ConnectionEvent event;
        Actions expected;
        bool usable;
    };
    const std::vector<Step> scripts[] = {
        { // an endpoint with a slow answer still answers the PING
            { 0s, ConnectionRequestSent {}, {}, true },
            { 2s, ConnectionTimerExpired {}, { ConnectionAction::SendPing }, true },
            { 2100ms, ConnectionBytesReceived {}, {}, true },
            { 4s, ConnectionTimerExpired {}, {}, true },
            { 4100ms, ConnectionTimerExpired {}, { ConnectionAction::SendPing }, true } },
        { // unresponsive peer: the connection is replaced, and closed once no answer is outstanding
            { 0s, ConnectionRequestSent {}, {}, true },
            { 2s, ConnectionTimerExpired {}, { ConnectionAction::SendPing }, true },
            { 2700ms, ConnectionTimerExpired {}, { ConnectionAction::OpenReplacement }, false },
            { 9s, ConnectionRequestEnded {}, { ConnectionAction::Close }, false } },
        { // data arrives after the connection was replaced
            { 0s, ConnectionRequestSent {}, {}, true },
            { 2s, ConnectionTimerExpired {}, { ConnectionAction::SendPing }, true },
            { 3s, ConnectionTimerExpired {}, { ConnectionAction::OpenReplacement }, false },
            { 4s, ConnectionBytesReceived {}, { ConnectionAction::ResumeUse }, true } },
        { // idle connection: no PING before the next use
            { 60s, ConnectionTimerExpired {}, {}, true },
            { 60s, ConnectionUseRequested {}, { ConnectionAction::SendPing }, true },
            { 61s, ConnectionTimerExpired {}, { ConnectionAction::OpenReplacement, ConnectionAction::Close }, false } },
        { // closed by the peer
            { 1s, ConnectionClosed {}, { ConnectionAction::OpenReplacement }, false },
            { 2s, ConnectionUseRequested {}, {}, false } },
        { // recently active connection: no PING at the next use
            { 1s, ConnectionBytesReceived {}, {}, true },
            { 2s, ConnectionUseRequested {}, {}, true } },
    };
    for (const auto& script : scripts) {
        auto monitor = newMonitor();
        for (const auto& step : script) {
            CHECK((monitor.handle(step.event, kStart + step.at) == step.expected));
            CHECK(monitor.usable() == step.usable);
        }
    }
}

TEST_CASE("only recently received data confirms that a connection is alive [membership]")
{
    auto monitor = newMonitor();
    monitor.handle(ConnectionBytesReceived {}, kStart + 10s);
    CHECK(monitor.recentlyConfirmedAlive(kStart + 10s + 199ms));
    CHECK_FALSE(monitor.recentlyConfirmedAlive(kStart + 10s + 200ms));
    monitor.handle(ConnectionUseRequested {}, kStart + 20s);
    CHECK_FALSE(monitor.recentlyConfirmedAlive(kStart + 20s));
    monitor.handle(ConnectionBytesReceived {}, kStart + 20s + 5ms);
    CHECK(monitor.recentlyConfirmedAlive(kStart + 20s + 6ms));
}

TEST_CASE("the next deadline depends on outstanding requests and PINGs [membership]")
{
    auto monitor = newMonitor();
    CHECK_FALSE(monitor.nextDeadline().has_value());
    monitor.handle(ConnectionRequestSent {}, kStart + 5s);
    CHECK((monitor.nextDeadline() == kStart + 7s));
    monitor.handle(ConnectionTimerExpired {}, kStart + 7s);
    CHECK((monitor.nextDeadline() == kStart + 7700ms));
    CHECK(monitor.dump()["state"] == "probing");
    ConnectionOptions options;
    options.pingTimeout = 0s;
    CHECK_FALSE(ConnectionMonitor::create(options, kStart).has_value());
    options = {};
    options.confirmedAliveWindow = -1s;
    CHECK_FALSE(ConnectionMonitor::create(options, kStart).has_value());
}
