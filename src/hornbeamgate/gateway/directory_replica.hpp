#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/time.hpp"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamgate::gateway {

/// Subjects of the directory, each a sequence of records of its own.
enum class DirectoryTopic {
    Operators, ///< configuration and weights
    Endpoints,
    Daemons,
    TopicCount,
};
inline constexpr std::size_t kDirectoryTopics = static_cast<std::size_t>(DirectoryTopic::TopicCount);

/// Newest value of one key at one offset. Without a value the key was withdrawn.
struct DirectoryRecord {
    std::string key;
    std::optional<std::string> value;
    LogOffset offset;
};

/// Newest record of every key that this daemon has seen, from the store or from other daemons.
///
/// Offsets grow with every change, so a record never gives way to an older one, whoever brings it.
class DirectoryReplica {
public:
    /// Takes a record. False when a newer one of the key is known.
    bool apply(DirectoryTopic topic, const DirectoryRecord& record);

    /// Keys that a listing up to `end` lacks; they were withdrawn before.
    std::vector<DirectoryRecord> findWithdrawn(DirectoryTopic topic, const std::vector<DirectoryRecord>& listing, LogOffset end) const;

    /// Records with offsets from `from` on, in the order of their offsets.
    std::vector<DirectoryRecord> recordsFrom(DirectoryTopic topic, LogOffset from) const;

    /// Offset after the newest record.
    LogOffset end(DirectoryTopic topic) const { return m_ends[static_cast<std::size_t>(topic)]; }

private:
    struct Known {
        LogOffset offset;
        std::optional<std::string> value;
    };

    std::array<std::map<std::string, Known>, kDirectoryTopics> m_topics;
    std::array<LogOffset, kDirectoryTopics> m_ends {};
};

} // namespace hornbeamgate::gateway
