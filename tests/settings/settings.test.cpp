#include "hornbeamgate/settings/agent_settings.hpp"
#include "hornbeamgate/settings/entry_settings.hpp"

#include "base/amplifying_texts.hpp"
#include "base/memory_limit.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace hornbeamgate;

namespace {

const std::string kEntry = R"({
    // location of this host
    "host": "e1", "data_center": "postojna", "region": "notranjska",
    "link": "10.0.0.1:7001", "admin": "10.0.0.1:7101", "callers": "10.0.0.1:8080", /* balancer */
    "key_pepper": "0123456789abcdef",
    "platform": { "log": "10.0.0.9:1", "hosts": "10.0.0.9:2", "weights": "10.0.0.9:3" }
})";

std::string replaced(const std::string& from, const std::string& to)
{
    auto text = kEntry;
    return text.replace(text.find(from), from.size(), to);
}

bool hasFaultAt(const std::vector<SettingsFault>& faults, const std::string& path)
{
    return std::any_of(faults.begin(), faults.end(), [&](const auto& fault) { return fault.path == path; });
}

} // namespace

TEST_CASE("settings that would take many times their size as documents are rejected before they take it [settings]")
{
    constexpr std::size_t kMegabyte = std::size_t { 1024 } * 1024;
    for (const auto& text : hornbeamgate::testing::amplifyingTexts(2 * kMegabyte))
        CHECK(hornbeamgate::testing::succeedsWithin(32 * kMegabyte, [&] { return !parseEntrySettings(text); }));
}

TEST_CASE("complete settings with comments are parsed [settings]")
{
    const auto settings = parseEntrySettings(kEntry);
    REQUIRE(settings);
    CHECK(settings->common.host == HostId("e1"));
    CHECK(settings->callers == SocketAddress { "10.0.0.1", 8080 });
    CHECK(settings->regions == std::vector { RegionId("notranjska") });
    CHECK(settings->dataCenters == std::vector { DataCenterLocation { DataCenterId("postojna"), RegionId("notranjska") } });
    const auto three = parseEntrySettings(replaced("\"host\": \"e1\",", R"("host": "e1", "data_centers": ["cerknica notranjska", "sezana primorska"],)"));
    REQUIRE(three);
    CHECK(three->dataCenters.back() == DataCenterLocation { DataCenterId("sezana"), RegionId("primorska") });
}

TEST_CASE("every fault in the settings is reported with its path [settings]")
{
    struct Case {
        std::string text;
        std::string path;
    };
    const Case cases[] = {
        { "", "/" },
        { "[]", "/" },
        { replaced("\"host\": \"e1\",", ""), "/host" },
        { replaced("\"e1\"", "7"), "/host" },
        { replaced("10.0.0.1:8080", "entry.example:8080"), "/callers" },
        { replaced("10.0.0.1:8080", "10.0.0.1"), "/callers" },
        { replaced("10.0.0.1:8080", "10.0.0.1:99999"), "/callers" },
        { replaced("0123456789abcdef", "short"), "/key_pepper" },
        { replaced("\"weights\"", "\"wheights\""), "/platform/wheights" },
        { replaced("\"platform\": {", "\"platform\": 5, \"other\": {"), "/platform" },
        { replaced("\"host\": \"e1\",", "\"host\": \"e1\", \"max_body_bytes\": -1,"), "/max_body_bytes" },
        { replaced("\"host\": \"e1\",", "\"host\": \"e1\", \"log_level\": \"loud\","), "/log_level" },
        { replaced("\"host\": \"e1\",", "\"host\": \"e1\", \"regions\": [\"primorska\"],"), "/regions" },
        { replaced("\"host\": \"e1\",", "\"host\": \"e1\", \"colour\": 1,"), "/colour" },
        { replaced("\"host\": \"e1\",", "\"host\": \"e1\", \"data_centers\": [\"sezana\"],"), "/data_centers" },
    };
    for (const auto& row : cases) {
        CAPTURE(row.path);
        const auto settings = parseEntrySettings(row.text);
        REQUIRE_FALSE(settings);
        CHECK(hasFaultAt(settings.error(), row.path));
    }
    CHECK(parseEntrySettings("{}").error().size() >= 8);
}

TEST_CASE("an agent's endpoint settings are validated according to its kind [settings]")
{
    const std::string common = R"("host":"h","data_center":"d","region":"r","link":"10.0.0.1:1","admin":"10.0.0.1:2",
        "platform":{"log":"10.0.0.9:1","hosts":"10.0.0.9:2","weights":"10.0.0.9:3"})";
    const auto parse = [&](const std::string& endpoint) { return parseAgentSettings("{" + common + ",\"endpoint\":" + endpoint + "}"); };
    CHECK(parse(R"({"id":"e","kind":"engine","address":"10.0.0.1:3"})"));
    CHECK(parse(R"({"id":"e","kind":"service","service":"rota","address":"10.0.0.1:3"})"));
    CHECK(hasFaultAt(parse(R"({"id":"e","kind":"service","address":"10.0.0.1:3"})").error(), "/endpoint/service"));
    CHECK(hasFaultAt(parse(R"({"id":"e","kind":"engine","service":"rota","address":"10.0.0.1:3"})").error(), "/endpoint/service"));
    CHECK(hasFaultAt(parse(R"({"id":"e","kind":"pump","address":"10.0.0.1:3"})").error(), "/endpoint/kind"));
    CHECK(hasFaultAt(parse(R"({"id":"e","kind":"engine","address":"10.0.0.1:3","slots":0})").error(), "/endpoint/slots"));
}

TEST_CASE("arbitrary input does not crash the settings parser [settings]")
{
    CHECK(rc::check([](const std::string& noise, std::uint16_t at) {
        auto text = kEntry;
        text.insert(at % text.size(), noise);
        const auto settings = parseEntrySettings(text);
        RC_ASSERT(settings || !settings.error().empty());
    }));
}
