#include "hornbeamgate/settings/common_settings.hpp"

#include <fstream>
#include <sstream>

namespace hornbeamgate {

namespace {

    constexpr std::chrono::milliseconds kDefaultDrainTimeout { 300'000 };
    constexpr NumberRange kTimeoutRange { 1, 3'600'000 };

    LogLevel parseLogLevel(const std::string& name)
    {
        if (name == "debug")
            return LogLevel::Debug;
        if (name == "warning")
            return LogLevel::Warning;
        if (name == "error")
            return LogLevel::Error;
        return LogLevel::Info;
    }

    PlatformAddresses readPlatform(SettingsReader& reader)
    {
        PlatformAddresses platform;
        reader.enter("platform");
        platform.log = reader.address("log");
        platform.hosts = reader.address("hosts");
        platform.weights = reader.address("weights");
        reader.leave();
        return platform;
    }

} // namespace

std::vector<DataCenterLocation> readDataCenters(SettingsReader& reader, const CommonSettings& common)
{
    std::vector<DataCenterLocation> locations { { common.dataCenter, common.region } };
    if (!reader.has("data_centers"))
        return locations;
    for (const auto& item : reader.texts("data_centers")) {
        const auto space = item.find(' ');
        if (space == 0 || space == std::string::npos || space + 1 == item.size()) {
            reader.addFault("data_centers", "each item must have the form \"DATA_CENTRE REGION\"");
            continue;
        }
        const DataCenterLocation location { DataCenterId(item.substr(0, space)), RegionId(item.substr(space + 1)) };
        if (location.dataCenter != common.dataCenter)
            locations.push_back(location);
    }
    return locations;
}

LogLevel readLogLevel(SettingsReader& reader)
{
    if (!reader.has("log_level"))
        return LogLevel::Info;
    return parseLogLevel(reader.choice("log_level", { "info", "debug", "warning", "error" }));
}

CommonSettings readCommonSettings(SettingsReader& reader)
{
    CommonSettings settings;
    settings.host = HostId(reader.text("host"));
    settings.dataCenter = DataCenterId(reader.text("data_center"));
    settings.region = RegionId(reader.text("region"));
    settings.link = reader.address("link");
    settings.admin = reader.address("admin");
    settings.platform = readPlatform(reader);
    settings.logLevel = readLogLevel(reader);
    settings.drainTimeout = reader.milliseconds("drain_timeout_ms", kTimeoutRange, kDefaultDrainTimeout);
    return settings;
}

Result<std::string, SettingsFault> readSettingsFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return failure(SettingsFault { "/", "cannot open " + path });
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

} // namespace hornbeamgate
