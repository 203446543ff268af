#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/observability/log.hpp"
#include "hornbeamgate/settings/settings_reader.hpp"

namespace hornbeamgate {

/// Data centre and the region to which it belongs.
struct DataCenterLocation {
    DataCenterId dataCenter;
    RegionId region;

    bool operator==(const DataCenterLocation&) const = default;
};

/// Addresses of the platform services.
struct PlatformAddresses {
    SocketAddress log;
    SocketAddress hosts;
    SocketAddress weights;
};

/// Settings shared by all daemons.
struct CommonSettings {
    HostId host;
    DataCenterId dataCenter;
    RegionId region;
    SocketAddress link; ///< listening address for connections from other processes of this system
    SocketAddress admin; ///< listening address for metrics, health, readiness and state dump
    PlatformAddresses platform;
    LogLevel logLevel = LogLevel::Info;
    Duration drainTimeout {}; ///< maximum duration of a drain before the process exits
};

/// Reads the common settings from the top-level object of `reader`.
CommonSettings readCommonSettings(SettingsReader& reader);

/// Reads `data_centers`, whose items have the form `DATA_CENTRE REGION`. This host's own data centre is always the first
/// item of the result.
std::vector<DataCenterLocation> readDataCenters(SettingsReader& reader, const CommonSettings& common);

/// Reads the optional setting `log_level`.
LogLevel readLogLevel(SettingsReader& reader);

/// Reads the whole file at `path`.
Result<std::string, SettingsFault> readSettingsFile(const std::string& path);

} // namespace hornbeamgate
