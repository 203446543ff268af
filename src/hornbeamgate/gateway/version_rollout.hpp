#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/time.hpp"
#include "hornbeamgate/event_log/store_era.hpp"
#include "hornbeamgate/gateway/endpoint_registry.hpp"
#include "hornbeamgate/gateway/version_judge.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hornbeamgate::gateway {

/// Operator's order to move the traffic of a service to a version.
struct RolloutOrder {
    ServiceId service;
    std::string version;
    std::chrono::milliseconds duration {};
    LogOffset offset; ///< position of the operator's record; tells two orders for one version apart

    bool operator==(const RolloutOrder&) const = default;
};

/// Returns whether `order` is the operator's order `known` in a later era of the store: from the copy, or written again.
bool isRestated(const RolloutOrder& known, const RolloutOrder& order);

enum class RolloutState {
    Running,
    Completed,
    RolledBack,
};

/// Part of a running rollout.
enum class RolloutPhase {
    Observe, ///< the new version gets a small share of the requests
    Shift, ///< the traffic moves to the new version
};

/// State of a rollout as recorded in the store.
struct RolloutStatus {
    ServiceId service;
    std::string version;
    RolloutState state = RolloutState::Running;
    RolloutPhase phase = RolloutPhase::Observe;
    LogOffset order;

    bool operator==(const RolloutStatus&) const = default;
};

/// Returns whether `status` must not follow `newer`: it is of an earlier order, or an earlier state of the same one.
bool isEarlier(const RolloutStatus& status, const RolloutStatus& newer);

struct VersionRolloutLimits {
    double exposureShare = 0.1; ///< of all requests to a service that a bad version may get
    std::int64_t exposureSlack = 50; ///< requests that it may get besides, summed over all daemons
    Duration rollbackBound = std::chrono::milliseconds(5000); ///< from the 50th bad response to the last request
};

/// What a daemon tells its peers about the rollouts that it knows. All counts are cumulative for an incarnation.
struct RolloutReport {
    struct ControlRoute {
        RouteSample sample;
        std::chrono::microseconds medianLatency {}; ///< 0 if too few responses are known

        bool operator==(const ControlRoute&) const = default;
    };
    struct Service {
        ServiceId service;
        LogOffset order;
        std::chrono::milliseconds age {}; ///< of the order
        bool isBad = false; ///< the sender holds the verdict "bad"
        bool isShifted = false; ///< the sender sends no new requests to old engines
        std::uint64_t oldInProgress = 0; ///< requests of the sender that run on engines of other versions
        EngineSamples candidate; ///< engines of the new version
        std::map<std::string, ControlRoute> control; ///< by route name

        bool operator==(const Service&) const = default;
    };

    std::vector<Service> services;

    bool operator==(const RolloutReport&) const = default;
};

/// Engines of a service that a request may use, by version.
class VersionChoice {
public:
    /// Allows every engine. For deployments without version rollouts.
    VersionChoice() = default;
    /// Allows all versions except `versions`.
    static VersionChoice allExcept(std::set<std::string> versions);
    /// Allows only `version`, and of this only `engines` unless that is empty.
    static VersionChoice only(std::string version, std::set<EndpointId> engines);

    bool allows(const EndpointEntry& endpoint) const;
    /// Returns whether the request should show how the new version does. If none of the allowed engines can take it, it is
    /// placed again with `fallback()`.
    bool hasFallback() const { return m_hasFallback; }
    VersionChoice fallback() const { return allExcept(m_fallbackExcluded); }
    VersionChoice& setFallback(std::set<std::string> excluded);

private:
    std::optional<std::string> m_only;
    std::set<EndpointId> m_engines;
    std::set<std::string> m_excluded;
    bool m_hasFallback = false;
    std::set<std::string> m_fallbackExcluded;
};

/// Change of a rollout, for the log.
struct RolloutEvent {
    enum class Kind {
        Ordered,
        Phase, ///< a state or phase was read from the store
        Verdict, ///< `reason` names the peer that reported it, if any
        Invalid, ///< the order can't be carried out; `reason` says why
    };
    Kind kind = Kind::Ordered;
    ServiceId service;
    std::string version;
    LogOffset order;
    RolloutState state = RolloutState::Running;
    RolloutPhase phase = RolloutPhase::Observe;
    Judgement judgement;
    std::string reason;
};

/// Numbers for the metrics, of this daemon.
struct RolloutCounters {
    std::uint64_t exposed = 0; ///< requests sent to a version under observation or in its shift
    std::uint64_t bad = 0; ///< bad responses of such versions
};

/// Own counts of one daemon and those of its peers about one order.
class RolloutEvidence {
public:
    /// Reports older than this do not count for the verdict "good".
    static constexpr std::chrono::milliseconds kFreshness { 3000 };
    /// Counts of engines in one report, so that it fits into a datagram with the rest.
    static constexpr std::size_t kMaxReportedSamples = 32;
    /// Counts of engines that are kept for each peer; with 360 peers they take about 30 MB.
    static constexpr std::size_t kMaxSamplesOfPeer = 512;
    /// Responses of the control group below which no median is known.
    static constexpr std::uint64_t kMinLatencies = 8;
    /// A response is bad if it takes this many times the control group's median.
    static constexpr int kSlowFactor = 3;

    /// Adds engines of the new version, which count as such also without responses.
    void addEngines(const std::set<EndpointId>& engines);
    /// Returns whether the response is bad.
    bool recordCandidate(const EndpointId& engine, const std::string& route, bool isFailure, Duration latency);
    void recordControl(const std::string& route, bool isFailure, Duration latency);
    /// `sentAt` is the estimated time at which the peer sent the report.
    void recordPeer(const HostId& peer, Incarnation incarnation, const RolloutReport::Service& report, MonotonicTime sentAt);

    struct Sums {
        EngineSamples candidate;
        RouteSamples control;
    };
    /// Returns the sums over all daemons.
    const Sums& sums() const { return m_sums; }
    /// Responses of the new version, counted over all daemons.
    const RouteSample& candidateTotal() const { return m_candidateTotal; }
    /// Returns the sums without the counts of daemons whose last report was sent before `since`.
    Sums sumsSince(MonotonicTime since) const;
    /// Returns how many peers have sent a report since `since`.
    std::size_t peersSince(MonotonicTime since) const;
    /// Returns how many peers have reported since `since` that no requests run or start on old engines.
    std::size_t idlePeersSince(MonotonicTime since) const;
    /// Adds this daemon's counts to a report. If there are too many, successive reports contain different ones.
    void fill(RolloutReport::Service& report, MonotonicTime now) const;

private:
    /// Latencies of a route in buckets whose width grows with the latency.
    struct LatencyHistogram {
        static constexpr std::size_t kBuckets = 192;
        std::array<std::uint32_t, kBuckets> counts {};
        std::uint64_t total = 0;
        void add(Duration latency);
        std::chrono::microseconds median() const;
    };
    struct PeerCounts {
        MonotonicTime sentAt {}; ///< of the newest report
        bool isShifted = false;
        std::uint64_t oldInProgress = 0;
        std::size_t samples = 0;
        EngineSamples candidate;
        std::map<std::string, RolloutReport::ControlRoute> control;
    };
    using Incarnations = std::map<Incarnation, PeerCounts>;

    /// Returns the median latency of the control group on a route, or 0 if it is unknown.
    std::chrono::microseconds medianLatency(const std::string& route) const;
    bool isBad(const std::string& route, bool isFailure, Duration latency) const;

    EngineSamples m_candidate;
    RouteSamples m_control;
    Sums m_sums;
    RouteSample m_candidateTotal;
    std::map<std::string, LatencyHistogram> m_latencies; ///< of the control group, by route
    std::map<HostId, Incarnations> m_peers;
};

/// Carries out one order to move a service to a version.
///
/// Every daemon limits by itself how many requests it sends to the new version, so that the bound on exposure holds whatever
/// daemons can tell each other. The state in the store decides when traffic shifts; only the verdict "bad" takes effect
/// without it.
///
/// Designed for up to 360 daemons that each send a few requests a second, new versions that fail at once, later, under load
/// or on one route, and a store or network that fails meanwhile.
class VersionRollout {
public:
    /// Part of the exposure that the observation uses; the rest covers daemons that restart and count from zero.
    static constexpr double kObservedShare = 0.6;
    /// Ends of the phases as fractions of the order's duration.
    static constexpr double kCautiousEnd = 0.15;
    static constexpr double kVersionWaitEnd = 0.5;
    static constexpr double kObserveEnd = 0.6;
    static constexpr double kLatestShift = 0.8;
    static constexpr double kGiveUp = 0.85;
    static constexpr double kLatestCompletion = 0.95;
    static constexpr double kShiftStep = 0.05;
    /// Responses of the new version below which no shift begins.
    static constexpr std::uint64_t kMinResponses = 30;
    /// Bad responses beyond those the control group explains after which the version gets no more requests.
    static constexpr double kMaxUnexplainedBad = 40;
    /// Part of the requests that may go to the new version in the cautious part of the observation, so that the slack is not
    /// used up at once.
    static constexpr double kCautiousPace = 0.25;
    /// After the cautious part, the exposed requests are sent together at the end of the observation, at no more than this
    /// part of all requests. The canaries then carry the load of an engine after the shift: spread evenly, the exposure would
    /// give two canaries of ten engines a third of it, and a fault under load would not show.
    static constexpr double kMaxBurstPace = 0.5;
    /// Number of tests that start during the duration; a version that turns bad later is found by those that start then.
    static constexpr int kTests = 16;
    /// A service of which no engine is listed for this long does not exist.
    static constexpr std::chrono::milliseconds kServiceWait { 2000 };
    /// Other daemons leave the state "rolled back" to the leader for this long, and for up to as long again by chance.
    static constexpr std::chrono::milliseconds kWriteDelay { 500 };
    /// A state that was written is read back within this time unless it was lost.
    static constexpr std::chrono::milliseconds kWriteInterval { 300 };
    static constexpr std::chrono::milliseconds kJudgementInterval { 20 };

    VersionRollout(const VersionRolloutLimits& limits, const HostId& self, RolloutOrder order, bool isTrusted, MonotonicTime orderedAt);

    const RolloutOrder& order() const { return m_order; }
    /// Gives the order the position of its record in another era of the store.
    void renumber(LogOffset offset);
    Duration age(MonotonicTime now) const { return now - m_orderedAt; }
    /// Corrects the age of the order if another daemon knows it for longer.
    void setAge(std::chrono::milliseconds age, MonotonicTime now);
    void setStatus(const RolloutStatus& status, MonotonicTime now);
    void setFleet(std::size_t runningDaemons);
    void statusConfirmed(MonotonicTime asOf) { m_statusConfirmedAsOf = std::max(m_statusConfirmedAsOf, asOf); }
    /// Sets the engines of the new version and the number of the service's other engines.
    void setEngines(const std::set<EndpointId>& candidates, std::size_t others);
    void abort(MonotonicTime now);

    bool isRunning() const { return m_state == RolloutState::Running; }
    RolloutState state() const { return m_state; }
    /// Returns whether the new version must get no requests.
    bool isStopped() const { return m_isBad || m_isAborted || m_state == RolloutState::RolledBack; }
    /// Returns whether the version is in regular use already, so that it is not observed.
    bool isTrusted() const { return m_isTrusted; }
    /// Returns whether this daemon would have heard of a verdict or state of other daemons.
    bool isInContact(MonotonicTime now) const;
    bool isShifting() const { return m_phase == RolloutPhase::Shift; }
    RolloutPhase phase() const { return m_phase; }
    /// Returns whether old engines get no new requests.
    bool isShifted(MonotonicTime now) const;
    /// Returns whether the next request should go to the new version.
    bool takesNext(MonotonicTime now) const;
    /// Engines of the new version that get requests.
    const std::set<EndpointId>& engines() const { return m_phase == RolloutPhase::Shift ? m_candidates : m_canaries; }

    void recordSend(bool isCandidate, MonotonicTime now);
    /// Returns whether the response is bad.
    bool recordResponse(const EndpointEntry& endpoint, const std::string& route, bool isFailure, Duration latency);
    void recordPeer(const HostId& peer, Incarnation incarnation, const RolloutReport::Service& report, MonotonicTime now);
    RolloutReport::Service report(std::uint64_t oldInProgress, MonotonicTime now) const;
    /// Judges the evidence if it is due. Returns the first judgement with the verdict "good" or "bad".
    std::optional<Judgement> judge(MonotonicTime now);
    bool isBad() const { return m_isBad; }

    /// Returns the state to write now, if any. `oldInProgress` is this daemon's number of requests on old engines.
    std::optional<RolloutStatus> takeWrite(bool isLeader, std::uint64_t oldInProgress, MonotonicTime now);
    /// Returns why the order can't be carried out, or an empty text.
    std::string invalidReason(MonotonicTime now) const;
    /// Returns how long this daemon leaves a state of the order to the leader.
    std::chrono::milliseconds writeDelay() const;

private:
    bool isPast(double fraction, MonotonicTime now) const;
    double creditPerSend(MonotonicTime now) const;
    double shiftShare(MonotonicTime now) const;
    /// Returns which part of the requests should go to the new version now, as far as the exposure allows it.
    double pace(MonotonicTime now) const;
    std::int64_t slackPart() const;
    bool favoursGood(MonotonicTime now) const;
    Judgement judgeAll() const;
    /// Returns the responses since `start`, with the whole control group if it has too few since.
    RolloutEvidence::Sums since(const RolloutEvidence::Sums& start) const;
    bool hasTooManyBad(const Judgement& total) const;
    void chooseCanaries();
    /// Replaces canaries that fail by themselves, so that others show how the version is.
    void replaceFailingCanaries();
    std::optional<RolloutStatus> dueWrite(bool isLeader, std::uint64_t oldInProgress, MonotonicTime now) const;
    RolloutStatus status(RolloutState state, RolloutPhase phase) const { return { m_order.service, m_order.version, state, phase, m_order.offset }; }
    void stop(MonotonicTime now);

    VersionRolloutLimits m_limits;
    HostId m_self;
    RolloutOrder m_order;
    bool m_isTrusted;
    MonotonicTime m_orderedAt;
    RolloutState m_state = RolloutState::Running;
    RolloutPhase m_phase = RolloutPhase::Observe;
    bool m_isRecorded = false; ///< the store has a state of this order
    std::optional<MonotonicTime> m_shiftReadAt;
    std::set<EndpointId> m_candidates; ///< engines of the new version
    std::set<EndpointId> m_canaries; ///< those that get requests while the version is observed
    std::optional<bool> m_isServiceKnown; ///< none before the first listing
    std::set<EndpointId> m_failing; ///< engines of the new version that fail by themselves
    std::size_t m_oldEngines = 0;
    bool m_isVersionSeen = false;
    std::size_t m_fleet = 0; ///< number of daemons; 0 if unknown
    std::size_t m_largestFleet = 0; ///< since the order
    MonotonicTime m_statusConfirmedAsOf = MonotonicTime::min();

    double m_credit = 0; ///< sends to the new version that the share allows, without the slack
    std::uint64_t m_sends = 0; ///< of this daemon to the service
    std::uint64_t m_exposed = 0; ///< of these, to the new version while it is observed
    double m_paceCredit = 0; ///< sends that are due to the new version by the current pace

    RolloutEvidence m_evidence;
    struct Checkpoint {
        RolloutEvidence::Sums sums;
        std::uint64_t bad = 0;
    };
    std::vector<Checkpoint> m_checkpoints; ///< from which further tests start
    RouteSample m_judgedTotal;
    MonotonicTime m_nextCheckpoint {};
    MonotonicTime m_nextJudgement {};
    Verdict m_verdict = Verdict::Undecided; ///< last one returned
    bool m_isBad = false;
    bool m_isAborted = false;
    MonotonicTime m_stoppedAt {};
    MonotonicTime m_nextWrite {};
};

/// The rollouts of all services, and which versions of each may get requests.
class VersionRollouts {
public:
    /// A version that appears is held back until the operators' records were confirmed, which takes at most this long unless
    /// the store is silent.
    static constexpr std::chrono::milliseconds kUnknownVersionTimeout { 4000 };

    VersionRollouts(VersionRolloutLimits limits, HostId self);

    /// `age` is the time since the store acknowledged the order, or nothing if the order was found at start-up. A repeated
    /// order (same offset) is ignored.
    void setOrder(const RolloutOrder& order, std::optional<std::chrono::milliseconds> age, MonotonicTime now);
    /// Ends the order of a service: the operator has removed it. The version gets no more requests.
    void removeOrder(const ServiceId& service, MonotonicTime now);
    /// The store is in `era`. In a later one it lacks the newest orders and states: operators give their orders again, and
    /// states are written again by `takeWrite`.
    void storeEntered(StoreEra era);
    /// The store has come back without the order of a service. Unless the traffic is shifting already, the version gets no
    /// requests until the operator has given the order again.
    void orderLost(const ServiceId& service);
    /// Returns whether the newest state of a service's order is missing in the store, which has come back without it.
    bool isStatusLost(const ServiceId& service) const;
    /// Handles a state as read from the store. A state of an order that is not known yet is kept for it.
    void setStatus(const RolloutStatus& status, MonotonicTime now);
    /// The states in the store are known up to `asOf`, the time at which a read that reached their end was sent. Called for
    /// each such read, also if it returned no record. Before the first one, a version under rollout gets requests only if
    /// there is no other. A daemon that hears neither from the store nor from most peers for half of the rollback bound sends
    /// no requests to a version under rollout, because it may have been rolled back.
    void statusConfirmed(MonotonicTime asOf);
    /// `runningGateways` includes this daemon and all that may be running.
    void setFleet(std::size_t runningGateways);
    /// Called after each change of the registry, before the next `choose`.
    void setEndpoints(const EndpointRegistry& registry, MonotonicTime now);
    /// The store has confirmed that all operators' records up to `asOf` are known: `asOf` is the time at which the read was
    /// sent. All records that it returned must have been passed to `setOrder` before.
    void operatorsConfirmed(MonotonicTime asOf);

    /// Returns the engines that a request of the service may use now. Called for each send, including retries. `recordSend`
    /// follows before the next call for the service: a request that waits in between is placed again.
    VersionChoice choose(const ServiceId& service, MonotonicTime now) const;
    void recordSend(const EndpointEntry& endpoint, MonotonicTime now);
    /// Records a response. `isFailure`: status 500 or more that is not "not executed", malformed, or broken off. `latency` is
    /// the time to the first event of a stream, else to the whole response. Not called for a connection that could not be
    /// opened, or for a request that was rejected as "not executed".
    void recordResponse(const EndpointEntry& endpoint, const std::string& route, bool isFailure, Duration latency, MonotonicTime now);
    /// The send has ended, with any outcome. Called once for each `recordSend`, after `recordResponse`.
    void recordEnd(const EndpointEntry& endpoint);

    /// Returns whether the rollout of a service has not ended.
    bool isAnyRunning() const;
    RolloutReport report(MonotonicTime now) const; ///< for `PeerReport`
    void recordPeerReport(const HostId& peer, Incarnation incarnation, const RolloutReport& report, MonotonicTime now);

    /// Returns a state that this daemon should write now, if any; none before the first `statusConfirmed`. Called until it
    /// returns nothing. A state is returned again after `VersionRollout::kWriteInterval` unless it was read from the store
    /// meanwhile.
    std::optional<RolloutStatus> takeWrite(bool isLeader, MonotonicTime now);

    std::vector<RolloutEvent> takeEvents();
    const RolloutCounters& counters() const { return m_counters; }

private:
    struct InProgress {
        std::string version;
        std::uint64_t requests = 0;
    };
    struct PendingReport {
        Incarnation incarnation;
        RolloutReport::Service report;
    };
    struct Service {
        std::optional<VersionRollout> rollout; ///< of the newest order, also after its end
        std::optional<RolloutOrder> previousOrder; ///< that the newest one replaced
        bool isOrderLost = false; ///< the store has come back without the newest order
        std::optional<RolloutStatus> status; ///< newest read from the store
        std::optional<RolloutStatus> recorded; ///< newest that the store holds in its era
        MonotonicTime nextRestatement {};
        MonotonicTime statusSeenAt {}; ///< when a state of its order was first read
        std::map<std::string, std::set<EndpointId>> engines; ///< listed, by version
        std::map<std::string, MonotonicTime> held; ///< when versions were first seen whose order may not be known yet
        std::set<std::string> released; ///< versions that were in use or whose order is known
        std::set<std::string> excluded; ///< versions of ended orders, until their engines are gone
        std::set<std::string> baseline; ///< versions in use when the newest order came
        MonotonicTime nextAbandonedWrite {};
        std::map<EndpointId, InProgress> inProgress;
        bool isInvalidLogged = false;
        bool isFinished = false; ///< the end of the newest order has taken effect on the versions
    };

    /// Returns the versions that must get no requests, apart from the one that is being rolled out.
    std::set<std::string> blocked(const Service& service, MonotonicTime now) const;
    /// Returns whether an engine of a version that is neither in `blocked` nor `version` is listed.
    static bool hasOther(const Service& service, const std::set<std::string>& blocked, const std::string& version);
    static bool isInRegularUse(const Service& service, const std::string& version);
    void applyStatus(Service& service, MonotonicTime now);
    /// Goes on with the rollout under the position that its order has in the store's era.
    void continueOrder(Service& service, LogOffset offset, MonotonicTime now);
    /// Applies what peers reported about the newest order before it was known.
    void applyPendingReports(Service& service, MonotonicTime now);
    /// Gives a state the position that its order has in the store's era.
    static RolloutStatus renumbered(RolloutStatus status, const Service& service);
    bool isStatusLost(const Service& service) const;
    /// Returns the newest state of an order if the store has lost it.
    std::optional<RolloutStatus> takeLost(Service& service, bool isLeader, MonotonicTime now) const;
    /// Applies a state of an earlier order than the newest.
    static void applyEarlierStatus(Service& service);
    void judge(Service& service, MonotonicTime now);
    /// Excludes the version that lost, once the order has ended.
    static void finish(Service& service);
    static void setEngines(Service& service);
    static std::uint64_t oldInProgress(const Service& service);
    std::optional<RolloutStatus> takeAbandoned(Service& service, bool isLeader, MonotonicTime now) const;
    void addEvent(RolloutEvent::Kind kind, const VersionRollout& rollout, Judgement judgement = {}, std::string reason = {});

    VersionRolloutLimits m_limits;
    HostId m_self;
    std::size_t m_fleet = 0;
    MonotonicTime m_statusConfirmedAsOf = MonotonicTime::min(); ///< the minimum before the first confirmation
    std::optional<MonotonicTime> m_operatorsConfirmedAsOf;
    std::optional<StoreEra> m_era;
    bool m_wasRestored = false;
    std::optional<MonotonicTime> m_statusReadSince; ///< when the states in the store's era were first confirmed
    bool m_hasListing = false;
    std::map<ServiceId, Service> m_services;
    std::map<HostId, std::map<ServiceId, PendingReport>> m_pending; ///< reports about orders not known yet
    std::vector<RolloutEvent> m_events;
    RolloutCounters m_counters;
};

} // namespace hornbeamgate::gateway
