#include "hornbeamgate/keys/key_freshness.hpp"
#include "hornbeamgate/keys/keyed_streams.hpp"

#include "key_freshness_simulation.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace hornbeamgate;
using namespace hornbeamgate::test;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kStart { 1h };
const DataCenterId kNearDataCenter("near");
const DataCenterId kFarDataCenter("far");

KeyFreshness makeFreshness()
{
    auto freshness = KeyFreshness::create({}).value();
    freshness.handle(KeyDataCentersKnown { { kNearDataCenter, kFarDataCenter } }, kStart);
    return freshness;
}

std::optional<std::string> runSimulation(std::uint64_t seed, InjectedKeyBug bug, int ticks)
{
    KeyFreshnessSimulation simulation(seed, bug);
    for (int count = 0; count < ticks; ++count) {
        if (auto fault = simulation.tick())
            return fault;
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("key trust depends on the last confirmation and the reports of peers [keys]")
{
    struct Case {
        std::string_view what;
        std::optional<Duration> confirmedAgo; ///< age at `kStart` of this daemon's last confirmation
        std::vector<ConfigPeerReport> reports;
        Duration after;
        KeyTrust trust;
        bool cutsStreams;
    };
    const Case cases[] = {
        { "confirmed recently", 0s, {}, 5999ms, KeyTrust::Confirmed, false },
        { "only this daemon is isolated", 0s, {}, 6s, KeyTrust::Unconfirmed, false },
        { "only this daemon is isolated, past the stream limit", 0s, {}, 10s, KeyTrust::Unconfirmed, true },
        { "never confirmed", std::nullopt, {}, 0s, KeyTrust::Unconfirmed, true },
        { "report from only one data centre", 7s, { { kNearDataCenter, kStart, 5s } }, 0s, KeyTrust::Unconfirmed, false },
        { "all data centres report the outage", 7s, { { kNearDataCenter, kStart, 5s }, { kFarDataCenter, kStart, std::nullopt } }, 5999ms, KeyTrust::OutageEverywhere, false },
        { "reports have expired", 7s, { { kNearDataCenter, kStart, 5s }, { kFarDataCenter, kStart, 5s } }, 6s, KeyTrust::Unconfirmed, true },
        { "one peer reads the log", 7s, { { kNearDataCenter, kStart, 5s }, { kFarDataCenter, kStart, 5s }, { kFarDataCenter, kStart, 1s } }, 0s, KeyTrust::Unconfirmed, false },
    };
    for (const auto& entry : cases) {
        CAPTURE(entry.what);
        auto freshness = makeFreshness();
        if (entry.confirmedAgo)
            freshness.handle(ConfigConfirmed { kStart - *entry.confirmedAgo }, kStart);
        for (const auto& report : entry.reports)
            freshness.handle(report, kStart);
        CHECK(freshness.trust(kStart + entry.after) == entry.trust);
        CHECK(freshness.mustCutStreams(kStart + entry.after) == entry.cutsStreams);
    }
}

TEST_CASE("without known peers an unconfirmed daemon rejects keyed requests [keys]")
{
    auto freshness = KeyFreshness::create({}).value();
    freshness.handle(ConfigPeerReport { kNearDataCenter, kStart, std::nullopt }, kStart);
    CHECK_FALSE(freshness.mayAccept(kStart));
}

TEST_CASE("inconsistent age limits are rejected [keys]")
{
    CHECK_FALSE(KeyFreshness::create({ 0s, 1s, 1s }));
    CHECK_FALSE(KeyFreshness::create({ 6s, 5s, 3s }));
    CHECK_FALSE(KeyFreshness::create({ 6s, 10s, 6s }));
}

TEST_CASE("withdrawing a key cuts only the streams of that key [keys]")
{
    KeyedStreams streams;
    streams.start(RequestId(3), KeyId("a"));
    streams.start(RequestId(1), KeyId("a"));
    streams.start(RequestId(2), KeyId("b"));
    streams.start(RequestId(4), KeyId("a"));
    streams.end(RequestId(4));
    streams.end(RequestId(9));
    CHECK(streams.cut({ KeyId("a"), KeyId("c") }) == std::vector { RequestId(1), RequestId(3) });
    CHECK(streams.cut({ KeyId("a") }).empty());
    CHECK(streams.size() == 1);
    CHECK(streams.cutAll() == std::vector { RequestId(2) });
    CHECK(streams.size() == 0);
}

TEST_CASE("withdrawn keys are rejected within seconds and a complete log outage rejects no requests [keys]")
{
    CHECK(rc::check([](std::uint64_t seed) {
        if (const auto fault = runSimulation(seed, InjectedKeyBug::None, 1500))
            RC_FAIL(*fault);
    }));
}

TEST_CASE("the simulation detects each injected bug [keys]")
{
    struct Case {
        InjectedKeyBug bug;
        std::string_view expected;
    };
    const Case cases[] = {
        { InjectedKeyBug::IsolationCountsAsOutage, "withdrawn seconds ago" },
        { InjectedKeyBug::PeerReportsIgnored, "although no daemon is isolated" },
        { InjectedKeyBug::PeerReportNeverExpires, "withdrawn seconds ago" },
    };
    for (const auto& entry : cases) {
        std::optional<std::string> fault;
        for (std::uint64_t seed = 1; seed <= 50 && !fault; ++seed)
            fault = runSimulation(seed, entry.bug, 4000);
        CAPTURE(entry.expected);
        CAPTURE(static_cast<int>(entry.bug));
        REQUIRE(fault);
        CAPTURE(*fault);
        CHECK(fault->find(entry.expected) != std::string::npos);
    }
}
