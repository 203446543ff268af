#include "hornbeamgate/runtime/daemon_main.hpp"
#include "hornbeamgate/runtime/entry/entry_daemon.hpp"

using namespace hornbeamgate;

int main(int argc, char** argv)
{
    constexpr DaemonProgram kProgram { "hornbeamgated",
        "The entry daemon. It checks keys, keeps rates, chooses endpoints and relays streams." };
    const auto create = [](const EntrySettings& settings, const DaemonArguments&) { return EntryDaemon::create(settings); };
    return runDaemon(argc, argv, kProgram, parseEntrySettings, create);
}
