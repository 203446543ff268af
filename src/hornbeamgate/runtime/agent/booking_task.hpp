#pragma once

#include "hornbeamgate/bookings/booking_partition.hpp"
#include "hornbeamgate/runtime/glib_support.hpp"
#include "hornbeamgate/runtime/platform_log_client.hpp"

#include <functional>
#include <memory>
#include <string>

namespace hornbeamgate {

/// Performs the I/O of one booking partition: reads and appends go to the platform's log, service calls and replies to
/// the owner's callbacks.
class BookingTask {
public:
    struct Callbacks {
        std::function<void(const CallService&)> call;
        std::function<void(const BookingReply&)> reply;
    };

    static Result<std::unique_ptr<BookingTask>, std::string> create(const BookingOptions& options, PlatformLogClient& log, Callbacks callbacks);
    BookingTask(const BookingTask&) = delete;
    BookingTask& operator=(const BookingTask&) = delete;

    void start();
    void feed(const BookingEvent& event);
    LogOffset position() const { return m_partition.position(); }
    nlohmann::json dump() const;

private:
    BookingTask(BookingPartition partition, PlatformLogClient& log, Callbacks callbacks);

    void perform(const AppendRecord& action);
    void perform(const ReadLog& action);
    void perform(const CallService& action) { m_callbacks.call(action); }
    void perform(const BookingReply& action) { m_callbacks.reply(action); }

    BookingPartition m_partition;
    PlatformLogClient* m_log;
    Callbacks m_callbacks;
    Liveness m_liveness;
    Timer m_timer;
};

} // namespace hornbeamgate
