#pragma once

#include "hornbeamgate/gateway/event_relay.hpp"
#include "hornbeamgate/runtime/gateway/gateway_state.hpp"
#include "hornbeamgate/runtime/net/http_exchange.hpp"
#include "hornbeamgate/runtime/net/http_server_connection.hpp"

namespace hornbeamgate::gateway {

/// One request of a caller, from its arrival to the end of its answer.
///
/// It is sent to one endpoint at a time. Only a request that may run more than once is sent again after an endpoint may
/// have run it. A status that promises "not run" is answered only if that is certain.
class GatewayRequest : public HttpRequestHandler {
public:
    GatewayRequest(GatewayState& state, HttpServerConnection& caller, HttpRequestMessage message);
    ~GatewayRequest() override;

    void start() override;
    void clientLeft() override;

private:
    /// What becomes of an endpoint's answer.
    enum class AnswerMode {
        Held, ///< until it is complete, so that another one can take its place
        Relayed, ///< event by event
        Passed, ///< as it comes, because it is too large to hold
    };

    /// Why the request ends without an endpoint's answer.
    struct Refusal {
        int status;
        std::string_view reason;
        std::optional<std::chrono::milliseconds> retryAfter;
    };

    bool identify();
    bool drawUnits();
    void sendNext();
    /// Sends the request to an endpoint with room. False if it has to wait.
    bool trySend();
    void waitForRoom();
    void leaveLine();
    void send(const EndpointEntry& endpoint, const Placement& placement);
    void logPlacement(const Placement& placement, MonotonicTime now) const;
    ForwardFacts forwardFacts(const EndpointEntry& endpoint, const Placement& placement, MonotonicTime now) const;
    std::string cacheDomain() const;
    /// 0 is the most urgent.
    int urgency() const;
    /// Store from which the endpoint fetches faster than it reads; not one in another region.
    const BlockStore* nearbyBlockStore(const EndpointEntry& endpoint) const;
    PlacementRequest makePlacementRequest(MonotonicTime now) const;

    void onHead(HttpResponseHead head);
    void onBody(std::string_view octets);
    void onComplete();
    void onFailed(ExchangeFailure failure, const std::string& reason);
    void onDeadline();
    void onOverdue();
    void onCallerSlow();

    void relayEvents(std::string_view octets);
    void beginAnswer();
    void settleHeldAnswer();
    void onNotRun();
    void onMayHaveRun(std::string_view reason);
    bool mayRepeat();

    void endSend(SendOutcome outcome);
    void refuse(const Refusal& refusal);
    void refuseWithoutRoom(std::chrono::milliseconds wait);
    void refuseUnplaced(const Placement& placement);
    void passOn();
    void finish(std::string_view outcome, int status);
    std::chrono::milliseconds spreadRetry(std::chrono::milliseconds wait) const;

    GatewayState& m_state;
    HttpServerConnection& m_caller;
    HttpRequestMessage m_message;
    std::shared_ptr<const RouteTable> m_routes; ///< the configuration that was in force when the request arrived
    CallerFacts m_facts;
    const RouteRule* m_route = nullptr;
    const WorkspaceRule* m_workspace = nullptr;
    ServiceId m_service;
    std::int64_t m_units = 0; ///< drawn from the workspace's rate
    MonotonicTime m_deadline {};

    std::set<EndpointId> m_tried;
    int m_sends = 0; ///< endpoints that may have got the request
    int m_connectFailures = 0;
    bool m_mayHaveRun = false;
    bool m_hasBegunAnswer = false;
    bool m_isFinished = false;

    std::optional<PromptQueue::Number> m_lineNumber; ///< set while the request waits for room
    EndpointId m_endpoint;
    std::uint64_t m_sendNumber = 0;
    MonotonicTime m_sentAt {};
    bool m_isSending = false;
    std::optional<Duration> m_timeToFirstPiece; ///< since the request's arrival
    std::optional<WeightsVersion> m_requiredWeights;
    std::unique_ptr<HttpExchange> m_exchange;
    std::optional<HttpResponseHead> m_answerHead;
    AnswerFacts m_answerFacts;
    std::string m_answerBody;
    EventRelay m_relay { std::nullopt };
    AnswerMode m_answerMode = AnswerMode::Held;

    Timer m_deadlineTimer;
    Timer m_overdueTimer;
    Timer m_callerTimer;
};

} // namespace hornbeamgate::gateway
