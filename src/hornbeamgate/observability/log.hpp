#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace hornbeamgate {

enum class LogLevel { Debug,
    Info,
    Warning,
    Error };

/// Every event that a process can log. docs/operators/reference.md lists them by name.
enum class LogEvent {
    ProcessStarted,
    ProcessStopped,
    DrainStarted,
    RequestFinished,
    RequestRefused,
    RequestPlaced,
    RequestResent,
    ResponseCutOff,
    ConnectionRefused,
    ConnectionClosedForMemory,
    QuarantineChanged,
    RunFinished,
    RunFailed,
    LinkOpened,
    LinkClosed,
    LinkSilent,
    ConfigApplied,
    ConfigUnreadable,
    PlatformUnreachable,
    EndpointStateChanged,
    CacheResynced,
    BookingSettled,
    KeysUnverified,
    BudgetClaimed,
    BudgetMoved,
    SettingsReloaded,
    DirectoryCallFailed,
    RecordsFetched,
    DependencyLost,
    DependencyRegained,
    StoreRestored,
    RecordUnreadable,
    EndpointsChanged,
    EndpointLimited,
    EndpointPaused,
    EndpointPaceChanged,
    AdviceUnreadable,
    LoadUnreadable,
    OverloadControlChanged,
    RateChanged,
    CacheDomainsChanged,
    WeightsNamed,
    WeightsOrdered,
    WeightsExpired,
    OrderJournalFailed,
    ObservationsFailed,
    RolloutOrdered,
    RolloutPhase,
    RolloutVerdict,
    RolloutWritten,
    RolloutWriteFailed,
    DutyChanged,
    LinesDropped,
    EventCount,
};

/// Name of `event` as it stands in a log line.
std::string_view eventName(LogEvent event);

/// Level at which `event` is logged.
LogLevel eventLevel(LogEvent event);

/// One `key=value` pair. Values with spaces, quotes or control characters are quoted and escaped.
class LogField {
public:
    LogField(std::string_view key, std::string_view value);
    LogField(std::string_view key, const char* value)
        : LogField(key, std::string_view(value))
    {
    }
    LogField(std::string_view key, const std::string& value)
        : LogField(key, std::string_view(value))
    {
    }
    template <typename Number>
    requires std::is_arithmetic_v<Number>
    LogField(std::string_view key, Number value)
        : LogField(key, std::string_view(std::to_string(value)))
    {
    }

    const std::string& text() const { return m_text; }

private:
    std::string m_text;
};

/// Sends log lines from `lowest` upwards to standard output. Call once at start.
///
/// Writing never blocks: a line that the reader does not take is left out. Beyond a bounded rate, successes are left out
/// first. The event `lines_dropped` says how many lines were left out.
void startLogging(std::string_view process, LogLevel lowest);

/// Writes one line: time, level, process, event and `fields`.
void logEvent(LogEvent event, std::initializer_list<LogField> fields);

} // namespace hornbeamgate
