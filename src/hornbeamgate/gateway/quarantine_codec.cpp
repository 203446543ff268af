#include "hornbeamgate/gateway/quarantine_codec.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hornbeamgate::gateway {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

    /// Ages and remaining times of a quarantine lie below this.
    constexpr std::chrono::hours kMaxQuarantineTime { 1 };
    constexpr int kMaxRenewals = 16;

    milliseconds duration(const json& value)
    {
        return std::clamp(milliseconds(value.get<std::int64_t>()), milliseconds(0), milliseconds(kMaxQuarantineTime));
    }

    void addAge(QuarantineReport& report, milliseconds age)
    {
        for (auto& loss : report.losses) {
            loss.sentAge += age;
            loss.lostAge += age;
        }
        for (auto& answered : report.answered)
            answered.age += age;
        for (auto& survivor : report.survivors) {
            survivor.sentAge += age;
            survivor.answeredAge += age;
        }
        for (auto& quarantined : report.quarantined) {
            quarantined.remaining = std::max(milliseconds(0), quarantined.remaining - age);
            quarantined.lostAge += age;
        }
    }

} // namespace

json encodeQuarantine(const QuarantineReport& report)
{
    json losses = json::array();
    for (const auto& loss : report.losses)
        losses.push_back(json::array({ loss.run, loss.engine, loss.parts, loss.hasHead, loss.sentAge.count(), loss.lostAge.count() }));
    json answered = json::array();
    for (const auto& part : report.answered)
        answered.push_back(json::array({ part.part, part.age.count() }));
    json survivors = json::array();
    for (const auto& engine : report.survivors)
        survivors.push_back(json::array({ engine.engine, engine.sentAge.count(), engine.answeredAge.count() }));
    json quarantined = json::array();
    for (const auto& part : report.quarantined)
        quarantined.push_back(json::array({ part.parts, part.remaining.count(), part.lostAge.count(), part.renewals }));
    return json::array({ std::move(losses), std::move(answered), std::move(survivors), std::move(quarantined) });
}

QuarantineReport decodeQuarantine(const json& value)
{
    QuarantineReport report;
    for (const auto& item : value.at(0))
        report.losses.push_back({ item.at(0).get<RunKey>(), item.at(1).get<EngineKey>(), item.at(2).get<std::vector<PartKey>>(), item.at(3).get<bool>(), duration(item.at(4)), duration(item.at(5)) });
    for (const auto& item : value.at(1))
        report.answered.push_back({ item.at(0).get<PartKey>(), duration(item.at(1)) });
    for (const auto& item : value.at(2))
        report.survivors.push_back({ item.at(0).get<EngineKey>(), duration(item.at(1)), duration(item.at(2)) });
    for (const auto& item : value.at(3))
        report.quarantined.push_back({ item.at(0).get<std::set<PartKey>>(), duration(item.at(1)), duration(item.at(2)), std::clamp(item.at(3).get<int>(), 0, kMaxRenewals) });
    return report;
}

Bytes encodeStoredQuarantine(const QuarantineReport& report, WallTime writtenAt)
{
    const auto written = std::chrono::duration_cast<milliseconds>(writtenAt.time_since_epoch());
    return toCbor(json::array({ written.count(), encodeQuarantine(report) }));
}

Result<QuarantineReport, CodecError> decodeStoredQuarantine(BytesView encoded, WallTime now)
{
    const auto value = fromCbor(encoded);
    if (!value)
        return failure(value.error());
    try {
        const WallTime writtenAt { milliseconds(value->at(0).get<std::int64_t>()) };
        // The clocks of two hosts may differ.
        const auto age = std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(now - writtenAt));
        if (age > kMaxQuarantineTime)
            return failure(CodecError { "the report is too old" });
        auto report = decodeQuarantine(value->at(1));
        addAge(report, age);
        return report;
    } catch (const json::exception& error) {
        return failure(CodecError { error.what() });
    }
}

} // namespace hornbeamgate::gateway
