#include "hornbeamgate/runtime/agent/agent_daemon.hpp"
#include "hornbeamgate/runtime/daemon_main.hpp"

using namespace hornbeamgate;

int main(int argc, char** argv)
{
    constexpr DaemonProgram kProgram { "hornbeamgate-agent",
        "The process beside one endpoint. It runs what entry daemons order and guards the endpoint." };
    const auto create = [](const AgentSettings& settings, const DaemonArguments&) { return AgentDaemon::create(settings); };
    return runDaemon(argc, argv, kProgram, parseAgentSettings, create);
}
