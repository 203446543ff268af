#pragma once

#include "hornbeamgate/gateway/peer_report.hpp"
#include "hornbeamgate/runtime/gateway/directory_task.hpp"
#include "hornbeamgate/runtime/net/http_acceptor.hpp"
#include "hornbeamgate/runtime/net/http_call.hpp"
#include "hornbeamgate/runtime/net/udp_socket.hpp"

namespace hornbeamgate::gateway {

/// Talks to the other daemons: reports what was drawn from rates and how new the directory is here, and fetches records
/// from a daemon that has newer ones while the store does not answer.
class PeerTask {
public:
    static Result<std::unique_ptr<PeerTask>, NetError> create(GatewayState& state, DirectoryTask& directory, const DaemonEntry& self);

    void start();
    /// Tells the others the news at once.
    void sendReport();
    /// Keeps requests of all daemons away from an engine that is about to load weights.
    void announceLoading(const EndpointId& endpoint, Duration time);
    /// Tells all daemons that an engine has its weights in place and takes requests again.
    void announceLoaded(const LoadedWeights& weights);

private:
    PeerTask(GatewayState& state, DirectoryTask& directory, DaemonEntry self);

    void report();
    std::chrono::milliseconds reportInterval() const;
    void onDatagram(std::string_view bytes);
    void applyLoaded(const LoadedWeights& weights);
    void fetchNewerRecords(const PeerReport& report);
    void fetch(DirectoryTopic topic, const SocketAddress& peer);
    HttpSimpleAnswer answer(const HttpRequestMessage& message) const;

    GatewayState& m_state;
    DirectoryTask& m_directory;
    DaemonEntry m_self;
    std::unique_ptr<UdpSocket> m_socket;
    std::unique_ptr<HttpAcceptor> m_acceptor;
    HttpConnectionPool m_connections;
    HttpCalls m_calls { m_connections };
    std::array<bool, kDirectoryTopics> m_isFetching {};
    std::map<EndpointId, MonotonicTime> m_loading;
    std::vector<std::pair<LoadedWeights, MonotonicTime>> m_loaded; ///< with the time until which it is reported
    Timer m_timer;
};

} // namespace hornbeamgate::gateway
