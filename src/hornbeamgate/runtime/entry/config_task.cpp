#include "hornbeamgate/runtime/entry/config_task.hpp"

#include "hornbeamgate/config/config_record.hpp"
#include "hornbeamgate/observability/log.hpp"

#include <nlohmann/json.hpp>

namespace hornbeamgate {

namespace {

    constexpr std::string_view kSubject = "config";
    constexpr std::chrono::milliseconds kAnswerTimeout { 1000 };

    std::string_view faultName(ConfigFault fault)
    {
        switch (fault) {
        case ConfigFault::UndecodableRecord:
            return "foreign_record";
        case ConfigFault::Conflict:
            return "conflict";
        case ConfigFault::UnreadableRules:
            return "unreadable_rules";
        case ConfigFault::LogTooShort:
            break;
        }
        return "log_too_short";
    }

} // namespace

ConfigTask::ConfigTask(ConfigReplica replica, PlatformLogClient& log, LinkPool& links, Callbacks callbacks)
    : m_replica(std::move(replica))
    , m_log(&log)
    , m_links(&links)
    , m_callbacks(std::move(callbacks))
    , m_timer([this] { feed(ConfigTimerExpired {}); })
{
}

void ConfigTask::start(LinkServer& server)
{
    server.addControlHandler(std::string(kSubject), [this](const HostId& from, BytesView message, std::function<void(Bytes)> reply) { handlePeerRequest(from, message, std::move(reply)); });
    feed(ConfigTimerExpired {});
}

void ConfigTask::setPeers(const std::vector<ConfigPeerLocation>& peers)
{
    ConfigPeersKnown known;
    m_peerAddresses.clear();
    for (const auto& location : peers) {
        known.peers.push_back(location.peer);
        m_peerAddresses[location.peer.host] = location.link;
    }
    feed(known);
}

void ConfigTask::feed(const ConfigEvent& event)
{
    const auto actions = m_replica.handle(event, MonotonicClock::now());
    m_timer.set(m_replica.nextDeadline());
    for (const auto& action : actions)
        std::visit([this](const auto& alternative) { perform(alternative); }, action);
}

void ConfigTask::perform(const ReadConfigLog& action)
{
    const auto startedAt = MonotonicClock::now();
    m_log->read(std::string(kConfigStream), action.from, action.wait, action.timeout, [this, startedAt, alive = m_liveness.watch()](LogReadEvent result) {
        if (alive.expired())
            return;
        feed(ConfigLogRead { std::move(result), startedAt });
    });
}

void ConfigTask::perform(const AppendRecord& action)
{
    m_log->append(action, [this, alive = m_liveness.watch()](const AppendEvent& outcome) {
        if (!alive.expired())
            std::visit([this](const auto& alternative) { feed(alternative); }, outcome);
    });
}

void ConfigTask::perform(const SendConfigRequest& action)
{
    const auto location = m_peerAddresses.find(action.to);
    if (location == m_peerAddresses.end()) {
        post([this, ticket = action.ticket, alive = m_liveness.watch()] {
            if (!alive.expired())
                feed(ConfigRequestFailed { ticket });
        });
        return;
    }
    m_links->request(location->second, kSubject, encodeConfigMessage(action.message), MonotonicClock::now() + kAnswerTimeout,
        [this, ticket = action.ticket, alive = m_liveness.watch()](const Result<Bytes, LinkError>& answer) {
            if (alive.expired())
                return;
            auto message = answer ? decodeConfigMessage(*answer) : failure(CodecError { "no answer" });
            if (message)
                feed(ConfigResponseReceived { ticket, std::move(*message) });
            else
                feed(ConfigRequestFailed { ticket });
        });
}

void ConfigTask::handlePeerRequest(const HostId& from, BytesView message, std::function<void(Bytes)> reply)
{
    auto question = decodeConfigMessage(message);
    if (!question) {
        reply({});
        return;
    }
    const ExchangeTicket ticket(++m_lastTicket);
    m_replies[ticket] = std::move(reply);
    feed(ConfigRequestReceived { ticket, from, std::move(*question) });
}

void ConfigTask::perform(const SendConfigResponse& action)
{
    const auto found = m_replies.find(action.ticket);
    if (found == m_replies.end())
        return;
    const auto reply = std::move(found->second);
    m_replies.erase(found);
    reply(encodeConfigMessage(action.message));
}

void ConfigTask::perform(const ActivateRules& action)
{
    m_callbacks.rulesChanged(action.version, m_replica.rules());
}

void ConfigTask::perform(const ConfigConfirmed& action)
{
    m_callbacks.confirmed(action.at);
}

void ConfigTask::perform(const ConfigPeerReport& action)
{
    m_callbacks.peerReported(action);
}

void ConfigTask::perform(const ReportConfigFault& action)
{
    logEvent(LogEvent::ConfigUnreadable, { { "fault", faultName(action.fault) }, { "detail", action.detail } });
}

nlohmann::json ConfigTask::dump() const
{
    const auto confirmed = m_replica.confirmedAt();
    nlohmann::json state {
        { "version", m_replica.accepted().version.value() },
        { "position", m_replica.accepted().position.value() },
        { "seeking", m_replica.isAwaitingCheckpoint() },
        { "peers", m_peerAddresses.size() },
    };
    if (confirmed)
        state["confirmed_ms_ago"] = std::chrono::duration_cast<std::chrono::milliseconds>(MonotonicClock::now() - *confirmed).count();
    return state;
}

} // namespace hornbeamgate
