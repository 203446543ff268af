#pragma once

#include "hornbeamgate/event_log/log_events.hpp"
#include "hornbeamgate/runtime/http/http_requester.hpp"

#include <functional>
#include <string>

namespace hornbeamgate {

/// Client of the platform's append-only log. Every call ends in one event; an append is never sent a second time.
///
/// A log that may come back from an older copy states in its answers how often it has, as `era`. Offsets are positions that are
/// ordered by it first; see StoreEra.
class PlatformLogClient {
public:
    using ReadDone = std::function<void(LogReadEvent)>;
    using AppendDone = std::function<void(AppendEvent)>;

    explicit PlatformLogClient(SocketAddress address);

    /// Time for which an answer is awaited where no bound depends on it.
    static constexpr std::chrono::milliseconds kUsualTimeout { 2000 };

    /// Reads records of `stream` from `from` on. The log may hold an empty answer back for `wait`; the read is given up
    /// `timeout` after that.
    void read(const std::string& stream, LogOffset from, Duration wait, Duration timeout, ReadDone done);

    /// Appends the record and tells for certain, or as unknown, whether it is in the log.
    void append(const AppendRecord& record, AppendDone done);

private:
    SocketAddress m_address;
    HttpRequester m_requester;
};

/// Event that the answer to a read from `from` on stands for. A malformed answer, or one of an earlier era, counts as unreachable.
LogReadEvent parseLogRead(LogOffset from, const Result<HttpResponse, HttpError>& answer);

/// Event that the answer to the append `ticket` stands for.
AppendEvent parseAppend(AppendTicket ticket, const Result<HttpResponse, HttpError>& answer);

} // namespace hornbeamgate
