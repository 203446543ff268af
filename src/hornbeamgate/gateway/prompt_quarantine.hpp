#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace hornbeamgate::gateway {

/// Identifies a part of prompts, equal on every daemon.
using PartKey = std::uint64_t;
/// Identifies one process of an engine, equal on every daemon.
using EngineKey = std::uint64_t;
/// Identifies one send of one request, equal on every daemon.
using RunKey = std::uint64_t;

PartKey partKey(std::string_view part);
EngineKey engineKey(const EndpointId& endpoint, Incarnation incarnation);
RunKey runKey(std::string_view requestId, int send);

/// Run whose connection ended before its first event.
struct LostRun {
    RunKey run = 0;
    EngineKey engine = 0;
    std::vector<PartKey> parts; ///< parts of the prompt that other requests may share
    bool hasHead = false; ///< the head of the response had arrived
    MonotonicTime sentAt {};
    MonotonicTime lostAt {};
};

/// What a daemon tells its peers about prompts under which engines crash. Ages count from the time of the report.
struct QuarantineReport {
    struct Loss {
        RunKey run = 0;
        EngineKey engine = 0;
        std::vector<PartKey> parts;
        bool hasHead = false;
        std::chrono::milliseconds sentAge {};
        std::chrono::milliseconds lostAge {};
    };
    struct AnsweredPart {
        PartKey part = 0;
        std::chrono::milliseconds age {};
    };
    struct SurvivingEngine {
        EngineKey engine = 0;
        std::chrono::milliseconds sentAge {};
        std::chrono::milliseconds answeredAge {};
    };
    struct Quarantined {
        std::set<PartKey> parts;
        std::chrono::milliseconds remaining {};
        std::chrono::milliseconds lostAge {}; ///< of the newest run that was lost with these parts
        int renewals = 0;
    };

    std::vector<Loss> losses;
    std::vector<AnsweredPart> answered;
    std::vector<SurvivingEngine> survivors;
    std::vector<Quarantined> quarantined;
};

/// Finds prompt parts under which engines crash, so that requests with them are withheld from the engines.
///
/// A crash ends every run of its engine, and the one that caused it usually had begun its response. Parts are quarantined
/// when they were lost like that on several engines, one of them reached after an earlier loss was known, and no run with
/// them was answered anywhere since. Parts that were always lost together are withheld only together, so that sound requests
/// which share some of them are served; an answer to one of these then shows which part causes the crashes. Daemons share their
/// observations, since each sees only a few losses.
///
/// Designed for one prompt part among many requests that crashes an engine each time, whichever daemon receives it, mixed
/// with sound requests that share its other parts, and for outages in which many sound runs are lost at once.
class PromptQuarantine {
public:
    /// Parts that have entered or left the quarantine, for the log.
    struct Change {
        std::set<PartKey> parts;
        bool isQuarantined = false;
        std::size_t engines = 0; ///< known to have been lost with the parts
    };
    using Changes = std::vector<Change>;

    /// Returns until when a request with these parts is withheld, or nothing if it may be sent.
    std::optional<MonotonicTime> withheldUntil(const std::vector<PartKey>& parts, MonotonicTime now) const;
    /// Returns whether a run with these parts that was lost may be repeated on another engine. It may not if two engines
    /// were lost with the parts already.
    bool mayRepeat(const std::vector<PartKey>& parts) const;

    /// Records a run of this daemon that was lost at `lostRun.lostAt`, which is now.
    Changes runLost(const LostRun& lostRun);
    /// Records the first event of a run of this daemon.
    Changes runAnswered(const std::vector<PartKey>& parts, MonotonicTime now);
    /// Records bytes of a run on a connection that was in use at `sentAt` already.
    void engineAnswered(EngineKey engine, MonotonicTime sentAt, MonotonicTime now);

    /// Returns this daemon's own observations since `since`, and all quarantined parts.
    QuarantineReport report(MonotonicTime since, MonotonicTime now) const;
    /// Returns all observations that count, of all daemons, for daemons that start later.
    QuarantineReport snapshot(MonotonicTime now) const;
    /// Number that changes with the observations of this daemon that a later one needs.
    std::uint64_t revision() const { return m_revision; }
    Changes recordPeerReport(const QuarantineReport& report, MonotonicTime now);

private:
    using RunsOfEngine = std::map<RunKey, LostRun>;
    struct Survival {
        MonotonicTime sentAt;
        MonotonicTime answeredAt;
        bool isLocal = false;
        /// Returns whether the engine cannot have crashed at `lostAt`.
        bool refutes(MonotonicTime lostAt) const;
    };
    struct Answer {
        MonotonicTime at;
        bool isLocal = false;
    };
    struct Quarantine {
        std::set<PartKey> parts;
        MonotonicTime until;
        MonotonicTime lostAt; ///< newest loss with all of the parts
        int renewals = 0; ///< how often the parts were quarantined
        /// Engines lost since with some of the parts and other ones, by the parts that recurred.
        std::map<std::set<PartKey>, std::set<EngineKey>> partialLosses;
    };
    /// What the known losses say against one part.
    struct Evidence {
        std::set<PartKey> parts; ///< this part and those that were lost with it each time
        std::set<EngineKey> engines;
        int weight = 0;
        MonotonicTime earliestLoss = MonotonicTime::max();
        MonotonicTime newestLoss {};
        MonotonicTime newestSend {};
        bool isSufficient() const;
    };

    void addLoss(LostRun run, MonotonicTime now, Changes& changes);
    void addAnswer(PartKey part, MonotonicTime answeredAt, bool isLocal, Changes& changes);
    void addSurvival(EngineKey engine, const Survival& survival);
    void adopt(const QuarantineReport::Quarantined& reported, MonotonicTime now, Changes& changes);
    Quarantine* findQuarantineOf(const LostRun& run);
    /// Narrows quarantines to the parts that engines are lost with in other prompts too.
    void narrowQuarantines(const LostRun& run, MonotonicTime now, Changes& changes);
    Quarantine* findQuarantine(const std::set<PartKey>& parts);
    /// Returns whether losses of the part are known that no quarantine accounts for.
    bool isImplicated(PartKey part) const;
    /// Quarantines some of `parts` if the known losses are sufficient.
    void evaluate(const std::vector<PartKey>& parts, MonotonicTime now, Changes& changes);
    Evidence collectEvidence(PartKey part) const;
    void extend(Quarantine& quarantine, MonotonicTime lostAt, MonotonicTime now);
    /// Removes an engine whose crash is known to be due to quarantined parts.
    void attribute(EngineKey engine, MonotonicTime now);
    void makeRoom();
    void dropExpired(MonotonicTime now);

    std::map<EngineKey, RunsOfEngine> m_losses; ///< runs that had begun, or all of them if none had
    std::vector<Quarantine> m_quarantines; ///< including those whose time is over, which return at their next loss
    std::map<PartKey, Answer> m_answered; ///< newest answer to a run with a part that had losses
    std::map<EngineKey, Survival> m_survivals; ///< of engines with losses
    std::map<EngineKey, MonotonicTime> m_attributedUntil; ///< engines whose crash is due to quarantined parts
    std::deque<LostRun> m_localLosses;
    std::uint64_t m_revision = 0;
    MonotonicTime m_nextCleanup {};
};

} // namespace hornbeamgate::gateway
