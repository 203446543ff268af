#include "record_decoder.hpp"

#include "base/amplifying_texts.hpp"
#include "base/memory_limit.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace std::chrono_literals;

namespace {

Result<DirectoryItem, RecordError> decode(DirectoryTopic topic, const std::string& key, const std::string& value)
{
    return platform::decodeRecord(topic, { key, value, LogOffset(1) });
}

constexpr const char* kConfig = R"({"version":7,"routes":[
 {"name":"r-1","host":"jepu9.example","path-prefix":"/lepu/","kind":"streaming","timeout-ms":8000,"target-latency-ms":800,"priority":1,
  "traffic-split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"max-attempts":2,"public":false,"sticky":true,"resumable":true,"target-gap-ms":400},
 {"name":"r-2","host":"h.example","path-prefix":"/","kind":"safe","timeout-ms":3000,"service":"s2","public":true}],
 "services":[{"name":"s1","health-path":"/health","max-connections":180,"engine":{"slots":16,"kv-capacity-tokens":159399}},
  {"name":"store","kv-store-address":"172.20.0.2:8604","zone":"sezana"}],
 "limits":{"max-header-bytes":1000,"max-body-bytes":2000,"header-timeout-ms":3000,"idle-timeout-ms":15000},
 "tenants":[{"name":"sese","api-keys":["k1","k2"],"priority":1,"unit":"tokens","uncached-tokens":200,"isolated":true,"rate-per-s":297162,"burst":297162}]})";

constexpr const char* kEngine = R"({"service":"s1","address":"10.128.0.9:8080","zone":"postojna","version":"v1","slots":16,"state":"ready",
 "cold-remaining-ms":0,"stage":"both","models":[{"name":"m0","version":3,"adapters":[]}],"sequence":4,"born":1790000000000})";

} // namespace

TEST_CASE("a configuration is decoded into routes, services, workspaces and limits [platform]")
{
    const auto item = decode(DirectoryTopic::Operators, "config", kConfig);
    REQUIRE(item);
    const auto& config = std::get<FleetConfig>(*item);
    CHECK(config.version == ConfigVersion(7));
    REQUIRE(config.routes.size() == 2);
    CHECK(config.routes[0].isStreaming);
    CHECK(config.routes[0].isRetryable());
    CHECK(config.routes[0].maxEndpoints == 2);
    CHECK(config.routes[0].timeout == 8000ms);
    CHECK(config.routes[0].latencyObjective == 800ms);
    CHECK(config.routes[0].services[1].weight == 10);
    CHECK(config.routes[1].isIdempotent);
    CHECK(config.routes[1].allowsAnonymous);
    CHECK(config.routes[1].services[0].service == ServiceId("s2"));
    REQUIRE(config.services.size() == 1);
    CHECK(config.services[0].cacheTokens == 159399);
    REQUIRE(config.blockStores.size() == 1);
    CHECK(config.blockStores[0].address.text() == "172.20.0.2:8604");
    REQUIRE(config.workspaces.size() == 1);
    CHECK(config.workspaces[0].countsTokens);
    CHECK(config.workspaces[0].isIsolated);
    CHECK(config.workspaces[0].defaultUnits == 200);
    CHECK(config.workspaces[0].unitsPerSecond == 297162);
    CHECK(config.limits.maxHeadBytes == 1000);
    CHECK(config.limits.idleTimeout == 15s);
}

TEST_CASE("weights targets and engine records are decoded [platform]")
{
    const auto target = decode(DirectoryTopic::Operators, "version/m0", R"({"model":"m0","version":2})");
    REQUIRE(target);
    CHECK(std::get<WeightsTarget>(*target).version == WeightsVersion(2));
    const auto engine = decode(DirectoryTopic::Endpoints, "i-1", kEngine);
    REQUIRE(engine);
    const auto& entry = std::get<EndpointEntry>(*engine);
    CHECK(entry.id == EndpointId("i-1"));
    CHECK(entry.incarnation == Incarnation(1790000000000));
    CHECK(entry.weights.at(ModelId("m0")) == WeightsVersion(3));
    CHECK_FALSE(entry.isLeaving);
}

// Guards against a configuration without any tenant that accepts every key.
TEST_CASE("only a configuration that does not mention tenants allows anonymous requests [platform]")
{
    struct Case {
        std::string tenants;
        bool isReadable;
        bool allowsAnonymous;
    };
    const Case cases[] = {
        { "", true, true },
        { R"(,"tenants":[])", true, false },
        { R"(,"tenants":[{"name":"t"}])", true, false },
        { R"(,"tenants":[{"name":"t","api-keys":[]}])", true, false },
        { R"(,"tenants":null)", false, false },
        { R"(,"tenants":{})", false, false },
        { R"(,"tenants":"")", false, false },
        { R"(,"tenants":[null])", false, false },
        { R"(,"tenants":[{"api-keys":["k"]}])", false, false },
        { R"(,"tenants":[{"name":"t","api-keys":null}])", false, false },
    };
    for (const auto& row : cases) {
        CAPTURE(row.tenants);
        const auto item = decode(DirectoryTopic::Operators, "config", R"({"version":7,"routes":[],"services":[])" + row.tenants + "}");
        REQUIRE(item.has_value() == row.isReadable);
        if (!item)
            continue;
        const auto& config = std::get<FleetConfig>(*item);
        CHECK(config.allowsAnonymous == row.allowsAnonymous);
        for (const auto& workspace : config.workspaces)
            CHECK(workspace.keys.empty());
    }
}

// Guards against fields that are null and count as empty, which would drop routes or weights.
TEST_CASE("a configuration or entry whose list is null or no list is unreadable [platform]")
{
    const auto decodeConfig = [](const std::string& routes, const std::string& services, const std::string& further) {
        std::string value = R"({"version":7,"routes":)";
        value.append(routes).append(R"(,"services":)").append(services).append(further).append("}");
        return decode(DirectoryTopic::Operators, "config", value).has_value();
    };
    const std::string route = R"({"host":"h","path-prefix":"/","kind":"safe","timeout-ms":1000,"service":"s")";
    CHECK(decodeConfig("[]", "[]", ""));
    CHECK(decodeConfig('[' + route + R"(,"traffic-split":[]}])", R"([{"name":"s","engine":{}}])", R"(,"limits":{})"));
    for (const std::string other : { "null", "{}", R"("x")", "0" }) {
        CAPTURE(other);
        CHECK_FALSE(decodeConfig(other, "[]", ""));
        CHECK_FALSE(decodeConfig("[]", other, ""));
        const auto withField = [&other](std::string object, const char* field) { return object.append(",\"").append(field).append("\":").append(other).append("}"); };
        CHECK_FALSE(decodeConfig("[" + withField(route, "traffic-split") + "]", "[]", ""));
        CHECK_FALSE(decode(DirectoryTopic::Endpoints, "i-1", withField(R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":1,"state":"ready")", "models")));
        CHECK_FALSE(platform::decodeOrderRecord(withField(R"({"token":1,"leader":"front-1")", "orders")));
    }
    CHECK_FALSE(decodeConfig('[' + route + R"(,"public":null}])", "[]", ""));
    CHECK_FALSE(decodeConfig("[]", R"([{"name":"s","engine":null}])", ""));
    CHECK_FALSE(decodeConfig("[]", "[]", R"(,"limits":null)"));
    CHECK_FALSE(decodeConfig("[]", "[]", R"(,"tenants":[{"name":"t","rate-per-s":null}])"));
    CHECK_FALSE(decodeConfig("[]", "[]", R"(,"tenants":[{"name":"t","isolated":null}])"));
}

// Guards against records of other writers that exhaust the memory of every gateway.
TEST_CASE("records that would take many times their size as documents are rejected before they take it [platform]")
{
    constexpr std::size_t kMegabyte = std::size_t { 1024 } * 1024;
    for (const auto& text : hornbeamgate::testing::amplifyingTexts(2 * kMegabyte)) {
        CAPTURE(text.substr(0, 16));
        for (const auto topic : { DirectoryTopic::Operators, DirectoryTopic::Endpoints, DirectoryTopic::Daemons })
            CHECK(hornbeamgate::testing::succeedsWithin(32 * kMegabyte, [&] { return !decode(topic, "config", text); }));
        CHECK(hornbeamgate::testing::succeedsWithin(32 * kMegabyte, [&] { return !platform::decodeOrderRecord(text); }));
    }
}

TEST_CASE("malformed records are rejected without throwing [platform]")
{
    const std::vector<std::pair<DirectoryTopic, std::string>> records {
        { DirectoryTopic::Endpoints, "" },
        { DirectoryTopic::Endpoints, "\xff\xfe" },
        { DirectoryTopic::Endpoints, "[]" },
        { DirectoryTopic::Endpoints, "null" },
        { DirectoryTopic::Endpoints, R"({"service":"s1"})" },
        { DirectoryTopic::Endpoints, R"({"service":7,"address":"10.0.0.1:1","zone":"z","slots":1,"state":"ready"})" },
        { DirectoryTopic::Endpoints, R"({"service":"s1","address":"name:1","zone":"z","slots":1,"state":"ready"})" },
        { DirectoryTopic::Endpoints, R"({"service":"s1","address":"10.0.0.1:99999","zone":"z","slots":1,"state":"ready"})" },
        { DirectoryTopic::Endpoints, R"({"service":"s1","address":"10.0.0.1:1","zone":"z","slots":"many","state":"ready"})" },
        { DirectoryTopic::Endpoints, R"({"service":"s1","address":"10.0.0.1:1","zone":"z","slots":1,"state":"resting"})" },
        { DirectoryTopic::Endpoints, R"({"service":"s1","address":"10.0.0.1:1","zone":"z","slots":1,"state":"ready","models":[{"name":"m"}]})" },
        { DirectoryTopic::Operators, R"({"version":1})" },
        { DirectoryTopic::Operators, R"({"version":"1","routes":[],"services":[]})" },
        { DirectoryTopic::Daemons, R"({"ip":"10.0.0.1"})" },
    };
    for (const auto& [topic, value] : records) {
        const auto& text = value;
        CAPTURE(text);
        CHECK_FALSE(decode(topic, topic == DirectoryTopic::Operators ? "config" : "i-1", value));
    }
    CHECK_FALSE(decode(DirectoryTopic::Operators, "unknown", "{}"));
}

TEST_CASE("a rollout order is read with the offset that tells it from other orders [platform]")
{
    const auto item = platform::decodeRecord(DirectoryTopic::Operators, { "rollout/huvo11a", R"({"service":"huvo11a","to":"v2","duration-s":12.5})", LogOffset(77) });
    REQUIRE(item);
    CHECK(std::get<RolloutOrder>(*item) == RolloutOrder { ServiceId("huvo11a"), "v2", 12500ms, LogOffset(77) });
}

TEST_CASE("a rollout order without a service, a version or a positive duration is unreadable [platform]")
{
    // An order with a default in place of a missing field would move traffic that nobody asked to move.
    for (const std::string value : { R"({"service":"s","to":"v2"})", R"({"service":"s","to":"v2","duration-s":0})", R"({"service":"s","to":"v2","duration-s":-3})",
             R"({"service":"s","to":"v2","duration-s":"12"})", R"({"service":"s","to":"v2","duration-s":null})", R"({"service":"s","to":"","duration-s":12})",
             R"({"service":"s","duration-s":12})", R"({"to":"v2","duration-s":12})", R"({"service":"other","to":"v2","duration-s":12})", "[]", "" }) {
        CAPTURE(value);
        CHECK_FALSE(decode(DirectoryTopic::Operators, "rollout/s", value));
    }
    const auto item = decode(DirectoryTopic::Operators, "rollout/s", R"({"service":"s","to":"v2","duration-s":1e300})");
    REQUIRE(item);
    CHECK(std::get<RolloutOrder>(*item).duration == std::chrono::hours(24 * 365));
}

TEST_CASE("states of rollouts round-trip through encoding and decoding [platform]")
{
    for (const auto state : { RolloutState::Running, RolloutState::Completed, RolloutState::RolledBack }) {
        for (const auto phase : { RolloutPhase::Observe, RolloutPhase::Shift }) {
            const RolloutStatus status { ServiceId("s"), "v2", state, phase, LogOffset(9) };
            const auto item = decode(DirectoryTopic::Status, platform::rolloutKey(status.service), platform::encodeRolloutStatus(status));
            REQUIRE(item);
            CHECK(std::get<RolloutStatus>(*item) == status);
        }
    }
    CHECK(platform::encodeRolloutStatus({ ServiceId("s"), "v2", RolloutState::RolledBack, RolloutPhase::Shift, LogOffset(9) }) == R"({"order":9,"phase":"shift","state":"rolled_back","to":"v2"})");
    const RolloutStatus laterEra { ServiceId("s"), "v2", RolloutState::Running, RolloutPhase::Shift, positionInEra(StoreEra(7), 9) };
    const auto laterRecord = decode(DirectoryTopic::Status, "rollout/s", platform::encodeRolloutStatus(laterEra));
    REQUIRE(laterRecord);
    CHECK(std::get<RolloutStatus>(*laterRecord) == laterEra);
    CHECK_FALSE(decode(DirectoryTopic::Status, "other/s", R"({"order":9,"phase":"shift","state":"running","to":"v2"})"));
    CHECK_FALSE(decode(DirectoryTopic::Status, "rollout/s", R"({"order":9,"phase":"shift","state":"begun","to":"v2"})"));
    CHECK_FALSE(decode(DirectoryTopic::Status, "rollout/s", R"({"phase":"shift","state":"running","to":"v2"})"));
}

TEST_CASE("daemon registrations round-trip through encoding and decoding [platform]")
{
    const DaemonEntry entry { HostId("front-1"), Incarnation(5), { "10.0.0.1", 7600 } };
    const auto item = decode(DirectoryTopic::Daemons, "front-1", platform::encodeDaemon(entry));
    REQUIRE(item);
    CHECK(std::get<DaemonEntry>(*item).peers == entry.peers);
    CHECK(std::get<DaemonEntry>(*item).incarnation == entry.incarnation);
}
