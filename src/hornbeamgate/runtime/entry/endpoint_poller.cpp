#include "hornbeamgate/runtime/entry/endpoint_poller.hpp"

#include <algorithm>

namespace hornbeamgate {

namespace {

    constexpr std::chrono::milliseconds kMinRoundTime { 500 };
    constexpr std::chrono::milliseconds kAnswerTimeout { 1000 };
    constexpr std::chrono::milliseconds kNoTargetDelay { 100 };
    /// Bytes of one poll in both directions, including framing, for an engine with four models.
    constexpr double kBytesPerPoll = 135;
    constexpr double kMaxPollBytesPerSecond = 3000;
    constexpr std::uint32_t kFailuresUntilDown = 2;

    /// Returns the time between two polls when `endpoints` endpoints are polled in turn within the bandwidth limit.
    Duration pollInterval(std::size_t endpoints)
    {
        const auto count = static_cast<double>(endpoints);
        const std::chrono::duration<double> affordable(kBytesPerPoll / kMaxPollBytesPerSecond);
        const std::chrono::duration<double> wanted = std::chrono::duration<double>(kMinRoundTime) / count;
        return std::chrono::duration_cast<Duration>(std::max(affordable, wanted));
    }

} // namespace

EndpointPoller::EndpointPoller(LinkPool& links, EndpointDirectory& directory, std::set<DataCenterId> dataCenters)
    : m_links(&links)
    , m_directory(&directory)
    , m_dataCenters(std::move(dataCenters))
    , m_timer([this] { pollNext(); })
{
}

void EndpointPoller::start()
{
    pollNext();
}

std::vector<const DirectoryEntry*> EndpointPoller::pollTargets() const
{
    std::vector<const DirectoryEntry*> entries;
    for (const auto& [id, entry] : m_directory->entries()) {
        const bool chosen = entry.place && (!entry.service.empty() || m_dataCenters.contains(entry.place->dataCenter));
        if (chosen)
            entries.push_back(&entry);
    }
    return entries;
}

void EndpointPoller::pollNext()
{
    const auto entries = pollTargets();
    if (entries.empty()) {
        m_timer.set(MonotonicClock::now() + kNoTargetDelay);
        return;
    }
    auto next = std::find_if(entries.begin(), entries.end(), [this](const auto* entry) { return entry->endpoint > m_lastPolled; });
    if (next == entries.end())
        next = entries.begin();
    m_lastPolled = (*next)->endpoint;
    poll(**next);
    m_timer.set(MonotonicClock::now() + pollInterval(entries.size()));
}

void EndpointPoller::poll(const DirectoryEntry& entry)
{
    const auto deadline = MonotonicClock::now() + kAnswerTimeout;
    m_links->request(entry.place->link, "endpoint", {}, deadline,
        [this, id = entry.endpoint, alive = m_liveness.watch()](const Result<Bytes, LinkError>& answer) {
            if (!alive.expired())
                handleReply(id, answer);
        });
}

void EndpointPoller::handleReply(const EndpointId& endpoint, const Result<Bytes, LinkError>& answer)
{
    const auto status = answer ? decodeEndpointStatus(*answer) : failure(CodecError { "no answer" });
    if (status && status->endpoint == endpoint) {
        m_failures.erase(endpoint);
        m_directory->setStatus(*status);
        return;
    }
    if (++m_failures[endpoint] >= kFailuresUntilDown)
        m_directory->setUnreachable(endpoint);
}

} // namespace hornbeamgate
