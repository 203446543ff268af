#pragma once

#include "hornbeamgate/settings/common_settings.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamgate {

/// Exit codes of the daemons.
enum class ExitCode : int {
    Success = 0,
    UsageError = 2,
    SettingsError = 3,
    StartFailed = 4,
};

/// Command line of a daemon.
struct DaemonArguments {
    std::string settingsPath;
    std::string settingsText; ///< content of the settings file
    bool checkOnly = false;
};

/// Parses the command line and reads the settings file. Without a value the process must end with `exitCode`.
std::optional<DaemonArguments> readDaemonArguments(int argc, char** argv, std::string_view description, ExitCode& exitCode);

/// Prints why a daemon could not start on standard error.
void printStartFailure(std::string_view reason);

/// Prints every fault of a settings file on standard error.
void printSettingsFaults(const std::vector<SettingsFault>& faults);

/// Address that a daemon listens on, and what for.
struct ListeningAddress {
    std::string_view name;
    SocketAddress address;
};

/// Prints `listening=NAME address=IP:PORT` on standard output, for whoever started the process.
void printListening(const ListeningAddress& listening);

/// What the programs of the daemons differ in.
struct DaemonProgram {
    std::string_view name;
    std::string_view description;
};

/// Whole life of a daemon program, from its command line to its exit code. `parse` checks the text of the settings and
/// `create` makes the daemon, or gives the reason why it cannot start.
template <typename Settings, typename Create>
int runDaemon(int argc, char** argv, const DaemonProgram& program, Result<Settings, std::vector<SettingsFault>> (*parse)(std::string_view), Create create)
{
    auto exitCode = ExitCode::Success;
    const auto arguments = readDaemonArguments(argc, argv, program.description, exitCode);
    if (!arguments)
        return static_cast<int>(exitCode);
    const auto settings = parse(arguments->settingsText);
    if (!settings) {
        printSettingsFaults(settings.error());
        return static_cast<int>(ExitCode::SettingsError);
    }
    if (arguments->checkOnly)
        return static_cast<int>(ExitCode::Success);
    startLogging(program.name, settings->common.logLevel);
    auto daemon = create(*settings, *arguments);
    if (!daemon) {
        printStartFailure(daemon.error());
        return static_cast<int>(ExitCode::StartFailed);
    }
    for (const auto& listening : (*daemon)->addresses())
        printListening(listening);
    logEvent(LogEvent::ProcessStarted, { { "host", settings->common.host.value() } });
    (*daemon)->run();
    logEvent(LogEvent::ProcessStopped, {});
    return static_cast<int>(ExitCode::Success);
}

} // namespace hornbeamgate
