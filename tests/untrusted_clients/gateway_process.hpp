#pragma once

#include "hornbeamgate/base/socket_address.hpp"

#include <cstddef>
#include <memory>
#include <string>

namespace hornbeamgate::testing {

/// Limits of the test's machine. The smallest machine of a deployment has 88 MB.
constexpr std::size_t kMachineMegabytes = 88;
constexpr std::size_t kMachineDescriptors = 512;

/// The gateway program with lowered limits, started as a child process.
class GatewayProcess {
public:
    explicit GatewayProcess(const SocketAddress& store);
    ~GatewayProcess();
    GatewayProcess(const GatewayProcess&) = delete;
    GatewayProcess& operator=(const GatewayProcess&) = delete;

    const SocketAddress& callers() const { return m_callers; }
    const SocketAddress& admin() const { return m_admin; }
    const SocketAddress& peers() const { return m_peers; }

    bool isRunning() const;
    std::string output() const;
    /// Largest resident memory that the process has had so far (VmHWM).
    std::size_t peakMegabytes() const;
    std::size_t openDescriptors() const;

private:
    struct Files;
    std::unique_ptr<Files> m_files;
    SocketAddress m_peers;
    SocketAddress m_callers;
    SocketAddress m_admin;
};

} // namespace hornbeamgate::testing
