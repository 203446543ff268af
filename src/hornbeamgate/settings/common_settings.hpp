#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/observability/log.hpp"
#include "hornbeamgate/settings/settings_reader.hpp"

namespace hornbeamgate {

/// Data centre and the region in which it lies.
struct DataCenterLocation {
    DataCenterId dataCenter;
    RegionId region;

    bool operator==(const DataCenterLocation&) const = default;
};

/// Addresses of the platform's services.
struct PlatformAddresses {
    SocketAddress log;
    SocketAddress hosts;
    SocketAddress weights;
};

/// Settings that every daemon has.
struct CommonSettings {
    HostId host;
    DataCenterId dataCenter;
    RegionId region;
    SocketAddress link; ///< where other processes of this system connect
    SocketAddress admin; ///< metrics, health, readiness and state dump
    PlatformAddresses platform;
    LogLevel logLevel = LogLevel::Info;
    Duration drainTimeout {}; ///< a drain that lasts longer ends the process
};

/// Reads the common part out of the top-level object of `reader`.
CommonSettings readCommonSettings(SettingsReader& reader);

/// Reads `data_centers`, whose items have the form `DATA_CENTRE REGION`. The own data centre comes first in any case.
std::vector<DataCenterLocation> readDataCenters(SettingsReader& reader, const CommonSettings& common);

/// Reads `log_level`, which may be missing.
LogLevel readLogLevel(SettingsReader& reader);

/// Reads the whole file at `path`.
Result<std::string, SettingsFault> readSettingsFile(const std::string& path);

} // namespace hornbeamgate
