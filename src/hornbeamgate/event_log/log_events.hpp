#pragma once

#include "hornbeamgate/base/bytes.hpp"
#include "hornbeamgate/base/ids.hpp"

#include <string>
#include <variant>
#include <vector>

namespace hornbeamgate {

/// One record of a log stream.
struct LogRecord {
    LogOffset offset;
    Bytes data;
};

/// Records read from a stream in offset order. `next` is the offset after the last record of the stream at that
/// moment, so a reader whose position equals `next` has read everything that was appended before the read began.
struct LogRecordsRead {
    std::vector<LogRecord> records;
    LogOffset next;
};

/// The position asked for is older than the retention period; `first` is the oldest offset that is kept.
struct LogTrimmed {
    LogOffset first;
};

/// The log could not be read before the deadline of the read.
struct LogUnreachable {
};

using LogReadEvent = std::variant<LogRecordsRead, LogTrimmed, LogUnreachable>;

/// Number by which a state machine recognises the outcome of an append that it asked for.
using AppendTicket = StrongNumber<struct AppendTicketTag>;

/// The record is in the log at `offset`.
struct AppendSucceeded {
    AppendTicket ticket;
    LogOffset offset;
};

/// The log refused the record; it is certain that it was not appended.
struct AppendRefused {
    AppendTicket ticket;
};

/// No answer came; the record may be in the log, now or later.
struct AppendOutcomeUnknown {
    AppendTicket ticket;
};

using AppendEvent = std::variant<AppendSucceeded, AppendRefused, AppendOutcomeUnknown>;

/// Action: append `data` to the stream `stream` and report the outcome under `ticket`.
struct AppendRecord {
    AppendTicket ticket;
    std::string stream;
    Bytes data;
};

} // namespace hornbeamgate
