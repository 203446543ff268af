#include "hornbeamgate/runtime/daemon_main.hpp"

#include "hornbeamgate/runtime/version.hpp"

#include <boost/program_options.hpp>

#include <iostream>

namespace hornbeamgate {

namespace {

    namespace po = boost::program_options;

    po::options_description describeOptions()
    {
        po::options_description options("Options");
        auto add = options.add_options();
        add("help,h", "print this help and exit");
        add("version", "print the version and exit");
        add("settings,s", po::value<std::string>()->value_name("FILE"), "settings in JSON with comments");
        add("check-settings", "check the settings, print every fault and exit");
        return options;
    }

    void printHelp(std::string_view program, std::string_view description, const po::options_description& options)
    {
        std::cout << "Usage: " << program << " --settings FILE [--check-settings]\n\n"
                  << description << "\n\n"
                  << options << "\nExit codes: 0 success, 2 wrong usage, 3 faulty settings, 4 start failed\n";
    }

} // namespace

std::optional<DaemonArguments> readDaemonArguments(int argc, char** argv, std::string_view description, ExitCode& exitCode)
{
    const auto options = describeOptions();
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, options), values);
    } catch (const po::error& error) {
        std::cerr << error.what() << "; see --help\n";
        exitCode = ExitCode::UsageError;
        return std::nullopt;
    }
    exitCode = ExitCode::Success;
    if (values.count("help")) {
        printHelp(argv[0], description, options);
        return std::nullopt;
    }
    if (values.count("version")) {
        std::cout << version() << '\n';
        return std::nullopt;
    }
    if (!values.count("settings")) {
        std::cerr << "--settings is missing; see --help\n";
        exitCode = ExitCode::UsageError;
        return std::nullopt;
    }
    const auto path = values["settings"].as<std::string>();
    auto text = readSettingsFile(path);
    if (!text) {
        printSettingsFaults({ text.error() });
        exitCode = ExitCode::SettingsError;
        return std::nullopt;
    }
    return DaemonArguments { path, std::move(*text), values.count("check-settings") > 0 };
}

void printSettingsFaults(const std::vector<SettingsFault>& faults)
{
    for (const auto& fault : faults)
        std::cerr << fault.path << ": " << fault.detail << '\n';
}

void printStartFailure(std::string_view reason)
{
    std::cerr << reason << '\n';
}

void printListening(const ListeningAddress& listening)
{
    std::cout << "listening=" << listening.name << " address=" << listening.address.text() << std::endl;
}

} // namespace hornbeamgate
