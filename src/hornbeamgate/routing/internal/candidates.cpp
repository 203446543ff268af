#include "hornbeamgate/routing/internal/candidates.hpp"

#include <algorithm>
#include <cmath>

namespace hornbeamgate::internal {

namespace {

    constexpr std::size_t kMaxLocationCandidates = 8;
    constexpr double kBytesPerMegabyte = 1e6;

    Duration scale(Duration duration, double factor)
    {
        return std::chrono::duration_cast<Duration>(duration * factor);
    }

    bool contains(const std::vector<EndpointSlot>& slots, EndpointSlot slot)
    {
        return std::find(slots.begin(), slots.end(), slot) != slots.end();
    }

    /// Collects the candidate endpoints of one request and estimates the cost of each.
    class CandidateRanking {
    public:
        CandidateRanking(RoutingTables& tables, const RouterOptions& options, const RequestArrived& request,
            const AttemptHistory& history, std::mt19937_64& generator, MonotonicTime now)
            : m_tables(tables)
            , m_options(options)
            , m_policy(options.policy)
            , m_request(request)
            , m_history(history)
            , m_generator(generator)
            , m_now(now)
            , m_blocks(static_cast<std::uint32_t>(request.blocks.size()))
        {
        }

        std::vector<Candidate> rank()
        {
            partitionEndpoints();
            m_kvStoreDepth = findKvStoreDepth();
            if (!m_unmetered.empty())
                addHomes(m_unmetered);
            if (!m_metered.empty())
                addMetered();
            addKnownHolders();
            addSampled(m_unmetered.empty() ? m_metered : m_unmetered);
            applyReportedHits();
            for (auto& candidate : m_candidates)
                estimate(candidate);
            std::sort(m_candidates.begin(), m_candidates.end(),
                [](const Candidate& a, const Candidate& b) { return a.score < b.score; });
            return std::move(m_candidates);
        }

    private:
        const EndpointState& stateOf(EndpointSlot slot) const { return m_tables.endpoints[slot]; }

        /// Partitions the usable endpoints by whether they are behind a metered link. Endpoints that failed recently are used
        /// only if there is no other endpoint.
        void partitionEndpoints()
        {
            std::vector<EndpointSlot> avoided;
            for (const auto slot : m_tables.endpoints.servers({ m_request.model, m_request.weights })) {
                if (contains(m_history.failed, slot))
                    continue;
                const auto& state = stateOf(slot);
                if (state.avoidUntil > m_now)
                    avoided.push_back(slot);
                else if (m_tables.endpoints.pathOf(state).metered())
                    m_metered.push_back(slot);
                else
                    m_unmetered.push_back(slot);
            }
            if (m_unmetered.empty() && m_metered.empty())
                m_unmetered = std::move(avoided);
        }

        HomeRanking rankHomesAmong(std::vector<EndpointSlot> servers) const
        {
            return rankHomes(
                m_tables.endpoints, std::move(servers), m_request.blocks, m_tables.popularity, m_policy, m_now);
        }

        void addHomes(const std::vector<EndpointSlot>& servers)
        {
            auto ranking = rankHomesAmong(servers);
            const std::size_t wanted = m_policy.homeCandidates + m_policy.sampledCandidates;
            if (ranking.homes.size() > wanted)
                keepRandomSubset(ranking.homes, wanted);
            for (const auto slot : ranking.homes)
                add(slot, ranking.likelyCachedBlocks, true);
            const std::size_t fallbacks = std::min<std::size_t>(m_policy.homeCandidates, ranking.fallbacks.size());
            for (std::size_t i = 0; i < fallbacks; ++i)
                add(ranking.fallbacks[i].slot, std::min(ranking.likelyCachedBlocks, ranking.fallbacks[i].sharedBlocks), false);
        }

        void addMetered()
        {
            if (m_unmetered.empty()) {
                addHomes(m_metered);
                return;
            }
            const auto ranking = rankHomesAmong(m_metered);
            add(ranking.homes.front(), ranking.likelyCachedBlocks, false);
        }

        void addKnownHolders()
        {
            if (!m_policy.useBlockLocations)
                return;
            std::size_t added = 0;
            for (std::uint32_t depth = m_blocks; depth > 0 && added < kMaxLocationCandidates; --depth) {
                m_tables.blockLocations.forEach(m_request.blocks[depth - 1], m_now, [&](const BlockLocation& location) {
                    if (location.epoch != stateOf(location.slot).epoch || !usable(location.slot))
                        return;
                    add(location.slot, depth, false);
                    ++added;
                });
            }
        }

        void addSampled(const std::vector<EndpointSlot>& servers)
        {
            for (std::uint32_t i = 0; i < m_policy.sampledCandidates && !servers.empty(); ++i) {
                const auto slot = servers[m_generator() % servers.size()];
                const double chance = std::uniform_real_distribution<double>()(m_generator);
                if (chance < warmUpWeight(stateOf(slot), m_policy, m_now))
                    add(slot, 0, false);
            }
        }

        bool usable(EndpointSlot slot) const { return contains(m_unmetered, slot) || contains(m_metered, slot); }

        void keepRandomSubset(std::vector<EndpointSlot>& slots, std::size_t count)
        {
            for (std::size_t i = 0; i < count; ++i)
                std::swap(slots[i], slots[i + m_generator() % (slots.size() - i)]);
            slots.resize(count);
        }

        void add(EndpointSlot slot, std::uint32_t hitBlocks, bool home)
        {
            for (auto& known : m_candidates) {
                if (known.slot != slot)
                    continue;
                known.hitBlocks = std::max(known.hitBlocks, hitBlocks);
                known.home = known.home || home;
                return;
            }
            Candidate candidate;
            candidate.slot = slot;
            candidate.hitBlocks = hitBlocks;
            candidate.home = home;
            m_candidates.push_back(candidate);
        }

        void applyReportedHits()
        {
            for (const auto& known : m_history.reportedHits)
                for (auto& candidate : m_candidates)
                    if (candidate.slot == known.slot)
                        candidate.hitBlocks = std::min(known.hitBlocks, m_blocks);
        }

        void estimate(Candidate& candidate)
        {
            const auto& state = stateOf(candidate.slot);
            const auto& costs = m_options.costs;
            const auto& path = m_tables.endpoints.pathOf(state);
            const std::uint32_t missed = m_blocks - candidate.hitBlocks;
            candidate.importBlocks = importableBlocks(candidate.hitBlocks, path);
            const auto recompute
                = costs.prefillPerBlock * (missed - candidate.importBlocks) + path.importPerBlock * candidate.importBlocks;
            const auto bytes = static_cast<double>(m_request.promptBytes);
            const auto transfer = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(bytes / path.bytesPerSecond));
            const auto price = scale(path.penaltyPerMegabyte, bytes / kBytesPerMegabyte);
            const auto queue = estimateQueueDelay(state, m_now) + decodeSlotWait(state);
            candidate.work = costs.firstTokenOverhead + recompute + partialBlockTime();
            const auto roundTrips = path.metered() ? 2 * path.roundTrip : path.roundTrip;
            candidate.firstToken = roundTrips + transfer + queue + candidate.work;
            candidate.score = roundTrips + transfer + price + candidate.work + scale(recompute, m_policy.missWeight - 1);
            if (m_policy.useBoundedLoad)
                candidate.score += queue;
            if (!candidate.home)
                candidate.score += scale(recompute, m_policy.homePreference);
            if (m_policy.jitter > Duration::zero())
                candidate.score += Duration(m_generator() % static_cast<std::uint64_t>(m_policy.jitter.count()));
        }

        std::uint32_t importableBlocks(std::uint32_t hitBlocks, const DataCenterPath& path) const
        {
            const bool cheaper = path.importPerBlock > Duration::zero() && path.importPerBlock < m_options.costs.prefillPerBlock;
            return cheaper && m_kvStoreDepth > hitBlocks ? m_kvStoreDepth - hitBlocks : 0;
        }

        /// Returns the number of leading blocks that are in the KV store.
        std::uint32_t findKvStoreDepth() const
        {
            for (std::uint32_t depth = m_blocks; depth > 0; --depth) {
                bool stored = false;
                m_tables.kvStoreBlocks.forEach(m_request.blocks[depth - 1], m_now, [&](const BlockLocation&) { stored = true; });
                if (stored)
                    return depth;
            }
            return 0;
        }

        /// Returns the prefill time of the incomplete last block, which is never cached.
        Duration partialBlockTime() const
        {
            const std::size_t whole = m_request.blocks.size() * kBytesPerBlock;
            if (m_request.promptBytes <= whole)
                return Duration::zero();
            const auto rest = static_cast<double>(m_request.promptBytes - whole);
            return scale(m_options.costs.prefillPerBlock, rest / static_cast<double>(kBytesPerBlock));
        }

        Duration decodeSlotWait(const EndpointState& state) const
        {
            const auto& costs = m_options.costs;
            if (state.running < costs.decodeSlots)
                return Duration::zero();
            return costs.slotTurnover * (state.running - costs.decodeSlots + 1);
        }

        RoutingTables& m_tables;
        const RouterOptions& m_options;
        const RoutingPolicy& m_policy;
        const RequestArrived& m_request;
        const AttemptHistory& m_history;
        std::mt19937_64& m_generator;
        MonotonicTime m_now;
        std::uint32_t m_blocks;
        std::uint32_t m_kvStoreDepth = 0;
        std::vector<EndpointSlot> m_unmetered;
        std::vector<EndpointSlot> m_metered;
        std::vector<Candidate> m_candidates;
    };

} // namespace

std::vector<Candidate> rankCandidates(RoutingTables& tables, const RouterOptions& options,
    const RequestArrived& request, const AttemptHistory& history, std::mt19937_64& generator, MonotonicTime now)
{
    return CandidateRanking(tables, options, request, history, generator, now).rank();
}

} // namespace hornbeamgate::internal
