#include "hornbeamgate/routing/router.hpp"

#include "hornbeamgate/routing/internal/candidates.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace hornbeamgate {

namespace {

    using internal::Candidate;
    using internal::EndpointSlot;

    constexpr std::size_t kMaxAlternatives = 4;
    constexpr std::size_t kMaxBlocksPerRequest = 512;

    struct InFlightRequest {
        RequestArrived request;
        EndpointSlot slot = 0;
        Incarnation incarnation;
        std::uint32_t attempts = 0;
        bool firstPieceSeen = false;
        internal::AttemptHistory history;
    };

    struct Counters {
        std::uint64_t placed = 0;
        std::uint64_t redirected = 0;
        std::uint64_t failed = 0;
        std::uint64_t refusedForDeadline = 0;
        std::uint64_t refusedOtherwise = 0;
        std::uint64_t blocksRequested = 0;
        std::uint64_t blocksHit = 0;
    };

    auto refuse(RoutingRefusalReason reason, std::optional<MonotonicTime> estimate = std::nullopt)
    {
        return failure(RoutingRefusal { reason, estimate });
    }

    std::optional<std::string> findInvalidOption(const RouterOptions& options)
    {
        if (options.paths.empty())
            return "no path to any data centre";
        for (const auto& path : options.paths)
            if (!(path.bytesPerSecond > 0))
                return "path to " + path.dataCenter.value() + " must carry more than zero bytes per second";
        if (options.costs.prefillPerBlock <= Duration::zero())
            return "prefill cost of a block must be positive";
        if (options.policy.maxAttempts == 0)
            return "at least one attempt must be allowed";
        if (options.policy.popularityHalfLife <= Duration::zero() || options.policy.warmUp <= Duration::zero())
            return "half-life and warm-up must be positive";
        return std::nullopt;
    }

} // namespace

struct Router::State {
    State(RouterOptions routerOptions, std::mt19937_64 randomGenerator)
        : options(std::move(routerOptions))
        , generator(randomGenerator)
        , tables { internal::EndpointTable(options.paths), internal::BlockLocationTable(options.blockLocationEntries),
            internal::BlockLocationTable(options.kvStoreEntries),
            internal::PrefixPopularity(options.popularityEntries, options.policy.popularityHalfLife) }
    {
    }

    void on(const EndpointUp& event, MonotonicTime) { tables.endpoints.up(event); }
    void on(const EndpointDown& event, MonotonicTime) { tables.endpoints.down(event); }
    void on(const EndpointLeaving& event, MonotonicTime) { tables.endpoints.leaving(event); }
    void on(const LoadReported& event, MonotonicTime) { tables.endpoints.report(event); }
    void on(const PrefixDigest& event, MonotonicTime now);
    void on(const KvBlocksStored& event, MonotonicTime now);
    void on(const FirstPieceSeen& event, MonotonicTime now);
    void on(const RequestFinished& event, MonotonicTime now);

    PlacementResult choose(InFlightRequest& inFlightRequest, MonotonicTime now);
    Placement assign(InFlightRequest& inFlightRequest, const std::vector<Candidate>& ranked, MonotonicTime now);
    PlacementResult retry(RequestId request, MonotonicTime now);
    MonotonicTime acceptBefore(
        const InFlightRequest& inFlightRequest, const std::vector<Candidate>& ranked, MonotonicTime now) const;
    void release(const InFlightRequest& inFlightRequest);
    void removePendingPrefill(const InFlightRequest& inFlightRequest);

    RouterOptions options;
    std::mt19937_64 generator;
    internal::RoutingTables tables;
    std::unordered_map<RequestId, InFlightRequest> inFlightRequests;
    Counters counters;
};

void Router::State::on(const PrefixDigest& event, MonotonicTime now)
{
    const auto slot = tables.endpoints.find(event.endpoint, event.incarnation);
    if (!slot)
        return;
    const internal::BlockLocation place { *slot, tables.endpoints[*slot].epoch, now + options.policy.digestLifetime };
    for (const auto& prefix : event.prefixes)
        tables.blockLocations.addLocation(prefix.block, place);
    for (const auto block : event.evicted)
        tables.blockLocations.removeLocation(block, *slot);
}

void Router::State::on(const KvBlocksStored& event, MonotonicTime now)
{
    for (const auto block : event.blocks)
        tables.kvStoreBlocks.addLocation(block, { 0, 0, now + options.policy.kvStoreLifetime });
}

void Router::State::on(const FirstPieceSeen& event, MonotonicTime now)
{
    const auto found = inFlightRequests.find(event.request);
    if (found == inFlightRequests.end() || found->second.firstPieceSeen)
        return;
    auto& inFlightRequest = found->second;
    inFlightRequest.firstPieceSeen = true;
    removePendingPrefill(inFlightRequest);
    counters.blocksRequested += inFlightRequest.request.blocks.size();
    counters.blocksHit += std::min<std::size_t>(event.hitBlocks, inFlightRequest.request.blocks.size());
    if (tables.endpoints[inFlightRequest.slot].incarnation == inFlightRequest.incarnation) {
        const internal::BlockLocation place { inFlightRequest.slot, tables.endpoints[inFlightRequest.slot].epoch,
            now + options.policy.locationLifetime };
        for (const auto block : inFlightRequest.request.blocks)
            tables.blockLocations.addLocation(block, place);
    }
    inFlightRequest.request.blocks = {};
}

void Router::State::on(const RequestFinished& event, MonotonicTime)
{
    const auto found = inFlightRequests.find(event.request);
    if (found == inFlightRequests.end())
        return;
    release(found->second);
    inFlightRequests.erase(found);
}

PlacementResult Router::State::choose(InFlightRequest& inFlightRequest, MonotonicTime now)
{
    const auto ranked = internal::rankCandidates(tables, options, inFlightRequest.request, inFlightRequest.history, generator, now);
    if (ranked.empty()) {
        ++counters.refusedOtherwise;
        return refuse(inFlightRequest.attempts == 0 ? RoutingRefusalReason::NoEndpoint : RoutingRefusalReason::AttemptsExhausted);
    }
    const auto soonest = std::min_element(ranked.begin(), ranked.end(),
        [](const Candidate& a, const Candidate& b) { return a.firstToken < b.firstToken; });
    const auto timeLeft = std::chrono::duration<double>(inFlightRequest.request.firstTokenDeadline - now);
    const auto limit = timeLeft * (1 + options.policy.refusalMargin);
    if (timeLeft.count() <= 0 || soonest->firstToken > limit) {
        ++counters.refusedForDeadline;
        return refuse(RoutingRefusalReason::DeadlineUnreachable, now + soonest->firstToken);
    }
    return assign(inFlightRequest, ranked, now);
}

Placement Router::State::assign(InFlightRequest& inFlightRequest, const std::vector<Candidate>& ranked, MonotonicTime now)
{
    const auto& chosen = ranked.front();
    auto& endpoint = tables.endpoints[chosen.slot];
    inFlightRequest.slot = chosen.slot;
    inFlightRequest.incarnation = endpoint.incarnation;
    ++inFlightRequest.attempts;
    endpoint.waiting.push_back({ inFlightRequest.request.request, now, chosen.work });
    ++endpoint.ownInFlight;
    ++counters.placed;

    Placement placement;
    placement.request = inFlightRequest.request.request;
    placement.endpoint = endpoint.id;
    placement.incarnation = endpoint.incarnation;
    placement.weights = inFlightRequest.request.weights;
    placement.expectedHitBlocks = chosen.hitBlocks;
    placement.importBlocks = chosen.importBlocks;
    placement.estimatedFirstToken = now + chosen.firstToken;
    placement.promptAfterAdmission = tables.endpoints.pathOf(endpoint).metered();
    placement.acceptBefore = acceptBefore(inFlightRequest, ranked, now);
    for (std::size_t i = 1; i < ranked.size() && i <= kMaxAlternatives; ++i)
        placement.alternatives.push_back(tables.endpoints[ranked[i].slot].id);
    return placement;
}

MonotonicTime Router::State::acceptBefore(
    const InFlightRequest& inFlightRequest, const std::vector<Candidate>& ranked, MonotonicTime now) const
{
    const auto deadline = inFlightRequest.request.firstTokenDeadline;
    if (!options.policy.useAgentRedirect || ranked.size() < 2 || inFlightRequest.attempts >= options.policy.maxAttempts)
        return deadline;
    const auto& chosen = ranked[0];
    const auto& next = ranked[1];
    const auto roundTrip = tables.endpoints.pathOf(tables.endpoints[chosen.slot]).roundTrip;
    const auto gain = std::max(Duration::zero(), next.score - chosen.score);
    const auto limit = now + chosen.firstToken + gain + roundTrip;
    return std::min(deadline, limit);
}

PlacementResult Router::State::retry(RequestId request, MonotonicTime now)
{
    auto& inFlightRequest = inFlightRequests.at(request);
    auto result = inFlightRequest.attempts < options.policy.maxAttempts
        ? choose(inFlightRequest, now)
        : PlacementResult(refuse(RoutingRefusalReason::AttemptsExhausted));
    if (!result)
        inFlightRequests.erase(request);
    return result;
}

void Router::State::release(const InFlightRequest& inFlightRequest)
{
    removePendingPrefill(inFlightRequest);
    auto& endpoint = tables.endpoints[inFlightRequest.slot];
    if (endpoint.live && endpoint.incarnation == inFlightRequest.incarnation && endpoint.ownInFlight > 0)
        --endpoint.ownInFlight;
}

void Router::State::removePendingPrefill(const InFlightRequest& inFlightRequest)
{
    std::erase_if(tables.endpoints[inFlightRequest.slot].waiting,
        [&](const internal::PendingPrefill& waiting) { return waiting.request == inFlightRequest.request.request; });
}

Result<Router, RouterOptionsError> Router::create(RouterOptions options, std::mt19937_64 generator)
{
    if (auto fault = findInvalidOption(options))
        return failure(RouterOptionsError { *std::move(fault) });
    return Router(std::make_unique<State>(std::move(options), generator));
}

Router::Router(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}

Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;
Router::~Router() = default;

void Router::handle(const RouterEvent& event, MonotonicTime now)
{
    std::visit([&](const auto& typed) { m_state->on(typed, now); }, event);
}

PlacementResult Router::place(const RequestArrived& request, MonotonicTime now)
{
    auto& state = *m_state;
    if (state.inFlightRequests.contains(request.request))
        return refuse(RoutingRefusalReason::DuplicateRequest);
    InFlightRequest inFlightRequest;
    inFlightRequest.request = request;
    if (inFlightRequest.request.blocks.size() > kMaxBlocksPerRequest)
        inFlightRequest.request.blocks.resize(kMaxBlocksPerRequest);
    auto result = state.choose(inFlightRequest, now);
    state.tables.popularity.record(inFlightRequest.request.blocks, now);
    if (result)
        state.inFlightRequests.emplace(request.request, std::move(inFlightRequest));
    return result;
}

PlacementResult Router::replace(const PlacementFailed& failed, MonotonicTime now)
{
    auto& state = *m_state;
    const auto found = state.inFlightRequests.find(failed.request);
    if (found == state.inFlightRequests.end() || found->second.firstPieceSeen)
        return refuse(RoutingRefusalReason::UnknownRequest);
    auto& inFlightRequest = found->second;
    state.release(inFlightRequest);
    ++state.counters.failed;
    inFlightRequest.history.failed.push_back(inFlightRequest.slot);
    auto& endpoint = state.tables.endpoints[inFlightRequest.slot];
    if (endpoint.incarnation == inFlightRequest.incarnation)
        endpoint.avoidUntil = now + state.options.policy.avoidAfterFailure;
    return state.retry(failed.request, now);
}

PlacementResult Router::replace(const PlacementRefused& refused, MonotonicTime now)
{
    auto& state = *m_state;
    const auto found = state.inFlightRequests.find(refused.request);
    if (found == state.inFlightRequests.end() || found->second.firstPieceSeen)
        return refuse(RoutingRefusalReason::UnknownRequest);
    auto& inFlightRequest = found->second;
    state.release(inFlightRequest);
    ++state.counters.redirected;
    inFlightRequest.history.reportedHits.push_back({ inFlightRequest.slot, refused.hitBlocks });
    auto& endpoint = state.tables.endpoints[inFlightRequest.slot];
    if (endpoint.incarnation == inFlightRequest.incarnation) {
        endpoint.queuedWork = refused.queuedWork;
        endpoint.reportedAt = std::max(endpoint.reportedAt, now);
    }
    return state.retry(refused.request, now);
}

std::size_t Router::inFlight() const
{
    return m_state->inFlightRequests.size();
}

std::size_t Router::inFlight(const EndpointId& endpoint) const
{
    const auto slot = m_state->tables.endpoints.find(endpoint);
    return slot ? m_state->tables.endpoints[*slot].ownInFlight : 0;
}

std::size_t Router::stateBytes() const
{
    constexpr std::size_t kMapNodeBytes = 32;
    std::size_t bytes = sizeof(State) + m_state->tables.endpoints.stateBytes() + m_state->tables.blockLocations.stateBytes()
        + m_state->tables.kvStoreBlocks.stateBytes()
        + m_state->tables.popularity.stateBytes();
    for (const auto& [id, inFlightRequest] : m_state->inFlightRequests)
        bytes += kMapNodeBytes + sizeof(inFlightRequest) + inFlightRequest.request.blocks.capacity() * sizeof(BlockHash);
    return bytes;
}

nlohmann::json Router::dump(MonotonicTime now) const
{
    const auto milliseconds = [](Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); };
    auto endpoints = nlohmann::json::array();
    for (const auto& state : m_state->tables.endpoints.states()) {
        endpoints.push_back({ { "endpoint", state.id.value() }, { "incarnation", state.incarnation.value() },
            { "live", state.live }, { "leaving", state.leaving }, { "running", state.running },
            { "in_flight", state.ownInFlight }, { "queue_ms", milliseconds(internal::estimateQueueDelay(state, now)) },
            { "report_age_ms", milliseconds(now - state.reportedAt) }, { "avoided", state.avoidUntil > now } });
    }
    const auto& counters = m_state->counters;
    return { { "endpoints", std::move(endpoints) }, { "in_flight", inFlight() }, { "state_bytes", stateBytes() },
        { "placed", counters.placed }, { "redirected", counters.redirected }, { "failed", counters.failed },
        { "refused_deadline", counters.refusedForDeadline }, { "refused_other", counters.refusedOtherwise },
        { "blocks_asked", counters.blocksRequested }, { "blocks_hit", counters.blocksHit } };
}

} // namespace hornbeamgate
