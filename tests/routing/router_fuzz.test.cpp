#include "routing/router_fixture.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <functional>
#include <map>
#include <set>

using namespace hornbeamgate;
using namespace hornbeamgate::test;

namespace {

constexpr std::size_t kEngines = 5;

/// Selects the events that reach the router, so that a test can drop events to provoke faults. Returns false to drop an event.
using EventFilter = std::function<bool(const RouterEvent&)>;

/// Drives a router and a simple reference model with the same events and compares them.
class RouterOracle {
public:
    explicit RouterOracle(EventFilter filter)
        : m_filter(std::move(filter))
    {
    }

    /// Applies the step encoded in `code`; returns false if the router violated an invariant.
    bool step(std::uint32_t code)
    {
        const std::size_t number = code / 16 % kEngines;
        m_now += milliseconds(code / 256 % 400);
        switch (code % 16) {
        case 0:
            return up(number, true);
        case 1:
            return up(number, false);
        case 2:
            m_engines[number].live = false;
            return deliver(EndpointDown { engine(number), Incarnation(m_engines[number].incarnation) });
        case 3:
            return leave(number);
        case 4:
            return deliver(LoadReported { engine(number), Incarnation(m_engines[number].incarnation), code % 7,
                milliseconds(code % 3000), m_now - milliseconds(code % 1000) });
        case 5:
            return deliver(PrefixDigest { engine(number), Incarnation(m_engines[number].incarnation), { { chain(code % 4, 3)[2], 1 } }, { chain(code / 7 % 4, 3)[2] } });
        case 12:
            return deliver(KvBlocksStored { { chain(code % 4, 3)[2] } });
        case 6:
        case 7:
            return firstPiece(code);
        case 8:
        case 9:
            return finishOne(code);
        case 10:
            return retry(code, true);
        case 11:
            return retry(code, false);
        default:
            return place(code);
        }
    }

    bool drain()
    {
        while (!m_open.empty())
            if (!finishOne(0))
                return false;
        for (std::size_t i = 0; i < kEngines; ++i)
            if (m_router.inFlight(engine(i)) != 0)
                return false;
        return m_router.inFlight() == 0;
    }

private:
    struct Engine {
        std::uint64_t incarnation = 0;
        std::uint64_t weights = 1;
        bool live = false;
        bool leaving = false;
    };
    struct Open {
        std::uint64_t weights = 0;
        std::size_t attempts = 0;
        bool answered = false;
        std::set<EndpointId> failed;
        EndpointId endpoint;
    };

    bool deliver(const RouterEvent& event)
    {
        if (m_filter(event))
            m_router.handle(event, m_now);
        return consistent();
    }

    bool up(std::size_t number, bool restart)
    {
        auto& state = m_engines[number];
        if (restart || !state.live)
            state = { state.incarnation + 1, state.weights, true, false };
        else
            ++state.weights;
        auto event = upEvent(number, state.incarnation, state.weights);
        event.readySince = m_now;
        return deliver(event);
    }

    bool leave(std::size_t number)
    {
        m_engines[number].leaving = m_engines[number].live;
        return deliver(EndpointLeaving { engine(number), Incarnation(m_engines[number].incarnation) });
    }

    bool allowed(const Placement& placement, const Open& open) const
    {
        for (std::size_t i = 0; i < kEngines; ++i) {
            const auto& state = m_engines.at(i);
            if (engine(i) == placement.endpoint)
                return state.live && !state.leaving && state.weights == open.weights
                    && placement.weights == WeightsVersion(open.weights)
                    && placement.incarnation == Incarnation(state.incarnation) && !open.failed.contains(placement.endpoint);
        }
        return false;
    }

    bool place(std::uint32_t code)
    {
        const auto id = ++m_lastId;
        Open open;
        open.weights = 1 + code / 64 % 3;
        const auto result = m_router.place(request(id, chain(code / 512 % 4, code % 5), m_now, open.weights), m_now);
        if (!result)
            return consistent();
        return accept(id, open, *result);
    }

    bool accept(std::uint64_t id, Open open, const Placement& placement)
    {
        const bool ok = allowed(placement, open) && placement.acceptBefore > m_now
            && open.attempts < routerOptions().policy.maxAttempts;
        ++open.attempts;
        open.endpoint = placement.endpoint;
        m_open[id] = open;
        return ok && consistent();
    }

    bool retry(std::uint32_t code, bool failed)
    {
        if (m_open.empty())
            return true;
        const auto found = std::next(m_open.begin(), code / 16 % static_cast<std::ptrdiff_t>(m_open.size()));
        const auto [id, open] = *found;
        const auto result = failed ? m_router.replace(PlacementFailed { RequestId(id) }, m_now)
                                   : m_router.replace(PlacementRefused { RequestId(id), milliseconds(code % 2000), code % 5 }, m_now);
        if (open.answered)
            return !result && consistent();
        if (!result) {
            m_open.erase(id);
            return consistent();
        }
        auto next = open;
        if (failed)
            next.failed.insert(open.endpoint);
        return accept(id, next, *result);
    }

    bool firstPiece(std::uint32_t code)
    {
        if (m_open.empty())
            return deliver(FirstPieceSeen { RequestId(m_lastId + 1), 3 });
        const auto found = std::next(m_open.begin(), code / 16 % static_cast<std::ptrdiff_t>(m_open.size()));
        found->second.answered = true;
        return deliver(FirstPieceSeen { RequestId(found->first), code % 40 });
    }

    bool finishOne(std::uint32_t code)
    {
        if (m_open.empty())
            return deliver(RequestFinished { RequestId(m_lastId + 1) });
        const auto found = std::next(m_open.begin(), code / 16 % static_cast<std::ptrdiff_t>(m_open.size()));
        const auto id = found->first;
        m_open.erase(found);
        return deliver(RequestFinished { RequestId(id) });
    }

    bool consistent() const { return m_router.inFlight() == m_open.size(); }

    EventFilter m_filter;
    Router m_router = makeRouter();
    MonotonicTime m_now = kStart;
    std::map<std::size_t, Engine> m_engines { { 0, {} }, { 1, {} }, { 2, {} }, { 3, {} }, { 4, {} } };
    std::map<std::uint64_t, Open> m_open;
    std::uint64_t m_lastId = 0;
};

bool holdsInvariants(const std::vector<std::uint32_t>& codes, EventFilter filter)
{
    RouterOracle oracle(std::move(filter));
    for (const auto code : codes)
        if (!oracle.step(code))
            return false;
    return oracle.drain();
}

template <typename Event>
bool isNot(const RouterEvent& event)
{
    return !std::holds_alternative<Event>(event);
}

rc::Gen<std::vector<std::uint32_t>> stepCodes()
{
    return rc::gen::container<std::vector<std::uint32_t>>(300, rc::gen::inRange<std::uint32_t>(0, 1U << 20));
}

bool everySequenceHoldsInvariants(const EventFilter& filter)
{
    std::mt19937 generator(20261204);
    for (int run = 0; run < 60; ++run) {
        std::vector<std::uint32_t> codes(300);
        for (auto& code : codes)
            code = generator() % (1U << 20);
        if (!holdsInvariants(codes, filter))
            return false;
    }
    return true;
}

} // namespace

TEST_CASE("any sequence of events keeps placements on live, current endpoints and counts exact [routing]")
{
    CHECK(rc::check([] { RC_ASSERT(holdsInvariants(*stepCodes(), [](const RouterEvent&) { return true; })); }));
}

TEST_CASE("the oracle detects a router that misses one kind of event [routing]")
{
    CHECK(everySequenceHoldsInvariants([](const RouterEvent&) { return true; }));
    CHECK_FALSE(everySequenceHoldsInvariants(isNot<EndpointDown>));
    CHECK_FALSE(everySequenceHoldsInvariants(isNot<EndpointLeaving>));
    CHECK_FALSE(everySequenceHoldsInvariants(isNot<RequestFinished>));
    CHECK_FALSE(everySequenceHoldsInvariants(isNot<FirstPieceSeen>));
    CHECK_FALSE(everySequenceHoldsInvariants([](const RouterEvent& event) {
        const auto* up = std::get_if<EndpointUp>(&event);
        return up == nullptr || up->models[0].weights == WeightsVersion(1);
    }));
}
