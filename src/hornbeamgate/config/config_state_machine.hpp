#pragma once

#include "hornbeamgate/config/accepted_config.hpp"
#include "hornbeamgate/config/config_record.hpp"
#include "hornbeamgate/event_log/log_events.hpp"

#include <deque>
#include <optional>
#include <vector>

namespace hornbeamgate {

/// Maximum size of the records buffered while searching for a checkpoint.
inline constexpr std::size_t kMaxSearchBytes = std::size_t { 32 } * 1024 * 1024;

/// Maximum number of accepted changes kept for sending to peers.
inline constexpr std::size_t kMaxRetainedSteps = 32;

/// Result of processing one read of the log.
struct ReplayProgress {
    bool isChanged = false; ///< a newer version was accepted
    bool isCaughtUp = false; ///< every record that was in the log when the read began has been processed
    bool hasCheckpoint = false; ///< a valid checkpoint was read
    std::size_t undecodableRecords = 0; ///< records that could not be decoded
    bool isOpenedOlder = false; ///< the log's era began with an older version than the accepted one
    std::size_t conflicts = 0; ///< checkpoints that contradict the configuration replayed from the log
};

/// Result of adopting a configuration or change from a peer.
enum class AdoptOutcome { Adopted,
    NotNewer,
    Conflict };

/// Replays the configuration stream in log order. Of all proposals based on the current version, the first is accepted.
/// The result is the same for every reader, whether it starts at the beginning of the stream, at a checkpoint or from
/// the accepted configuration of a peer. The version never decreases.
///
/// A log that has come back from an older copy may lack accepted changes. Its new era begins with the first checkpoint that is
/// written in it, with what its writer had accepted before; until then no proposal of the era is accepted. A checkpoint with a newer
/// version from before the return replaces it as long as no proposal was accepted in the era.
class ConfigStateMachine {
public:
    /// Processes the result of a read that started at nextRead(): records, or the notice that they were trimmed or lost.
    ReplayProgress handle(const LogReadEvent& event);

    /// Takes an accepted configuration from a peer.
    AdoptOutcome adopt(AcceptedConfig config);

    /// Takes the next accepted change from a peer.
    AdoptOutcome adopt(const AcceptedStep& step);

    /// Offset at which the next read must begin.
    LogOffset nextRead() const;

    /// Whether records were trimmed before they were read and no usable checkpoint has been found since. Proposals cannot
    /// be evaluated in this state.
    bool isAwaitingCheckpoint() const { return m_checkpointSearch || !m_isEraOpen; }

    /// Whether the log's era has no checkpoint yet. Any reader that has read the log to its end may write it.
    bool isAwaitingOpening() const { return !m_isEraOpen && !m_checkpointSearch; }

    const AcceptedConfig& accepted() const { return m_accepted; }

    /// Accepted changes after `version`, or nothing when they are no longer kept.
    std::optional<std::vector<AcceptedStep>> stepsSince(ConfigVersion version) const;

private:
    /// Records buffered since a gap in the log was detected, to be replayed once a checkpoint is found.
    struct CheckpointSearch {
        LogOffset next;
        std::deque<LogRecord> records;
        std::size_t bytes = 0;
        LogOffset first;
    };

    void restartAt(LogOffset first);
    void handleTrimmed(LogOffset first);
    /// Begins the log's era with a checkpoint of it.
    void openEra(const AcceptedConfig& config, ReplayProgress& progress);
    /// Takes only the content of a configuration whose position is of another era.
    AdoptOutcome adoptFromOtherEra(AcceptedConfig config);
    bool mayAdoptFrom(StoreEra era) const;
    void readRecord(const LogRecord& record, ReplayProgress& progress);
    void searchRecord(const LogRecord& record, ReplayProgress& progress);
    void startCheckpointSearch(LogOffset first);
    void evaluate(const LogRecord& record, ReplayProgress& progress);
    void evaluate(const ConfigProposal& proposal, LogOffset next, ReplayProgress& progress);
    void evaluate(const ConfigCheckpoint& checkpoint, LogOffset next, ReplayProgress& progress);
    bool advance(const AcceptedStep& step);
    void resumeFromCheckpoint(ReplayProgress& progress);

    AcceptedConfig m_accepted;
    std::deque<AcceptedStep> m_steps;
    std::optional<CheckpointSearch> m_checkpointSearch;
    bool m_isEraOpen = true;
    bool m_isEraUnchanged = false; ///< no proposal was accepted in a later era than the first
};

} // namespace hornbeamgate
