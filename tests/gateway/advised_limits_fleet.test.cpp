#include "hornbeamgate/gateway/endpoint_advisories.hpp"

#include "gateway/time_support.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <random>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using hornbeamgate::gateway::testing::at;
using namespace std::chrono_literals;

namespace {

/// Time from the first naming of a limit until it binds, and from a daemon's first response with it until the daemon counts.
constexpr auto kAdjustment = 4s;
constexpr auto kDaemonAdjustment = 500ms;
/// Span over which a limit is judged.
constexpr auto kWindow = 4s;

struct Traffic {
    std::vector<double> requestsPerSecond; ///< of each daemon
    double largeShare = 0.1;
    double reportLoss = 0;
    std::chrono::milliseconds quietUntil { 0 }; ///< one request per second and daemon until then
};

/// Plays daemons that send requests to engines with limits and report to each other, with delays and losses.
class LimitFleet {
public:
    LimitFleet(Traffic traffic, const std::vector<double>& limits, std::uint64_t seed)
        : m_traffic(std::move(traffic))
        , m_random(seed)
    {
        for (std::size_t i = 0; i < m_traffic.requestsPerSecond.size(); ++i)
            m_daemons.emplace_back(HostId("front-" + std::to_string(i)));
        for (const double limit : limits)
            m_engines.push_back({ limit, {}, {}, {} });
    }

    /// Limits are named from the start until `end`, and again from `end` + 1 s on.
    void run(std::chrono::milliseconds duration, std::chrono::milliseconds end)
    {
        for (auto time = 0ms; time < duration; time += kStep) {
            m_now = at(time);
            m_areLimitsNamed = time < end || time > end + 1s;
            deliver();
            for (std::size_t i = 0; i < m_daemons.size(); ++i)
                step(i, time);
        }
    }

    /// Returns the highest ratio of arrivals in a window to what the rule allows.
    double worstRatio() const
    {
        double worst = 0;
        for (const auto& engine : m_engines) {
            std::vector<MonotonicTime> counted;
            for (const auto& arrival : engine.arrivals) {
                const auto told = engine.toldAt.find(arrival.daemon);
                if (engine.firstNamed && arrival.time >= *engine.firstNamed + kAdjustment && told != engine.toldAt.end() && arrival.time >= told->second + kDaemonAdjustment)
                    counted.push_back(arrival.time);
            }
            std::sort(counted.begin(), counted.end());
            std::size_t first = 0;
            for (std::size_t last = 0; last < counted.size(); ++last) {
                while (counted[first] + kWindow <= counted[last])
                    ++first;
                const double allowed = 1.5 * engine.limit * 4 + 5;
                worst = std::max(worst, static_cast<double>(last - first + 1) / allowed);
            }
        }
        return worst;
    }

    /// Returns the requests per second that an engine got on average from `start` on, of all daemons.
    double meanRate(std::size_t engine, std::chrono::milliseconds start, std::chrono::milliseconds end) const
    {
        const auto& arrivals = m_engines[engine].arrivals;
        const auto count = std::count_if(arrivals.begin(), arrivals.end(), [&](const auto& arrival) { return arrival.time >= at(start) && arrival.time < at(end); });
        return static_cast<double>(count) / std::chrono::duration<double>(end - start).count();
    }

private:
    static constexpr auto kStep = 10ms;
    static constexpr auto kFleetInterval = 250ms;

    struct Daemon {
        explicit Daemon(const HostId& name)
            : host(name)
            , advisories(name)
        {
        }
        HostId host;
        EndpointAdvisories advisories;
        MonotonicTime nextReport {};
    };
    struct Arrival {
        MonotonicTime time;
        std::size_t daemon;
    };
    struct Engine {
        double limit = 0;
        std::vector<Arrival> arrivals;
        std::map<std::size_t, MonotonicTime> toldAt; ///< first response with the limit, by daemon
        std::optional<MonotonicTime> firstNamed;
    };

    static EndpointInstance instance(std::size_t engine) { return { EndpointId("e" + std::to_string(engine)), Incarnation(1), ServiceId("s") }; }
    double random() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    std::chrono::milliseconds randomDelay(int low, int high) { return std::chrono::milliseconds(std::uniform_int_distribution<int>(low, high)(m_random)); }

    void step(std::size_t index, std::chrono::milliseconds time)
    {
        auto& daemon = m_daemons[index];
        if (time % kFleetInterval == 0ms) {
            std::vector<HostId> others;
            for (const auto& other : m_daemons) {
                if (other.host != daemon.host)
                    others.push_back(other.host);
            }
            daemon.advisories.setFleet(others, m_now);
        }
        if (m_now >= daemon.nextReport)
            report(daemon);
        const double rate = time < m_traffic.quietUntil ? 1.0 : m_traffic.requestsPerSecond[index];
        if (random() < rate * std::chrono::duration<double>(kStep).count())
            handleRequest(index);
    }

    void report(Daemon& daemon)
    {
        const auto interval = std::clamp<std::chrono::milliseconds>(12ms * static_cast<int>(m_daemons.size() - 1), 200ms, 1000ms);
        daemon.nextReport = m_now + interval;
        const auto content = daemon.advisories.report(m_now - 3 * interval, m_now);
        for (auto& receiver : m_daemons) {
            if (receiver.host == daemon.host || random() < m_traffic.reportLoss)
                continue;
            later(m_now + randomDelay(1, 60), [this, &receiver, content, sender = daemon.host] {
                receiver.advisories.setPeerDemand(sender, content.demand);
                for (const auto& limit : content.limits)
                    receiver.advisories.recordPeerLimit({ limit.endpoint, limit.incarnation, ServiceId("s") }, limit, m_now);
            });
        }
    }

    void handleRequest(std::size_t index)
    {
        auto& daemon = m_daemons[index];
        daemon.advisories.recordRequest(ServiceId("s"), m_now);
        const auto size = random() < m_traffic.largeShare ? RequestSize::Large : RequestSize::Small;
        const auto first = static_cast<std::size_t>(random() * static_cast<double>(m_engines.size()));
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            const auto engine = (first + i) % m_engines.size();
            if (!daemon.advisories.admits(instance(engine), size, m_now))
                continue;
            daemon.advisories.recordSend(instance(engine), m_now);
            send(index, engine);
            return;
        }
    }

    void send(std::size_t index, std::size_t engineIndex)
    {
        later(m_now + randomDelay(1, 60), [this, index, engineIndex, sentAt = m_now] {
            m_engines[engineIndex].arrivals.push_back({ m_now, index });
            later(m_now + randomDelay(10, 500), [this, index, engineIndex, sentAt] { answer(index, engineIndex, sentAt); });
        });
    }

    void answer(std::size_t index, std::size_t engineIndex, MonotonicTime sentAt)
    {
        auto& engine = m_engines[engineIndex];
        EndpointAdvice advice;
        if (m_areLimitsNamed)
            advice.requestsPerSecond = engine.limit;
        if (m_areLimitsNamed && !engine.firstNamed)
            engine.firstNamed = m_now;
        later(m_now + randomDelay(1, 60), [this, index, engineIndex, sentAt, advice] {
            m_daemons[index].advisories.recordResponse(instance(engineIndex), advice, sentAt, m_now);
            if (advice.requestsPerSecond)
                m_engines[engineIndex].toldAt.emplace(index, m_now);
        });
    }

    void later(MonotonicTime time, std::function<void()> action) { m_events.emplace(time, std::move(action)); }

    void deliver()
    {
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            const auto action = std::move(m_events.extract(m_events.begin()).mapped());
            action();
        }
    }

    Traffic m_traffic;
    std::mt19937_64 m_random;
    std::vector<Daemon> m_daemons;
    std::vector<Engine> m_engines;
    std::multimap<MonotonicTime, std::function<void()>> m_events;
    MonotonicTime m_now {};
    bool m_areLimitsNamed = true;
};

Traffic uniformTraffic(std::size_t daemons, double requestsPerSecond)
{
    Traffic traffic;
    traffic.requestsPerSecond.assign(daemons, requestsPerSecond / static_cast<double>(daemons));
    return traffic;
}

} // namespace

TEST_CASE("any fleet under any traffic keeps to the limits that engines name [limits]")
{
    CHECK(rc::check([] {
        const auto size = *rc::gen::element<std::size_t>(1, 2, 4, 5, 20, 68);
        Traffic traffic;
        for (std::size_t i = 0; i < size; ++i)
            traffic.requestsPerSecond.push_back(*rc::gen::element(0.0, 0.5, 5.0, 30.0, 90.0));
        traffic.largeShare = *rc::gen::element(0.0, 0.1, 0.5);
        traffic.reportLoss = *rc::gen::element(0.0, 0.05, 0.3);
        traffic.quietUntil = *rc::gen::element(0ms, 7000ms);
        std::vector<double> limits;
        limits.resize(*rc::gen::inRange<std::size_t>(1, 4));
        for (auto& limit : limits)
            limit = *rc::gen::element(0.0, 0.3, 1.0, 3.8, 9.2, 40.0);
        LimitFleet fleet(traffic, limits, *rc::gen::arbitrary<std::uint64_t>());
        // A limit that is lifted for a moment may let requests through.
        fleet.run(14s, 20s);
        RC_ASSERT(fleet.worstRatio() <= 1.0);
    }));
}

TEST_CASE("large requests that all come at once keep to the limit [limits]")
{
    for (const std::size_t size : { std::size_t { 5 }, std::size_t { 20 }, std::size_t { 68 } }) {
        CAPTURE(size);
        auto traffic = uniformTraffic(size, 2000);
        traffic.largeShare = 1;
        traffic.quietUntil = 8s;
        LimitFleet fleet(traffic, { 0.5, 3, 12 }, 4);
        fleet.run(14s, 20s);
        CHECK(fleet.worstRatio() <= 1.0);
    }
}

TEST_CASE("the share of an idle daemon serves the others [limits]")
{
    // All callers are at one of five gateways, as the balancer's hash may have it.
    Traffic traffic;
    traffic.requestsPerSecond = { 60, 0, 0, 0, 0 };
    LimitFleet fleet(traffic, { 6 }, 1);
    fleet.run(20s, 30s);
    CHECK(fleet.worstRatio() <= 1.0);
    CHECK(fleet.meanRate(0, 6s, 20s) > 0.8 * 6);
}

TEST_CASE("an engine with a limit is used up to it by fleets of any size [limits]")
{
    for (const std::size_t size : { std::size_t { 1 }, std::size_t { 5 }, std::size_t { 20 }, std::size_t { 68 } }) {
        CAPTURE(size);
        LimitFleet fleet(uniformTraffic(size, 200), { 6, 9 }, 2);
        fleet.run(20s, 30s);
        CHECK(fleet.worstRatio() <= 1.0);
        CHECK(fleet.meanRate(0, 6s, 20s) > 0.8 * 6);
        CHECK(fleet.meanRate(1, 6s, 20s) > 0.8 * 9);
    }
}

TEST_CASE("all daemons use an engine fully again once it names no limit [limits]")
{
    LimitFleet fleet(uniformTraffic(5, 100), { 4 }, 3);
    fleet.run(10s, 8s);
    CHECK(fleet.meanRate(0, 6s, 8s) < 1.6 * 4);
    CHECK(fleet.meanRate(0, 8500ms, 9s) > 10 * 4);
}
