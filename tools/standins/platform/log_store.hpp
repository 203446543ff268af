#pragma once

#include "common/token_bucket.hpp"
#include "hornbeamgate/base/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamgate::standins {

/// Limits of the log.
struct LogLimits {
    std::size_t keptRecords = 100000; ///< per stream
    std::chrono::seconds keptFor { 3600 };
    double appendsPerSecond = 300; ///< over all streams; 0 sets no limit
    double appendBurst = 300;
};

struct StoredRecord {
    std::uint64_t offset = 0;
    MonotonicTime expiresAt;
    std::string data;
};

/// What a read found. `next` is the offset that the next append gets.
struct LogSlice {
    bool trimmed = false; ///< the asked position is older than `first`
    std::uint64_t first = 0;
    std::uint64_t next = 0;
    std::vector<StoredRecord> records;
};

/// Append-only streams in memory. A stream exists from its first use.
class LogStore {
public:
    explicit LogStore(LogLimits limits);

    /// Offset of the new record, or nothing when the append rate is used up.
    std::optional<std::uint64_t> append(const std::string& stream, std::string data, MonotonicTime now);

    LogSlice read(const std::string& stream, std::uint64_t from, std::size_t max, MonotonicTime now);

    /// Comes back from a copy in which each stream lacks its newest `lost` records. Their offsets are given out again.
    void returnFromCopy(std::uint64_t lost);

    /// How often the log has come back from a copy.
    std::uint64_t era() const { return m_era; }

private:
    struct Stream {
        std::uint64_t next = 0;
        std::deque<StoredRecord> records;
    };

    void trim(Stream&, MonotonicTime now) const;

    LogLimits m_limits;
    TokenBucket m_appendRate;
    std::map<std::string, Stream> m_streams;
    std::uint64_t m_era = 0;
};

} // namespace hornbeamgate::standins
