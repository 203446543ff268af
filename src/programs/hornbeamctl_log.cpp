#include "hornbeamctl_log.hpp"

#include "hornbeamgate/runtime/glib_support.hpp"

namespace hornbeamgate::ctl {
namespace {

    using namespace std::chrono_literals;

    constexpr Duration kReadRetry = 300ms;

    /// Carries out a publisher's actions on the default main loop.
    class PublishTask {
    public:
        PublishTask(const SocketAddress& log, PublishRequest request)
            : m_client(log)
            , m_publisher(std::move(request))
            , m_timer([this] { handle(ConfigTimerExpired {}); })
        {
        }

        PublishOutcome run()
        {
            handle(ConfigTimerExpired {});
            while (!m_publisher.outcome())
                g_main_context_iteration(nullptr, TRUE);
            return *m_publisher.outcome();
        }

    private:
        void handle(const ConfigEvent& event)
        {
            for (const auto& action : m_publisher.handle(event, MonotonicClock::now()))
                perform(action);
            m_timer.set(m_publisher.nextDeadline());
        }

        void perform(const ConfigAction& action)
        {
            if (const auto* read = std::get_if<ReadConfigLog>(&action)) {
                m_client.read(std::string(kConfigStream), read->from, read->wait, read->timeout,
                    [this, began = MonotonicClock::now()](LogReadEvent result) { handle(ConfigLogRead { std::move(result), began }); });
            } else if (const auto* record = std::get_if<AppendRecord>(&action)) {
                m_client.append(*record, [this](const AppendEvent& event) {
                    std::visit([this](const auto& outcome) { handle(outcome); }, event);
                });
            }
        }

        PlatformLogClient m_client;
        ConfigPublisher m_publisher;
        Timer m_timer;
    };

    LogReadEvent readOnce(PlatformLogClient& client, LogOffset from)
    {
        std::optional<LogReadEvent> result;
        client.read(std::string(kConfigStream), from, Duration::zero(), PlatformLogClient::kUsualTimeout, [&](LogReadEvent event) { result = std::move(event); });
        while (!result)
            g_main_context_iteration(nullptr, TRUE);
        return std::move(*result);
    }

    void pause(Duration time)
    {
        bool isOver = false;
        Timer timer([&] { isOver = true; });
        timer.set(MonotonicClock::now() + time);
        while (!isOver)
            g_main_context_iteration(nullptr, TRUE);
    }

} // namespace

Result<AcceptedConfig, std::string> readAcceptedConfig(const SocketAddress& log, MonotonicTime deadline)
{
    PlatformLogClient client(log);
    ConfigStateMachine stateMachine;
    std::string reason = "the log at " + log.text() + " cannot be reached";
    while (MonotonicClock::now() < deadline) {
        const auto result = readOnce(client, stateMachine.nextRead());
        if (stateMachine.handle(result).isCaughtUp)
            return stateMachine.accepted();
        const auto* read = std::get_if<LogRecordsRead>(&result);
        if (read && read->records.empty())
            reason = stateMachine.isAwaitingCheckpoint() ? "the log keeps no checkpoint of the configuration" : "the log is shorter than before";
        if (std::holds_alternative<LogUnreachable>(result) || (read && read->records.empty()))
            pause(kReadRetry);
    }
    return failure(std::move(reason));
}

PublishOutcome publish(const SocketAddress& log, PublishRequest request)
{
    return PublishTask(log, std::move(request)).run();
}

Result<std::string, std::string> fetchDump(const SocketAddress& address, MonotonicTime deadline)
{
    HttpRequester requester;
    std::optional<Result<HttpResponse, HttpError>> answer;
    HttpRequest request;
    request.address = address;
    request.target = "/debug/dump";
    requester.send(request, deadline, [&](Result<HttpResponse, HttpError> result) { answer = std::move(result); });
    while (!answer)
        g_main_context_iteration(nullptr, TRUE);
    if (!*answer)
        return failure("no answer from " + address.text() + ": " + answer->error().detail);
    if ((*answer)->status != 200)
        return failure(address.text() + " answered with status " + std::to_string((*answer)->status));
    return std::move((*answer)->body);
}

} // namespace hornbeamgate::ctl
