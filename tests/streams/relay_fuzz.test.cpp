#include "hornbeamgate/streams/stream_relay.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>
#include <map>
#include <random>

using namespace hornbeamgate;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kResponsePieces = 6;

/// Content of a piece. It depends on the engine process, because sampling gives each process a different response.
std::string expectedPiece(std::uint64_t engine, std::uint64_t index)
{
    return std::to_string(engine) + "-piece-" + std::to_string(index);
}

/// Relay under test. The variants other than Unmodified simulate a faulty relay, to show that the oracle detects the fault.
enum class RelayVariant { Unmodified,
    IgnoresAttemptNumber,
    AcceptsGaps };

/// Simulates the agents, engines and connections of one request. Each attempt is a queue of messages that the fuzzer
/// delivers, drops, duplicates or reorders.
class RequestSimulation {
public:
    RequestSimulation(RelayVariant relayVariant, RetrySafety safety)
        : m_relayVariant(relayVariant)
        , m_relay({ safety, seconds(30), seconds(5), 5 })
    {
        perform(m_relay.start(m_now));
    }

    void step(std::uint8_t choice, std::uint8_t argument)
    {
        if (m_queues.empty())
            return;
        auto queue = m_queues.begin();
        std::advance(queue, argument % m_queues.size());
        auto& messages = queue->second;
        switch (choice % 8) {
        case 0:
        case 1:
        case 2:
            deliver(queue->first, messages);
            break;
        case 3: // duplicate
            if (!messages.empty())
                messages.push_front(messages.front());
            break;
        case 4: // swap
            if (messages.size() > 1)
                std::swap(messages[0], messages[1]);
            break;
        case 5: // connection failure
            feed(AttemptConnectionLost { queue->first, true });
            break;
        case 6: // engine restart: undelivered messages are lost
            ++m_engine;
            messages.assign({ RunFailed { RunError::EngineChanged, false, "" } });
            break;
        default:
            m_now += seconds(argument % 40);
            feed(RelayTimerExpired {});
        }
    }

    void finish()
    {
        for (int i = 0; i < 200 && !hasEnded(); ++i) {
            for (auto& [attempt, messages] : m_queues)
                deliver(attempt, messages);
            m_now += seconds(31);
            feed(RelayTimerExpired {});
        }
    }

    bool hasEnded() const { return m_endCount > 0; }

    /// Oracle: the caller received a prefix of one engine's response, and all of it if the stream was completed; the
    /// request ended at most once; a run that was started is not reported as not run.
    bool invariantsHold() const
    {
        if (m_endCount > 1 || (m_finished && m_forwarded != kResponsePieces))
            return false;
        if (m_reportedNotRun && m_ran)
            return false;
        return m_piecesMatch;
    }

private:
    void deliver(AttemptNumber attempt, std::deque<RunMessage>& messages)
    {
        if (messages.empty())
            return;
        auto message = messages.front();
        messages.pop_front();
        feed(AttemptMessage { attempt, std::move(message) });
    }

    void feed(RelayEvent event)
    {
        if (auto* message = std::get_if<AttemptMessage>(&event)) {
            if (m_relayVariant == RelayVariant::IgnoresAttemptNumber)
                message->attempt = m_relay.currentAttempt();
            auto* piece = std::get_if<RunPiece>(&message->message);
            if (m_relayVariant == RelayVariant::AcceptsGaps && piece && piece->index > m_relay.forwardedPieces())
                piece->index = m_relay.forwardedPieces();
        }
        perform(m_relay.handle(event, m_budget, m_now));
    }

    void perform(const std::vector<RelayAction>& actions)
    {
        for (const auto& action : actions)
            std::visit([this](const auto& alternative) { perform(alternative); }, action);
    }

    void perform(const OpenAttempt& action)
    {
        auto& messages = m_queues[action.attempt];
        const bool wrongEngine = action.engine != Incarnation() && action.engine != Incarnation(m_engine);
        if (wrongEngine) {
            messages.push_back(RunFailed { RunError::EngineChanged, false, "" });
            return;
        }
        m_ran = true;
        messages.push_back(RunAccepted { Incarnation(m_engine), 0, 0, 0 });
        for (auto index = action.resumeFrom; index < kResponsePieces; ++index)
            messages.push_back(RunPiece { index, expectedPiece(m_engine, index) });
        messages.push_back(RunCompleted { kResponsePieces });
    }

    void perform(const CancelAttempt&) { }
    void perform(const ForwardPiece& action)
    {
        if (m_forwarded == 0)
            m_sourceEngine = std::stoull(action.data);
        m_piecesMatch = m_piecesMatch && m_endCount == 0 && action.data == expectedPiece(m_sourceEngine, m_forwarded);
        ++m_forwarded;
    }
    void perform(const CompleteResponse&)
    {
        ++m_endCount;
        m_finished = true;
    }
    void perform(const ForwardServiceResponse&) { ++m_endCount; }
    void perform(const FailResponse& action)
    {
        ++m_endCount;
        m_reportedNotRun = action.failure.notRun;
    }

    RelayVariant m_relayVariant;
    RetryBudget m_budget { 0, 4 };
    MonotonicTime m_now {};
    std::uint64_t m_engine = 1;
    std::map<AttemptNumber, std::deque<RunMessage>> m_queues;
    StreamRelay m_relay;
    std::uint64_t m_forwarded = 0;
    std::uint64_t m_sourceEngine = 0; ///< engine that generated the first forwarded piece
    int m_endCount = 0;
    bool m_finished = false;
    bool m_piecesMatch = true;
    bool m_ran = false;
    bool m_reportedNotRun = false;
};

using Steps = std::vector<std::pair<std::uint8_t, std::uint8_t>>;

bool simulationPasses(RelayVariant relayVariant, const Steps& steps)
{
    RequestSimulation simulation(relayVariant, RetrySafety::Retryable);
    for (const auto& [choice, argument] : steps)
        simulation.step(choice, argument);
    simulation.finish();
    return simulation.hasEnded() && simulation.invariantsHold();
}

/// Returns true if any of 2000 pseudo-random runs with a fixed seed violates the oracle.
bool violationFound(RelayVariant relayVariant)
{
    std::mt19937 random(20261204);
    for (int run = 0; run < 2000; ++run) {
        Steps steps(40);
        for (auto& step : steps)
            step = { static_cast<std::uint8_t>(random()), static_cast<std::uint8_t>(random()) };
        if (!simulationPasses(relayVariant, steps))
            return true;
    }
    return false;
}

} // namespace

TEST_CASE("every caller receives its own complete response or an explicit error [streams][fuzz]")
{
    CHECK(rc::check([](const Steps& steps) { RC_ASSERT(simulationPasses(RelayVariant::Unmodified, steps)); }));
    CHECK_FALSE(violationFound(RelayVariant::Unmodified));
}

TEST_CASE("the oracle detects relays that mix attempts or accept gaps [streams][fuzz]")
{
    CHECK(violationFound(RelayVariant::IgnoresAttemptNumber));
    CHECK(violationFound(RelayVariant::AcceptsGaps));
}
