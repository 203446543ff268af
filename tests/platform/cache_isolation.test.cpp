#include "platform/gateway_fixture.hpp"

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace hornbeamgate::gateway::testing;

namespace {

/// Configuration whose workspaces in `isolated` share no cached blocks.
std::shared_ptr<const RouteTable> makeRoutes(std::uint64_t version, const std::set<std::string>& isolated, const std::vector<std::string>& names = { "karst", "pivka" })
{
    auto config = makeConfig();
    config.version = ConfigVersion(version);
    config.workspaces.clear();
    for (const auto& name : names) {
        WorkspaceRule workspace;
        workspace.id = WorkspaceId(name);
        workspace.keys = { "key-of-" + name };
        workspace.isIsolated = isolated.contains(name);
        config.workspaces.push_back(workspace);
    }
    return std::make_shared<const RouteTable>(std::move(config));
}

constexpr const char* kShortPrompt = "a:90,b:300";
constexpr const char* kLongPrompt = "a:13000,b:3700";

std::string fieldsOf(const std::string& workspace, const std::string& prompt)
{
    return "Authorization: Bearer key-of-" + workspace + "\r\nX-Hornbeamgate-Model: m\r\nX-Hornbeamgate-Prompt-Prefix: " + prompt + "\r\n";
}

/// Returns the text under which the engine caches the last request that it received, or an empty one if there is none.
std::string saltOf(const std::string& received)
{
    constexpr std::string_view kField = "\r\nX-Hornbeamgate-Cache-Salt: ";
    const auto head = received.substr(received.rfind("POST "));
    const auto start = head.find(kField);
    if (start == std::string::npos)
        return {};
    return head.substr(start + kField.size(), head.find('\r', start + kField.size()) - start - kField.size());
}

/// Sends a request and returns the salt with which the engine receives it.
std::string requestSalt(GatewayFixture& fixture, const std::string& fields)
{
    const auto connection = fixture.first.connections();
    fixture.request("/booking/a", fields);
    fixture.first.waitFor(connection, "hi");
    auto salt = saltOf(fixture.first.received(connection));
    fixture.first.send(connection, responseHead(200, "X-Hornbeamgate-Server-Signature: sig\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"));
    fixture.waitFor("\r\n\r\nok");
    return salt;
}

} // namespace

// Guards against requests of other workspaces that run on blocks which a workspace cached before it was isolated.
TEST_CASE("after a workspace is isolated, the others no longer find the blocks that its requests made [isolation]")
{
    for (const std::string prompt : { kShortPrompt, kLongPrompt }) {
        CAPTURE(prompt);
        GatewayFixture fixture;
        fixture.addModel("m", 1);
        fixture.state.routes = makeRoutes(1, {});
        const auto common = requestSalt(fixture, fieldsOf("karst", prompt));
        CHECK(requestSalt(fixture, fieldsOf("pivka", prompt)) == common);
        fixture.state.routes = makeRoutes(2, { "karst" });
        const auto isolated = requestSalt(fixture, fieldsOf("karst", prompt));
        const auto others = requestSalt(fixture, fieldsOf("pivka", prompt));
        CHECK(isolated != common);
        CHECK(others != common);
        CHECK(others != isolated);
        CHECK_FALSE(others.empty());
    }
}

// Guards against a request that waited over the change and is then sent with the domain of its arrival.
TEST_CASE("a request that waits while a workspace is isolated is sent with the new cache domain [isolation]")
{
    GatewayFixture fixture;
    fixture.addModel("m", 1);
    fixture.state.routes = makeRoutes(1, {});
    const auto common = requestSalt(fixture, fieldsOf("pivka", kLongPrompt));
    // A long prompt waits for an engine without a backlog.
    constexpr std::uint64_t kOtherSend = 1000;
    fixture.state.loads.sent(EndpointId("e1"), kOtherSend, 40'000, MonotonicClock::now());
    const auto connection = fixture.first.connections();
    fixture.request("/booking/a", fieldsOf("pivka", kLongPrompt));
    REQUIRE(hornbeamgate::testing::runUntil([&] { return fixture.state.queueOf(ServiceId("s")).size() == 1; }));
    fixture.state.routes = makeRoutes(2, { "karst" });
    fixture.state.loads.answerBegan(EndpointId("e1"), kOtherSend);
    fixture.first.waitFor(connection, "hi");
    CHECK(saltOf(fixture.first.received(connection)) != common);
}

// Guards against isolated workspaces that share blocks because the text for one's name is the text for another's name and weights.
TEST_CASE("no name of a workspace gives the cache domain that another one has with its weights [isolation]")
{
    for (const std::string name : { "karst@1", "1/workspace/karst", "1/karst" }) {
        CAPTURE(name);
        GatewayFixture fixture;
        fixture.addModel("m", 1);
        fixture.state.routes = makeRoutes(1, { "karst", name }, { "karst", name });
        const auto ofKarst = requestSalt(fixture, fieldsOf("karst", kLongPrompt));
        CHECK(requestSalt(fixture, fieldsOf(name, kShortPrompt)) != ofKarst);
        CHECK(requestSalt(fixture, fieldsOf(name, kLongPrompt)) != ofKarst);
    }
}
