#pragma once

#include "hornbeamgate/settings/common_settings.hpp"

#include <cstddef>

namespace hornbeamgate {

/// Settings of the entry daemon.
struct EntrySettings {
    CommonSettings common;
    std::vector<RegionId> regions; ///< all regions of the fleet, identical on every host; defaults to this host's region
    std::vector<DataCenterLocation> dataCenters; ///< always includes this host's own data centre
    SocketAddress callers; ///< listening address for callers
    std::size_t maxBodyBytes = 0; ///< larger request bodies are rejected
    std::size_t maxUnsentBytes = 0; ///< bytes buffered for a slow caller before backpressure is applied to its endpoint
    std::string keyPepper; ///< fleet-wide secret used to hash API keys
    Duration firstPieceTimeout {}; ///< maximum wait for the first piece of a response
    Duration pieceTimeout {}; ///< maximum wait between two pieces before the run is resumed
};

/// Parses and validates the text of a settings file. On failure, returns all faults.
Result<EntrySettings, std::vector<SettingsFault>> parseEntrySettings(std::string_view text);

/// Paths of all supported settings.
std::vector<std::string> entrySettingsKeys();

} // namespace hornbeamgate
