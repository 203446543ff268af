#include "hornbeamgate/settings/gateway_settings.hpp"

namespace hornbeamgate {

namespace {

    constexpr NumberRange kTimeoutRange { 1, 3'600'000 };
    constexpr NumberRange kCountRange { 0, 1'000'000 };
    /// With 10,000 routes and single requests at the limits, the process peaked at 26 MB.
    constexpr NumberRange kMemoryRange { 64, 1'048'576 };
    constexpr NumberRange kDescriptorRange { MachineLimits::kMinFileDescriptors, 1'048'576 };
    constexpr std::chrono::milliseconds kDefaultStopGrace { 8'000 };
    /// Share of the time between SIGTERM and SIGKILL in which requests are finished; the rest is left to deregister.
    constexpr double kDrainShare = 7.0 / 8;
    constexpr std::chrono::milliseconds kDefaultRetryWindow { 10'000 };
    constexpr double kDefaultRetryRatio = 0.1;
    constexpr std::chrono::milliseconds kDefaultConfigBound { 3'000 };
    constexpr std::chrono::milliseconds kDefaultLeavingBound { 3'000 };
    constexpr std::chrono::milliseconds kDefaultRateWindow { 8'000 };
    constexpr std::chrono::milliseconds kDefaultWeightsBound { 10'000 };
    constexpr std::chrono::milliseconds kDefaultLeaderLease { 3'000 };
    constexpr std::chrono::milliseconds kDefaultMinMembershipLifetime { 1'000 };
    constexpr double kDefaultExposureShare = 0.1;
    constexpr std::int64_t kDefaultExposureSlack = 50;
    constexpr std::chrono::milliseconds kDefaultRollbackBound { 5'000 };
    constexpr const char* kVersionRollouts = "version_rollouts";

    std::optional<gateway::VersionRolloutLimits> readVersionRollouts(SettingsReader& reader)
    {
        const bool isEnabled = reader.has(kVersionRollouts);
        gateway::VersionRolloutLimits settings;
        reader.enter(kVersionRollouts);
        settings.exposureShare = reader.fraction("exposure_share", kDefaultExposureShare);
        settings.exposureSlack = reader.number("exposure_slack", kCountRange, kDefaultExposureSlack);
        settings.rollbackBound = reader.milliseconds("rollback_bound_ms", kTimeoutRange, kDefaultRollbackBound);
        reader.leave();
        return isEnabled ? std::optional(settings) : std::nullopt;
    }

    MachineLimits readMachineLimits(SettingsReader& reader)
    {
        MachineLimits limits;
        limits.memoryMegabytes = static_cast<std::size_t>(reader.number("memory_mb", kMemoryRange, MachineLimits::kDefaultMemoryMegabytes));
        limits.fileDescriptors = static_cast<std::size_t>(reader.number("file_descriptors", kDescriptorRange, MachineLimits::kDefaultFileDescriptors));
        const auto share = static_cast<std::int64_t>(MachineLimits::callerShare(limits.fileDescriptors));
        limits.maxCallerConnections = static_cast<std::size_t>(reader.number("max_caller_connections", { 1, share }, share));
        return limits;
    }

    GatewaySettings readGateway(SettingsReader& reader)
    {
        GatewaySettings settings;
        settings.common.host = HostId(reader.text("host"));
        settings.common.dataCenter = DataCenterId(reader.text("data_center"));
        settings.common.region = RegionId(reader.text("region"));
        settings.common.link = reader.address("peers");
        settings.common.admin = reader.address("admin");
        settings.common.logLevel = readLogLevel(reader);
        const auto stopGrace = reader.milliseconds("stop_grace_ms", kTimeoutRange, kDefaultStopGrace);
        settings.common.drainTimeout = std::chrono::duration_cast<Duration>(stopGrace * kDrainShare);
        settings.callers = reader.address("callers");
        settings.readiness = reader.address("readiness");
        settings.store = reader.address("store");
        for (const auto& location : readDataCenters(reader, settings.common))
            settings.regions.emplace(location.dataCenter, location.region);
        settings.retries.ratio = reader.fraction("retry_ratio", kDefaultRetryRatio);
        settings.retries.slack = static_cast<double>(reader.number("retry_slack", kCountRange, 0));
        settings.retries.window = reader.milliseconds("retry_window_ms", kTimeoutRange, kDefaultRetryWindow);
        settings.configBound = reader.milliseconds("config_bound_ms", kTimeoutRange, kDefaultConfigBound);
        settings.leavingBound = reader.milliseconds("leaving_bound_ms", kTimeoutRange, kDefaultLeavingBound);
        settings.rateWindow = reader.milliseconds("rate_window_ms", kTimeoutRange, kDefaultRateWindow);
        settings.weightsBound = reader.milliseconds("weights_bound_ms", kTimeoutRange, kDefaultWeightsBound);
        settings.minMembershipLifetime = reader.milliseconds("least_membership_ms", kTimeoutRange, kDefaultMinMembershipLifetime);
        for (auto& contract : reader.texts("contracts"))
            settings.contracts.insert(std::move(contract));
        settings.versionRollouts = readVersionRollouts(reader);
        settings.machine = readMachineLimits(reader);
        settings.leaderLease = reader.milliseconds("duty_lease_ms", kTimeoutRange, kDefaultLeaderLease);
        return settings;
    }

} // namespace

Result<GatewaySettings, std::vector<SettingsFault>> parseGatewaySettings(std::string_view text)
{
    auto reader = SettingsReader::create(text);
    if (!reader)
        return failure(std::vector { reader.error() });
    auto settings = readGateway(*reader);
    auto faults = reader->finish();
    if (!faults.empty())
        return failure(std::move(faults));
    return settings;
}

std::vector<std::string> gatewaySettingsKeys()
{
    auto reader = SettingsReader::create("{}");
    readGateway(*reader);
    return reader->knownKeys();
}

} // namespace hornbeamgate
