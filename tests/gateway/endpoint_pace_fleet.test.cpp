#include "hornbeamgate/gateway/endpoint_loads.hpp"
#include "hornbeamgate/gateway/endpoint_pace.hpp"

#include "gateway/time_support.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <iomanip>
#include <random>
#include <set>
#include <sstream>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using hornbeamgate::gateway::testing::at;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kGateways = 31;
constexpr std::size_t kEngines = 8;
constexpr int kSlots = 12;
constexpr auto kServiceTime = 100ms;
constexpr auto kStep = 5ms;
/// Time of the first fault of each play.
constexpr auto kFirstFault = 2s;
constexpr auto kMaxTransit = 20ms;
/// Interval between two reports of a gateway in a fleet of this size.
constexpr auto kReportInterval = 360ms;
/// Interval at which a gateway reads the directory.
constexpr auto kDirectoryInterval = 1200ms;
/// Three doublings from two requests in progress to twelve slots; each takes a response and a report, and one report is lost.
constexpr auto kRampBound = 3 * (kServiceTime + kReportInterval + kMaxTransit) + kReportInterval;

enum class Answer {
    Serve,
    RefuseConnection,
    FailFast,
    Hang,
};

struct Behaviour {
    Answer answer = Answer::Serve;
    int slowdown = 1;
};

/// Behaviour of an engine towards a gateway at a time.
using Script = std::function<Behaviour(std::size_t gateway, milliseconds time)>;

Behaviour serving(std::size_t /*gateway*/, milliseconds /*time*/)
{
    return {};
}

/// Plays gateways that send requests to engines and report to each other, with delays and losses. Gateways choose the engine
/// with the lowest estimated load and retry twice.
class PacedFleet {
public:
    PacedFleet(bool isPaced, double load)
        : m_isPaced(isPaced)
        , m_arrivalsPerStep(load * static_cast<double>(kEngines) * kSlots / std::chrono::duration<double>(kServiceTime).count() * std::chrono::duration<double>(kStep).count() / static_cast<double>(kGateways))
    {
        for (std::size_t i = 0; i < kGateways; ++i)
            m_gateways.emplace_back(hostOf(i));
        for (std::size_t i = 0; i < kGateways; ++i) {
            std::vector<HostId> others;
            for (std::size_t j = 0; j < kGateways; ++j) {
                if (j != i)
                    others.push_back(hostOf(j));
            }
            m_gateways[i].paces.setFleet(others);
            m_gateways[i].reportPhase = randomDelay(0ms, kReportInterval);
            m_gateways[i].directoryPhase = randomDelay(0ms, kDirectoryInterval);
        }
        m_engines.resize(kEngines);
    }

    void script(std::size_t engine, Script script) { m_engines[engine].script = std::move(script); }
    /// The engine registers a new incarnation at `time`.
    void restartAt(std::size_t engine, milliseconds time) { m_engines[engine].restarts.push_back(time); }

    /// The engine registers for the first time at `time`.
    void startAt(std::size_t engine, milliseconds time)
    {
        m_engines[engine].isNew = true;
        restartAt(engine, time);
    }

    void setReportLoss(double loss) { m_reportLoss = loss; }

    void run(milliseconds duration)
    {
        for (; m_time < duration; m_time += kStep) {
            handleDueEvents();
            for (std::size_t i = 0; i < kGateways; ++i)
                step(i);
            for (auto& engine : m_engines)
                engine.peaks.push_back(engine.inProgress);
        }
    }

    /// Returns the most requests in progress at the engine from `start` to `end`.
    int peak(std::size_t engine, milliseconds start, milliseconds end) const
    {
        const auto& peaks = m_engines[engine].peaks;
        return *std::max_element(peaks.begin() + start / kStep, peaks.begin() + std::min<std::ptrdiff_t>(end / kStep, std::ssize(peaks)));
    }

    int sends(std::size_t engine, milliseconds start, milliseconds end) const { return countIn(m_engines[engine].sends, start, end); }
    int served(std::size_t engine, milliseconds start, milliseconds end) const { return countIn(m_engines[engine].served, start, end); }

    /// Returns the time from `start` until the engine serves 80 % of its share for one second; none if it never does.
    std::optional<milliseconds> timeToShare(std::size_t engine, milliseconds start) const
    {
        const double share = m_arrivalsPerStep * static_cast<double>(kGateways) / static_cast<double>(kEngines) * static_cast<double>(1s / kStep);
        for (auto time = start; time + 1s <= m_time; time += kStep) {
            if (served(engine, time, time + 1s) >= 0.8 * share)
                return time - start;
        }
        return std::nullopt;
    }

    /// Returns how many gateways are in slow start with the engine.
    int slowStarts(std::size_t engine) const
    {
        return static_cast<int>(std::count_if(m_gateways.begin(), m_gateways.end(), [&](const auto& gateway) { return gateway.paces.isInSlowStart(instance(engine, gateway)); }));
    }

    int refused() const { return m_refused; }
    int refusedBesideFreeSlot() const { return m_refusedBesideFreeSlot; }
    int failed() const { return m_failed; }

    /// Sends per 500 ms, for the page on the design.
    std::string curve(std::size_t engine, milliseconds start, milliseconds end) const
    {
        std::ostringstream text;
        for (auto time = start; time < end; time += 500ms)
            text << std::setw(4) << sends(engine, time, time + 500ms) << '/' << peak(engine, time, time + 500ms);
        return text.str();
    }

private:
    struct Gateway {
        explicit Gateway(const HostId& host)
            : paces(host)
        {
        }
        EndpointPaces paces;
        EndpointLoads loads;
        std::map<std::size_t, std::uint64_t> incarnations; ///< of the engines, as read from the directory
        milliseconds reportPhase {};
        milliseconds directoryPhase {};
    };
    struct Engine {
        Script script = serving;
        bool isNew = false; ///< the first restart is its start
        std::vector<milliseconds> restarts;
        std::array<milliseconds, kSlots> slotFreeAt {};
        int inProgress = 0;
        std::vector<int> peaks; ///< requests in progress, by step
        std::vector<milliseconds> sends;
        std::vector<milliseconds> served;
    };
    struct Send {
        std::size_t gateway = 0;
        std::size_t engine = 0;
        std::uint64_t number = 0;
        milliseconds sentAt {};
        EndpointInstance instance;
        std::set<std::size_t> tried;
    };
    struct Candidate {
        double cost = 0;
        std::size_t engine = 0;
    };

    static HostId hostOf(std::size_t gateway) { return HostId("front-" + std::to_string(gateway)); }
    static EndpointId idOf(std::size_t engine) { return EndpointId("engine-" + std::to_string(engine)); }
    static EndpointInstance instance(std::size_t engine, const Gateway& gateway)
    {
        const auto known = gateway.incarnations.find(engine);
        return { idOf(engine), Incarnation(known == gateway.incarnations.end() ? 1 : known->second), ServiceId("s") };
    }
    static int countIn(const std::vector<milliseconds>& times, milliseconds start, milliseconds end)
    {
        return static_cast<int>(std::lower_bound(times.begin(), times.end(), end) - std::lower_bound(times.begin(), times.end(), start));
    }

    milliseconds randomDelay(milliseconds low, milliseconds high) { return milliseconds(std::uniform_int_distribution<std::int64_t>(low.count(), high.count())(m_random)); }
    void later(milliseconds delay, std::function<void()> action) { m_events.emplace(m_time + delay, std::move(action)); }

    void handleDueEvents()
    {
        while (!m_events.empty() && m_events.begin()->first <= m_time) {
            const auto action = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            action();
        }
    }

    void step(std::size_t index)
    {
        auto& gateway = m_gateways[index];
        if ((m_time + gateway.directoryPhase) % kDirectoryInterval < kStep)
            readDirectory(gateway);
        if ((m_time + gateway.reportPhase) % kReportInterval < kStep)
            report(index);
        if (std::uniform_real_distribution<double>(0, 1)(m_random) < m_arrivalsPerStep)
            send(index, {});
    }

    void readDirectory(Gateway& gateway) const
    {
        for (std::size_t i = 0; i < kEngines; ++i) {
            const auto& restarts = m_engines[i].restarts;
            const auto incarnation = 1 + static_cast<std::uint64_t>(std::count_if(restarts.begin(), restarts.end(), [this](auto time) { return time <= m_time; }));
            if (instance(i, gateway).incarnation == Incarnation(incarnation))
                continue;
            gateway.incarnations[i] = incarnation;
            gateway.loads.forget(idOf(i));
            gateway.paces.forget(idOf(i));
            gateway.paces.appeared(instance(i, gateway), kSlots, m_engines[i].isNew && incarnation == 2 ? PaceCause::FirstSeen : PaceCause::Restarted, at(m_time));
        }
    }

    void report(std::size_t index)
    {
        const auto report = m_gateways[index].paces.report(at(m_time));
        for (std::size_t i = 0; i < kGateways; ++i) {
            if (i == index || std::uniform_real_distribution<double>(0, 1)(m_random) < m_reportLoss)
                continue;
            later(randomDelay(1ms, kMaxTransit), [this, i, index, report] { m_gateways[i].paces.recordPeerReport(hostOf(index), report, at(m_time)); });
        }
    }

    std::optional<std::size_t> choose(const Gateway& gateway, const std::set<std::size_t>& tried) const
    {
        PacedChoice<Candidate> choice;
        for (std::size_t i = 0; i < kEngines; ++i) {
            if (tried.contains(i) || (m_engines[i].isNew && !gateway.incarnations.contains(i)))
                continue;
            const auto endpoint = instance(i, gateway);
            const bool isAvoided = gateway.loads.isAvoided(endpoint.id, at(m_time));
            const double load = gateway.loads.load(endpoint.id, at(m_time));
            const auto tier = m_isPaced ? gateway.paces.tierOf(endpoint, at(m_time)) : PaceTier::Admitted;
            choice.add({ load / kSlots + (isAvoided ? 10 : 0), i }, tier, !isAvoided && load + 1 <= kSlots);
        }
        return choice.best() ? std::optional(choice.best()->engine) : std::nullopt;
    }

    void send(std::size_t index, std::set<std::size_t> tried)
    {
        auto& gateway = m_gateways[index];
        const auto engine = choose(gateway, tried);
        if (!engine) {
            ++m_failed;
            return;
        }
        tried.insert(*engine);
        Send send { index, *engine, ++m_sendCount, m_time, instance(*engine, gateway), std::move(tried) };
        gateway.loads.sent(send.instance.id, send.number, 0, at(m_time));
        gateway.paces.recordSend(send.instance, at(m_time));
        arrive(send);
    }

    void arrive(const Send& send)
    {
        constexpr auto kRoundTrip = 2ms;
        constexpr auto kTimeout = 1s;
        /// An engine rejects what would wait for longer than this for a slot.
        constexpr auto kMaxWait = 50ms;
        auto& engine = m_engines[send.engine];
        engine.sends.push_back(m_time);
        const auto behaviour = engine.script(send.gateway, m_time);
        if (behaviour.answer == Answer::RefuseConnection || behaviour.answer == Answer::FailFast) {
            later(kRoundTrip, [this, send, behaviour] { finish(send, SendOutcome::Failed, behaviour.answer == Answer::RefuseConnection); });
            return;
        }
        if (behaviour.answer == Answer::Hang) {
            ++engine.inProgress;
            later(kTimeout, [this, send] {
                --m_engines[send.engine].inProgress;
                finish(send, SendOutcome::Failed, false);
            });
            return;
        }
        auto slot = std::min_element(engine.slotFreeAt.begin(), engine.slotFreeAt.end());
        const auto start = std::max(m_time, *slot);
        if (start > m_time + kMaxWait) {
            later(kRoundTrip, [this, send] { finish(send, SendOutcome::Shed, false); });
            return;
        }
        *slot = start + kServiceTime * behaviour.slowdown;
        ++engine.inProgress;
        later(*slot - m_time, [this, send] {
            auto& served = m_engines[send.engine];
            --served.inProgress;
            served.served.push_back(m_time);
            m_gateways[send.gateway].loads.reported(send.instance.id, { served.inProgress, 0, kSlots }, at(m_time));
            finish(send, SendOutcome::Served, false);
        });
    }

    void finish(const Send& send, SendOutcome outcome, bool isUnreachable)
    {
        auto& gateway = m_gateways[send.gateway];
        const auto now = at(m_time);
        gateway.loads.finished(send.instance.id, send.number, isUnreachable ? SendOutcome::Abandoned : outcome, now);
        if (isUnreachable)
            gateway.loads.unreachable(send.instance.id, now);
        if (outcome == SendOutcome::Shed)
            gateway.loads.pauseUntil(send.instance.id, now + 100ms);
        gateway.paces.recordOutcome(send.instance, outcome, m_time - send.sentAt, kServiceTime, now);
        if (outcome == SendOutcome::Failed && gateway.loads.isFailing(send.instance.id, now))
            gateway.paces.appeared(send.instance, kSlots, PaceCause::BackoffEnds, now);
        if (outcome == SendOutcome::Served)
            return;
        constexpr std::size_t kMaxSends = 3;
        if (send.tried.size() < kMaxSends) {
            this->send(send.gateway, send.tried);
            return;
        }
        if (outcome == SendOutcome::Failed) {
            ++m_failed;
            return;
        }
        // At the start of the play no gateway knows any load.
        if (m_time < kFirstFault)
            return;
        ++m_refused;
        m_refusedBesideFreeSlot += std::any_of(m_engines.begin(), m_engines.end(), [&](const auto& engine) { return engine.script(send.gateway, m_time).answer == Answer::Serve && engine.inProgress < kSlots; }) ? 1 : 0;
    }

    bool m_isPaced;
    double m_arrivalsPerStep;
    double m_reportLoss = 0.05;
    std::mt19937_64 m_random { 1 };
    std::vector<Gateway> m_gateways;
    std::vector<Engine> m_engines;
    std::multimap<milliseconds, std::function<void()>> m_events;
    milliseconds m_time {};
    std::uint64_t m_sendCount = 0;
    int m_refused = 0;
    int m_refusedBesideFreeSlot = 0;
    int m_failed = 0;
};

constexpr double kLoad = 0.6;
/// Last time at which a gateway reads the directory after a restart, and the ramp from there on.
constexpr auto kReturnBound = kDirectoryInterval + kRampBound;

Script downBetween(milliseconds start, milliseconds end, Behaviour afterwards = {}, milliseconds until = 1h)
{
    return [=](std::size_t, milliseconds time) {
        if (time >= start && time < end)
            return Behaviour { Answer::RefuseConnection };
        return time >= end && time < until ? afterwards : Behaviour {};
    };
}

/// Plays the return of engines 0 to `count` - 1 at 4 s after a crash at 2 s.
PacedFleet playReturn(bool isPaced, std::size_t count, double load = kLoad, Behaviour afterwards = {}, milliseconds until = 1h)
{
    PacedFleet fleet(isPaced, load);
    for (std::size_t i = 0; i < count; ++i) {
        fleet.script(i, downBetween(2s, 4s, afterwards, until));
        fleet.restartAt(i, 4s);
    }
    fleet.run(14s);
    return fleet;
}

std::string outcomeText(const PacedFleet& fleet)
{
    return "; refused " + std::to_string(fleet.refused()) + ", failed " + std::to_string(fleet.failed());
}

void printCurves(const std::string& name, const PacedFleet& paced, const PacedFleet& unpaced)
{
    MESSAGE(name, ", sends/peak per 500 ms from 4 s: ", paced.curve(0, 4s, 10s), outcomeText(paced));
    MESSAGE(name, ", without pace:                   ", unpaced.curve(0, 4s, 10s), outcomeText(unpaced));
}

} // namespace

// Guards against probes of all gateways at once, and against an engine that stays idle long after it is ready.
TEST_CASE("a returned engine gets no more than its slots in its first second and its share soon [pace]")
{
    const auto paced = playReturn(true, 1);
    printCurves("one returns", paced, playReturn(false, 1));
    CHECK(paced.peak(0, 4s, 5s) <= kSlots);
    REQUIRE(paced.timeToShare(0, 4s));
    CHECK(*paced.timeToShare(0, 4s) <= kReturnBound);
    MESSAGE("80 % of its share after ms: ", paced.timeToShare(0, 4s)->count(), "; bound ", milliseconds(kReturnBound).count());
    CHECK(paced.refused() == 0);
    CHECK(paced.failed() == 0);
    CHECK(paced.slowStarts(0) == 0);
}

TEST_CASE("an engine that starts gets no more than its slots in its first second and its share soon [pace]")
{
    PacedFleet paced(true, kLoad);
    PacedFleet unpaced(false, kLoad);
    for (auto* fleet : { &paced, &unpaced }) {
        fleet->startAt(0, 4s);
        fleet->run(14s);
    }
    printCurves("one starts", paced, unpaced);
    CHECK(paced.peak(0, 4s, 5s) <= kSlots);
    REQUIRE(paced.timeToShare(0, 4s));
    CHECK(*paced.timeToShare(0, 4s) <= kReturnBound);
    MESSAGE("80 % of its share after ms: ", paced.timeToShare(0, 4s)->count());
    CHECK(paced.refusedBesideFreeSlot() == 0);
}

TEST_CASE("engines that return together get no more than their slots each and their share soon [pace]")
{
    const auto paced = playReturn(true, kEngines / 4);
    printCurves("a quarter returns", paced, playReturn(false, kEngines / 4));
    for (std::size_t i = 0; i < kEngines / 4; ++i) {
        CHECK(paced.peak(i, 4s, 5s) <= kSlots);
        REQUIRE(paced.timeToShare(i, 4s));
        CHECK(*paced.timeToShare(i, 4s) <= kReturnBound);
        MESSAGE("80 % of its share after ms: ", paced.timeToShare(i, 4s)->count());
    }
    CHECK(paced.refusedBesideFreeSlot() == 0);
}

// Guards against callers that are refused or wait for probes although engines are free.
TEST_CASE("when all engines restart at once no caller is refused beside a free slot [pace]")
{
    PacedFleet paced(true, kLoad);
    PacedFleet unpaced(false, kLoad);
    for (auto* fleet : { &paced, &unpaced }) {
        for (std::size_t i = 0; i < kEngines; ++i) {
            fleet->script(i, downBetween(2s, 4s));
            fleet->restartAt(i, 4s);
        }
        fleet->run(14s);
    }
    printCurves("all return", paced, unpaced);
    CHECK(paced.refusedBesideFreeSlot() == 0);
    CHECK(paced.failed() <= unpaced.failed() * 21 / 20);
    for (std::size_t i = 0; i < kEngines; ++i) {
        REQUIRE(paced.timeToShare(i, 4s));
        CHECK(*paced.timeToShare(i, 4s) <= kReturnBound);
    }
    MESSAGE("80 % of its share after ms: ", paced.timeToShare(0, 4s)->count());
}

// Guards against the same peak at each return of an engine that crashes again and again.
TEST_CASE("the peak of a flapping engine falls with each fall [pace]")
{
    static constexpr auto kPeriod = 4s;
    static constexpr int kFalls = 4;
    const auto flapping = [](std::size_t, milliseconds time) {
        const bool isDown = time >= 2s && time < 2s + kFalls * kPeriod && (time - 2s) % kPeriod < 1s;
        return Behaviour { isDown ? Answer::RefuseConnection : Answer::Serve };
    };
    PacedFleet paced(true, kLoad);
    PacedFleet unpaced(false, kLoad);
    for (auto* fleet : { &paced, &unpaced }) {
        fleet->script(0, flapping);
        for (int fall = 0; fall < kFalls; ++fall)
            fleet->restartAt(0, 3s + fall * kPeriod);
        fleet->run(50s);
    }
    int before = 2 * kSlots;
    int first = 0;
    for (int fall = 0; fall < kFalls; ++fall) {
        const auto start = 3s + fall * kPeriod;
        const auto end = 2s + (fall + 1) * kPeriod;
        MESSAGE("return ", fall + 1, ", sends and peak until the next fall: ", paced.sends(0, start, end), ", ", paced.peak(0, start, end), "; without pace: ",
            unpaced.sends(0, start, end), ", ", unpaced.peak(0, start, end));
        CHECK(paced.peak(0, start, start + 1s) <= kSlots);
        if (fall == kFalls - 1)
            break;
        const int peak = paced.peak(0, start, end);
        CHECK(peak < before);
        before = peak;
        if (fall == 0)
            first = peak;
    }
    CHECK(before * 2 <= first);
    constexpr auto kLastReturn = 3s + (kFalls - 1) * kPeriod;
    REQUIRE(paced.timeToShare(0, kLastReturn));
    // The ramp of 1.5 s and the release of 1 s take eight times as long.
    CHECK(*paced.timeToShare(0, kLastReturn) <= kDirectoryInterval + 8 * 2500ms);
    MESSAGE("80 % of its share after ms: ", paced.timeToShare(0, kLastReturn)->count());
}

// Guards against an engine that gains pace by answers that come far too late.
TEST_CASE("an engine that answers ten times too late gets few requests [pace]")
{
    const Behaviour grey { Answer::Serve, 10 };
    const auto paced = playReturn(true, 1, kLoad, grey);
    printCurves("grey", paced, playReturn(false, 1, kLoad, grey));
    CHECK(paced.peak(0, 4s, 14s) <= kSlots / 2);
    CHECK(paced.refused() == 0);
}

// Guards against an engine that is left idle because it was slow at first.
TEST_CASE("an engine that is slow at first carries its share soon after it has become fast [pace]")
{
    const Behaviour slow { Answer::Serve, 5 };
    const auto paced = playReturn(true, 1, kLoad, slow, 7s);
    printCurves("slow at first", paced, playReturn(false, 1, kLoad, slow, 7s));
    CHECK(paced.peak(0, 4s, 7s) <= kSlots / 2);
    REQUIRE(paced.timeToShare(0, 7s));
    CHECK(*paced.timeToShare(0, 7s) <= 5 * kServiceTime + kRampBound);
    MESSAGE("80 % of its share after ms: ", paced.timeToShare(0, 7s)->count());
}

// Guards against engines that attract requests by failing them.
TEST_CASE("errors and hanging requests never gain pace [pace]")
{
    const Behaviour fast { Answer::FailFast };
    const auto failing = playReturn(true, 1, kLoad, fast);
    printCurves("fast errors", failing, playReturn(false, 1, kLoad, fast));
    CHECK(failing.sends(0, 10s, 14s) <= playReturn(false, 1, kLoad, fast).sends(0, 10s, 14s));
    MESSAGE("fast errors, sends from 4 s to 14 s: ", failing.sends(0, 4s, 14s), "; without pace: ", playReturn(false, 1, kLoad, fast).sends(0, 4s, 14s));
    const Behaviour hang { Answer::Hang };
    const auto hanging = playReturn(true, 1, kLoad, hang);
    printCurves("accept and hang", hanging, playReturn(false, 1, kLoad, hang));
    CHECK(hanging.peak(0, 5500ms, 14s) <= kSlots / 2);
}

// Guards against a zone whose failures take an engine from all, and against callers of that zone who keep it for themselves.
TEST_CASE("an engine that fails one zone's callers only serves the others [pace]")
{
    constexpr std::size_t kZone = 10;
    const auto failing = [](std::size_t gateway, milliseconds time) {
        const bool isDown = (time >= 2s && time < 4s) || (time >= 4s && gateway < kZone);
        return Behaviour { isDown ? Answer::FailFast : Answer::Serve };
    };
    PacedFleet paced(true, kLoad);
    PacedFleet unpaced(false, kLoad);
    for (auto* fleet : { &paced, &unpaced }) {
        fleet->script(0, failing);
        fleet->restartAt(0, 4s);
        fleet->run(14s);
    }
    printCurves("fails one zone", paced, unpaced);
    const double share = kLoad * kSlots * (1s / kServiceTime);
    CHECK(paced.served(0, 8s, 14s) >= 0.8 * 6 * share * static_cast<double>(kGateways - kZone) / static_cast<double>(kGateways));
    CHECK(paced.failed() == 0);
}

// Guards against an engine that stays idle because the gateways hear nothing of each other.
TEST_CASE("without any reports a returned engine gets no more than its slots in its first second and its share later [pace]")
{
    PacedFleet paced(true, kLoad);
    paced.setReportLoss(1);
    paced.script(0, downBetween(2s, 4s));
    paced.restartAt(0, 4s);
    paced.run(20s);
    MESSAGE("no reports, sends/peak per 500 ms from 4 s: ", paced.curve(0, 4s, 14s), outcomeText(paced));
    CHECK(paced.peak(0, 4s, 5s) <= kSlots);
    REQUIRE(paced.timeToShare(0, 4s));
    MESSAGE("80 % of its share after ms: ", paced.timeToShare(0, 4s)->count());
    // All gateways are selected after four turns of a second without a send.
    CHECK(*paced.timeToShare(0, 4s) <= kDirectoryInterval + 4s + kRampBound);
}
