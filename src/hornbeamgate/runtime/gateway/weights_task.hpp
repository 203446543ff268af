#pragma once

#include "hornbeamgate/runtime/gateway/directory.hpp"
#include "hornbeamgate/runtime/gateway/peer_task.hpp"

namespace hornbeamgate::gateway {

/// Executes the weights orders that this daemon issues as rollout leader.
class WeightsTask {
public:
    WeightsTask(GatewayState& state, Directory& directory, const EngineControl& control, PeerTask& peers, HostId self);

    void start();

private:
    /// Execution of one order: queries the engine's state, records the engine in the journal, sends the order, and polls
    /// until the weights are loaded.
    struct LoadOperation {
        WeightsOrder order;
        std::uint64_t number = 0;
        bool isOrderSent = false;
        MonotonicTime startedAt {};
        std::optional<std::uint64_t> acceptedOrderCount {}; ///< set while the order waits for the journal
        MonotonicTime deadline {};
        Timer timer;
    };

    void tick();
    /// Logs which weights requests avoid from now on.
    void logExpiredWeights(MonotonicTime now);
    void updateJournal(MonotonicTime now);
    /// Ends the operations that wait for the journal, because this daemon is not the leader any more.
    void abandonUnsentOrders();
    /// Sends the orders whose engines are recorded in the journal, and requests records for the others.
    void sendRecordedOrders(MonotonicTime now);
    /// Resigns leadership if the host was suspended, since the lease kept running during the suspension.
    void checkSuspension();
    void startOperation(const WeightsOrder& order);
    void queryState(const EndpointId& endpoint);
    void onEngineState(const EndpointId& endpoint, std::uint64_t number, const Result<HttpResponse, NetError>& answer);
    void sendOrder(const EndpointId& endpoint);
    void onOrderResponse(const EndpointId& endpoint, std::uint64_t number, const Result<HttpResponse, NetError>& answer);
    void finishOrder(const EndpointId& endpoint, std::string_view outcome, bool isLoaded = false);
    LoadOperation* find(const EndpointId& endpoint, std::uint64_t number);

    GatewayState& m_state;
    Directory& m_directory;
    const EngineControl& m_control;
    PeerTask& m_peers;
    HostId m_self;
    HttpConnectionPool m_connections;
    HttpCalls m_calls { m_connections };
    std::map<EndpointId, LoadOperation> m_operations;
    std::uint64_t m_lastOperationNumber = 0;
    std::map<ModelId, std::pair<WeightsVersion, WeightsVersion>> m_loggedLimits; ///< oldest versions allowed and sendable, as logged last
    Duration m_suspendedTime;
    Timer m_timer;
};

} // namespace hornbeamgate::gateway
