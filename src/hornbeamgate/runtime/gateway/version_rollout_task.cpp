#include "hornbeamgate/runtime/gateway/version_rollout_task.hpp"

#include "hornbeamgate/observability/log.hpp"
#include "hornbeamgate/runtime/gateway/rollout_names.hpp"

#include <utility>

namespace hornbeamgate::gateway {

namespace {

    using std::chrono::milliseconds;

    /// Delay of a verdict's log line and of a write. Requests follow a verdict at once, without this task.
    constexpr milliseconds kTickInterval { 100 };

    /// Longer than any call that the store answers; only a daemon that was frozen meanwhile sees an older answer.
    constexpr milliseconds kMaxReadAge { 2000 };

    std::string_view verdictName(Verdict verdict)
    {
        constexpr std::array<std::string_view, 3> kNames { "undecided", "good", "bad" };
        return kNames[static_cast<std::size_t>(verdict)];
    }

    void log(const RolloutEvent& event)
    {
        const LogField service { "service", event.service.value() };
        const LogField version { "version", event.version };
        const LogField order { "order", event.order.value() };
        switch (event.kind) {
        case RolloutEvent::Kind::Ordered:
            logEvent(LogEvent::RolloutOrdered, { service, version, order, { "outcome", "accepted" } });
            return;
        case RolloutEvent::Kind::Invalid:
            logEvent(LogEvent::RolloutOrdered, { service, version, order, { "outcome", "invalid" }, { "reason", event.reason } });
            return;
        case RolloutEvent::Kind::Phase:
            logEvent(LogEvent::RolloutPhase, { service, version, order, { "state", nameOf(event.state) }, { "phase", nameOf(event.phase) } });
            return;
        case RolloutEvent::Kind::Verdict:
            logEvent(LogEvent::RolloutVerdict, { service, version, order, { "verdict", verdictName(event.judgement.verdict) }, { "route", event.judgement.route }, { "responses", event.judgement.candidate.responses }, { "bad", event.judgement.candidate.bad }, { "control_share", event.judgement.controlShare }, { "reason", event.reason } });
            return;
        }
    }

} // namespace

VersionRolloutTask::VersionRolloutTask(GatewayState& state, Directory& directory, DirectoryTask& records)
    : m_state(state)
    , m_directory(directory)
    , m_records(records)
    , m_timer([this] { tick(); })
{
}

void VersionRolloutTask::start()
{
    if (m_state.versionRollouts)
        tick();
}

void VersionRolloutTask::tick()
{
    const auto now = MonotonicClock::now();
    m_state.versionRollouts->setFleet(m_state.peers.runningCount(now) + 1);
    collectWrites(now);
    writeNext();
    logEvents();
    updateMetrics();
    m_timer.set(now + kTickInterval);
}

void VersionRolloutTask::logEvents()
{
    for (const auto& event : m_state.versionRollouts->takeEvents())
        log(event);
}

void VersionRolloutTask::updateMetrics()
{
    const auto counters = m_state.versionRollouts->counters();
    m_state.metrics.add(Counter::RequestsExposed, counters.exposed - m_counted.exposed);
    m_state.metrics.add(Counter::VersionResponsesBad, counters.bad - m_counted.bad);
    m_counted = counters;
}

void VersionRolloutTask::collectWrites(MonotonicTime now)
{
    while (auto status = m_state.versionRollouts->takeWrite(m_state.weightsRollout.isConfirmed(now), now)) {
        const auto service = status->service;
        m_due.insert_or_assign(service, std::move(*status));
    }
}

void VersionRolloutTask::writeNext()
{
    if (m_isWriting || m_due.empty())
        return;
    m_isWriting = true;
    const auto wanted = std::move(m_due.extract(m_due.begin()).mapped());
    m_directory.readStatusEnd([this, wanted, sentAt = MonotonicClock::now()](const Result<DirectoryPage, DirectoryError>& page) { onStatusRead(wanted, page, sentAt); });
}

void VersionRolloutTask::onStatusRead(const RolloutStatus& wanted, const Result<DirectoryPage, DirectoryError>& page, MonotonicTime sentAt)
{
    if (!page) {
        onCallFailed(wanted, "read", page.error());
        return;
    }
    m_records.applyRecords(DirectoryTopic::Status, page->records);
    m_state.versionRollouts->statusConfirmed(sentAt);
    const auto now = MonotonicClock::now();
    if (now > sentAt + kMaxReadAge || !maySucceed(wanted, *page) || !isStillDue(wanted, now)) {
        m_isWriting = false;
        return;
    }
    m_directory.appendStatus(wanted, page->next, [this, wanted](const Result<LogOffset, DirectoryError>& end) { onAppended(wanted, end); });
}

void VersionRolloutTask::onAppended(const RolloutStatus& written, const Result<LogOffset, DirectoryError>& end)
{
    if (!end) {
        onCallFailed(written, "append", end.error());
        return;
    }
    m_isWriting = false;
    if (const auto due = m_due.find(written.service); due != m_due.end() && due->second == written)
        m_due.erase(due);
    logEvent(LogEvent::RolloutWritten, { { "service", written.service.value() }, { "version", written.version }, { "order", written.order.value() }, { "state", nameOf(written.state) }, { "phase", nameOf(written.phase) } });
    m_state.versionRollouts->setStatus(written, MonotonicClock::now());
}

void VersionRolloutTask::onCallFailed(const RolloutStatus& wanted, std::string_view call, const DirectoryError& error)
{
    m_isWriting = false;
    logEvent(LogEvent::RolloutWriteFailed, { { "service", wanted.service.value() }, { "version", wanted.version }, { "state", nameOf(wanted.state) }, { "call", call }, { "reason", error.detail } });
}

bool VersionRolloutTask::maySucceed(const RolloutStatus& wanted, const DirectoryPage& page) const
{
    for (const auto& record : page.records) {
        if (!record.value)
            continue;
        const auto item = m_directory.decode(DirectoryTopic::Status, record);
        const auto* newest = item ? std::get_if<RolloutStatus>(&*item) : nullptr;
        if (!newest || newest->service != wanted.service)
            continue;
        return isEarlier(*newest, wanted);
    }
    return true;
}

bool VersionRolloutTask::isStillDue(const RolloutStatus& wanted, MonotonicTime now) const
{
    const bool mayWrite = wanted.state == RolloutState::RolledBack || m_state.weightsRollout.isConfirmed(now) || m_state.versionRollouts->isStatusLost(wanted.service);
    if (!mayWrite)
        return false;
    for (const auto& known : m_state.versionRollouts->report(now).services) {
        if (known.service == wanted.service)
            return known.order == wanted.order && (!known.isBad || wanted.state == RolloutState::RolledBack);
    }
    return true;
}

} // namespace hornbeamgate::gateway
