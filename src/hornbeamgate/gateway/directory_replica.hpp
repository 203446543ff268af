#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/time.hpp"
#include "hornbeamgate/event_log/store_era.hpp"

#include <array>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamgate::gateway {

/// Topics of the directory. Each topic is a separate sequence of records.
enum class DirectoryTopic {
    Operators, ///< configuration and weights
    Endpoints,
    Daemons,
    Status, ///< states of version rollouts; followed only while version rollouts are on
    TopicCount,
};
inline constexpr std::size_t kDirectoryTopics = static_cast<std::size_t>(DirectoryTopic::TopicCount);

/// Name of `topic` as it stands in a log line.
std::string_view topicName(DirectoryTopic topic);

/// Value of a key as of an offset. No value means that the key was withdrawn.
struct DirectoryRecord {
    std::string key;
    std::optional<std::string> value;
    LogOffset offset;
};

/// Holds the newest known record of every key, received from the store or from other daemons.
///
/// Offsets increase with every change and with every era of the store, so an older record never replaces a newer one,
/// regardless of its source. A store that has come back from an older copy lists older values at newer offsets; the owner
/// recognizes them by their contents.
class DirectoryReplica {
public:
    /// Bounds what a daemon sends to another one at a time. A record, of up to 256 KiB, is always returned whole.
    static constexpr std::size_t kMaxReturnedBytes = std::size_t { 2 } * 1024 * 1024;

    /// Returns whether no record of the key with the same or a newer offset is known.
    bool isNewer(DirectoryTopic topic, const DirectoryRecord& record) const;
    /// Returns whether the record has the value of the key that was known in an earlier era.
    bool isRestated(DirectoryTopic topic, const DirectoryRecord& record) const;

    /// Applies a record. Returns false if the same or a newer record of the key is already known.
    bool apply(DirectoryTopic topic, const DirectoryRecord& record);

    /// Keeps the known value of `key`, or its withdrawal, as the one that holds at `offset`.
    void keepAt(DirectoryTopic topic, const std::string& key, LogOffset offset);

    /// Returns withdrawals for the known keys that are missing from a listing of all records before `end`.
    std::vector<DirectoryRecord> findWithdrawn(DirectoryTopic topic, const std::vector<DirectoryRecord>& listing, LogOffset end) const;

    /// Returns the records with offsets of at least `from`, ordered by offset. Records beyond `kMaxReturnedBytes` are left
    /// out; they follow the offset of the last one returned.
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

/// Tells whether this daemon's records of a topic lag behind those of its peers.
///
/// Designed for a store that answers every daemon's long poll at the same time: a peer's report that arrives a little before
/// this daemon's own answer is no reason to fetch the records from the peer.
class ReplicaLag {
public:
    /// A daemon counts as behind after this time; the store's answer arrives within it.
    static constexpr std::chrono::milliseconds kGrace { 300 };

    /// Handles a peer's report. Returns true if that peer has newer records and this daemon has been behind for `kGrace`.
    bool isBehind(LogOffset ownEnd, LogOffset peerEnd, MonotonicTime now);

private:
    LogOffset m_newestEnd; ///< of all peers
    std::optional<MonotonicTime> m_behindSince;
};

} // namespace hornbeamgate::gateway
