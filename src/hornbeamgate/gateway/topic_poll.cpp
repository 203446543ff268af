#include "hornbeamgate/gateway/topic_poll.hpp"

#include <algorithm>

namespace hornbeamgate::gateway {

namespace {

    // Shares of the bound, in eighths. A single lost call takes 5 with its spacing, then 1 until the next call and 1 for its
    // answer. In a row of lost calls, which have no spacing, the last one takes 4, then 2 and 1. One eighth is left for the
    // daemon itself.
    constexpr int kShares = 8;
    constexpr int kLostCallShares = 5;
    constexpr int kMinTimeoutShares = 1;
    constexpr int kMaxTimeoutShares = 4;
    constexpr int kFirstDelayShares = 1;
    constexpr int kMaxDelayShares = 2;

    /// Ratio of the timeout to the recent response time of the store.
    constexpr int kResponseTimeMargin = 4;
    /// Doublings after which both the timeout and the delay have reached their maximum.
    constexpr int kMaxDoublings = 2;

    Duration share(const PollPolicy& policy, int shares)
    {
        return policy.bound * shares / kShares;
    }

} // namespace

TopicPoll::Call TopicPoll::start(const PollPolicy& policy, MonotonicTime now)
{
    m_startedAt = now;
    const bool isHeld = policy.isHeld && m_next && m_failuresInRow == 0;
    m_wait = isHeld ? maxSpacing(policy) - pause(policy) : Duration::zero();
    return { !m_next, m_next.value_or(LogOffset()), m_wait, timeout(policy) };
}

MonotonicTime TopicPoll::onAnswer(const PollPolicy& policy, LogOffset next, bool hasRecords, MonotonicTime now)
{
    // A record may have arrived at any time of the wait.
    if (!hasRecords || m_wait == Duration::zero())
        m_responseTime = std::max(now - m_startedAt - m_wait, m_responseTime / 2);
    m_failuresInRow = 0;
    m_answeredAt = now;
    m_next = std::max(m_next.value_or(LogOffset()), next);
    return now + pause(policy);
}

MonotonicTime TopicPoll::onFailure(const PollPolicy& policy, std::uint64_t random, MonotonicTime now)
{
    const int doublings = std::min(m_failuresInRow, kMaxDoublings);
    ++m_failuresInRow;
    const auto longest = std::min(share(policy, kFirstDelayShares) * (1 << doublings), share(policy, kMaxDelayShares));
    const auto spread = static_cast<std::uint64_t>(std::max<Duration::rep>(1, longest.count() / 2));
    return now + longest / 2 + Duration(static_cast<Duration::rep>(random % spread));
}

bool TopicPoll::isStale(const PollPolicy& policy, MonotonicTime now) const
{
    return !m_answeredAt || now > *m_answeredAt + pause(policy) + share(policy, kMinTimeoutShares);
}

Duration TopicPoll::timeout(const PollPolicy& policy) const
{
    const auto usual = std::max(kResponseTimeMargin * m_responseTime, share(policy, kMinTimeoutShares));
    return std::min(usual * (1 << std::min(m_failuresInRow, kMaxDoublings)), share(policy, kMaxTimeoutShares));
}

Duration TopicPoll::maxSpacing(const PollPolicy& policy) const
{
    return share(policy, kLostCallShares) - timeout(policy);
}

Duration TopicPoll::pause(const PollPolicy& policy) const
{
    return std::min(policy.pause, maxSpacing(policy));
}

} // namespace hornbeamgate::gateway
