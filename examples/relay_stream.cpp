// Drives a stream relay without any I/O: the connection breaks after one piece and the stream resumes.

#include "hornbeamgate/streams/stream_relay.hpp"

#include <iostream>

using namespace hornbeamgate;

namespace {

struct Printer {
    void operator()(const OpenAttempt& action) const { std::cout << "open attempt " << action.attempt.value() << " from piece " << action.resumeFrom << '\n'; }
    void operator()(const CancelAttempt& action) const { std::cout << "cancel attempt " << action.attempt.value() << '\n'; }
    void operator()(const ForwardPiece& action) const { std::cout << "deliver " << action.data << '\n'; }
    void operator()(const CompleteResponse&) const { std::cout << "finished\n"; }
    void operator()(const ForwardServiceResponse& action) const { std::cout << "answer " << action.answer.status << '\n'; }
    void operator()(const FailResponse& action) const { std::cout << "failed: " << runErrorName(action.failure.error) << '\n'; }
};

} // namespace

int main()
{
    const MonotonicTime now {};
    RetryBudget retries;
    RelayOptions options;
    options.firstPieceTimeout = std::chrono::seconds(30);
    options.pieceTimeout = std::chrono::seconds(5);
    StreamRelay relay(options);

    const auto show = [](const std::vector<RelayAction>& actions) {
        for (const auto& action : actions)
            std::visit(Printer {}, action);
    };
    show(relay.start(now));
    const RelayEvent events[] = {
        AttemptMessage { AttemptNumber(1), RunAccepted { Incarnation(9), 0, 1, 0 } },
        AttemptMessage { AttemptNumber(1), RunPiece { 0, "dry" } },
        AttemptConnectionLost { AttemptNumber(1), true },
        AttemptMessage { AttemptNumber(2), RunAccepted { Incarnation(9), 0, 1, 0 } },
        AttemptMessage { AttemptNumber(2), RunPiece { 1, "well" } },
        AttemptMessage { AttemptNumber(2), RunCompleted { 2 } },
    };
    for (const auto& event : events)
        show(relay.handle(event, retries, now));
    return relay.isFinished() ? 0 : 1;
}
