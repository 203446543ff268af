#include "hornbeamgate/settings/gateway_settings.hpp"

#include <doctest/doctest.h>

#include <fstream>
#include <map>
#include <sstream>

using namespace hornbeamgate;
using namespace std::chrono_literals;

namespace {

/// Renders a section of the template once, or leaves it out.
void renderSection(std::string& text, const std::string& name, bool isPresent)
{
    const auto begin = "{{#" + name + "}}";
    const auto end = "{{/" + name + "}}";
    const auto from = text.find(begin);
    const auto to = text.find(end);
    REQUIRE(from != std::string::npos);
    REQUIRE(to != std::string::npos);
    const auto body = isPresent ? text.substr(from + begin.size(), to - from - begin.size()) : std::string();
    text.replace(from, to + end.size() - from, body);
}

/// Renders the settings template with one value for each placeholder, as the platform does.
std::string renderTemplate(bool hasExposeShare = false)
{
    const std::map<std::string, std::string> values {
        { "{{node-name|json}}", "\"front-1\"" },
        { "{{zone|json}}", "\"postojna\"" },
        { "{{region|json}}", "\"notranjska\"" },
        { "{{listen-addresses.front|json}}", "\"10.1.0.24:8606\"" },
        { "{{listen-addresses.ready|json}}", "\"10.1.0.24:8605\"" },
        { "{{ip}}", "10.1.0.24" },
        { "{{internal-port-range.0}}", "7600" },
        { "{{internal-port-range.1}}", "7615" },
        { "{{platform.address|json}}", "\"10.200.1.7:8601\"" },
        { "{{#zones}}\"{{@}} {{.}}\"{{,}}{{/zones}}", "\"postojna notranjska\",\"sezana primorska\"" },
        { "{{#contracts}}{{.|json}}{{,}}{{/contracts}}", "\"base\",\"pressure\"" },
        { "{{bounds.retry-budget-ratio|json}}", "0.2" },
        { "{{bounds.budget-slack|json}}", "56" },
        { "{{bounds.budget-window-s}}", "10" },
        { "{{bounds.config-apply-ms}}", "2500" },
        { "{{bounds.drain-timeout-ms}}", "2600" },
        { "{{bounds.quota-window-s}}", "7" },
        { "{{bounds.grace-period-s}}", "6" },
        { "{{bounds.version-ms}}", "10000" },
        { "{{limits.memory-mb}}", "88" },
        { "{{limits.file-descriptors}}", "1024" },
        { "{{bounds.lease-duration-ms}}", "3000" },
        { "{{platform.min-ttl-ms|json}}", "1000" },
        { "{{bounds.expose-share|json}}", "0.2" },
        { "{{bounds.expose-slack|json}}", "60" },
        { "{{bounds.rollback-timeout-ms|json}}", "4000" },
    };
    std::ifstream file(HORNBEAMGATE_SETTINGS_TEMPLATE);
    REQUIRE(file);
    std::ostringstream content;
    content << file.rdbuf();
    auto text = content.str();
    renderSection(text, "bounds.expose-share", hasExposeShare);
    for (const auto& [placeholder, value] : values) {
        for (auto at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder))
            text.replace(at, placeholder.size(), value);
    }
    return text;
}

} // namespace

TEST_CASE("the deployment template renders to valid settings [platform]")
{
    const auto text = renderTemplate();
    CAPTURE(text);
    CHECK(text.find("{{") == std::string::npos);
    const auto settings = parseGatewaySettings(text);
    REQUIRE(settings);
    CHECK(settings->common.host == HostId("front-1"));
    CHECK(settings->common.link.text() == "10.1.0.24:7600");
    CHECK(settings->common.admin.text() == "10.1.0.24:7615");
    CHECK(settings->store.text() == "10.200.1.7:8601");
    CHECK(settings->regions.at(DataCenterId("sezana")) == RegionId("primorska"));
    CHECK(settings->retries.ratio == doctest::Approx(0.2));
    CHECK(settings->retries.window == 10s);
    CHECK(settings->leaderLease == 3s);
    CHECK(settings->configBound == 2500ms);
    CHECK(settings->leavingBound == 2600ms);
    CHECK(settings->rateWindow == 7s);
    // A drain has to end before the process is killed, with time left to deregister.
    CHECK(settings->common.drainTimeout < 6s);
    CHECK(settings->common.drainTimeout >= 5s);
    CHECK(settings->weightsBound == 10s);
    CHECK(settings->machine.peerBytes() == 46137344);
    CHECK(settings->machine.fileDescriptors == 1024);
    // 200 of 1,024 descriptors are kept for files, and 256 for engines, other gateways and the store.
    CHECK(settings->machine.maxCallerConnections == 568);
    CHECK(settings->contracts == std::set<std::string> { "base", "pressure" });
    // A deployment that names no bounds for rollouts must not get the feature.
    CHECK_FALSE(settings->versionRollouts);
}

TEST_CASE("the deployment template turns on version rollouts where the platform names a share [platform]")
{
    const auto text = renderTemplate(true);
    CAPTURE(text);
    CHECK(text.find("{{") == std::string::npos);
    const auto settings = parseGatewaySettings(text);
    REQUIRE(settings);
    // Defaults in place of the platform's bounds would break its rules unnoticed.
    REQUIRE(settings->versionRollouts);
    CHECK(settings->versionRollouts->exposureShare == doctest::Approx(0.2));
    CHECK(settings->versionRollouts->exposureSlack == 60);
    CHECK(settings->versionRollouts->rollbackBound == 4s);
}

TEST_CASE("errors in gateway settings name the field and the allowed values [settings]")
{
    auto text = renderTemplate();
    const std::string ratio = "\"retry_ratio\": 0.2";
    text.replace(text.find(ratio), ratio.size(), "\"retry_ratio\": 2, \"unknown\": 1");
    const auto settings = parseGatewaySettings(text);
    REQUIRE_FALSE(settings);
    REQUIRE(settings.error().size() == 2);
    CHECK(settings.error()[0].path == "/retry_ratio");
    CHECK(settings.error()[0].detail == "must be a number from 0 to 1");
    CHECK(settings.error()[1].path == "/unknown");
}

TEST_CASE("limits that the machine cannot hold are rejected [settings]")
{
    const std::string lease = "\"duty_lease_ms\"";
    for (const auto& [wrong, path] : { std::pair("\"max_caller_connections\": 569, ", "/max_caller_connections"), std::pair("\"max_caller_connections\": 0, ", "/max_caller_connections") }) {
        auto text = renderTemplate();
        text.insert(text.find(lease), wrong);
        const auto settings = parseGatewaySettings(text);
        REQUIRE_FALSE(settings);
        CHECK(settings.error().front().path == path);
    }
}

// Guards against settings whose lists are empty, null or missing and mean something else than the page says.
TEST_CASE("lists in the settings may be empty or missing, and null is a fault [settings]")
{
    const std::string required = R"({"host":"front-1","data_center":"postojna","region":"notranjska","callers":"10.1.0.24:8606",
 "readiness":"10.1.0.24:8605","peers":"10.1.0.24:7600","admin":"10.1.0.24:7615","store":"10.200.1.7:8601")";
    for (const std::string lists : { "", R"(,"contracts":[],"data_centers":[])" }) {
        const auto settings = parseGatewaySettings(required + lists + "}");
        REQUIRE(settings);
        CHECK(settings->contracts.empty());
        CHECK(settings->regions.size() == 1);
        CHECK_FALSE(settings->versionRollouts);
    }
    const auto defaults = parseGatewaySettings(required + R"(,"version_rollouts":{}})");
    REQUIRE(defaults);
    CHECK(defaults->versionRollouts);
    for (const std::string key : { "contracts", "data_centers", "version_rollouts", "retry_ratio", "memory_mb", "store", "host" }) {
        CAPTURE(key);
        std::string settings = required;
        settings.append(",\"").append(key).append("\":null}");
        CHECK_FALSE(parseGatewaySettings(settings));
    }
}
