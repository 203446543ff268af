#include "end_to_end/rules_publisher.hpp"

#include "end_to_end/child_process.hpp"
#include "hornbeamgate/config/config_record.hpp"
#include "hornbeamgate/config/rules_parser.hpp"
#include "hornbeamgate/runtime/platform_log_client.hpp"

#include <doctest/doctest.h>

namespace hornbeamgate::testing {

namespace {

    /// Carries the decisions of a ConfigPublisher to the log and back.
    class PublishTask {
    public:
        PublishTask(const SocketAddress& log, PublishRequest request)
            : m_log(log)
            , m_publisher(std::move(request))
            , m_timer([this] { feed(ConfigTimerExpired {}); })
        {
            feed(ConfigTimerExpired {});
        }

        const std::optional<PublishOutcome>& outcome() const { return m_publisher.outcome(); }

    private:
        void feed(const ConfigEvent& event)
        {
            const auto actions = m_publisher.handle(event, MonotonicClock::now());
            if (!outcome())
                m_timer.set(m_publisher.nextDeadline());
            for (const auto& action : actions)
                std::visit([this](const auto& alternative) { perform(alternative); }, action);
        }

        void perform(const ReadConfigLog& action)
        {
            m_log.read(std::string(kConfigStream), action.from, action.wait, action.timeout, [this, began = MonotonicClock::now()](LogReadEvent result) {
                feed(ConfigLogRead { std::move(result), began });
            });
        }

        void perform(const AppendRecord& action)
        {
            m_log.append(action, [this](const AppendEvent& outcome) {
                std::visit([this](const auto& alternative) { feed(alternative); }, outcome);
            });
        }

        template <typename Other>
        void perform(const Other&)
        {
        }

        PlatformLogClient m_log;
        ConfigPublisher m_publisher;
        Timer m_timer;
    };

} // namespace

PublishOutcome publishRules(const SocketAddress& log, const std::string& text)
{
    static std::uint64_t proposals = 0;
    const auto parsed = parseRulesWithLines(text);
    REQUIRE_MESSAGE(parsed, (parsed ? "" : parsed.error().front().text));
    auto document = RuleDocument::fromLines(parsed->lines);
    REQUIRE(document);
    PublishRequest request;
    request.id = ProposalId("proposal-" + std::to_string(++proposals));
    request.author = "test";
    request.change = std::move(*document);
    request.deadline = MonotonicClock::now() + kHangLimit;
    const PublishTask task(log, std::move(request));
    REQUIRE(waitFor([&] { return task.outcome().has_value(); }));
    return *task.outcome();
}

} // namespace hornbeamgate::testing
