#include "placers.hpp"

#include "hornbeamgate/base/hash.hpp"

#include <algorithm>
#include <map>
#include <random>

namespace hornbeamgate::bench {

namespace {

    const DataCenterId kFirst("first");
    const DataCenterId kSecond("second");

    DataCenterId dataCenterOf(bool firstRegion)
    {
        return firstRegion ? kFirst : kSecond;
    }

    bool contains(const std::vector<std::size_t>& engines, std::size_t engine)
    {
        return std::find(engines.begin(), engines.end(), engine) != engines.end();
    }

    /// What the simple placers share: a daemon's view of which engines are up, which lags like every other message.
    class SimplePlacer : public Placer {
    public:
        explicit SimplePlacer(const BenchFleet& fleet)
            : m_fleet(fleet)
            , m_up(fleet.daemons, std::vector<bool>(fleet.engines.size(), true))
        {
        }

        std::optional<BenchPlacement> place(std::size_t, const WorkloadRequest& request, MonotonicTime deadline,
            const std::vector<std::size_t>& failed, MonotonicTime now) override
        {
            std::vector<std::size_t> usable;
            for (std::size_t engine = 0; engine < m_fleet.engines.size(); ++engine)
                if (m_fleet.sameRegion(request.daemon, engine) && m_up[request.daemon][engine] && !contains(failed, engine))
                    usable.push_back(engine);
            if (usable.empty())
                return std::nullopt;
            const auto engine = choose(request, usable, now);
            return BenchPlacement { engine, m_fleet.engines[engine].incarnation(), deadline };
        }

        void heard(std::uint32_t daemon, const RouterEvent& event, MonotonicTime) override
        {
            if (const auto* up = std::get_if<EndpointUp>(&event))
                m_up[daemon][indexOf(up->endpoint)] = true;
            if (const auto* down = std::get_if<EndpointDown>(&event))
                m_up[daemon][indexOf(down->endpoint)] = false;
            if (const auto* load = std::get_if<LoadReported>(&event))
                loadHeard(daemon, indexOf(load->endpoint), *load);
        }

    protected:
        virtual std::size_t choose(const WorkloadRequest& request, const std::vector<std::size_t>& usable, MonotonicTime now) = 0;
        virtual void loadHeard(std::uint32_t, std::size_t, const LoadReported&) { }

        std::size_t indexOf(const EndpointId& endpoint) const { return std::stoul(endpoint.value()); }

        const BenchFleet& m_fleet;

    private:
        std::vector<std::vector<bool>> m_up;
    };

    class RandomPlacer : public SimplePlacer {
    public:
        RandomPlacer(const BenchFleet& fleet, std::uint64_t seed)
            : SimplePlacer(fleet)
            , m_random(seed)
        {
        }

    protected:
        std::size_t choose(const WorkloadRequest&, const std::vector<std::size_t>& usable, MonotonicTime) override
        {
            return usable[m_random() % usable.size()];
        }

        std::mt19937_64 m_random;
    };

    /// Shortest reported queue plus this daemon's own placements since the report.
    class LeastLoadedPlacer : public RandomPlacer {
    public:
        LeastLoadedPlacer(const BenchFleet& fleet, std::uint64_t seed)
            : RandomPlacer(fleet, seed)
            , m_queues(fleet.daemons, std::vector<Duration>(fleet.engines.size()))
        {
        }

    protected:
        std::size_t choose(const WorkloadRequest& request, const std::vector<std::size_t>& usable, MonotonicTime) override
        {
            auto& queues = m_queues[request.daemon];
            const auto offset = m_random() % usable.size();
            auto best = usable[offset];
            for (std::size_t i = 0; i < usable.size(); ++i) {
                const auto engine = usable[(offset + i) % usable.size()];
                if (queues[engine] < queues[best])
                    best = engine;
            }
            queues[best] += m_fleet.engines[best].work(request, 0);
            return best;
        }

        void loadHeard(std::uint32_t daemon, std::size_t engine, const LoadReported& load) override
        {
            m_queues[daemon][engine] = load.queuedWork;
        }

    private:
        std::vector<std::vector<Duration>> m_queues;
    };

    /// Rendezvous hashing by the first blocks of the prompt.
    class ConsistentHashPlacer : public SimplePlacer {
    public:
        using SimplePlacer::SimplePlacer;

    protected:
        std::size_t choose(const WorkloadRequest& request, const std::vector<std::size_t>& usable, MonotonicTime) override
        {
            constexpr std::size_t kKeyBlocks = 4;
            const auto level = std::min(kKeyBlocks, request.blocks.size());
            const auto key = request.blocks[level - 1].value();
            return *std::max_element(usable.begin(), usable.end(), [&](std::size_t a, std::size_t b) {
                return rendezvousScore(std::to_string(a), key) < rendezvousScore(std::to_string(b), key);
            });
        }
    };

    /// Knows every cache, every queue and every failure at once and takes the soonest first token.
    class IdealPlacer : public Placer {
    public:
        explicit IdealPlacer(const BenchFleet& fleet)
            : m_fleet(fleet)
        {
        }

        std::optional<BenchPlacement> place(std::size_t, const WorkloadRequest& request, MonotonicTime deadline,
            const std::vector<std::size_t>&, MonotonicTime now) override
        {
            std::optional<std::size_t> best;
            Duration bestScore {};
            for (std::size_t engine = 0; engine < m_fleet.engines.size(); ++engine) {
                const auto& model = m_fleet.engines[engine];
                if (!model.alive())
                    continue;
                const auto score = m_fleet.transfer(request.daemon, engine, request) + m_fleet.price(request.daemon, engine, request)
                    + model.exactWait(request.workspace, now) + model.work(request, model.exactBlocks(request));
                if (!best || score < bestScore) {
                    best = engine;
                    bestScore = score;
                }
            }
            if (!best)
                return std::nullopt;
            return BenchPlacement { *best, m_fleet.engines[*best].incarnation(), deadline };
        }

    private:
        const BenchFleet& m_fleet;
    };

    /// One router of the project for each daemon.
    class RouterPlacer : public Placer {
    public:
        RouterPlacer(const BenchFleet& fleet, const RoutingPolicy& policy, const EngineCosts& costs, std::uint64_t seed)
        {
            for (std::uint32_t daemon = 0; daemon < fleet.daemons; ++daemon) {
                RouterOptions options;
                options.policy = policy;
                options.costs = costs;
                const bool firstRegion = daemon < fleet.firstRegionDaemons;
                options.paths = { fleet.near, fleet.far };
                options.paths[0].dataCenter = dataCenterOf(firstRegion);
                options.paths[1].dataCenter = dataCenterOf(!firstRegion);
                m_routers.push_back(Router::create(options, std::mt19937_64(seed + daemon)).value());
                for (std::size_t engine = 0; engine < fleet.engines.size(); ++engine)
                    m_routers.back().handle(EndpointUp { benchEndpoint(engine), Incarnation(1), dataCenterOf(engine < fleet.firstRegionEngines),
                                                { { ModelId("m"), WeightsVersion(1) } }, kBenchStart - std::chrono::seconds(100) },
                        kBenchStart);
            }
        }

        std::optional<BenchPlacement> place(std::size_t index, const WorkloadRequest& request, MonotonicTime deadline,
            const std::vector<std::size_t>& failed, MonotonicTime now) override
        {
            auto& router = m_routers[request.daemon];
            return timed([&] {
                if (!failed.empty())
                    return router.replace(PlacementFailed { RequestId(index) }, now);
                RequestArrived arrived { RequestId(index), ModelId("m"), WeightsVersion(1), request.blocks, request.promptBytes, 0, deadline };
                return router.place(arrived, now);
            });
        }

        std::optional<BenchPlacement> afterRefusal(
            std::size_t index, const WorkloadRequest& request, const AdmissionRefused& refused, MonotonicTime now) override
        {
            return timed([&] {
                return m_routers[request.daemon].replace(
                    PlacementRefused { RequestId(index), refused.queuedWork, refused.hitBlocks }, now);
            });
        }

        void heard(std::uint32_t daemon, const RouterEvent& event, MonotonicTime now) override { m_routers[daemon].handle(event, now); }

        bool asksBeforePaidLink() const override { return true; }

        std::size_t stateBytes() const override
        {
            std::size_t largest = 0;
            for (const auto& router : m_routers)
                largest = std::max(largest, router.stateBytes());
            return largest;
        }

        Duration decisionTime() const override { return m_decisions == 0 ? Duration {} : m_spent / m_decisions; }

    private:
        template <typename Decision>
        std::optional<BenchPlacement> timed(Decision decide)
        {
            const auto start = std::chrono::steady_clock::now();
            const auto result = decide();
            m_spent += std::chrono::steady_clock::now() - start;
            ++m_decisions;
            if (!result)
                return std::nullopt;
            return BenchPlacement { std::stoul(result->endpoint.value()), result->incarnation, result->acceptBefore };
        }

        std::vector<Router> m_routers;
        Duration m_spent {};
        std::int64_t m_decisions = 0;
    };

} // namespace

bool BenchFleet::sameRegion(std::uint32_t daemon, std::size_t engine) const
{
    return (daemon < firstRegionDaemons) == (engine < firstRegionEngines);
}

const DataCenterPath& BenchFleet::path(std::uint32_t daemon, std::size_t engine) const
{
    return sameRegion(daemon, engine) ? near : far;
}

Duration BenchFleet::transfer(std::uint32_t daemon, std::size_t engine, const WorkloadRequest& request) const
{
    const auto& way = path(daemon, engine);
    const std::chrono::duration<double> sending(static_cast<double>(request.promptBytes) / way.bytesPerSecond);
    return way.roundTrip / 2 + std::chrono::duration_cast<Duration>(sending);
}

Duration BenchFleet::price(std::uint32_t daemon, std::size_t engine, const WorkloadRequest& request) const
{
    constexpr double kBytesPerMegabyte = 1e6;
    const double megabytes = static_cast<double>(request.promptBytes) / kBytesPerMegabyte;
    return std::chrono::duration_cast<Duration>(path(daemon, engine).penaltyPerMegabyte * megabytes);
}

EndpointId benchEndpoint(std::size_t engine)
{
    return EndpointId(std::to_string(engine));
}

std::unique_ptr<Placer> makeRandomPlacer(const BenchFleet& fleet, std::uint64_t seed)
{
    return std::make_unique<RandomPlacer>(fleet, seed);
}

std::unique_ptr<Placer> makeLeastLoadedPlacer(const BenchFleet& fleet, std::uint64_t seed)
{
    return std::make_unique<LeastLoadedPlacer>(fleet, seed);
}

std::unique_ptr<Placer> makeConsistentHashPlacer(const BenchFleet& fleet)
{
    return std::make_unique<ConsistentHashPlacer>(fleet);
}

std::unique_ptr<Placer> makeIdealPlacer(const BenchFleet& fleet)
{
    return std::make_unique<IdealPlacer>(fleet);
}

std::unique_ptr<Placer> makeRouterPlacer(
    const BenchFleet& fleet, const RoutingPolicy& policy, const EngineCosts& costs, std::uint64_t seed)
{
    return std::make_unique<RouterPlacer>(fleet, policy, costs, seed);
}

} // namespace hornbeamgate::bench
