#pragma once

#include "hornbeamgate/base/bytes.hpp"
#include "hornbeamgate/base/ids.hpp"

#include <string>
#include <variant>
#include <vector>

namespace hornbeamgate {

/// Record of a log stream.
struct LogRecord {
    LogOffset offset;
    Bytes data;
};

/// Records read from a stream, in offset order. `next` is the offset after the last record of the stream at the time of
/// the read: a reader whose position equals `next` has read every record that was appended before the read started.
struct LogRecordsRead {
    std::vector<LogRecord> records;
    LogOffset next;
};

/// The requested position is older than the retention period; `first` is the oldest retained offset.
struct LogTrimmed {
    LogOffset first;
};

/// The log has come back from an older copy, so records that were read may be gone and their offsets given out again. `first`
/// precedes all records that the log has now. Records of the copy that were written before the return follow it as well.
struct LogRestarted {
    LogOffset first;
};

/// The log could not be read before the deadline of the read operation.
struct LogUnreachable {
};

using LogReadEvent = std::variant<LogRecordsRead, LogTrimmed, LogRestarted, LogUnreachable>;

/// Number that a state machine uses to match the outcome of an append to its request.
using AppendTicket = StrongNumber<struct AppendTicketTag>;

/// The record is in the log at `offset`.
struct AppendSucceeded {
    AppendTicket ticket;
    LogOffset offset;
};

/// The log rejected the record; it was definitely not appended.
struct AppendRefused {
    AppendTicket ticket;
};

/// The append was not acknowledged; the record may be in the log or may still be appended later.
struct AppendOutcomeUnknown {
    AppendTicket ticket;
};

using AppendEvent = std::variant<AppendSucceeded, AppendRefused, AppendOutcomeUnknown>;

/// Action: append `data` to the stream `stream` and report the outcome with `ticket`.
struct AppendRecord {
    AppendTicket ticket;
    std::string stream;
    Bytes data;
};

} // namespace hornbeamgate
