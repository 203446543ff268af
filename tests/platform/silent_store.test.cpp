#include "hornbeamgate/runtime/gateway/directory_task.hpp"

#include "platform/store_standin.hpp"
#include "platform_directory.hpp"
#include "platform_wire_format.hpp"

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace hornbeamgate::gateway::testing;
using hornbeamgate::testing::runUntil;
using namespace std::chrono_literals;

namespace {

/// Time within which an acknowledged configuration has to be in force.
constexpr auto kConfigBound = 3s;
const std::string kOperators = "keyed.op";

/// The part of a gateway that follows the store's records.
struct Gateway {
    explicit Gateway(const SocketAddress& store)
        : directory(store)
    {
        task.start();
    }

    static GatewaySettings makeSettings()
    {
        GatewaySettings made;
        made.common.host = HostId("front-1");
        made.configBound = kConfigBound;
        made.leavingBound = 3s;
        made.rateWindow = 8s;
        made.leaderLease = 3s;
        made.weightsBound = 10s;
        return made;
    }
    bool hasConfig(int version) const { return state.routes && state.routes->config().version == ConfigVersion(static_cast<std::uint64_t>(version)); }

    GatewaySettings settings = makeSettings();
    platform::PlatformWireFormat wire;
    GatewayState state { settings, wire };
    platform::PlatformDirectory directory;
    DirectoryTask task { state, directory, { HostId("front-1"), Incarnation(5), {} } };
};

std::string config(int version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})";
}

/// A gateway that has applied version 1 and waits for the next record.
struct Fixture {
    Fixture()
    {
        store.append(kOperators, "config", config(1));
        const int before = store.reads(kOperators);
        REQUIRE(runUntil([&] { return gateway.hasConfig(1) && store.reads(kOperators) > before + 1; }));
    }

    /// Publishes version 2 and returns how long it takes until it is in force.
    Duration publish()
    {
        store.append(kOperators, "config", config(2));
        const auto published = MonotonicClock::now();
        REQUIRE(runUntil([&] { return gateway.hasConfig(2); }));
        return MonotonicClock::now() - published;
    }

    StoreStandIn store;
    Gateway gateway { store.address() };
};

} // namespace

TEST_CASE("a configuration is in force within its bound after the store has left a long poll unanswered [directory]")
{
    Fixture fixture;
    fixture.store.fallSilent();
    fixture.store.answerAgain();
    CHECK(fixture.publish() < kConfigBound);
}

TEST_CASE("a configuration is in force within its bound after the store was silent for several calls [directory]")
{
    Fixture fixture;
    fixture.store.fallSilent();
    const int before = fixture.store.reads(kOperators);
    REQUIRE(runUntil([&] { return fixture.store.reads(kOperators) > before; }));
    fixture.store.answerAgain();
    CHECK(fixture.publish() < kConfigBound);
}
