#include "hornbeamgate/gateway/peer_report.hpp"
#include "hornbeamgate/event_log/store_era.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace std::chrono_literals;

TEST_CASE("a report is unchanged after encoding and decoding [peers]")
{
    PeerReport report;
    report.host = HostId("front-1");
    report.incarnation = Incarnation(77);
    report.address = { "10.0.0.1", 7600 };
    report.directoryEnds = { LogOffset(3), LogOffset(40), LogOffset(5), LogOffset(7) };
    report.drawn[WorkspaceId("w")] = 12345;
    report.loading.push_back({ EndpointId("e"), 900ms });
    report.loaded.push_back({ EndpointId("f"), ModelId("m"), WeightsVersion(4) });
    report.pendingPrefillTokens[EndpointId("e")] = 600;
    report.leadership = { true, FencingToken(23), 2, FencingToken(12) };
    report.orderAges.push_back({ EndpointId("e"), LogOffset(31), 120ms });
    report.isAskingForOrderAges = true;
    report.targetAges.push_back({ ModelId("m"), WeightsVersion(5), 700ms });
    report.isLeaving = true;
    report.blockUses.push_back({ EndpointId("g"), 0xfedcba9876543210, 250ms });
    report.quarantine.losses.push_back({ 1, 0xfedcba9876543210, { 3, 4 }, true, 900ms, 300ms });
    report.quarantine.answered.push_back({ 5, 20ms });
    report.quarantine.survivors.push_back({ 6, 1100ms, 30ms });
    report.quarantine.quarantined.push_back({ { 7, 8 }, 110s, 40ms, 2 });
    report.advisories.limits.push_back({ EndpointId("e"), Incarnation(9), 3.5, 40ms });
    report.advisories.limits.push_back({ EndpointId("f"), Incarnation(8), std::nullopt, 50ms });
    report.advisories.demand[ServiceId("s")] = 77;
    report.advisories.leaving.push_back({ EndpointId("g"), Incarnation(3) });
    report.rollouts.services.push_back({ ServiceId("s"), LogOffset(8), 1500ms, true, true, 4, { { EndpointId("e"), { { "read", { 20, 3 } }, { "write", { 5, 0 } } } } }, { { "read", { { 200, 2 }, 1800us } } } });
    const auto decoded = decodePeerReport(encodePeerReport(report));
    REQUIRE(decoded);
    CHECK(decoded->rollouts == report.rollouts);
    REQUIRE(decoded->advisories.limits.size() == 2);
    CHECK(decoded->advisories.limits[0].endpoint == EndpointId("e"));
    CHECK(decoded->advisories.limits[0].incarnation == Incarnation(9));
    CHECK(decoded->advisories.limits[0].requestsPerSecond == 3.5);
    CHECK(decoded->advisories.limits[0].age == 40ms);
    CHECK_FALSE(decoded->advisories.limits[1].requestsPerSecond);
    CHECK(decoded->advisories.demand == report.advisories.demand);
    REQUIRE(decoded->advisories.leaving.size() == 1);
    CHECK(decoded->advisories.leaving[0].endpoint == EndpointId("g"));
    CHECK(decoded->advisories.leaving[0].incarnation == Incarnation(3));
    CHECK(decoded->host == report.host);
    CHECK(decoded->incarnation == report.incarnation);
    CHECK(decoded->address == report.address);
    CHECK(decoded->directoryEnds == report.directoryEnds);
    CHECK(decoded->drawn == report.drawn);
    CHECK(decoded->loading.front().remaining == 900ms);
    CHECK(decoded->loaded.front().version == WeightsVersion(4));
    CHECK(decoded->pendingPrefillTokens == report.pendingPrefillTokens);
    CHECK(decoded->leadership == report.leadership);
    CHECK(decoded->orderAges == report.orderAges);
    CHECK(decoded->isAskingForOrderAges);
    REQUIRE(decoded->targetAges.size() == 1);
    CHECK(decoded->targetAges.front().version == WeightsVersion(5));
    CHECK(decoded->targetAges.front().age == 700ms);
    CHECK(decoded->isLeaving);
    REQUIRE(decoded->blockUses.size() == 1);
    CHECK(decoded->blockUses.front().endpoint == EndpointId("g"));
    CHECK(decoded->blockUses.front().blocks == 0xfedcba9876543210);
    CHECK(decoded->blockUses.front().age == 250ms);
    REQUIRE(decoded->quarantine.losses.size() == 1);
    CHECK(decoded->quarantine.losses[0].run == 1);
    CHECK(decoded->quarantine.losses[0].engine == 0xfedcba9876543210);
    CHECK(decoded->quarantine.losses[0].parts == std::vector<PartKey> { 3, 4 });
    CHECK(decoded->quarantine.losses[0].hasHead);
    CHECK(decoded->quarantine.losses[0].sentAge == 900ms);
    CHECK(decoded->quarantine.losses[0].lostAge == 300ms);
    REQUIRE(decoded->quarantine.answered.size() == 1);
    CHECK(decoded->quarantine.answered[0].part == 5);
    CHECK(decoded->quarantine.answered[0].age == 20ms);
    REQUIRE(decoded->quarantine.survivors.size() == 1);
    CHECK(decoded->quarantine.survivors[0].engine == 6);
    CHECK(decoded->quarantine.survivors[0].sentAge == 1100ms);
    CHECK(decoded->quarantine.survivors[0].answeredAge == 30ms);
    REQUIRE(decoded->quarantine.quarantined.size() == 1);
    CHECK(decoded->quarantine.quarantined[0].parts == std::set<PartKey> { 7, 8 });
    CHECK(decoded->quarantine.quarantined[0].remaining == 110s);
    CHECK(decoded->quarantine.quarantined[0].lostAge == 40ms);
    CHECK(decoded->quarantine.quarantined[0].renewals == 2);
}

TEST_CASE("positions and tokens of the last era are unchanged in a report [peers][store-return]")
{
    const auto era = storeEra((std::uint64_t { 1 } << kEraBits) - 1);
    const auto position = positionInEra(era, (std::uint64_t { 1 } << kOffsetBits) - 1);
    const auto token = tokenInEra(era, (std::uint64_t { 1 } << kGenerationBits) - 1);
    PeerReport report;
    report.host = HostId("front-1");
    report.directoryEnds = { position, position, position, position };
    report.leadership = { true, token, 2, token };
    report.orderAges.push_back({ OrderJournal::kAllEndpoints, position, 120ms });
    report.rollouts.services.push_back({ ServiceId("s"), position, 1500ms, true, true, 4, {}, {} });
    const auto decoded = decodePeerReport(encodePeerReport(report));
    REQUIRE(decoded);
    CHECK(decoded->directoryEnds == report.directoryEnds);
    CHECK(decoded->leadership == report.leadership);
    CHECK(decoded->orderAges == report.orderAges);
    CHECK(decoded->rollouts == report.rollouts);
}

// Guards against daemons that cannot read each other's reports while a fleet is updated, and against traffic in calm.
TEST_CASE("slow starts are the last field of a report and take no byte while there are none [peers]")
{
    PeerReport report;
    const auto calm = encodePeerReport(report).size();
    report.pace.entries.push_back({ 0xfedcba9876543210, 9, 11, 2, true, false, true });
    report.pace.entries.push_back({ 5, 0, 1, 0, false, true, false });
    const auto encoded = encodePeerReport(report);
    const auto decoded = decodePeerReport(encoded);
    REQUIRE(decoded);
    REQUIRE(decoded->pace.entries.size() == 2);
    CHECK(decoded->pace.entries[0].key == 0xfedcba9876543210);
    CHECK(decoded->pace.entries[0].credit == 9);
    CHECK(decoded->pace.entries[0].sends == 11);
    CHECK(decoded->pace.entries[0].falls == 2);
    CHECK(decoded->pace.entries[0].isFailing);
    CHECK_FALSE(decoded->pace.entries[0].isBusy);
    CHECK(decoded->pace.entries[0].isDone);
    CHECK(decoded->pace.entries[1].isBusy);
    report.pace.entries.clear();
    CHECK(encodePeerReport(report).size() == calm);
    CHECK(decodePeerReport(encodePeerReport(report))->pace.entries.empty());
}

TEST_CASE("daemons with and without version rollouts can decode each other's reports [peers]")
{
    // Daemons are replaced one after the other; a report that is rejected would count as a silent daemon.
    constexpr std::size_t kOlderTopics = 3;
    PeerReport report;
    report.host = HostId("front-1");
    report.directoryEnds = { LogOffset(3), LogOffset(40), LogOffset(5), LogOffset(7) };
    auto fields = *fromCbor(encodePeerReport(report));
    CHECK(fields.back() == nlohmann::json::array());
    REQUIRE(fields.at(2).size() > kOlderTopics);
    CHECK(fields.at(2).at(2) == 5);
    fields.erase(fields.size() - 1);
    fields.at(2).erase(kOlderTopics);
    const auto decoded = decodePeerReport(toCbor(fields));
    REQUIRE(decoded);
    CHECK(decoded->directoryEnds == std::array { LogOffset(3), LogOffset(40), LogOffset(5), LogOffset(0) });
    CHECK(decoded->rollouts.services.empty());
}

TEST_CASE("a report about a rollout with many engines fits into one packet [peers]")
{
    // A datagram of several packets is lost when one of them is, and reports go to every peer.
    constexpr std::size_t kMaxPacketPayload = 1400;
    PeerReport report;
    report.host = HostId("front-1");
    RolloutReport::Service service { ServiceId("huvo11a"), LogOffset(80000), 1500ms, false, false, 40, {}, {} };
    for (std::size_t i = 0; i < RolloutEvidence::kMaxReportedSamples; ++i)
        service.candidate[EndpointId("i-0caab3d0" + std::to_string(10 + i))]["r-d4m2rpt" + std::to_string(i % 4)] = { 70000, 300 };
    for (std::size_t i = 0; i < 4; ++i)
        service.control["r-d4m2rpt" + std::to_string(i)] = { { 90000, 300 }, 70000us };
    report.rollouts.services = { service };
    const auto size = encodePeerReport(report).size();
    CAPTURE(size);
    CHECK(size <= kMaxPacketPayload);
}

TEST_CASE("counts of a rollout that cannot be right are rejected or limited [peers]")
{
    PeerReport report;
    report.rollouts.services.push_back({ ServiceId("s"), LogOffset(8), 1500ms, false, false, 0, { { EndpointId("e"), { { "read", { 20, 30 } } } } }, {} });
    const auto decoded = decodePeerReport(encodePeerReport(report));
    REQUIRE(decoded);
    // More bad responses than responses would make the judgement meaningless.
    CHECK(decoded->rollouts.services.front().candidate.at(EndpointId("e")).at("read") == RouteSample { 20, 20 });
    auto fields = *fromCbor(encodePeerReport(report));
    constexpr std::size_t kRouteNames = 6;
    fields.back().at(0).at(kRouteNames) = nlohmann::json::array();
    CHECK_FALSE(decodePeerReport(toCbor(fields)));
}

TEST_CASE("withdrawn records and binary values are unchanged after encoding and decoding [peers]")
{
    const std::vector<DirectoryRecord> records { { "a", std::string("\x00\xff", 2), LogOffset(1) }, { "b", std::nullopt, LogOffset(2) } };
    const auto decoded = decodeRecords(encodeRecords(records));
    REQUIRE(decoded);
    REQUIRE(decoded->size() == 2);
    CHECK((*decoded)[0].value == records[0].value);
    CHECK_FALSE((*decoded)[1].value);
    CHECK((*decoded)[1].offset == LogOffset(2));
}

TEST_CASE("malformed input is rejected [peers]")
{
    CHECK_FALSE(decodePeerReport(Bytes { 0x01, 0x02 }));
    CHECK_FALSE(decodePeerReport(Bytes {}));
    auto encoded = encodePeerReport({});
    encoded.resize(encoded.size() / 2);
    CHECK_FALSE(decodePeerReport(encoded));
    CHECK_FALSE(decodeRecords(Bytes { 0x81, 0x01 }));
}

TEST_CASE("a report about lost runs with many prompt parts fits into a datagram [peers]")
{
    constexpr std::size_t kMaxDatagramPayload = 65507;
    PromptQuarantine quarantine;
    std::vector<PartKey> parts(150);
    for (std::size_t i = 0; i < parts.size(); ++i)
        parts[i] = ~PartKey(i);
    for (int i = 0; i < 64; ++i)
        quarantine.runLost({ static_cast<RunKey>(i), static_cast<EngineKey>(i % 2), parts, true, MonotonicTime {} + std::chrono::seconds(1), MonotonicTime {} + std::chrono::seconds(2) });
    PeerReport report;
    report.quarantine = quarantine.report(MonotonicTime {}, MonotonicTime {} + std::chrono::seconds(2));
    CHECK(encodePeerReport(report).size() <= kMaxDatagramPayload);
}

TEST_CASE("a notice of loading engines round-trips, and daemons that do not know notices ignore it [gateway]")
{
    const LoadingNotice notice { HostId("g2"), { { EndpointId("e1"), 250ms } }, { { EndpointId("e2"), ModelId("m"), WeightsVersion(3) } }, { { EndpointId("e1"), LogOffset(7), 40ms } } };
    const auto encoded = encodeLoadingNotice(notice);
    const auto message = decodePeerMessage(encoded);
    REQUIRE(message);
    const auto& decoded = std::get<LoadingNotice>(*message);
    CHECK(decoded.host == notice.host);
    REQUIRE(decoded.loading.size() == 1);
    CHECK(decoded.loading.front().endpoint == EndpointId("e1"));
    CHECK(decoded.loading.front().remaining == 250ms);
    REQUIRE(decoded.loaded.size() == 1);
    CHECK(decoded.loaded.front().version == WeightsVersion(3));
    CHECK(decoded.orderAges == notice.orderAges);
    CHECK_FALSE(decodePeerReport(encoded));
}
