#pragma once

#include "common/faults.hpp"
#include "common/http_server.hpp"
#include "engine/run_table.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace hornbeamgate::standins {

/// Connection over which the answer of one run is read, from some event on.
class Reader {
public:
    /// `stream` says whether events are sent as they come or the whole answer at the end.
    Reader(ExchangePtr exchange, std::string runId, bool stream, std::uint64_t from, std::optional<Fault> fault);

    const std::string& runId() const { return m_runId; }

    /// Whether nothing more will be sent.
    bool ended() const;

    /// Sends what the run has produced since the last call.
    void send(const Run& run);

    /// Ends the connection because the run is gone.
    void abandon();

    /// Fault of the whole engine or run that is due now that enough events were sent.
    std::optional<Fault> takeDueFault();

private:
    void begin(const Run& run);
    void sendWhole(const Run& run);
    void sendEvent(const Run& run, std::uint64_t index);
    bool applyConnectionFault();
    bool due(FaultKind) const;

    ExchangePtr m_exchange;
    std::string m_runId;
    bool m_stream;
    std::uint64_t m_next;
    std::uint64_t m_sent = 0;
    std::optional<Fault> m_fault;
    bool m_begun = false;
    bool m_ended = false;
};

} // namespace hornbeamgate::standins
