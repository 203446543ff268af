#include "hornbeamgate/streams/stream_relay.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate;
using std::chrono::seconds;

namespace {

constexpr MonotonicTime kStart {};

struct RelayFixture {
    explicit RelayFixture(RetrySafety safety = RetrySafety::Retryable)
        : relay({ safety, seconds(30), seconds(5), 3 })
    {
        actions = relay.start(kStart);
    }

    RelayFixture& feed(const RelayEvent& event, MonotonicTime now = kStart)
    {
        actions = relay.handle(event, budget, now);
        return *this;
    }
    RelayFixture& message(std::uint64_t attempt, RunMessage message) { return feed(AttemptMessage { AttemptNumber(attempt), std::move(message) }); }

    template <typename Action>
    const Action* last() const
    {
        return actions.empty() ? nullptr : std::get_if<Action>(&actions.back());
    }

    RetryBudget budget;
    StreamRelay relay;
    std::vector<RelayAction> actions;
};

} // namespace

TEST_CASE("an interrupted stream resumes on the same engine from the next piece [streams][relay]")
{
    RelayFixture relay;
    relay.message(1, RunAccepted { Incarnation(9), 0, 0, 0 }).message(1, RunPiece { 0, "a" });
    relay.feed(AttemptConnectionLost { AttemptNumber(1), true });
    const auto* open = relay.last<OpenAttempt>();
    REQUIRE(open);
    CHECK(open->target == AttemptTarget::SameEndpoint);
    CHECK(open->resumeFrom == 1);
    CHECK(open->engine == Incarnation(9));
    CHECK(relay.message(1, RunPiece { 1, "late" }).actions.empty());
    relay.message(2, RunAccepted { Incarnation(9), 0, 0, 0 });
    CHECK(relay.message(2, RunPiece { 1, "b" }).last<ForwardPiece>()->data == "b");
    CHECK(relay.message(2, RunCompleted { 2 }).last<CompleteResponse>());
}

TEST_CASE("a failure before the first piece retries on another endpoint, a failure after it ends the request [streams][relay]")
{
    RelayFixture early;
    early.message(1, RunFailed { RunError::EngineChanged, true, "" });
    CHECK(early.last<OpenAttempt>()->target == AttemptTarget::NextEndpoint);

    RelayFixture late;
    late.message(1, RunAccepted { Incarnation(9), 0, 0, 0 }).message(1, RunPiece { 0, "a" }).message(1, RunFailed { RunError::RunUnknown, false, "" });
    REQUIRE(late.last<FailResponse>());
    CHECK_FALSE(late.last<FailResponse>()->failure.notRun);
}

TEST_CASE("a stream is not continued with pieces of another engine process [streams][relay]")
{
    RelayFixture relay;
    relay.message(1, RunAccepted { Incarnation(9), 0, 0, 0 }).message(1, RunPiece { 0, "a" });
    relay.feed(AttemptConnectionLost { AttemptNumber(1), true }).message(2, RunAccepted { Incarnation(10), 0, 0, 0 });
    REQUIRE(relay.last<FailResponse>());
    CHECK(relay.last<FailResponse>()->failure.error == RunError::EngineChanged);
}

TEST_CASE("a request is reported as not run only if no attempt can have run [streams][relay]")
{
    RelayFixture refused;
    refused.message(1, RunFailed { RunError::QueueFull, true, "" }).message(2, RunFailed { RunError::QueueFull, true, "" });
    CHECK(refused.message(3, RunFailed { RunError::QueueFull, true, "" }).last<FailResponse>()->failure.notRun);

    RelayFixture maybe;
    maybe.feed(AttemptConnectionLost { AttemptNumber(1), true }).message(2, RunFailed { RunError::QueueFull, true, "" });
    CHECK_FALSE(maybe.message(3, RunFailed { RunError::QueueFull, true, "" }).last<FailResponse>()->failure.notRun);
}

TEST_CASE("a call that must not be retried is sent again only if nothing of it was sent [streams][relay]")
{
    RelayFixture unsent(RetrySafety::Never);
    CHECK(unsent.feed(AttemptConnectionLost { AttemptNumber(1), false }).last<OpenAttempt>());
    RelayFixture sent(RetrySafety::Never);
    REQUIRE(sent.feed(AttemptConnectionLost { AttemptNumber(1), true }).last<FailResponse>());
    CHECK(sent.last<FailResponse>()->failure.error == RunError::OutcomeUnknown);
    RelayFixture keyed(RetrySafety::Deduplicated);
    CHECK(keyed.feed(AttemptConnectionLost { AttemptNumber(1), true }).last<OpenAttempt>());
}

TEST_CASE("a failed stream that cannot be resumed does not consume the retry budget [streams][relay]")
{
    RetryBudget budget(0, 1);
    StreamRelay cut({ RetrySafety::Retryable, seconds(30), seconds(5), 3 });
    cut.start(kStart);
    cut.handle(AttemptMessage { AttemptNumber(1), RunAccepted { Incarnation(9), 0, 0, 0 } }, budget, kStart);
    cut.handle(AttemptMessage { AttemptNumber(1), RunPiece { 0, "a" } }, budget, kStart);
    cut.handle(AttemptConnectionLost { AttemptNumber(1), true }, budget, kStart);
    const auto actions = cut.handle(AttemptMessage { AttemptNumber(2), RunFailed { RunError::EndpointFailed, false, "" } }, budget, kStart);
    CHECK(std::holds_alternative<FailResponse>(actions.back()));
    CHECK(budget.tryConsumeRetry());
}

TEST_CASE("retries are limited by the retry budget [streams][relay]")
{
    RetryBudget budget(0.1, 2);
    CHECK(budget.tryConsumeRetry());
    CHECK(budget.tryConsumeRetry());
    CHECK_FALSE(budget.tryConsumeRetry());
    for (int i = 0; i < 11; ++i)
        budget.creditRequest();
    CHECK(budget.tryConsumeRetry());
    CHECK_FALSE(budget.tryConsumeRetry());
}

TEST_CASE("a timeout, a withdrawn key and a disconnected caller cancel the attempt [streams][relay]")
{
    RelayFixture silent;
    CHECK(silent.feed(RelayTimerExpired {}, kStart + seconds(29)).actions.empty());
    CHECK(std::holds_alternative<CancelAttempt>(silent.feed(RelayTimerExpired {}, kStart + seconds(30)).actions.front()));
    CHECK(silent.last<OpenAttempt>());

    RelayFixture withdrawn;
    withdrawn.message(1, RunAccepted {}).message(1, RunPiece { 0, "a" }).feed(KeyWithdrawn {});
    CHECK(std::holds_alternative<CancelAttempt>(withdrawn.actions.front()));
    CHECK(withdrawn.last<FailResponse>()->failure.error == RunError::KeyRefused);

    RelayFixture gone;
    CHECK(gone.feed(CallerDisconnected {}).last<CancelAttempt>());
    CHECK(gone.relay.isFinished());
    CHECK(gone.message(1, RunPiece { 0, "a" }).actions.empty());
}

TEST_CASE("the piece timeout is disabled while writing to the caller is blocked [streams][relay]")
{
    RelayFixture relay;
    relay.message(1, RunAccepted {}).message(1, RunPiece { 0, "a" }).feed(CallerWriteBlocked {});
    CHECK_FALSE(relay.relay.nextDeadline());
    relay.feed(CallerWritable {}, kStart + seconds(100));
    CHECK(relay.relay.nextDeadline() == kStart + seconds(105));
}
