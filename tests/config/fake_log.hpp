#pragma once

#include "hornbeamgate/event_log/log_events.hpp"
#include "hornbeamgate/event_log/store_era.hpp"

#include <vector>

namespace hornbeamgate::test {

/// In-memory log stream that simulates outages, trimming and returns from an older copy.
class FakeLog {
public:
    LogOffset append(Bytes data)
    {
        m_records.push_back({ end(), std::move(data) });
        return m_records.back().offset;
    }

    LogReadEvent read(LogOffset from, std::size_t max = 16) const
    {
        if (!isUp)
            return LogUnreachable {};
        if (eraOf(from) < m_era)
            return LogRestarted { positionInEra(m_era, 0) };
        if (from < m_first)
            return LogTrimmed { m_first };
        LogRecordsRead result { {}, end() };
        for (auto at = offsetInEra(from); at < m_records.size() && result.records.size() < max; ++at)
            result.records.push_back(m_records[at]);
        return result;
    }

    void trim(LogOffset first) { m_first = std::max(m_first, first); }

    /// Comes back from a copy that has the first `records` records.
    void returnFromCopy(std::size_t records)
    {
        m_records.resize(records);
        m_era = m_era.next();
        for (auto& record : m_records)
            record.offset = positionInCopy(m_era, record.offset);
        m_first = positionInCopy(m_era, m_first);
    }

    /// Position of the next record.
    LogOffset end() const { return positionInEra(m_era, m_records.size()); }

    /// All records that were not lost, including trimmed ones.
    const std::vector<LogRecord>& history() const { return m_records; }

    bool isUp = true;

private:
    std::vector<LogRecord> m_records;
    LogOffset m_first;
    StoreEra m_era;
};

} // namespace hornbeamgate::test
