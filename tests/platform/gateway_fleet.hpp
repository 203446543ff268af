#pragma once

#include "hornbeamgate/runtime/gateway/gateway_request.hpp"
#include "hornbeamgate/runtime/gateway/peer_task.hpp"
#include "hornbeamgate/runtime/gateway/version_rollout_task.hpp"
#include "hornbeamgate/runtime/net/http_call.hpp"

#include "platform/fake_directory.hpp"
#include "platform_wire_format.hpp"
#include "runtime/loop_support.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>

namespace hornbeamgate::gateway::testing {

using namespace std::chrono_literals;

/// Engine that answers at once or after a delay, says of itself what the test sets, and records when requests arrive.
struct EngineStandIn {
    EngineStandIn()
    {
        auto created = HttpAcceptor::create({ "127.0.0.1", 0 }, { [this](HttpServerConnection& connection, HttpRequestMessage message) { return std::make_unique<Run>(*this, connection, std::move(message)); }, {}, {} });
        REQUIRE(created);
        acceptor = std::move(*created);
    }

    struct Run : HttpRequestHandler {
        Run(EngineStandIn& ofEngine, HttpServerConnection& ofConnection, HttpRequestMessage request)
            : engine(ofEngine)
            , connection(ofConnection)
            , message(std::move(request))
        {
        }
        void start() override
        {
            engine.arrivals.push_back(MonotonicClock::now());
            if (engine.delay == 0ms)
                answer();
            else
                timer.set(MonotonicClock::now() + engine.delay);
        }
        void answer()
        {
            HttpFields fields;
            if (engine.status == 503)
                fields.add("X-Hornbeamgate-Not-Executed", "1");
            if (!engine.retryAfter.empty())
                fields.add("Retry-After", engine.retryAfter);
            if (engine.isLeaving)
                fields.add("Server-Leaving", "1");
            fields.add("X-Hornbeamgate-Request-Id", *message.head.fields.find("X-Hornbeamgate-Request-Id"));
            if (engine.isSigned)
                fields.add("X-Hornbeamgate-Server-Signature", "s");
            if (!engine.limit.empty())
                fields.add("Server-Limit", engine.limit);
            connection.answer(engine.status, std::move(fields), "ok");
        }
        void clientDisconnected() override { }

        EngineStandIn& engine;
        HttpServerConnection& connection;
        HttpRequestMessage message;
        Timer timer { [this] { answer(); } };
    };

    std::size_t mostInFourSeconds() const { return mostWithin(4s); }
    /// The most arrivals in any span of `time`.
    std::size_t mostWithin(std::chrono::milliseconds time) const
    {
        std::size_t most = 0;
        std::deque<MonotonicTime> window;
        for (const auto arrival : arrivals) {
            window.push_back(arrival);
            while (window.front() + time <= arrival)
                window.pop_front();
            most = std::max(most, window.size());
        }
        return most;
    }
    std::size_t arrivalsSince(MonotonicTime start) const
    {
        return static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(), [start](auto arrival) { return arrival >= start; }));
    }

    int status = 200;
    std::chrono::milliseconds delay {}; ///< from a request to its answer
    bool isSigned = true;
    std::string limit; ///< the value of the header; empty for none
    bool isLeaving = false;
    std::string retryAfter; ///< the value of the header; empty for none
    std::vector<MonotonicTime> arrivals;
    std::unique_ptr<HttpAcceptor> acceptor;
};

inline FleetConfig gatewayFleetConfig()
{
    RouteRule route;
    route.name = "read";
    route.authority = "h.example";
    route.pathPrefix = "/read/";
    route.services = { { ServiceId("s"), 1 } };
    route.timeout = 3000ms;
    route.latencyObjective = 1000ms;
    route.maxEndpoints = 2;
    route.isIdempotent = true;
    FleetConfig made;
    made.version = ConfigVersion(1);
    made.routes = { route };
    made.allowsAnonymous = true;
    return made;
}

/// The parts of a gateway that handle requests and exchange reports with other gateways.
struct FleetGateway {
    explicit FleetGateway(const std::string& host, const std::optional<VersionRolloutLimits>& rolloutLimits = {})
        : settings(makeSettings(host, rolloutLimits))
    {
        auto created = HttpAcceptor::create({ "127.0.0.1", 0 }, { [this](HttpServerConnection& connection, HttpRequestMessage message) -> std::unique_ptr<HttpRequestHandler> {
                                                                     return std::make_unique<GatewayRequest>(state, connection, std::move(message));
                                                                 },
                                                                    {}, {} });
        REQUIRE(created);
        callers = std::move(*created);
        state.routes = std::make_shared<const RouteTable>(gatewayFleetConfig());
        task.start();
        auto peerTask = PeerTask::create(state, task, self());
        REQUIRE(peerTask);
        peers = std::move(*peerTask);
        peers->start();
        rollouts.start();
    }

    DaemonEntry self() const { return { settings.common.host, Incarnation(5), { "127.0.0.1", 0 } }; }

    static GatewaySettings makeSettings(const std::string& host, const std::optional<VersionRolloutLimits>& rolloutLimits)
    {
        GatewaySettings made;
        made.versionRollouts = rolloutLimits;
        made.common.host = HostId(host);
        made.retries = { 1.0, 100, 10s };
        made.configBound = 3s;
        made.leavingBound = 3s;
        made.rateWindow = 8s;
        made.leaderLease = 3s;
        made.weightsBound = 10s;
        return made;
    }

    GatewaySettings settings;
    platform::PlatformWireFormat wire;
    GatewayState state { settings, wire };
    FakeDirectory directory;
    DirectoryTask task { state, directory, self() };
    VersionRolloutTask rollouts { state, directory, task };
    std::unique_ptr<HttpAcceptor> callers;
    std::unique_ptr<PeerTask> peers;
};

/// Gateways that know each other and the engines, with callers that ask each of them at a fixed rate.
struct GatewayFleet {
    explicit GatewayFleet(int size, const std::optional<VersionRolloutLimits>& rolloutLimits = {})
    {
        for (int i = 0; i < size; ++i)
            gateways.push_back(std::make_unique<FleetGateway>("front-" + std::to_string(i), rolloutLimits));
        for (const auto& gateway : gateways) {
            for (const auto& peer : gateways) {
                if (peer != gateway)
                    gateway->state.peers.add(peer->settings.common.host, peer->peers->address(), Incarnation(5), MonotonicClock::now());
            }
        }
    }

    void addEngine(const std::string& id, const EngineStandIn& engine, const std::string& version = {})
    {
        for (const auto& gateway : gateways) {
            EndpointEntry entry;
            entry.id = EndpointId(id);
            entry.service = ServiceId("s");
            entry.version = version;
            entry.address = engine.acceptor->address();
            entry.slots = 8;
            gateway->state.registry.put(entry);
            if (gateway->state.versionRollouts)
                gateway->state.versionRollouts->setEndpoints(gateway->state.registry, MonotonicClock::now());
        }
    }

    /// Asks each gateway every `interval` for `time`, and waits for the answers.
    void ask(Duration time, std::chrono::milliseconds interval)
    {
        const auto end = MonotonicClock::now() + time;
        int pending = 0;
        Timer next([&] {
            for (const auto& gateway : gateways) {
                ++pending;
                const auto id = "r" + std::to_string(++lastRequest);
                calls.start(gateway->callers->address(), "GET /read/x HTTP/1.1\r\nHost: h.example\r\nX-Hornbeamgate-Request-Id: " + id + "\r\nX-Hornbeamgate-Deadline-Ms: 3000\r\n\r\n",
                    CallLimits::until(MonotonicClock::now() + 10s), [&, sentAt = MonotonicClock::now()](const Result<HttpResponse, NetError>& answer) {
                        --pending;
                        if (answer && answer->status == 503)
                            slowestRefusal = std::max(slowestRefusal, MonotonicClock::now() - sentAt);
                        ++statuses[answer ? answer->status : 0];
                    });
            }
            if (MonotonicClock::now() < end)
                next.set(MonotonicClock::now() + interval);
        });
        next.set(MonotonicClock::now());
        REQUIRE(hornbeamgate::testing::runUntil([&] { return MonotonicClock::now() >= end && pending == 0; }));
    }

    std::vector<std::unique_ptr<FleetGateway>> gateways;
    std::map<int, int> statuses;
    Duration slowestRefusal {};
    int lastRequest = 0;
    HttpConnectionPool pool;
    HttpCalls calls { pool };
};

} // namespace hornbeamgate::gateway::testing
