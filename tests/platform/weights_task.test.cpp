#include "hornbeamgate/runtime/gateway/weights_task.hpp"

#include "net/scripted_server.hpp"
#include "platform/fake_directory.hpp"
#include "platform_engine_control.hpp"
#include "platform_wire_format.hpp"

#include <doctest/doctest.h>

#include <thread>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using namespace hornbeamgate::gateway::testing;
using hornbeamgate::testing::runUntil;
using namespace std::chrono_literals;

namespace {

const ModelId kModel("m");
const EndpointId kEngine("e1");

/// Rollout leader with a peer and engines that lack the newest weights.
struct LeaderFixture {
    explicit LeaderFixture(int engines = 1)
    {
        auto created = PeerTask::create(state, directoryTask, self);
        REQUIRE(created);
        peers = std::move(*created);
        // The engine's TCP port is free for UDP.
        auto opened = UdpSocket::create(engine.address(), [this](std::string_view message) { peerMessages.emplace_back(message); });
        REQUIRE(opened);
        peerSocket = std::move(*opened);
        state.peers.add(HostId("front-2"), engine.address(), Incarnation(1), MonotonicClock::now());
        weights = std::make_unique<WeightsTask>(state, directory, control, *peers, self.host);
        for (int number = 1; number <= engines; ++number) {
            EndpointEntry entry;
            entry.id = EndpointId("e" + std::to_string(number));
            entry.address = engine.address();
            entry.weights[kModel] = WeightsVersion(1);
            state.registry.put(entry);
        }
        state.weightsRollout.setTarget(kModel, WeightsVersion(2), MonotonicClock::now());
        state.weightsRollout.confirm(FencingToken(4), MonotonicClock::now() + 1h, MonotonicClock::now());
        weights->start();
        REQUIRE(runUntil([this] { return directory.orderRecordReads.size() == 1; }));
        directory.orderRecordReads.front()(OrderRecordPosition { OrderRecord { FencingToken(3), HostId("front-2"), {} }, LogOffset(7) });
        REQUIRE(runUntil([this] { return directory.orderRecordAppends.size() == 1; }));
        directory.orderRecordAppends.front()(LogOffset(8));
    }

    /// Answers the query of the engine's state, so that the order waits for its record.
    void answerQuery()
    {
        engine.waitFor(0, "/hornbeamgate/report");
        const std::string report = R"({"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":2})";
        engine.send(0, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(report.size()) + "\r\n\r\n" + report);
        REQUIRE(runUntil([this] { return directory.orderRecordAppends.size() == 2; }));
    }

    static GatewaySettings makeSettings()
    {
        GatewaySettings made;
        made.common.host = HostId("front-1");
        made.leaderLease = 3s;
        made.weightsBound = 10s;
        return made;
    }

    GatewaySettings settings = makeSettings();
    platform::PlatformWireFormat wire;
    platform::PlatformEngineControl control;
    GatewayState state { settings, wire };
    FakeDirectory directory;
    DaemonEntry self { HostId("front-1"), Incarnation(5), { "127.0.0.1", 0 } };
    DirectoryTask directoryTask { state, directory, self };
    /// Returns the engines of which the peer knows that they load.
    std::set<EndpointId> announcedLoads() const
    {
        std::set<EndpointId> engines;
        for (const auto& text : peerMessages) {
            const auto message = decodePeerMessage({ reinterpret_cast<const std::uint8_t*>(text.data()), text.size() });
            REQUIRE(message);
            const auto* notice = std::get_if<LoadingNotice>(&*message);
            for (const auto& loading : notice ? notice->loading : std::get<PeerReport>(*message).loading)
                engines.insert(loading.endpoint);
        }
        return engines;
    }

    ScriptedServer engine;
    std::unique_ptr<PeerTask> peers;
    std::vector<std::string> peerMessages;
    std::unique_ptr<UdpSocket> peerSocket;
    std::unique_ptr<WeightsTask> weights;
};

} // namespace

TEST_CASE("an order is sent only after its engine was recorded in the store [weights]")
{
    LeaderFixture fixture;
    fixture.answerQuery();
    CHECK(fixture.directory.appendedOrderRecords.back().orders.contains(kEngine));
    CHECK(fixture.directory.appendedAt.back() == LogOffset(8));
    CHECK(fixture.engine.received(0).find("/hornbeamgate/order") == std::string::npos);
    fixture.directory.orderRecordAppends.back()(LogOffset(9));
    fixture.engine.waitFor(0, "/hornbeamgate/order");
}

TEST_CASE("a failed record is read again and no order is sent meanwhile [weights]")
{
    LeaderFixture fixture;
    fixture.answerQuery();
    fixture.directory.orderRecordAppends.back()(failure(DirectoryError { "unexpected HTTP status 412" }));
    REQUIRE(runUntil([&] { return fixture.directory.orderRecordReads.size() == 2; }));
    CHECK(fixture.engine.received(0).find("/hornbeamgate/order") == std::string::npos);
}

TEST_CASE("a daemon that was paused survives the timers of operations that end with its leadership [weights]")
{
    // Both the tick that ends the operation and the operation's own timer are due when the process continues.
    LeaderFixture fixture;
    fixture.answerQuery();
    fixture.state.weightsRollout.loseLeadership();
    std::this_thread::sleep_for(2100ms);
    const auto end = MonotonicClock::now() + 200ms;
    REQUIRE(runUntil([&] { return MonotonicClock::now() > end; }));
    CHECK(fixture.engine.received(0).find("/hornbeamgate/order") == std::string::npos);
}

TEST_CASE("a leader that starts many loads does not fill its link with messages to its peers [weights]")
{
    constexpr int kEngines = 60;
    LeaderFixture fixture(kEngines);
    const auto loads = WeightsRollout::maxConcurrentLoads(kEngines);
    REQUIRE(runUntil([&] { return fixture.announcedLoads().size() == loads; }));
    // All loads start together.
    CHECK(fixture.peerMessages.size() == 1);
    // Engines that do not answer become due again and again.
    fixture.peerMessages.clear();
    const auto end = MonotonicClock::now() + 3s;
    REQUIRE(runUntil([&] { return MonotonicClock::now() > end; }));
    std::size_t bytes = 0;
    for (const auto& message : fixture.peerMessages)
        bytes += message.size();
    CHECK(bytes <= 3 * 9'000);
}
