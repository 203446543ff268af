#pragma once

#include "hornbeamgate/settings/common_settings.hpp"

namespace hornbeamgate {

enum class EndpointKind { Engine,
    Service };

/// Settings of an agent, which runs next to one endpoint.
struct AgentSettings {
    CommonSettings common;
    EndpointId endpoint;
    EndpointKind kind = EndpointKind::Engine;
    ServiceId service; ///< service provided by the endpoint; empty for an engine
    SocketAddress endpointAddress;
    std::uint32_t slots = 0; ///< maximum number of concurrent runs on the endpoint
    Duration pieceTimeout {}; ///< maximum time without output from the endpoint before the run is resumed
};

/// Parses and validates the text of a settings file. On failure, returns all faults.
Result<AgentSettings, std::vector<SettingsFault>> parseAgentSettings(std::string_view text);

/// Paths of all supported settings.
std::vector<std::string> agentSettingsKeys();

} // namespace hornbeamgate
