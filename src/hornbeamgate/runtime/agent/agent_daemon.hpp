#pragma once

#include "hornbeamgate/base/result.hpp"
#include "hornbeamgate/runtime/daemon_main.hpp"
#include "hornbeamgate/settings/agent_settings.hpp"

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <string>
#include <vector>

namespace hornbeamgate {

/// Sidecar daemon of one endpoint: receives run orders over the link and executes them on the local engine or service.
class AgentDaemon {
public:
    /// Returns an error message if an address can't be bound or a component rejects its options.
    static Result<std::unique_ptr<AgentDaemon>, std::string> create(const AgentSettings& settings);
    ~AgentDaemon();
    AgentDaemon(const AgentDaemon&) = delete;
    AgentDaemon& operator=(const AgentDaemon&) = delete;

    /// Runs the main loop until a termination signal was received and the daemon has drained.
    void run();
    /// Stops accepting new runs, waits for the active ones (at most the drain timeout) and makes `run` return.
    void drain();

    /// Returns the bound addresses, with the ports that the system assigned.
    std::vector<ListeningAddress> addresses() const;
    nlohmann::json dump() const;

private:
    struct State;
    explicit AgentDaemon(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

} // namespace hornbeamgate
