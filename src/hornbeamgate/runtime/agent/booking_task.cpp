#include "hornbeamgate/runtime/agent/booking_task.hpp"

#include <nlohmann/json.hpp>

namespace hornbeamgate {

namespace {

    /// Long-poll timeout: how long the log may delay a response that holds no records.
    constexpr std::chrono::milliseconds kReadWait { 1000 };

} // namespace

Result<std::unique_ptr<BookingTask>, std::string> BookingTask::create(const BookingOptions& options, PlatformLogClient& log, Callbacks callbacks)
{
    auto partition = BookingPartition::create(options);
    if (!partition)
        return failure(partition.error().detail);
    return std::unique_ptr<BookingTask>(new BookingTask(std::move(*partition), log, std::move(callbacks)));
}

BookingTask::BookingTask(BookingPartition partition, PlatformLogClient& log, Callbacks callbacks)
    : m_partition(std::move(partition))
    , m_log(&log)
    , m_callbacks(std::move(callbacks))
    , m_timer([this] { feed(BookingTimerExpired {}); })
{
}

void BookingTask::start()
{
    feed(BookingTimerExpired {});
}

void BookingTask::feed(const BookingEvent& event)
{
    const auto actions = m_partition.handle(event, MonotonicClock::now());
    if (const auto deadline = m_partition.nextDeadline())
        m_timer.set(*deadline);
    else
        m_timer.clear();
    for (const auto& action : actions)
        std::visit([this](const auto& alternative) { perform(alternative); }, action);
}

void BookingTask::perform(const AppendRecord& action)
{
    m_log->append(action, [this, alive = m_liveness.watch()](const AppendEvent& outcome) {
        if (!alive.expired())
            feed(outcome);
    });
}

void BookingTask::perform(const ReadLog& action)
{
    m_log->read(action.stream, action.from, kReadWait, PlatformLogClient::kUsualTimeout, [this, alive = m_liveness.watch()](const LogReadEvent& result) {
        if (!alive.expired())
            feed(result);
    });
}

nlohmann::json BookingTask::dump() const
{
    return m_partition.dump();
}

} // namespace hornbeamgate
