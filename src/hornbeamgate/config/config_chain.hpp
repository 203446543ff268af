#pragma once

#include "hornbeamgate/config/accepted_config.hpp"
#include "hornbeamgate/config/config_record.hpp"
#include "hornbeamgate/event_log/log_events.hpp"

#include <deque>
#include <optional>
#include <vector>

namespace hornbeamgate {

/// Most octets of records kept while the chain looks for a checkpoint.
inline constexpr std::size_t kMaxSeekBytes = std::size_t { 32 } * 1024 * 1024;

/// Most accepted changes kept to be passed on to peers.
inline constexpr std::size_t kMaxKeptSteps = 32;

/// What one read of the log brought.
struct ChainProgress {
    bool isChanged = false; ///< a newer version was accepted
    bool isCaughtUp = false; ///< every record that was in the log when the read began has been judged
    bool hasCheckpoint = false; ///< a valid checkpoint was read
    std::size_t foreignRecords = 0; ///< records that could not be decoded
    std::size_t conflicts = 0; ///< checkpoints that contradict what the log's order accepted
};

/// Why a configuration from a peer was not taken.
enum class AdoptOutcome { Adopted,
    NotNewer,
    Conflict };

/// Judges the configuration stream in log order: of all proposals that build on the current version the first is
/// accepted. Every reader that starts at the beginning of the stream, at a checkpoint or at a peer's accepted
/// configuration reaches the same verdicts. The version never goes back.
class ConfigChain {
public:
    /// Takes the records of a read that began at nextRead(), or the news that they were trimmed.
    ChainProgress handle(const LogReadEvent& event);

    /// Takes an accepted configuration from a peer.
    AdoptOutcome adopt(AcceptedConfig config);

    /// Takes the next accepted change from a peer.
    AdoptOutcome adopt(const AcceptedStep& step);

    /// Offset at which the next read must begin.
    LogOffset nextRead() const;

    /// Whether records were trimmed before they were read and no checkpoint was found yet. Nothing can be judged then.
    bool isSeeking() const { return m_seek.has_value(); }

    const AcceptedConfig& accepted() const { return m_accepted; }

    /// Accepted changes after `version`, or nothing when they are no longer kept.
    std::optional<std::vector<AcceptedStep>> stepsSince(ConfigVersion version) const;

private:
    /// Records read since the chain lost its connection to the log.
    struct Seek {
        LogOffset next;
        std::deque<LogRecord> records;
        std::size_t bytes = 0;
        LogOffset first;
    };

    void readRecord(const LogRecord& record, ChainProgress& progress);
    void seekRecord(const LogRecord& record, ChainProgress& progress);
    void startSeek(LogOffset first);
    void judge(const LogRecord& record, ChainProgress& progress);
    void judge(const ConfigProposal& proposal, LogOffset next, ChainProgress& progress);
    void judge(const ConfigCheckpoint& checkpoint, LogOffset next, ChainProgress& progress);
    bool advance(const AcceptedStep& step);
    void resumeFromSeek(ChainProgress& progress);

    AcceptedConfig m_accepted;
    std::deque<AcceptedStep> m_steps;
    std::optional<Seek> m_seek;
};

} // namespace hornbeamgate
