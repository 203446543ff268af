#include "hornbeamgate/settings/agent_settings.hpp"

namespace hornbeamgate {

namespace {

    constexpr NumberRange kSlotRange { 1, 65'536 };
    constexpr std::int64_t kDefaultSlots = 16;
    constexpr NumberRange kTimeoutRange { 1, 3'600'000 };
    constexpr std::chrono::milliseconds kDefaultPieceTimeout { 5'000 };

    void readEndpoint(SettingsReader& reader, AgentSettings& settings)
    {
        reader.enter("endpoint");
        settings.endpoint = EndpointId(reader.text("id"));
        const auto kind = reader.choice("kind", { "engine", "service" });
        settings.kind = kind == "engine" ? EndpointKind::Engine : EndpointKind::Service;
        const bool namesService = reader.has("service");
        if (settings.kind == EndpointKind::Service)
            settings.service = ServiceId(reader.text("service"));
        else if (namesService)
            reader.addFault("service", "must not be set for an engine");
        settings.endpointAddress = reader.address("address");
        settings.slots = static_cast<std::uint32_t>(reader.number("slots", kSlotRange, kDefaultSlots));
        settings.pieceTimeout = reader.milliseconds("piece_timeout_ms", kTimeoutRange, kDefaultPieceTimeout);
        reader.leave();
    }

    AgentSettings readAgent(SettingsReader& reader)
    {
        AgentSettings settings;
        settings.common = readCommonSettings(reader);
        readEndpoint(reader, settings);
        return settings;
    }

} // namespace

Result<AgentSettings, std::vector<SettingsFault>> parseAgentSettings(std::string_view text)
{
    auto reader = SettingsReader::create(text);
    if (!reader)
        return failure(std::vector { reader.error() });
    const auto settings = readAgent(*reader);
    auto faults = reader->finish();
    if (!faults.empty())
        return failure(std::move(faults));
    return settings;
}

std::vector<std::string> agentSettingsKeys()
{
    auto reader = SettingsReader::create("{}");
    readAgent(*reader);
    return reader->knownKeys();
}

} // namespace hornbeamgate
