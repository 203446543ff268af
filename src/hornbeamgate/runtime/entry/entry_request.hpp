#pragma once

#include "hornbeamgate/runtime/entry/entry_context.hpp"
#include "hornbeamgate/runtime/entry/run_attempt.hpp"
#include "hornbeamgate/runtime/http/http_server.hpp"
#include "hornbeamgate/streams/caller_request.hpp"
#include "hornbeamgate/streams/completion_assembler.hpp"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamgate {

/// Handles one request of a caller from its arrival to the end of its response.
class EntryRequest {
public:
    /// `onFinished` is called exactly once. It must not destroy the request synchronously.
    EntryRequest(const EntryContext& context, RequestId id, std::unique_ptr<HttpExchange> exchange, std::function<void()> onFinished);
    ~EntryRequest();
    EntryRequest(const EntryRequest&) = delete;
    EntryRequest& operator=(const EntryRequest&) = delete;

    void start();
    /// Terminates the request because its key was withdrawn or can no longer be verified.
    void terminateForKey();
    nlohmann::json dump() const;

private:
    /// Endpoint that an attempt is sent to.
    struct Target {
        EndpointId endpoint;
        SocketAddress address;
        Incarnation incarnation;
        Duration waitLimit {};
    };
    using Step = Result<void, RunFailed>;
    struct Route;

    Step authenticate();
    Step readCompletion();
    Step readServiceCall();
    void serveModels();
    void reserveBudget();
    void handleBudgetDecision(const Result<void, BudgetRefusal>& decision);
    void startRelay();

    void feed(const RelayEvent& event);
    void perform(const std::vector<RelayAction>& actions);
    void perform(const OpenAttempt& action);
    void perform(const CancelAttempt& action);
    void perform(const ForwardPiece& action);
    void perform(const CompleteResponse& action);
    void perform(const ForwardServiceResponse& action);
    void perform(const FailResponse& action);

    Result<Target, RunFailed> chooseTarget(const OpenAttempt& action);
    Result<Target, RunFailed> chooseEngine();
    Result<Target, RunFailed> chooseServiceEndpoint();
    Result<Target, RunFailed> targetAt(const EndpointId& endpoint) const;
    PlacementResult place();
    RunOrder makeRunOrder(const OpenAttempt& action, const Target& target) const;
    void handleAttemptEvent(const RelayEvent& event, std::size_t messageBytes);
    void recordMessage(const RunMessage& message);
    void returnCredit(std::size_t bytes);
    void callerDrained();
    void releaseAttempt();
    void refuse(const RunFailed& failure, std::optional<MonotonicTime> retryAt = std::nullopt);
    void end(std::string_view outcome);

    const EntryContext* m_context;
    RequestId m_id;
    std::unique_ptr<HttpExchange> m_exchange;
    std::function<void()> m_onFinished;
    MonotonicTime m_arrived;

    RunKind m_kind = RunKind::Completion;
    WorkspaceId m_workspace;
    KeyId m_key; ///< empty for a route that needs no key
    bool m_openRoute = false;
    std::optional<CompletionRequest> m_completion;
    WeightsVersion m_weights;
    std::vector<BlockHash> m_blocks;
    ServiceId m_service;
    bool m_idempotent = true;
    std::string m_idempotencyKey;
    std::vector<EndpointId> m_serviceEndpoints; ///< candidates not tried yet, in order of preference

    std::optional<StreamRelay> m_relay;
    std::unique_ptr<RunAttempt> m_attempt;
    std::optional<Target> m_target;
    std::optional<RunFailed> m_lastFailure;
    bool m_placed = false; ///< the router has placed this request and counts it
    bool m_reserved = false;
    bool m_ended = false;
    CompletionAssembler m_assembler;
    std::size_t m_withheldCredit = 0; ///< bytes not yet acknowledged to the agent, because the caller reads slowly
    bool m_blocked = false;
    std::uint64_t m_hitBlocks = 0;
    std::optional<MonotonicTime> m_lastPieceAt;
    Liveness m_liveness;
    Timer m_timer;
};

} // namespace hornbeamgate
