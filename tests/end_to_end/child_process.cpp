#include "end_to_end/child_process.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace hornbeamgate::testing {

namespace {

    constexpr std::string_view kListening = "listening=";

    /// The address in a line of the form `listening=[NAME address=]IP:PORT`, if it is the line for `name`.
    std::optional<SocketAddress> addressIn(const std::string& line, const std::string& name)
    {
        if (!line.starts_with(kListening) || line.find(name) == std::string::npos)
            return std::nullopt;
        const auto address = parseSocketAddress(line.substr(line.rfind('=') + 1));
        return address ? std::optional(*address) : std::nullopt;
    }

    std::optional<SocketAddress> findAddress(const std::string& output, const std::string& name)
    {
        std::istringstream lines(output);
        for (std::string line; std::getline(lines, line);) {
            if (auto address = addressIn(line, name))
                return address;
        }
        return std::nullopt;
    }

} // namespace

TemporaryFolder::TemporaryFolder()
{
    char* path = g_dir_make_tmp("hornbeamgate-test-XXXXXX", nullptr);
    m_path = path;
    g_free(path);
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

std::string TemporaryFolder::write(const std::string& name, const std::string& content) const
{
    std::ofstream(m_path / name) << content;
    return path(name);
}

ChildProcess::ChildProcess(const std::vector<std::string>& arguments, std::string outputPath)
    : m_outputPath(std::move(outputPath))
{
    const GObjectPtr<GSubprocessLauncher> launcher(g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_STDERR_MERGE));
    g_subprocess_launcher_set_stdout_file_path(launcher.get(), m_outputPath.c_str());
    std::vector<const gchar*> argv(arguments.size() + 1, nullptr);
    std::transform(arguments.begin(), arguments.end(), argv.begin(), [](const std::string& argument) { return argument.c_str(); });
    m_process.reset(g_subprocess_launcher_spawnv(launcher.get(), argv.data(), nullptr));
    REQUIRE_MESSAGE(m_process, "cannot start " << arguments.front());
}

ChildProcess::~ChildProcess()
{
    if (!m_ended)
        kill();
}

std::string ChildProcess::output() const
{
    std::ostringstream content;
    content << std::ifstream(m_outputPath).rdbuf();
    return content.str();
}

SocketAddress ChildProcess::listeningAddress(const std::string& name) const
{
    const bool found = waitFor([&] { return findAddress(output(), name) || !running(); });
    const auto address = findAddress(output(), name);
    REQUIRE_MESSAGE(found, output());
    REQUIRE_MESSAGE(address, output());
    return *address;
}

void ChildProcess::signal(int number)
{
    g_subprocess_send_signal(m_process.get(), number);
}

void ChildProcess::kill()
{
    g_subprocess_force_exit(m_process.get());
    g_subprocess_wait(m_process.get(), nullptr, nullptr);
    m_ended = true;
}

bool ChildProcess::running() const
{
    return g_subprocess_get_identifier(m_process.get()) != nullptr;
}

std::string ChildProcess::identifier() const
{
    const char* text = g_subprocess_get_identifier(m_process.get());
    return text ? text : "";
}

std::optional<int> ChildProcess::waitForExit()
{
    if (!waitFor([&] { return !running(); }))
        return std::nullopt;
    g_subprocess_wait(m_process.get(), nullptr, nullptr);
    m_ended = true;
    if (!g_subprocess_get_if_exited(m_process.get()))
        return std::nullopt;
    return g_subprocess_get_exit_status(m_process.get());
}

} // namespace hornbeamgate::testing
