#pragma once

#include "hornbeamgate/config/config_replica.hpp"
#include "hornbeamgate/runtime/link/link_pool.hpp"
#include "hornbeamgate/runtime/link/link_server.hpp"
#include "hornbeamgate/runtime/platform_log_client.hpp"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <map>
#include <memory>

namespace hornbeamgate {

/// Daemon that takes part in the configuration exchange, and its link address.
struct ConfigPeerLocation {
    ConfigPeer peer;
    SocketAddress link;
};

/// Performs the I/O of the configuration replica: log reads and appends, and the exchange with other daemons.
class ConfigTask {
public:
    struct Callbacks {
        std::function<void(ConfigVersion version, const RuleSet& rules)> rulesChanged;
        std::function<void(MonotonicTime at)> confirmed;
        std::function<void(const ConfigPeerReport& report)> peerReported;
    };

    ConfigTask(ConfigReplica replica, PlatformLogClient& log, LinkPool& links, Callbacks callbacks);
    ConfigTask(const ConfigTask&) = delete;
    ConfigTask& operator=(const ConfigTask&) = delete;

    /// Registers the handler for peer requests on `server` and starts following the log.
    void start(LinkServer& server);
    void setPeers(const std::vector<ConfigPeerLocation>& peers);
    nlohmann::json dump() const;

private:
    void feed(const ConfigEvent& event);
    void perform(const ReadConfigLog& action);
    void perform(const AppendRecord& action);
    void perform(const SendConfigRequest& action);
    void perform(const SendConfigResponse& action);
    void perform(const ActivateRules& action);
    void perform(const ConfigConfirmed& action);
    void perform(const ConfigPeerReport& action);
    void perform(const ReportConfigFault& action);
    void handlePeerRequest(const HostId& from, BytesView message, std::function<void(Bytes)> reply);

    ConfigReplica m_replica;
    PlatformLogClient* m_log;
    LinkPool* m_links;
    Callbacks m_callbacks;
    std::map<HostId, SocketAddress> m_peerAddresses;
    std::map<ExchangeTicket, std::function<void(Bytes)>> m_replies;
    std::uint64_t m_lastTicket = 0;
    Liveness m_liveness;
    Timer m_timer;
};

} // namespace hornbeamgate
