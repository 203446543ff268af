#pragma once

#include "hornbeamgate/base/result.hpp"
#include "hornbeamgate/runtime/daemon_main.hpp"
#include "hornbeamgate/settings/entry_settings.hpp"

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <string>
#include <vector>

namespace hornbeamgate {

/// Daemon that accepts HTTP requests of callers and relays them to endpoints.
class EntryDaemon {
public:
    /// Returns an error message if an address can't be bound, the key pepper is invalid or a component rejects its options.
    static Result<std::unique_ptr<EntryDaemon>, std::string> create(const EntrySettings& settings);
    ~EntryDaemon();
    EntryDaemon(const EntryDaemon&) = delete;
    EntryDaemon& operator=(const EntryDaemon&) = delete;

    /// Runs the main loop until a termination signal was received and the daemon has drained.
    void run();
    /// Reports not ready, then stops accepting connections, waits for the active requests (at most the drain timeout) and
    /// makes `run` return.
    void drain();

    /// Returns the bound addresses, with the ports that the system assigned.
    std::vector<ListeningAddress> addresses() const;
    nlohmann::json dump() const;

private:
    struct State;
    explicit EntryDaemon(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

} // namespace hornbeamgate
