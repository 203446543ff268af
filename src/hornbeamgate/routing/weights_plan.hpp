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
    /// Time from asking for a load slot's start until the order must be on its way.
    Duration startWindow = std::chrono::seconds(5);
};

/// What operators want the engine to run. One load is planned at a time, in this order.
struct DesiredWeightsChanged {
    std::vector<ServedModel> models;
};

/// What the engine runs now.
struct ServedWeightsChanged {
    std::vector<ServedModel> models;
};

/// The engine has answered the load order with this token, or the order failed.
struct WeightsLoadFinished {
    FencingToken fencing;
    bool loaded = false;
};

/// The time of `nextDeadline` has come.
struct WeightsTimerExpired {
};

using WeightsPlanEvent
    = std::variant<DesiredWeightsChanged, ServedWeightsChanged, WeightsLoadFinished, LogReadEvent, AppendEvent, WeightsTimerExpired>;

/// Action: order the engine to load a model, unless `sendBefore` has passed when the order is sent.
struct OrderWeightsLoad {
    ServedModel model;
    FencingToken fencing;
    MonotonicTime sendBefore;
};

using WeightsPlanAction = std::variant<AppendRecord, OrderWeightsLoad>;

/// Decides when the agent of one engine may load weights. All agents read the log stream `loads`; its order grants the
/// slots, so at most `LoadGrantOptions::slots` engines load at once without a controller. The offset of the record that asked
/// for the load is its fencing token: it grows, and an older order is recognised by it.
///
/// A new process gives back a slot that an earlier one of the same agent had not started, and lets a started one expire, since
/// the engine may still load.
class WeightsPlan {
public:
    static constexpr const char* kStream = "loads";

    static Result<WeightsPlan, std::string> create(const WeightsPlanOptions& options);

    std::vector<WeightsPlanAction> handle(const WeightsPlanEvent& event, MonotonicTime now);
    std::optional<MonotonicTime> nextDeadline() const;

    /// Whether an order with this token may go to the engine; false when it is older than one that was ordered before. Guards
    /// engines that do not check tokens themselves.
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
    std::optional<FencingToken> m_ordered; ///< load that the engine works on
    std::optional<FencingToken> m_startRequested;
    std::optional<FencingToken> m_previousProcessRequest; ///< request of an earlier process of this agent
    bool m_caughtUp = false;
    MonotonicTime m_startBefore;
    std::optional<AppendTicket> m_pendingAppend;
    std::optional<LogOffset> m_awaitedOffset; ///< own record that must be read before the next step
    std::optional<MonotonicTime> m_retryAt; ///< set after an append that failed or may have
    AppendTicket m_lastTicket;
    std::vector<WeightsPlanAction> m_actions;
};

} // namespace hornbeamgate
