#include "hornbeamgate/gateway/peer_report.hpp"

#include "hornbeamgate/gateway/quarantine_codec.hpp"
#include "hornbeamgate/gateway/rollout_report_codec.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hornbeamgate::gateway {

using nlohmann::json;

namespace {

    using std::chrono::milliseconds;

    /// Ages lie below this.
    constexpr std::chrono::hours kMaxAge { 1 };
    /// Demand that a daemon can report for a service, in requests.
    constexpr std::int64_t kMaxDemand = 1'000'000;

    milliseconds age(const json& value)
    {
        return std::clamp(milliseconds(value.get<std::int64_t>()), milliseconds(0), milliseconds(kMaxAge));
    }

    /// Stands for "no limit" in a report.
    constexpr double kNoLimit = -1;

    json encodeAdvisories(const AdvisoryReport& report)
    {
        json limits = json::array();
        for (const auto& limit : report.limits)
            limits.push_back(json::array({ limit.endpoint.value(), limit.incarnation.value(), limit.requestsPerSecond.value_or(kNoLimit), limit.age.count() }));
        json demand = json::array();
        for (const auto& [service, requests] : report.demand)
            demand.push_back(json::array({ service.value(), requests }));
        json leaving = json::array();
        for (const auto& endpoint : report.leaving)
            leaving.push_back(json::array({ endpoint.endpoint.value(), endpoint.incarnation.value() }));
        return json::array({ std::move(limits), std::move(demand), std::move(leaving) });
    }

    AdvisoryReport decodeAdvisories(const json& value)
    {
        AdvisoryReport report;
        for (const auto& item : value.at(0)) {
            const auto rate = item.at(2).get<double>();
            report.limits.push_back({ EndpointId(item.at(0).get<std::string>()), Incarnation(item.at(1).get<std::uint64_t>()), rate >= 0 ? std::optional(rate) : std::nullopt, age(item.at(3)) });
        }
        for (const auto& item : value.at(1))
            report.demand[ServiceId(item.at(0).get<std::string>())] = std::clamp<std::int64_t>(item.at(1).get<std::int64_t>(), 0, kMaxDemand);
        for (const auto& item : value.at(2))
            report.leaving.push_back({ EndpointId(item.at(0).get<std::string>()), Incarnation(item.at(1).get<std::uint64_t>()) });
        return report;
    }

    /// Bits of the state of an endpoint in slow start.
    constexpr unsigned kFailingBit = 1;
    constexpr unsigned kBusyBit = 2;
    constexpr unsigned kDoneBit = 4;
    /// Responses and sends that a daemon can report for a slow start, which ends far below.
    constexpr std::int64_t kMaxPaceCount = 1'000'000;
    /// Falls beyond it make no difference.
    constexpr std::int64_t kMaxPaceFalls = 100;

    json encodePace(const PaceReport& report)
    {
        json entries = json::array();
        for (const auto& entry : report.entries) {
            const unsigned bits = (entry.isFailing ? kFailingBit : 0) | (entry.isBusy ? kBusyBit : 0) | (entry.isDone ? kDoneBit : 0);
            entries.push_back(json::array({ entry.key, entry.credit, entry.sends, entry.falls, bits }));
        }
        return entries;
    }

    int paceCount(const json& value, std::int64_t most)
    {
        return static_cast<int>(std::clamp<std::int64_t>(value.get<std::int64_t>(), 0, most));
    }

    PaceReport decodePace(const json& value)
    {
        PaceReport report;
        for (const auto& item : value) {
            const auto bits = item.at(4).get<unsigned>();
            report.entries.push_back({ item.at(0).get<std::uint64_t>(), paceCount(item.at(1), kMaxPaceCount), paceCount(item.at(2), kMaxPaceCount), paceCount(item.at(3), kMaxPaceFalls),
                (bits & kFailingBit) != 0, (bits & kBusyBit) != 0, (bits & kDoneBit) != 0 });
        }
        return report;
    }

    json encodeLoading(const std::vector<LoadingEngine>& loading)
    {
        json list = json::array();
        for (const auto& engine : loading)
            list.push_back(json::array({ engine.endpoint.value(), engine.remaining.count() }));
        return list;
    }

    std::vector<LoadingEngine> decodeLoading(const json& value)
    {
        std::vector<LoadingEngine> loading;
        for (const auto& item : value)
            loading.push_back({ EndpointId(item.at(0).get<std::string>()), std::chrono::milliseconds(item.at(1).get<std::int64_t>()) });
        return loading;
    }

    json encodeLoaded(const std::vector<LoadedWeights>& loaded)
    {
        json list = json::array();
        for (const auto& weights : loaded)
            list.push_back(json::array({ weights.endpoint.value(), weights.model.value(), weights.version.value() }));
        return list;
    }

    std::vector<LoadedWeights> decodeLoaded(const json& value)
    {
        std::vector<LoadedWeights> loaded;
        for (const auto& item : value)
            loaded.push_back({ EndpointId(item.at(0).get<std::string>()), ModelId(item.at(1).get<std::string>()), WeightsVersion(item.at(2).get<std::uint64_t>()) });
        return loaded;
    }

    json encodeOrderAges(const std::vector<OrderAge>& orders)
    {
        json list = json::array();
        for (const auto& order : orders)
            list.push_back(json::array({ order.endpoint.value(), order.requestedAt.value(), order.age.count() }));
        return list;
    }

    std::vector<OrderAge> decodeOrderAges(const json& value)
    {
        std::vector<OrderAge> orders;
        for (const auto& item : value)
            orders.push_back({ EndpointId(item.at(0).get<std::string>()), LogOffset(item.at(1).get<std::uint64_t>()), age(item.at(2)) });
        return orders;
    }

    /// Marks a notice: a report begins with the name of its host.
    constexpr int kLoadingNotice = 1;

    LoadingNotice decodeNotice(const json& value)
    {
        return { HostId(value.at(1).get<std::string>()), decodeLoading(value.at(2)), decodeLoaded(value.at(3)), decodeOrderAges(value.at(4)) };
    }

    PeerReport decodeReport(const json& value)
    {
        /// Reports of daemons that do not number their leaderships end here.
        constexpr std::size_t kFieldsWithoutGenerations = 14;
        /// Reports of daemons that do not quarantine prompts end here.
        constexpr std::size_t kFieldsWithoutQuarantine = 19;
        /// Reports of daemons that do not keep to limits of endpoints end here.
        constexpr std::size_t kFieldsWithoutAdvisories = 20;
        /// Reports of daemons that do not know version rollouts end here.
        constexpr std::size_t kFieldsWithoutRollouts = 21;
        /// Daemons that do not know version rollouts report the ends of this many topics.
        constexpr std::size_t kTopicsWithoutStatus = 3;
        /// Reports of daemons that know no endpoint in slow start end here.
        constexpr std::size_t kFieldsWithoutPace = 22;
        PeerReport report;
        report.host = HostId(value.at(0).get<std::string>());
        report.incarnation = Incarnation(value.at(1).get<std::uint64_t>());
        const auto& ends = value.at(2);
        for (std::size_t i = 0; i < kDirectoryTopics && i < std::max(ends.size(), kTopicsWithoutStatus); ++i)
            report.directoryEnds[i] = LogOffset(ends.at(i).get<std::uint64_t>());
        for (const auto& item : value.at(3))
            report.drawn[WorkspaceId(item.at(0).get<std::string>())] = item.at(1).get<std::int64_t>();
        report.loading = decodeLoading(value.at(4));
        report.address = { value.at(5).get<std::string>(), value.at(6).get<std::uint16_t>() };
        report.loaded = decodeLoaded(value.at(7));
        for (const auto& item : value.at(8))
            report.pendingPrefillTokens[EndpointId(item.at(0).get<std::string>())] = item.at(1).get<std::int64_t>();
        report.leadership.isLeader = value.at(9).get<bool>();
        report.leadership.resignations = value.at(10).get<std::uint64_t>();
        report.isLeaving = value.at(11).get<bool>();
        // Field 12 held the leader's recent orders; it stays empty so that older daemons can read the report.
        for (const auto& item : value.at(13))
            report.blockUses.push_back({ EndpointId(item.at(0).get<std::string>()), item.at(1).get<BlockKey>(), std::chrono::milliseconds(item.at(2).get<std::int64_t>()) });
        if (value.size() <= kFieldsWithoutGenerations)
            return report;
        report.leadership.generation = FencingToken(value.at(14).get<std::uint64_t>());
        report.leadership.resignedGeneration = FencingToken(value.at(15).get<std::uint64_t>());
        for (const auto& item : value.at(16))
            report.targetAges.push_back({ ModelId(item.at(0).get<std::string>()), WeightsVersion(item.at(1).get<std::uint64_t>()), age(item.at(2)) });
        report.orderAges = decodeOrderAges(value.at(17));
        report.isAskingForOrderAges = value.at(18).get<bool>();
        if (value.size() > kFieldsWithoutQuarantine)
            report.quarantine = decodeQuarantine(value.at(19));
        if (value.size() > kFieldsWithoutAdvisories)
            report.advisories = decodeAdvisories(value.at(20));
        if (value.size() > kFieldsWithoutRollouts)
            report.rollouts = decodeRolloutReport(value.at(21));
        if (value.size() > kFieldsWithoutPace)
            report.pace = decodePace(value.at(22));
        return report;
    }

} // namespace

Bytes encodeLoadingNotice(const LoadingNotice& notice)
{
    return toCbor(json::array({ kLoadingNotice, notice.host.value(), encodeLoading(notice.loading), encodeLoaded(notice.loaded), encodeOrderAges(notice.orderAges) }));
}

Bytes encodePeerReport(const PeerReport& report)
{
    json ends = json::array();
    for (const auto end : report.directoryEnds)
        ends.push_back(end.value());
    json drawn = json::array();
    for (const auto& [workspace, units] : report.drawn)
        drawn.push_back(json::array({ workspace.value(), units }));
    json targetAges = json::array();
    for (const auto& target : report.targetAges)
        targetAges.push_back(json::array({ target.model.value(), target.version.value(), target.age.count() }));
    json pendingPrefills = json::array();
    for (const auto& [endpoint, tokens] : report.pendingPrefillTokens)
        pendingPrefills.push_back(json::array({ endpoint.value(), tokens }));
    json blockUses = json::array();
    for (const auto& blockUse : report.blockUses)
        blockUses.push_back(json::array({ blockUse.endpoint.value(), blockUse.blocks, blockUse.age.count() }));
    auto fields = json::array({ report.host.value(), report.incarnation.value(), std::move(ends), std::move(drawn), encodeLoading(report.loading),
        report.address.ip, report.address.port, encodeLoaded(report.loaded), std::move(pendingPrefills), report.leadership.isLeader, report.leadership.resignations, report.isLeaving, json::array(), std::move(blockUses),
        report.leadership.generation.value(), report.leadership.resignedGeneration.value(), std::move(targetAges), encodeOrderAges(report.orderAges), report.isAskingForOrderAges, encodeQuarantine(report.quarantine), encodeAdvisories(report.advisories), encodeRolloutReport(report.rollouts) });
    if (!report.pace.entries.empty())
        fields.push_back(encodePace(report.pace));
    return toCbor(fields);
}

Result<PeerReport, CodecError> decodePeerReport(BytesView encoded)
{
    auto message = decodePeerMessage(encoded);
    if (!message)
        return failure(message.error());
    auto* report = std::get_if<PeerReport>(&*message);
    if (!report)
        return failure(CodecError { "not a report" });
    return std::move(*report);
}

Result<PeerMessage, CodecError> decodePeerMessage(BytesView encoded)
{
    const auto value = fromCbor(encoded);
    if (!value)
        return failure(value.error());
    try {
        const bool isNotice = value->at(0).is_number() && value->at(0).get<int>() == kLoadingNotice;
        return isNotice ? PeerMessage(decodeNotice(*value)) : PeerMessage(decodeReport(*value));
    } catch (const json::exception& error) {
        return failure(CodecError { error.what() });
    }
}

Bytes encodeRecords(const std::vector<DirectoryRecord>& records)
{
    json list = json::array();
    for (const auto& record : records) {
        json item = json::array({ record.key, record.offset.value() });
        if (record.value)
            item.push_back(json::binary({ record.value->begin(), record.value->end() }));
        list.push_back(std::move(item));
    }
    return toCbor(list);
}

Result<std::vector<DirectoryRecord>, CodecError> decodeRecords(BytesView encoded)
{
    constexpr std::size_t kFieldsWithValue = 3;
    const auto value = fromCbor(encoded);
    if (!value)
        return failure(value.error());
    try {
        std::vector<DirectoryRecord> records;
        for (const auto& item : *value) {
            DirectoryRecord record { item.at(0).get<std::string>(), std::nullopt, LogOffset(item.at(1).get<std::uint64_t>()) };
            if (item.size() == kFieldsWithValue) {
                const auto& bytes = item.at(2).get_binary();
                record.value = std::string(bytes.begin(), bytes.end());
            }
            records.push_back(std::move(record));
        }
        return records;
    } catch (const json::exception& error) {
        return failure(CodecError { error.what() });
    }
}

} // namespace hornbeamgate::gateway
