#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/time.hpp"
#include "hornbeamgate/gateway/endpoint_advisories.hpp"
#include "hornbeamgate/gateway/endpoint_loads.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hornbeamgate::gateway {

/// Why an endpoint enters slow start.
enum class PaceCause {
    FirstSeen, ///< after this daemon's own start-up listing
    Restarted, ///< a new incarnation
    BackoffEnds, ///< sends failed, so the endpoint is avoided for some time
    PauseEnds, ///< the endpoint asked to be left alone for some time
    WeightsLoaded,
    Silent, ///< it has answered nothing for `kSilenceThreshold` although requests were sent
};

std::string_view paceCauseName(PaceCause cause);

/// What a daemon knows about an endpoint in slow start.
struct PaceEntry {
    std::uint64_t key = 0; ///< hash of the endpoint and its incarnation
    int credit = 0; ///< responses that came in time, less the decreases
    int sends = 0; ///< in this slow start
    int falls = 0; ///< within `EndpointPaces::kFallMemory` of each other, before this slow start
    bool isFailing = false; ///< the daemon's last send failed, was rejected or was answered late
    bool isBusy = false; ///< the daemon has requests in progress there
    bool isDone = false; ///< slow start has ended
};

/// What a daemon tells the others about slow starts; empty if there is none.
struct PaceReport {
    std::vector<PaceEntry> entries;
};

/// Start or end of a slow start at this daemon, for the log.
struct PaceChange {
    EndpointId endpoint;
    bool isStart = false;
    PaceCause cause {};
    int slots = 1;
    int credit = 0; ///< over all daemons
    int creditNeeded = 0; ///< at which the slow start ends
    int slowdown = 1; ///< responses in time per increase by one, because of recent falls
    Duration elapsed {}; ///< since the start
};

/// How far the pace allows a send.
enum class PaceTier : std::uint8_t {
    Admitted, ///< the endpoint is not in slow start, or within its limit
    WithinSlots, ///< above the limit, but within this daemon's share of the endpoint's slots
    HeldBack,
    Failing, ///< a send of this daemon failed a short time ago
};

/// Limits the requests in progress at endpoints that have just started or recovered.
///
/// The limit of an endpoint holds for all daemons together. It starts at two and grows by one with each response that arrives
/// in time, so it doubles with each round of responses, until it reaches the endpoint's slots. It is halved whenever a daemon
/// begins to fail: its send fails, is rejected or is answered late. Endpoints that fall again within
/// `kFallMemory` need twice as many responses for each increase and twice the time, four times after another fall, and so on
/// up to eight.
///
/// All daemons rank themselves for the endpoint by rendezvous hashing and divide the limit in this order, so nobody
/// coordinates them. Daemons whose sends fail rank last, and daemons that have been answered rank first: an endpoint that
/// fails one zone's callers is tested by others next, and a daemon without traffic doesn't hold up the rest. The ranking and
/// the credit are recomputed from the peers' last reports. Lost reports delay the growth.
///
/// When the limit reaches the slots, the daemons leave slow start one after another in the order of their ranks. Until a daemon
/// has been answered it doesn't know the endpoint's load, and all of them would send at the same time.
///
/// A start concerns all daemons. A backoff, a pause or silence may concern this daemon alone, so it shares the limit only
/// with daemons that report the same endpoint.
///
/// Designed for engines with few slots beside many daemons, where one probe of each daemon exceeds the slots.
class EndpointPaces {
public:
    /// Time without any response after which an endpoint enters slow start.
    static constexpr std::chrono::seconds kSilenceThreshold { 10 };
    /// A fall counts together with the previous one within this time.
    static constexpr std::chrono::seconds kFallMemory { 30 };

    explicit EndpointPaces(HostId self);

    /// Sets the other daemons that may be running.
    void setFleet(std::vector<HostId> others);
    /// Starts the slow start of an endpoint that runs `slots` requests at a time. A repetition without a response in between
    /// is part of the same slow start.
    void appeared(const EndpointInstance& endpoint, int slots, PaceCause cause, MonotonicTime now);
    void recordSend(const EndpointInstance& endpoint, MonotonicTime now);
    /// Records that the response to a send has begun, `latency` after the send, while the send is still in progress.
    /// `expected` is the predicted latency; the usual latency of the service is used if that is longer.
    void recordAnswer(const EndpointInstance& endpoint, Duration latency, Duration expected, MonotonicTime now);
    /// Records the end of a send, with the latency as for `recordAnswer`. A send whose response has been recorded and is
    /// complete ends as abandoned, which tells nothing more about the endpoint.
    void recordOutcome(const EndpointInstance& endpoint, SendOutcome outcome, Duration latency, Duration expected, MonotonicTime now);
    /// Whether the endpoint may be sent a request now. `othersHaveRoom` tells whether an admitted endpoint has a free slot;
    /// if none has, the pace does not apply.
    bool admits(const EndpointInstance& endpoint, bool othersHaveRoom, MonotonicTime now) const;
    PaceTier tierOf(const EndpointInstance& endpoint, MonotonicTime now) const;
    PaceReport report(MonotonicTime now) const;
    void recordPeerReport(const HostId& peer, const PaceReport& report, MonotonicTime now);
    /// Ends the slow start of an endpoint that is gone. Its falls are remembered, since it may come back.
    void forget(const EndpointId& id);

    bool isInSlowStart(const EndpointInstance& endpoint) const;
    /// Returns the limit over all daemons; none outside slow start.
    std::optional<int> limitOf(const EndpointInstance& endpoint, MonotonicTime now) const;
    /// Returns the starts and ends since the last call.
    std::vector<PaceChange> takeChanges();

private:
    struct PeerEntry {
        PaceEntry entry;
        MonotonicTime reportedAt {};
    };
    /// This daemon's part of the limit, as of the last computation.
    struct Standing {
        MonotonicTime validUntil {};
        int limit = 0; ///< over all daemons
        int daemons = 1; ///< that share the limit
        int ahead = 0; ///< of them, rank ahead of this daemon
        int share = 0; ///< of the limit
        int slotShare = 0; ///< of the endpoint's slots
    };
    struct State {
        Incarnation incarnation;
        int slots = 1;
        bool isActive = false; ///< in slow start
        bool isForgotten = false;
        PaceCause cause {};
        MonotonicTime startedAt {};
        MonotonicTime endedAt {};
        MonotonicTime releasedAt {}; ///< until then the daemon keeps to its share of the slots after a slow start
        int releaseShare = 0;
        MonotonicTime progressAt {}; ///< last sign that a daemon uses its part of the limit
        MonotonicTime changedAt {};
        MonotonicTime decreasedAt {};
        MonotonicTime heldUntil {}; ///< no send after a failure
        std::optional<MonotonicTime> silentSince; ///< first send without any response since
        std::optional<MonotonicTime> fellAt;
        Incarnation fallen; ///< incarnation that fell last
        int falls = 0; ///< within kFallMemory of each other
        bool hasServed = false; ///< any daemon since the last fall
        bool hasAnswered = false; ///< this daemon in time since the start
        int failures = 0; ///< in a row
        int credit = 0;
        int lostCredit = 0; ///< of all daemons' credit; half of the rest is lost whenever a daemon begins to fail
        int sends = 0; ///< in this slow start
        int inProgress = 0;
        std::map<HostId, PeerEntry> peers;
    };
    enum class Timeliness {
        InTime,
        Delayed, ///< neither raises nor lowers the limit
        Late,
    };
    struct Rank {
        bool isFailing;
        bool isUntried;
        std::uint64_t score;
        bool isAheadOf(const Rank& other) const;
    };

    State* find(const EndpointInstance& endpoint);
    const State* find(const EndpointInstance& endpoint) const;
    /// Returns the state of the incarnation, or null if it has been replaced.
    State* obtain(const EndpointInstance& endpoint);
    void start(State& state, const EndpointId& id, int slots, PaceCause cause, MonotonicTime now);
    void end(State& state, const EndpointId& id, MonotonicTime now);
    /// Counts that an incarnation of the endpoint has fallen.
    static void countFall(State& state, Incarnation fallen, MonotonicTime now);
    void recordResult(State& state, const EndpointId& id, Timeliness timeliness, MonotonicTime sentAt, MonotonicTime now);
    /// Compares a latency with its prediction and learns from it.
    Timeliness judge(const ServiceId& service, Duration latency, Duration expected);
    void endIfDone(State& state, const EndpointId& id, MonotonicTime now);
    /// Returns whether the peer is known to send to the endpoint without a limit.
    bool isUnaffected(const State& state, const HostId& peer, const PeerEntry* reported) const;
    /// Returns the sum of the credit of all daemons.
    static int reportedCredit(const State& state);
    /// Returns the credit over all daemons, less what has been lost.
    static int creditOf(const State& state);
    static void loseHalf(State& state);
    Standing computeStanding(const State& state, const EndpointId& id, MonotonicTime now) const;
    const Standing& standingOf(const State& state, const EndpointId& id, MonotonicTime now) const;
    void addChange(const State& state, const EndpointId& id, bool isStart, MonotonicTime now);
    void dropForgotten(MonotonicTime now);

    HostId m_self;
    std::vector<HostId> m_others; ///< sorted
    std::map<ServiceId, Duration> m_usualLatency; ///< moving average of all endpoints
    std::map<HostId, MonotonicTime> m_heardAt; ///< last report of each peer
    std::map<EndpointId, State> m_endpoints;
    std::unordered_map<std::uint64_t, EndpointId> m_activeKeys; ///< endpoints in slow start by the key in reports
    mutable std::map<EndpointId, Standing> m_standings; ///< cache; the ranking goes through all daemons
    std::vector<PaceChange> m_changes;
};

/// Chooses the cheapest candidate that the pace admits. If none of these has a free slot, chooses one with a free slot that is
/// within this daemon's share of the slots, and then any with a free slot, so that no request waits beside a free slot. Free
/// slots of endpoints that have just failed do not count: fast errors leave all slots free.
/// `Candidate` has a member `cost`.
template <typename Candidate>
class PacedChoice {
public:
    void add(const Candidate& candidate, PaceTier tier, bool hasFreeSlot)
    {
        m_hasRoom = m_hasRoom || (tier == PaceTier::Admitted && hasFreeSlot);
        const bool isUsable = tier == PaceTier::Admitted || (hasFreeSlot && tier != PaceTier::Failing);
        auto& best = m_best[isUsable ? static_cast<std::size_t>(tier) : kUnusable];
        if (!best || candidate.cost < best->cost)
            best = candidate;
    }

    const std::optional<Candidate>& best() const
    {
        const auto& admitted = of(PaceTier::Admitted);
        if (m_hasRoom)
            return admitted;
        if (of(PaceTier::WithinSlots))
            return of(PaceTier::WithinSlots);
        if (of(PaceTier::HeldBack))
            return of(PaceTier::HeldBack);
        const auto& unusable = m_best[kUnusable];
        return !admitted || (unusable && unusable->cost < admitted->cost) ? unusable : admitted;
    }

    /// Whether the pace keeps back a cheaper candidate than the chosen one.
    bool isHeldBack() const
    {
        const auto& chosen = best();
        if (!chosen || !m_hasRoom)
            return false;
        const auto isCheaper = [&](PaceTier tier) { return of(tier) && of(tier)->cost < chosen->cost; };
        return isCheaper(PaceTier::WithinSlots) || isCheaper(PaceTier::HeldBack);
    }

private:
    static constexpr std::size_t kUnusable = 3; ///< not admitted, and without a free slot or failing
    static constexpr std::size_t kKinds = 4;

    const std::optional<Candidate>& of(PaceTier tier) const { return m_best[static_cast<std::size_t>(tier)]; }

    std::array<std::optional<Candidate>, kKinds> m_best;
    bool m_hasRoom = false; ///< an admitted candidate has a free slot
};

} // namespace hornbeamgate::gateway
