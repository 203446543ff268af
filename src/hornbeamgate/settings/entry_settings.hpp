#pragma once

#include "hornbeamgate/settings/common_settings.hpp"

#include <cstddef>

namespace hornbeamgate {

/// Settings of the entry daemon.
struct EntrySettings {
    CommonSettings common;
    std::vector<RegionId> regions; ///< all regions of the fleet, equal on every host; the own one when not given
    std::vector<DataCenterLocation> dataCenters; ///< the own one always among them
    SocketAddress callers; ///< where callers connect
    std::size_t maxBodyBytes = 0; ///< larger request bodies are refused
    std::size_t maxUnsentBytes = 0; ///< bytes held for one slow caller before its endpoint is made to wait
    std::string keyPepper; ///< secret of the fleet that key hashes are made with
    Duration firstPieceTimeout {}; ///< longest wait for the first piece of an answer
    Duration pieceTimeout {}; ///< longest wait between two pieces before the run is resumed
};

/// Parses and checks the text of a settings file; on failure all faults are given.
Result<EntrySettings, std::vector<SettingsFault>> parseEntrySettings(std::string_view text);

/// Paths of all keys of a settings file.
std::vector<std::string> entrySettingsKeys();

} // namespace hornbeamgate
