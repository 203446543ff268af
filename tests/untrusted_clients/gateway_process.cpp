#include "untrusted_clients/gateway_process.hpp"

#include "end_to_end/child_process.hpp"
#include "hornbeamgate/runtime/net/tcp_listener.hpp"
#include "hornbeamgate/settings/gateway_settings.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <iterator>

namespace hornbeamgate::testing {

namespace {

    /// An address that nobody listens on; the daemon does not report the one for its peers.
    SocketAddress freeAddress()
    {
        auto listener = gateway::TcpListener::create({ "127.0.0.1", 0 }, [](std::unique_ptr<gateway::TcpStream>) {});
        REQUIRE(listener);
        return (*listener)->address();
    }

    /// A limit of the machine, if the program has the setting. A program without it has to stay under the limit, too.
    std::string limitSetting(const std::string& name, std::size_t value)
    {
        const auto known = gatewaySettingsKeys();
        if (std::find(known.begin(), known.end(), '/' + name) == known.end())
            return {};
        return ",\"" + name + "\":" + std::to_string(value);
    }

    std::string settingsText(const SocketAddress& store, const SocketAddress& peers)
    {
        return R"({"host":"front-1","data_center":"z","region":"r","data_centers":["z r"],"callers":"127.0.0.1:0",)"
               R"("readiness":"127.0.0.1:0","admin":"127.0.0.1:0","peers":")"
            + peers.text() + R"(","store":")" + store.text() + '"' + limitSetting("memory_mb", kMachineMegabytes)
            + limitSetting("file_descriptors", kMachineDescriptors) + '}';
    }

} // namespace

struct GatewayProcess::Files {
    TemporaryFolder folder;
    std::unique_ptr<ChildProcess> process;
};

GatewayProcess::GatewayProcess(const SocketAddress& store)
    : m_files(std::make_unique<Files>())
    , m_peers(freeAddress())
{
    const auto settings = m_files->folder.write("gateway.json", settingsText(store, m_peers));
    m_files->process = std::make_unique<ChildProcess>(std::vector<std::string> { HORNBEAMGATE_GATEWAY, "--settings", settings }, m_files->folder.path("output"));
    m_callers = m_files->process->listeningAddress("callers");
    m_admin = m_files->process->listeningAddress("admin");
}

GatewayProcess::~GatewayProcess() = default;

bool GatewayProcess::isRunning() const
{
    return m_files->process->running();
}

std::string GatewayProcess::output() const
{
    return m_files->process->output();
}

std::size_t GatewayProcess::peakMegabytes() const
{
    constexpr std::size_t kKilobytesPerMegabyte = 1024;
    std::ifstream status("/proc/" + m_files->process->identifier() + "/status");
    for (std::string name; status >> name;) {
        std::size_t kilobytes = 0;
        if (name == "VmHWM:" && status >> kilobytes)
            return kilobytes / kKilobytesPerMegabyte;
    }
    return SIZE_MAX;
}

std::size_t GatewayProcess::openDescriptors() const
{
    std::error_code error;
    const std::filesystem::directory_iterator entries("/proc/" + m_files->process->identifier() + "/fd", error);
    return error ? SIZE_MAX : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

} // namespace hornbeamgate::testing
