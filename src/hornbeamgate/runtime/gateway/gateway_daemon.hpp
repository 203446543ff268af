#pragma once

#include "hornbeamgate/runtime/daemon_main.hpp"
#include "hornbeamgate/runtime/gateway/directory_task.hpp"
#include "hornbeamgate/runtime/gateway/gateway_request.hpp"
#include "hornbeamgate/runtime/gateway/peer_task.hpp"
#include "hornbeamgate/runtime/gateway/quarantine_task.hpp"
#include "hornbeamgate/runtime/gateway/version_rollout_task.hpp"
#include "hornbeamgate/runtime/gateway/weights_task.hpp"
#include "hornbeamgate/runtime/main_loop.hpp"
#include "hornbeamgate/runtime/net/http_acceptor.hpp"

namespace hornbeamgate::gateway {

/// Deployment-specific adapters of a gateway.
struct GatewayAdapters {
    std::unique_ptr<WireFormat> wire;
    std::unique_ptr<EngineControl> engines;
    std::unique_ptr<Directory> directory;
};

/// Gateway in front of engines and services: accepts requests from callers and forwards them to endpoints.
class GatewayDaemon {
public:
    static Result<std::unique_ptr<GatewayDaemon>, std::string> create(const GatewaySettings& settings, GatewayAdapters adapters, std::string settingsPath);

    std::vector<ListeningAddress> addresses() const;
    void run();

private:
    GatewayDaemon(const GatewaySettings& settings, GatewayAdapters adapters, std::string settingsPath);

    Result<void, NetError> listen();
    void drain();
    void closeWhenDrained();
    void finishDrain();
    void reloadSettings();
    void watchSettings();
    bool isReady() const;
    /// Lowers the configured descriptors to those that the process may open.
    void limitDescriptors();
    HttpServerLimits callerLimits() const;
    HttpFields refusalFields(const HttpRequestHead& head) const;
    HttpSimpleResponse adminAnswer(const HttpRequestMessage& message) const;
    std::string dump() const;

    GatewaySettings m_settings;
    GatewayAdapters m_adapters;
    std::string m_settingsPath;
    std::string m_settingsText;
    GatewayState m_state;
    DaemonEntry m_self;
    MainLoop m_loop;
    DirectoryTask m_directory;
    QuarantineTask m_quarantine;
    VersionRolloutTask m_versionRollouts;
    std::unique_ptr<PeerTask> m_peers;
    std::unique_ptr<WeightsTask> m_weights;
    std::unique_ptr<HttpAcceptor> m_callers;
    std::unique_ptr<HttpAcceptor> m_readiness;
    std::unique_ptr<HttpAcceptor> m_admin;
    MonotonicTime m_drainStart {};
    Timer m_drainTimer;
    Timer m_settingsTimer;
};

} // namespace hornbeamgate::gateway
