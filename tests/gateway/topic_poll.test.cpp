#include "hornbeamgate/gateway/topic_poll.hpp"

#include "gateway/time_support.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using hornbeamgate::gateway::testing::at;
using namespace std::chrono_literals;

namespace {

/// Span in which the store leaves calls unanswered: those that it holds at its start and those that arrive within it.
struct Outage {
    MonotonicTime start;
    MonotonicTime end;
};

/// Plays a daemon that follows a topic through outages, and finds when it knows of a change.
class PollRun {
public:
    PollRun(PollPolicy policy, std::vector<Outage> outages, Duration responseTime, std::vector<std::uint64_t> random)
        : m_policy(policy)
        , m_outages(std::move(outages))
        , m_responseTime(responseTime)
        , m_random(std::move(random))
    {
    }

    /// Returns the time from which the daemon knows of a record appended at `change`.
    MonotonicTime knownSince(MonotonicTime start, MonotonicTime change)
    {
        auto now = start;
        LogOffset next;
        while (true) {
            const auto call = m_poll.start(m_policy, now);
            ++m_calls;
            const auto answerAt = answerTime(now, call.wait, change);
            if (!answerAt || *answerAt > now + call.wait + call.timeout) {
                const auto givenUp = now + call.wait + call.timeout;
                now = m_poll.onFailure(m_policy, m_random[m_calls % m_random.size()], givenUp);
                continue;
            }
            // The store answers with what it has when the call is read, or when the change arrives during the wait.
            const auto readAt = *answerAt - m_responseTime / 2;
            if (readAt >= change)
                return *answerAt;
            now = m_poll.onAnswer(m_policy, next, false, *answerAt);
        }
    }

    std::size_t calls() const { return m_calls; }

private:
    std::optional<MonotonicTime> answerTime(MonotonicTime sent, Duration wait, MonotonicTime change) const
    {
        const auto arrived = sent + m_responseTime / 2;
        const auto held = std::max(arrived, std::min(arrived + wait, change));
        const bool isLost = std::any_of(m_outages.begin(), m_outages.end(), [&](const Outage& outage) { return arrived < outage.end && held >= outage.start; });
        return isLost ? std::nullopt : std::optional(held + m_responseTime / 2);
    }

    PollPolicy m_policy;
    std::vector<Outage> m_outages;
    Duration m_responseTime;
    std::vector<std::uint64_t> m_random;
    TopicPoll m_poll;
    std::size_t m_calls = 0;
};

PollPolicy arbitraryPolicy()
{
    const auto bound = *rc::gen::element(1000ms, 3000ms, 5000ms, 20000ms);
    const auto pause = std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
    return *rc::gen::arbitrary<bool>() ? PollPolicy::longPoll(bound, pause) : PollPolicy::periodic(bound, pause);
}

} // namespace

TEST_CASE("a change is known within its bound after any outages of the store [poll]")
{
    CHECK(rc::check([] {
        const auto policy = arbitraryPolicy();
        const auto start = at(0s);
        std::vector<Outage> outages;
        auto time = start;
        const int count = *rc::gen::inRange(0, 6);
        for (int i = 0; i < count; ++i) {
            const auto begin = time + std::chrono::milliseconds(*rc::gen::inRange(0, 9000));
            time = begin + std::chrono::milliseconds(*rc::gen::inRange(0, 9000));
            outages.push_back({ begin, time });
        }
        const auto lastEnd = outages.empty() ? start : outages.back().end;
        const auto change = lastEnd + std::chrono::milliseconds(*rc::gen::inRange(0, 4000));
        // An answer may take an eighth of the bound.
        const auto responseTime = policy.bound * *rc::gen::inRange(1, 125) / 1000;
        const auto random = *rc::gen::container<std::vector<std::uint64_t>>(7, rc::gen::arbitrary<std::uint64_t>());
        PollRun run(policy, outages, responseTime, random);
        RC_ASSERT(run.knownSince(start, change) - change < policy.bound);
    }));
}

TEST_CASE("a change made just as an outage ends is known within its bound however the calls fall [poll]")
{
    for (auto length = 1ms; length < 12s; length += 7ms) {
        for (const std::uint64_t random : { std::uint64_t { 0 }, UINT64_MAX }) {
            const auto policy = PollPolicy::longPoll(3s, 0ms);
            const Outage outage { at(5s), at(5s) + length };
            PollRun run(policy, { outage }, 300ms, { random });
            CHECK(run.knownSince(at(0s), outage.end) - outage.end < policy.bound);
        }
    }
}

TEST_CASE("a store that holds no changes is asked about twice in a bound [poll]")
{
    PollRun run(PollPolicy::longPoll(3s, 0ms), {}, 4ms, { 0 });
    run.knownSince(at(0s), at(300s));
    CHECK(run.calls() < 220);
}

TEST_CASE("a slow store is given time to answer [poll]")
{
    // Answers take 50 times as long as usual, far more than the first timeout allows.
    const auto policy = PollPolicy::longPoll(3s, 0ms);
    PollRun run(policy, {}, 1200ms, { UINT64_MAX });
    CHECK(run.knownSince(at(0s), at(20s)) < at(20s) + 2 * policy.bound);
}

TEST_CASE("the wait of a long poll shrinks with the response time of the store, so that a lost call is given up in time [poll]")
{
    const auto policy = PollPolicy::longPoll(3s, 0ms);
    TopicPoll poll;
    poll.start(policy, at(0s));
    poll.onAnswer(policy, LogOffset(4), true, at(10ms));
    const auto quick = poll.start(policy, at(10ms));
    CHECK(quick.from == LogOffset(4));
    CHECK(quick.wait == 1500ms);
    poll.onAnswer(policy, LogOffset(4), false, at(10ms) + quick.wait + 300ms);
    const auto slow = poll.start(policy, at(2s));
    CHECK(slow.timeout == 1200ms);
    CHECK(slow.wait + slow.timeout == quick.wait + quick.timeout);
}

TEST_CASE("after a failure the store is asked without a wait, and after a truncation for a listing [poll]")
{
    const auto policy = PollPolicy::longPoll(3s, 0ms);
    TopicPoll poll;
    CHECK(poll.start(policy, at(0s)).isListing);
    poll.onAnswer(policy, LogOffset(4), true, at(1ms));
    poll.start(policy, at(1ms));
    poll.onFailure(policy, 0, at(2s));
    const auto retry = poll.start(policy, at(3s));
    CHECK(retry.wait == 0ms);
    CHECK_FALSE(retry.isListing);
    poll.restart();
    CHECK(poll.start(policy, at(3s)).isListing);
}
