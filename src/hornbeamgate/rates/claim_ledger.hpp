#pragma once

#include "hornbeamgate/event_log/log_events.hpp"
#include "hornbeamgate/rates/claim_record.hpp"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <optional>

namespace hornbeamgate {

/// What the log says about one shard.
struct ShardClaim {
    ClaimHolderId holder;
    LogOffset offset; ///< of the last record that counted
    std::uint64_t sequence = 0; ///< of that record within the holder's process
    Duration lifetime {};
    MonotonicTime readAt; ///< when this process read that record
    bool released = false;
    bool certain = false; ///< false when offsets that decide about the record were trimmed before they were read
    std::vector<ReleasedAccount> accounts; ///< of a release
};

/// Shard whose claim changed with the record just read.
struct ClaimChange {
    ShardId shard;
    std::optional<ShardClaim> before;
    ShardClaim after;
};

/// Folds the records of the claim stream into the present claims.
class ClaimLedger {
public:
    /// Applies records that follow those read before. Octets that are no claim record are skipped.
    std::vector<ClaimChange> apply(const LogRecordsRead& read, MonotonicTime now);

    /// Offsets before `first` were trimmed before they were read: what they said is unknown.
    void skipTo(LogOffset first, MonotonicTime now);

    /// The claim that counts, if any record of the shard was read.
    const ShardClaim* find(const ShardId& shard) const;

    LogOffset position() const { return m_position; } ///< next offset to read
    bool isCaughtUp() const { return m_caughtUp; } ///< whether the last read reached the end of the stream
    std::optional<MonotonicTime> gapReadAt() const { return m_gapReadAt; } ///< when trimmed offsets were last skipped
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
