#include "hornbeamgate/observability/log.hpp"

#include "hornbeamgate/observability/line_budget.hpp"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>

#include <array>
#include <climits>

#include <poll.h>
#include <unistd.h>

namespace hornbeamgate {

namespace {

    struct EventEntry {
        LogEvent event;
        std::string_view name;
        LogLevel level;
    };

    constexpr std::array kEvents {
        EventEntry { LogEvent::ProcessStarted, "process_started", LogLevel::Info },
        EventEntry { LogEvent::ProcessStopped, "process_stopped", LogLevel::Info },
        EventEntry { LogEvent::DrainStarted, "drain_started", LogLevel::Info },
        EventEntry { LogEvent::RequestFinished, "request_finished", LogLevel::Info },
        EventEntry { LogEvent::RequestRefused, "request_refused", LogLevel::Info },
        EventEntry { LogEvent::RequestPlaced, "request_placed", LogLevel::Info },
        EventEntry { LogEvent::RequestResent, "request_resent", LogLevel::Info },
        EventEntry { LogEvent::ResponseCutOff, "response_cut_off", LogLevel::Warning },
        EventEntry { LogEvent::ConnectionRefused, "connection_refused", LogLevel::Info },
        EventEntry { LogEvent::ConnectionClosedForMemory, "connection_closed_for_memory", LogLevel::Warning },
        EventEntry { LogEvent::QuarantineChanged, "quarantine_changed", LogLevel::Warning },
        EventEntry { LogEvent::RunFinished, "run_finished", LogLevel::Debug },
        EventEntry { LogEvent::RunFailed, "run_failed", LogLevel::Warning },
        EventEntry { LogEvent::LinkOpened, "link_opened", LogLevel::Info },
        EventEntry { LogEvent::LinkClosed, "link_closed", LogLevel::Info },
        EventEntry { LogEvent::LinkSilent, "link_silent", LogLevel::Warning },
        EventEntry { LogEvent::ConfigApplied, "config_applied", LogLevel::Info },
        EventEntry { LogEvent::ConfigUnreadable, "config_unreadable", LogLevel::Error },
        EventEntry { LogEvent::PlatformUnreachable, "platform_unreachable", LogLevel::Warning },
        EventEntry { LogEvent::EndpointStateChanged, "endpoint_state_changed", LogLevel::Info },
        EventEntry { LogEvent::CacheResynced, "cache_resynced", LogLevel::Debug },
        EventEntry { LogEvent::BookingSettled, "booking_settled", LogLevel::Info },
        EventEntry { LogEvent::KeysUnverified, "keys_unverified", LogLevel::Warning },
        EventEntry { LogEvent::BudgetClaimed, "budget_claimed", LogLevel::Debug },
        EventEntry { LogEvent::BudgetMoved, "budget_moved", LogLevel::Debug },
        EventEntry { LogEvent::SettingsReloaded, "settings_reloaded", LogLevel::Info },
        EventEntry { LogEvent::DirectoryCallFailed, "directory_call_failed", LogLevel::Info },
        EventEntry { LogEvent::RecordsFetched, "records_fetched", LogLevel::Info },
        EventEntry { LogEvent::DependencyLost, "dependency_lost", LogLevel::Warning },
        EventEntry { LogEvent::DependencyRegained, "dependency_regained", LogLevel::Info },
        EventEntry { LogEvent::StoreRestored, "store_restored", LogLevel::Warning },
        EventEntry { LogEvent::RecordUnreadable, "record_unreadable", LogLevel::Warning },
        EventEntry { LogEvent::EndpointsChanged, "endpoints_changed", LogLevel::Info },
        EventEntry { LogEvent::EndpointLimited, "endpoint_limited", LogLevel::Info },
        EventEntry { LogEvent::EndpointPaused, "endpoint_paused", LogLevel::Info },
        EventEntry { LogEvent::EndpointPaceChanged, "endpoint_pace", LogLevel::Info },
        EventEntry { LogEvent::AdviceUnreadable, "advice_unreadable", LogLevel::Warning },
        EventEntry { LogEvent::LoadUnreadable, "load_unreadable", LogLevel::Warning },
        EventEntry { LogEvent::OverloadControlChanged, "overload_control_changed", LogLevel::Info },
        EventEntry { LogEvent::RateChanged, "rate_changed", LogLevel::Info },
        EventEntry { LogEvent::CacheDomainsChanged, "cache_domains_changed", LogLevel::Info },
        EventEntry { LogEvent::WeightsNamed, "weights_named", LogLevel::Info },
        EventEntry { LogEvent::WeightsOrdered, "weights_ordered", LogLevel::Info },
        EventEntry { LogEvent::WeightsExpired, "weights_expired", LogLevel::Info },
        EventEntry { LogEvent::OrderJournalFailed, "order_journal_failed", LogLevel::Warning },
        EventEntry { LogEvent::ObservationsFailed, "observations_failed", LogLevel::Warning },
        EventEntry { LogEvent::RolloutOrdered, "rollout_ordered", LogLevel::Info },
        EventEntry { LogEvent::RolloutPhase, "rollout_phase", LogLevel::Info },
        EventEntry { LogEvent::RolloutVerdict, "rollout_verdict", LogLevel::Info },
        EventEntry { LogEvent::RolloutWritten, "rollout_written", LogLevel::Info },
        EventEntry { LogEvent::RolloutWriteFailed, "rollout_write_failed", LogLevel::Warning },
        EventEntry { LogEvent::DutyChanged, "duty_changed", LogLevel::Info },
        EventEntry { LogEvent::LinesDropped, "lines_dropped", LogLevel::Warning },
    };
    static_assert(kEvents.size() == static_cast<std::size_t>(LogEvent::EventCount));

    /// Entries are found by the position of their event.
    constexpr bool isInOrder()
    {
        for (std::size_t i = 0; i < kEvents.size(); ++i) {
            if (kEvents[i].event != static_cast<LogEvent>(i))
                return false;
        }
        return true;
    }
    static_assert(isInOrder());

    constexpr std::array<std::string_view, 4> kLevelNames { "debug", "info", "warning", "error" };

    const EventEntry& entryOf(LogEvent event)
    {
        return kEvents[static_cast<std::size_t>(event)];
    }

    bool needsQuotes(std::string_view value)
    {
        if (value.empty())
            return true;
        for (const char c : value) {
            if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == '\x7f')
                return true;
        }
        return false;
    }

    std::string quoted(std::string_view value)
    {
        std::string text = "\"";
        for (const char c : value) {
            if (c == '\n') {
                text += "\\n";
                continue;
            }
            if (static_cast<unsigned char>(c) < ' ' || c == '\x7f') {
                text += '?';
                continue;
            }
            if (c == '"' || c == '\\')
                text += '\\';
            text += c;
        }
        text += '"';
        return text;
    }

    using Logger = boost::log::sources::severity_logger_mt<LogLevel>;

    Logger& logger()
    {
        static Logger instance;
        return instance;
    }

    LineBudget& lineBudget()
    {
        static LineBudget budget;
        return budget;
    }

    /// Writes lines to standard output as long as its reader takes them.
    class OutputBackend : public boost::log::sinks::basic_formatted_sink_backend<char> {
    public:
        void consume(const boost::log::record_view&, const string_type& line)
        {
            // A pipe that is ready takes that much without blocking.
            auto text = line.substr(0, PIPE_BUF - 1);
            text += '\n';
            pollfd output { STDOUT_FILENO, POLLOUT, 0 };
            const bool isReady = poll(&output, 1, 0) == 1 && (output.revents & POLLOUT);
            if (!isReady || write(STDOUT_FILENO, text.data(), text.size()) < 0)
                lineBudget().noteUnwritten();
        }
    };

    std::string& processName()
    {
        static std::string name;
        return name;
    }

} // namespace

std::string_view eventName(LogEvent event)
{
    return entryOf(event).name;
}

LogLevel eventLevel(LogEvent event)
{
    return entryOf(event).level;
}

LogField::LogField(std::string_view key, std::string_view value)
    : m_text(std::string(key) + '=' + (needsQuotes(value) ? quoted(value) : std::string(value)))
{
}

void startLogging(std::string_view process, LogLevel lowest)
{
    namespace expressions = boost::log::expressions;
    processName() = process;
    boost::log::add_common_attributes();
    boost::log::core::get()->set_filter(expressions::attr<LogLevel>("Severity") >= lowest);
    auto sink = boost::make_shared<boost::log::sinks::synchronous_sink<OutputBackend>>();
    sink->set_formatter(expressions::stream
        << "ts=" << expressions::format_date_time<boost::posix_time::ptime>("TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
        << ' ' << expressions::smessage);
    boost::log::core::get()->add_sink(sink);
}

namespace {

    bool isRoutine(LogEvent event)
    {
        return event == LogEvent::RequestFinished || event == LogEvent::RequestPlaced || event == LogEvent::RunFinished;
    }

    void writeLine(const EventEntry& entry, std::initializer_list<LogField> fields)
    {
        std::string line = "level=";
        line += kLevelNames[static_cast<std::size_t>(entry.level)];
        line += " process=" + processName() + " event=";
        line += entry.name;
        for (const auto& field : fields)
            line += ' ' + field.text();
        BOOST_LOG_SEV(logger(), entry.level) << line;
    }

} // namespace

void logEvent(LogEvent event, std::initializer_list<LogField> fields)
{
    auto& budget = lineBudget();
    if (!budget.takeLine(isRoutine(event), MonotonicClock::now()))
        return;
    if (const auto dropped = budget.takeDropped(); dropped > 0)
        writeLine(entryOf(LogEvent::LinesDropped), { { "lines", dropped } });
    writeLine(entryOf(event), fields);
}

} // namespace hornbeamgate
