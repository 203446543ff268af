#include "hornbeamgate/runtime/gateway/quarantine_task.hpp"

#include "hornbeamgate/gateway/quarantine_codec.hpp"
#include "hornbeamgate/observability/log.hpp"
#include "hornbeamgate/runtime/gateway/quarantine_log.hpp"

namespace hornbeamgate::gateway {

namespace {

    using std::chrono::milliseconds;

    /// Interval at which changes are looked for, and between two saves; many runs may be lost at once.
    constexpr milliseconds kSaveInterval { 100 };
    constexpr milliseconds kRetryDelay { 300 };

} // namespace

QuarantineTask::QuarantineTask(GatewayState& state, Directory& directory, HostId self)
    : m_state(state)
    , m_directory(directory)
    , m_self(std::move(self))
    , m_readTimer([this] { read(); })
    , m_saveTimer([this] { save(); })
{
}

void QuarantineTask::start()
{
    read();
    m_saveTimer.set(MonotonicClock::now() + kSaveInterval);
}

void QuarantineTask::read()
{
    m_directory.readObservations([this](const Result<std::vector<StoredObservations>, DirectoryError>& stored) {
        if (stored) {
            apply(*stored);
            return;
        }
        logEvent(LogEvent::ObservationsFailed, { { "call", "read" }, { "reason", stored.error().detail } });
        m_readTimer.set(MonotonicClock::now() + kRetryDelay);
    });
}

void QuarantineTask::apply(const std::vector<StoredObservations>& stored)
{
    for (const auto& [host, observations] : stored) {
        const auto report = decodeStoredQuarantine(observations, std::chrono::system_clock::now());
        if (report) {
            logQuarantineChanges(m_state.quarantine.recordPeerReport(*report, MonotonicClock::now()));
            continue;
        }
        // Removes what is too old, or was left behind by another program version.
        logEvent(LogEvent::ObservationsFailed, { { "call", "decode" }, { "host", host.value() }, { "reason", report.error().detail } });
        m_directory.saveObservations(host, {}, [](const Result<LogOffset, DirectoryError>& removed) {
            if (!removed)
                logEvent(LogEvent::ObservationsFailed, { { "call", "remove" }, { "reason", removed.error().detail } });
        });
    }
}

void QuarantineTask::save()
{
    const auto now = MonotonicClock::now();
    const auto revision = m_state.quarantine.revision();
    const bool isLost = m_savedRevision > 0 && m_state.storeEra > m_savedEra;
    if (revision == m_savedRevision && !isLost) {
        m_saveTimer.set(now + kSaveInterval);
        return;
    }
    const auto observations = encodeStoredQuarantine(m_state.quarantine.snapshot(now), std::chrono::system_clock::now());
    m_directory.saveObservations(m_self, observations, [this, revision](const Result<LogOffset, DirectoryError>& saved) {
        if (saved) {
            m_savedRevision = revision;
            m_savedEra = eraOf(*saved);
        } else
            logEvent(LogEvent::ObservationsFailed, { { "call", "save" }, { "reason", saved.error().detail } });
        m_saveTimer.set(MonotonicClock::now() + (saved ? kSaveInterval : kRetryDelay));
    });
}

} // namespace hornbeamgate::gateway
