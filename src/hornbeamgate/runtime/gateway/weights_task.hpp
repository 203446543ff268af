#pragma once

#include "hornbeamgate/runtime/gateway/directory.hpp"
#include "hornbeamgate/runtime/gateway/peer_task.hpp"

namespace hornbeamgate::gateway {

/// Carries out the orders that the weights duty decides on.
class WeightsTask {
public:
    WeightsTask(GatewayState& state, const EngineControl& control, PeerTask& peers, HostId self);

    void start();

private:
    /// One order: asks for the engine's state, orders, and asks until the weights are in place.
    struct Run {
        WeightsOrder order;
        std::uint64_t number = 0;
        bool isOrdered = false;
        MonotonicTime deadline {};
        Timer timer;
    };

    void tick();
    /// Gives the duty up if the host was suspended: the lease ran on meanwhile.
    void checkSuspension();
    void begin(const WeightsOrder& order);
    void askState(const EndpointId& endpoint);
    void onState(const EndpointId& endpoint, std::uint64_t number, const Result<HttpAnswer, NetError>& answer);
    void sendOrder(const EndpointId& endpoint, std::uint64_t ordersTaken);
    void onOrderAnswer(const EndpointId& endpoint, std::uint64_t number, const Result<HttpAnswer, NetError>& answer);
    void finishOrder(const EndpointId& endpoint, std::string_view outcome, bool isInPlace = false);
    Run* find(const EndpointId& endpoint, std::uint64_t number);

    GatewayState& m_state;
    const EngineControl& m_control;
    PeerTask& m_peers;
    HostId m_self;
    HttpConnectionPool m_connections;
    HttpCalls m_calls { m_connections };
    std::map<EndpointId, Run> m_runs;
    std::uint64_t m_lastNumber = 0;
    Duration m_suspendedTime;
    Timer m_timer;
};

} // namespace hornbeamgate::gateway
