#pragma once

#include "hornbeamgate/gateway/peer_report.hpp"
#include "hornbeamgate/gateway/standstill_detector.hpp"
#include "hornbeamgate/runtime/gateway/directory_task.hpp"
#include "hornbeamgate/runtime/net/http_acceptor.hpp"
#include "hornbeamgate/runtime/net/http_call.hpp"
#include "hornbeamgate/runtime/net/udp_socket.hpp"

namespace hornbeamgate::gateway {

/// Exchanges reports with the other daemons, including rate usage and the offsets of the directory replica, and fetches
/// newer records from another daemon while the store does not respond.
class PeerTask {
public:
    static Result<std::unique_ptr<PeerTask>, NetError> create(GatewayState& state, DirectoryTask& directory, const DaemonEntry& self);

    void start();
    /// Address at which other daemons reach this one.
    const SocketAddress& address() const { return m_self.peers; }
    /// Sends a report to all other daemons immediately.
    void sendReport();
    /// Makes all daemons stop sending requests to an engine that is about to load weights. Announcements that follow each other
    /// closely are sent together.
    void announceLoading(const EndpointId& endpoint, Duration time);
    /// Prolongs the time without a report of its own; the next one tells the others.
    void extendLoading(const EndpointId& endpoint, Duration time);
    /// Tells all daemons that an engine has loaded its weights and accepts requests again.
    void announceLoaded(const LoadedWeights& weights);

private:
    PeerReport makeReport(MonotonicTime now);
    /// Tells a new rollout leader how old the orders are that this daemon heard of.
    void sendOrderAges(const SocketAddress& leader, MonotonicTime now);
    PeerTask(GatewayState& state, DirectoryTask& directory, DaemonEntry self);

    void report();
    std::chrono::milliseconds reportInterval() const;
    void requestNotice();
    void sendNotice();
    void sendToPeers(const Bytes& message);
    std::vector<LoadingEngine> loadingEngines(MonotonicTime now);
    std::vector<LoadedWeights> recentlyLoaded(MonotonicTime now);
    void onDatagram(std::string_view bytes);
    void onReport(const PeerReport& report);
    void onNotice(const LoadingNotice& notice);
    void applyLeaving(const PeerReport& report, MonotonicTime now);
    void applyAdvisories(const PeerReport& report, MonotonicTime now);
    void applyLoaded(const LoadedWeights& weights);
    void fetchNewerRecords(const PeerReport& report);
    void fetch(DirectoryTopic topic, const SocketAddress& peer);
    HttpSimpleResponse answer(const HttpRequestMessage& message) const;

    GatewayState& m_state;
    DirectoryTask& m_directory;
    DaemonEntry m_self;
    std::unique_ptr<UdpSocket> m_socket;
    std::unique_ptr<HttpAcceptor> m_acceptor;
    HttpConnectionPool m_connections;
    HttpCalls m_calls { m_connections };
    std::array<ReplicaLag, kDirectoryTopics> m_lags;
    std::array<bool, kDirectoryTopics> m_isFetching {};
    std::map<EndpointId, MonotonicTime> m_loading;
    std::vector<std::pair<LoadedWeights, MonotonicTime>> m_loaded; ///< each with the time until which it is reported
    Timer m_timer;
    Timer m_noticeTimer;
    MonotonicTime m_nextNoticeAt {};
    StandstillDetector m_standstills;
};

} // namespace hornbeamgate::gateway
