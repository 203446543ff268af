#include "hornbeamgate/settings/entry_settings.hpp"

namespace hornbeamgate {

namespace {

    constexpr std::int64_t kDefaultMaxBodyBytes = std::int64_t { 8 } * 1024 * 1024;
    constexpr std::int64_t kDefaultMaxUnsentBytes = std::int64_t { 256 } * 1024;
    constexpr NumberRange kByteRange { 1024, std::int64_t { 1024 } * 1024 * 1024 };
    constexpr NumberRange kTimeoutRange { 1, 3'600'000 };
    constexpr std::chrono::milliseconds kDefaultFirstPieceTimeout { 30'000 };
    constexpr std::chrono::milliseconds kDefaultPieceTimeout { 5'000 };
    constexpr std::size_t kMinPepperLength = 16;

    std::vector<RegionId> readRegions(SettingsReader& reader, const RegionId& own)
    {
        if (!reader.has("regions"))
            return { own };
        std::vector<RegionId> regions;
        bool listsOwn = false;
        for (const auto& name : reader.texts("regions")) {
            regions.emplace_back(name);
            listsOwn = listsOwn || regions.back() == own;
        }
        if (!listsOwn)
            reader.addFault("regions", "must include the region of this host");
        return regions;
    }

    std::string readPepper(SettingsReader& reader)
    {
        auto pepper = reader.text("key_pepper");
        if (!pepper.empty() && pepper.size() < kMinPepperLength)
            reader.addFault("key_pepper", "must have at least 16 characters");
        return pepper;
    }

    EntrySettings readEntry(SettingsReader& reader)
    {
        EntrySettings settings;
        settings.common = readCommonSettings(reader);
        settings.regions = readRegions(reader, settings.common.region);
        settings.dataCenters = readDataCenters(reader, settings.common);
        settings.callers = reader.address("callers");
        settings.maxBodyBytes = static_cast<std::size_t>(reader.number("max_body_bytes", kByteRange, kDefaultMaxBodyBytes));
        settings.maxUnsentBytes = static_cast<std::size_t>(reader.number("max_unsent_bytes", kByteRange, kDefaultMaxUnsentBytes));
        settings.keyPepper = readPepper(reader);
        settings.firstPieceTimeout = reader.milliseconds("first_piece_timeout_ms", kTimeoutRange, kDefaultFirstPieceTimeout);
        settings.pieceTimeout = reader.milliseconds("piece_timeout_ms", kTimeoutRange, kDefaultPieceTimeout);
        return settings;
    }

} // namespace

Result<EntrySettings, std::vector<SettingsFault>> parseEntrySettings(std::string_view text)
{
    auto reader = SettingsReader::create(text);
    if (!reader)
        return failure(std::vector { reader.error() });
    const auto settings = readEntry(*reader);
    auto faults = reader->finish();
    if (!faults.empty())
        return failure(std::move(faults));
    return settings;
}

std::vector<std::string> entrySettingsKeys()
{
    auto reader = SettingsReader::create("{}");
    readEntry(*reader);
    return reader->knownKeys();
}

} // namespace hornbeamgate
