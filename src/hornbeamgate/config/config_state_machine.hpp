#pragma once

#include "hornbeamgate/config/accepted_config.hpp"
#include "hornbeamgate/config/config_record.hpp"
#include "hornbeamgate/event_log/log_events.hpp"

#include <deque>
#include <optional>
#include <vector>

namespace hornbeamgate {

/// Most octets of records kept while the chain looks for a checkpoint.
inline constexpr std::size_t kMaxSearchBytes = std::size_t { 32 } * 1024 * 1024;

/// Most accepted changes kept to be passed on to peers.
inline constexpr std::size_t kMaxRetainedSteps = 32;

/// What one read of the log brought.
struct ReplayProgress {
    bool isChanged = false; ///< a newer version was accepted
    bool isCaughtUp = false; ///< every record that was in the log when the read began has been judged
    bool hasCheckpoint = false; ///< a valid checkpoint was read
    std::size_t undecodableRecords = 0; ///< records that could not be decoded
    std::size_t conflicts = 0; ///< checkpoints that contradict what the log's order accepted
};

/// Why a configuration from a peer was not taken.
enum class AdoptOutcome { Adopted,
    NotNewer,
    Conflict };

/// Judges the configuration stream in log order: of all proposals that build on the current version the first is
/// accepted. Every reader that starts at the beginning of the stream, at a checkpoint or at a peer's accepted
/// configuration reaches the same verdicts. The version never goes back.
class ConfigStateMachine {
public:
    /// Takes the records of a read that began at nextRead(), or the news that they were trimmed.
    ReplayProgress handle(const LogReadEvent& event);

    /// Takes an accepted configuration from a peer.
    AdoptOutcome adopt(AcceptedConfig config);

    /// Takes the next accepted change from a peer.
    AdoptOutcome adopt(const AcceptedStep& step);

    /// Offset at which the next read must begin.
    LogOffset nextRead() const;

    /// Whether records were trimmed before they were read and no checkpoint was found yet. Nothing can be judged then.
    bool isAwaitingCheckpoint() const { return m_checkpointSearch.has_value(); }

    const AcceptedConfig& accepted() const { return m_accepted; }

    /// Accepted changes after `version`, or nothing when they are no longer kept.
    std::optional<std::vector<AcceptedStep>> stepsSince(ConfigVersion version) const;

private:
    /// Records read since the chain lost its connection to the log.
    struct CheckpointSearch {
        LogOffset next;
        std::deque<LogRecord> records;
        std::size_t bytes = 0;
        LogOffset first;
    };

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
};

} // namespace hornbeamgate
