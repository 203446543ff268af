#pragma once

#include "hornbeamgate/event_log/log_events.hpp"
#include "hornbeamgate/rates/claim_record.hpp"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <optional>

namespace hornbeamgate {

/// Current claim of a shard according to the log.
struct ShardClaim {
    ClaimHolderId holder;
    LogOffset offset; ///< of the last valid record
    std::uint64_t sequence = 0; ///< sequence number of that record within the holder's process
    Duration lifetime {};
    MonotonicTime readAt; ///< when this process read that record
    bool released = false;
    bool certain = false; ///< false when records that affect the claim were trimmed before they were read
    std::vector<ReleasedAccount> accounts; ///< set for a release
};

/// Change of a shard's claim by one log record.
struct ClaimChange {
    ShardId shard;
    std::optional<ShardClaim> before;
    ShardClaim after;
};

/// Derives the current claims from the records of the claim stream.
class ClaimLedger {
public:
    /// Applies the records that follow those read before. Data that does not decode as a claim record is skipped.
    std::vector<ClaimChange> apply(const LogRecordsRead& read, MonotonicTime now);

    /// Skips records before `first` that were trimmed before they were read. Their contents are unknown.
    void skipTo(LogOffset first, MonotonicTime now);

    /// Forgets all claims: the log has come back from an older copy, in which claims may be missing. Records that were written
    /// before the return count no more, also if they are read after it.
    void restartAt(LogOffset first, MonotonicTime now);

    /// Returns the current claim of the shard, or null if no valid record of it was read.
    const ShardClaim* find(const ShardId& shard) const;

    LogOffset position() const { return m_position; } ///< next offset to read
    bool isCaughtUp() const { return m_caughtUp; } ///< whether the last read reached the end of the stream
    std::optional<MonotonicTime> gapReadAt() const { return m_gapReadAt; } ///< when trimmed or lost offsets were last skipped
    nlohmann::json dump() const;

private:
    struct Entry {
        std::optional<LogOffset> lastRecordOffset;
        std::optional<ShardClaim> claim;
    };

    void applyRecord(const LogRecord& record, MonotonicTime now, std::vector<ClaimChange>& changes);

    std::map<ShardId, Entry> m_entries;
    LogOffset m_position;
    LogOffset m_contiguousFrom;
    std::optional<MonotonicTime> m_gapReadAt;
    bool m_caughtUp = false;
};

} // namespace hornbeamgate
