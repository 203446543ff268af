#pragma once

#include "hornbeamgate/event_log/log_events.hpp"

#include <vector>

namespace hornbeamgate::test {

/// In-memory log stream that simulates outages and trimming.
class FakeLog {
public:
    LogOffset append(Bytes data)
    {
        m_records.push_back({ LogOffset(m_records.size()), std::move(data) });
        return m_records.back().offset;
    }

    LogReadEvent read(LogOffset from, std::size_t max = 16) const
    {
        if (!isUp)
            return LogUnreachable {};
        if (from < m_first)
            return LogTrimmed { m_first };
        LogRecordsRead result { {}, LogOffset(m_records.size()) };
        for (auto at = from.value(); at < m_records.size() && result.records.size() < max; ++at)
            result.records.push_back(m_records[at]);
        return result;
    }

    void trim(LogOffset first) { m_first = std::max(m_first, first); }

    /// All records ever appended, including trimmed ones.
    const std::vector<LogRecord>& history() const { return m_records; }

    bool isUp = true;

private:
    std::vector<LogRecord> m_records;
    LogOffset m_first;
};

} // namespace hornbeamgate::test
