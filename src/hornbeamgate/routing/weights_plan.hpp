#pragma once

#include "hornbeamgate/base/result.hpp"
#include "hornbeamgate/base/time.hpp"
#include "hornbeamgate/event_log/log_events.hpp"
#include "hornbeamgate/routing/load_grants.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hornbeamgate {

/// Settings of the weights plan of one agent.
struct WeightsPlanOptions {
    EndpointId endpoint;
    LoadGrantOptions grants;
    /// Time from appending the `Start` record until the load order must have been sent.
    Duration startWindow = std::chrono::seconds(5);
};

/// Models and weights versions that the engine should serve. They are loaded one at a time, in this order.
struct DesiredWeightsChanged {
    std::vector<ServedModel> models;
};

/// Models and weights versions that the engine serves now.
struct ServedWeightsChanged {
    std::vector<ServedModel> models;
};

/// The engine answered the load order with this fencing token, or the order failed.
struct WeightsLoadFinished {
    FencingToken fencing;
    bool loaded = false;
};

/// The deadline returned by `nextDeadline` has passed.
struct WeightsTimerExpired {
};

using WeightsPlanEvent
    = std::variant<DesiredWeightsChanged, ServedWeightsChanged, WeightsLoadFinished, LogReadEvent, AppendEvent, WeightsTimerExpired>;

/// Action: send the engine an order to load a model. The order must not be sent after `sendBefore`.
struct OrderWeightsLoad {
    ServedModel model;
    FencingToken fencing;
    MonotonicTime sendBefore;
};

using WeightsPlanAction = std::variant<AppendRecord, OrderWeightsLoad>;

/// Decides when the agent of one engine may load weights. All agents read the log stream `loads`, whose order grants the slots,
/// so at most `LoadGrantOptions::slots` engines load at once without a central controller. The offset of the record that
/// requested a load is its fencing token: offsets increase, so an outdated order has a lower token.
///
/// After a restart of the agent, a slot that the previous process had not started is released. A started one is left to expire,
/// because the engine may still be loading.
class WeightsPlan {
public:
    static constexpr const char* kStream = "loads";

    static Result<WeightsPlan, std::string> create(const WeightsPlanOptions& options);

    std::vector<WeightsPlanAction> handle(const WeightsPlanEvent& event, MonotonicTime now);
    std::optional<MonotonicTime> nextDeadline() const;

    /// Returns whether an order with this token may be sent to the engine; false if a newer order was issued before. Protects
    /// engines that do not check fencing tokens themselves.
    bool isCurrentToken(FencingToken fencing) const { return fencing >= m_highestOrderedToken; }

private:
    explicit WeightsPlan(const WeightsPlanOptions& options);

    void on(const DesiredWeightsChanged& event, MonotonicTime now);
    void on(const ServedWeightsChanged& event, MonotonicTime now);
    void on(const WeightsLoadFinished& event, MonotonicTime now);
    void on(const LogReadEvent& event, MonotonicTime now);
    void on(const AppendEvent& event, MonotonicTime now);
    void on(const WeightsTimerExpired& event, MonotonicTime now);

    void advance(MonotonicTime now);
    std::optional<ServedModel> nextLoad() const;
    void orderLoad(FencingToken token, const WeightsLoadRequest& request, MonotonicTime now);
    void append(const WeightsLoadRecord& record);
    void appendOwn(const WeightsLoadRecord& record);

    WeightsPlanOptions m_options;
    LoadGrants m_grants;
    std::vector<ServedModel> m_desired;
    std::vector<ServedModel> m_served;
    FencingToken m_highestOrderedToken;
    std::optional<FencingToken> m_ordered; ///< load in progress at the engine
    std::optional<FencingToken> m_startRequested;
    std::optional<FencingToken> m_previousProcessRequest; ///< request made by a previous process of this agent
    bool m_caughtUp = false;
    MonotonicTime m_startBefore;
    std::optional<AppendTicket> m_pendingAppend;
    std::optional<LogOffset> m_awaitedOffset; ///< own record that must be read back before the next step
    std::optional<MonotonicTime> m_retryAt; ///< set after an append that failed or whose outcome is unknown
    AppendTicket m_lastTicket;
    std::vector<WeightsPlanAction> m_actions;
};

} // namespace hornbeamgate
