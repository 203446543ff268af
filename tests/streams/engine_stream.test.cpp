#include "hornbeamgate/streams/engine_stream.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate;
using std::chrono::seconds;

namespace {

constexpr MonotonicTime kStart {};

EngineStreamOptions options(std::uint64_t resumeFrom = 0)
{
    EngineStreamOptions options;
    options.resumeFrom = resumeFrom;
    options.weights = WeightsVersion(3);
    options.engine = Incarnation(9);
    options.firstEventTimeout = seconds(30);
    options.eventTimeout = seconds(5);
    options.maxResumes = 2;
    return options;
}

EngineEvent event(std::uint64_t call, std::uint64_t id, std::string data)
{
    return { EngineCallNumber(call), { id, std::move(data) } };
}

template <typename Action>
const Action* soleAction(const std::vector<EngineStreamAction>& actions)
{
    return actions.size() == 1 ? std::get_if<Action>(&actions[0]) : nullptr;
}

template <typename Message>
const Message* findMessage(const std::vector<EngineStreamAction>& actions)
{
    for (const auto& action : actions) {
        if (const auto* send = std::get_if<SendRunMessage>(&action)) {
            if (const auto* message = std::get_if<Message>(&send->message))
                return message;
        }
    }
    return nullptr;
}

} // namespace

TEST_CASE("pieces are numbered, duplicates are dropped and the last event completes the run [streams][engine]")
{
    EngineStream stream(options());
    CHECK(soleAction<StartRun>(stream.start(kStart)));
    CHECK(findMessage<RunAccepted>(stream.handle(EngineResponseStarted { EngineCallNumber(1), 200, 4, WeightsVersion(3) }, kStart))->cachedBlocks == 4);
    CHECK(findMessage<RunPiece>(stream.handle(event(1, 0, "a"), kStart))->index == 0);
    CHECK(stream.handle(event(1, 0, "a"), kStart).empty());
    CHECK(findMessage<RunPiece>(stream.handle(event(1, 1, "b"), kStart))->data == "b");
    CHECK(findMessage<RunCompleted>(stream.handle(event(1, 2, "[DONE]"), kStart))->count == 2);
    CHECK(stream.isFinished());
    CHECK_FALSE(stream.nextDeadline());
}

TEST_CASE("a gap, a connection failure and a timeout each resume from the first missing piece [streams][engine]")
{
    struct Case {
        const char* name;
        EngineStreamEvent cause;
    };
    const Case breaks[] = {
        { "gap", event(1, 2, "c") },
        { "break", EngineCallEnded { EngineCallNumber(1), true } },
        { "silence", EngineTimerExpired {} },
    };
    for (const auto& row : breaks) {
        CAPTURE(row.name);
        EngineStream stream(options());
        stream.start(kStart);
        stream.handle(EngineResponseStarted { EngineCallNumber(1), 200, 0, WeightsVersion(3) }, kStart);
        stream.handle(event(1, 0, "a"), kStart);
        const auto actions = stream.handle(row.cause, kStart + seconds(5));
        REQUIRE(soleAction<ResumeRun>(actions));
        CHECK(soleAction<ResumeRun>(actions)->from == 1);
        CHECK(stream.handle(event(1, 1, "late"), kStart + seconds(5)).empty());
        CHECK(findMessage<RunPiece>(stream.handle(event(2, 1, "b"), kStart + seconds(5)))->data == "b");
    }
}

TEST_CASE("a refused run is reported as not run only if the engine did not start it [streams][engine]")
{
    struct Case {
        std::uint16_t status;
        RunError error;
        bool notRun;
    };
    for (const auto& entry : { Case { 400, RunError::BadRequest, true }, Case { 404, RunError::UnknownModel, true },
             Case { 429, RunError::QueueFull, true }, Case { 503, RunError::QueueFull, true }, Case { 500, RunError::EndpointFailed, false } }) {
        EngineStream stream(options());
        stream.start(kStart);
        const auto actions = stream.handle(EngineResponseStarted { EngineCallNumber(1), entry.status, 0, WeightsVersion() }, kStart);
        REQUIRE(findMessage<RunFailed>(actions));
        CHECK(findMessage<RunFailed>(actions)->error == entry.error);
        CHECK(findMessage<RunFailed>(actions)->notRun == entry.notRun);
    }
    EngineStream unreachable(options());
    unreachable.start(kStart);
    CHECK(findMessage<RunFailed>(unreachable.handle(EngineCallEnded { EngineCallNumber(1), false }, kStart))->notRun);
}

TEST_CASE("the run fails if the engine does not know it or serves another weights version [streams][engine]")
{
    EngineStream forgotten(options(5));
    CHECK(soleAction<ResumeRun>(forgotten.start(kStart))->from == 5);
    const auto unknown = forgotten.handle(EngineResponseStarted { EngineCallNumber(1), 404, 0, WeightsVersion() }, kStart);
    CHECK(findMessage<RunFailed>(unknown)->error == RunError::RunUnknown);
    CHECK_FALSE(findMessage<RunFailed>(unknown)->notRun);

    EngineStream other(options());
    other.start(kStart);
    const auto changed = other.handle(EngineResponseStarted { EngineCallNumber(1), 200, 0, WeightsVersion(4) }, kStart);
    CHECK(std::holds_alternative<CancelRun>(changed.front()));
    CHECK(findMessage<RunFailed>(changed)->error == RunError::EngineChanged);
}

TEST_CASE("the number of resumes is limited and paused reading disables the timeout [streams][engine]")
{
    EngineStream stream(options());
    stream.start(kStart);
    stream.handle(EngineResponseStarted { EngineCallNumber(1), 200, 0, WeightsVersion(3) }, kStart);
    stream.handle(ReadingPaused {}, kStart);
    CHECK_FALSE(stream.nextDeadline());
    CHECK(stream.handle(EngineTimerExpired {}, kStart + seconds(60)).empty());
    stream.handle(ReadingResumed {}, kStart + seconds(60));
    CHECK(stream.nextDeadline() == kStart + seconds(65));
    stream.handle(EngineCallEnded { EngineCallNumber(1), true }, kStart);
    stream.handle(EngineCallEnded { EngineCallNumber(2), true }, kStart);
    const auto last = stream.handle(EngineCallEnded { EngineCallNumber(3), true }, kStart);
    CHECK(std::holds_alternative<CancelRun>(last.front()));
    CHECK(findMessage<RunFailed>(last)->error == RunError::StreamInterrupted);
}

TEST_CASE("losing the response to the start of a run resumes the run instead of starting it again [streams][engine]")
{
    EngineStream stream(options());
    stream.start(kStart);
    const auto actions = stream.handle(EngineCallEnded { EngineCallNumber(1), true }, kStart);
    REQUIRE(soleAction<ResumeRun>(actions));
    CHECK(soleAction<ResumeRun>(actions)->from == 0);
    const auto unknown = stream.handle(EngineResponseStarted { EngineCallNumber(2), 404, 0, WeightsVersion() }, kStart);
    CHECK_FALSE(findMessage<RunFailed>(unknown)->notRun);
}
