#include "hornbeamgate/runtime/link/link_pool.hpp"
#include "hornbeamgate/runtime/link/link_server.hpp"

#include "runtime/loop_support.hpp"

#include <doctest/doctest.h>

#include <optional>
#include <thread>

using namespace hornbeamgate;
using hornbeamgate::testing::runFor;
using hornbeamgate::testing::runUntil;

namespace {

const SocketAddress kAnyPort { "127.0.0.1", 0 };

std::unique_ptr<LinkServer> makeServer()
{
    auto server = LinkServer::create(kAnyPort);
    REQUIRE(server);
    return std::move(*server);
}

MonotonicTime defaultDeadline()
{
    return MonotonicClock::now() + std::chrono::seconds(10);
}

struct Recorder : LinkStreamObserver {
    std::vector<Bytes> messages;
    std::optional<LinkError> error;
    bool finished = false;

    void messageReceived(BytesView message) override { messages.emplace_back(message.begin(), message.end()); }
    void streamFinished() override { finished = true; }
    void streamFailed(const LinkError& reason) override { error = reason; }
};

Result<Bytes, LinkError> ask(LinkPool& pool, const SocketAddress& address, const Bytes& message, MonotonicTime deadline)
{
    std::optional<Result<Bytes, LinkError>> answer;
    pool.request(address, "echo", message, deadline, [&](Result<Bytes, LinkError> result) { answer = std::move(result); });
    REQUIRE(runUntil([&] { return answer.has_value(); }));
    return *answer;
}

} // namespace

TEST_CASE("control messages of any size are transferred completely [runtime][link]")
{
    auto server = makeServer();
    server->addControlHandler("echo", [](const HostId&, BytesView message, const auto& reply) { reply(Bytes(message.begin(), message.end())); });
    LinkPool pool(HostId("test"));
    for (const std::size_t size : { 0U, 1U, 300U * 1024U, 3U * 1024U * 1024U }) {
        const Bytes message(size, 7);
        const auto answer = ask(pool, server->address(), message, defaultDeadline());
        REQUIRE(answer);
        CHECK(*answer == message);
    }
    CHECK(pool.connections() == 1);
}

TEST_CASE("a control message without a reply fails at its deadline [runtime][link]")
{
    auto server = makeServer();
    server->addControlHandler("echo", [](const HostId&, BytesView, const auto&) {});
    LinkPool pool(HostId("test"));
    const auto answer = ask(pool, server->address(), { 1 }, MonotonicClock::now() + std::chrono::milliseconds(50));
    REQUIRE_FALSE(answer);
    CHECK(answer.error().code == LinkErrorCode::TimedOut);
}

TEST_CASE("a refused connection is reported as not sent [runtime][link]")
{
    auto closed = makeServer();
    const auto address = closed->address();
    closed.reset();
    LinkPool pool(HostId("test"));
    const auto answer = ask(pool, address, { 1 }, defaultDeadline());
    REQUIRE_FALSE(answer);
    CHECK(answer.error().code == LinkErrorCode::ConnectFailed);
    CHECK_FALSE(answer.error().sent);
    CHECK(pool.connections() == 0);
}

TEST_CASE("open streams fail with their connection and the pool opens a new one [runtime][link]")
{
    auto server = makeServer();
    std::vector<std::unique_ptr<LinkStream>> held;
    server->addStreamHandler("/run", [&](std::unique_ptr<LinkStream> stream, const HostId&) { held.push_back(std::move(stream)); });
    LinkPool pool(HostId("test"));
    auto stream = pool.openStream(server->address(), "/run");
    Recorder recorder;
    stream->setObserver(&recorder);
    REQUIRE(runUntil([&] { return held.size() == 1; }));
    const auto address = server->address();
    held.clear();
    REQUIRE(runUntil([&] { return recorder.error.has_value(); }));
    CHECK(recorder.error->code == LinkErrorCode::StreamReset);

    server.reset();
    REQUIRE(runUntil([&] { return pool.connections() == 0; }));
    auto second = LinkServer::create(address);
    REQUIRE(second);
    (*second)->addControlHandler("echo", [](const HostId&, BytesView message, const auto& reply) { reply(Bytes(message.begin(), message.end())); });
    CHECK(ask(pool, address, { 4, 2 }, defaultDeadline()));
}

TEST_CASE("a request made as a silent connection is given up uses the new connection [runtime][link]")
{
    const ConnectionOptions options;
    // The kernel accepts connections to this socket, but nothing answers them.
    GObjectPtr<GSocket> silent(g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr));
    const GObjectPtr<GSocketAddress> wanted(g_inet_socket_address_new_from_string("127.0.0.1", 0));
    REQUIRE(g_socket_bind(silent.get(), wanted.get(), TRUE, nullptr));
    REQUIRE(g_socket_listen(silent.get(), nullptr));
    const GObjectPtr<GSocketAddress> bound(g_socket_get_local_address(silent.get(), nullptr));
    const SocketAddress address { "127.0.0.1", g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound.get())) };
    LinkPool pool(HostId("test"));
    auto stream = pool.openStream(address, "/run");
    Recorder recorder;
    stream->setObserver(&recorder);
    runFor(std::chrono::ceil<std::chrono::milliseconds>(options.silenceTimeout) + std::chrono::milliseconds(100));
    // The loop does not run meanwhile, so the pool cannot have noticed that the ping is overdue.
    std::this_thread::sleep_for(options.pingTimeout);
    silent.reset();
    auto server = LinkServer::create(address);
    REQUIRE(server);
    (*server)->addControlHandler("echo", [](const HostId&, BytesView message, const auto& reply) { reply(Bytes(message.begin(), message.end())); });
    CHECK(ask(pool, address, { 4, 2 }, MonotonicClock::now() + std::chrono::seconds(3)));
    CHECK(recorder.error);
}

TEST_CASE("a reader that returns no credit stops the writer within the flow control window [runtime][link]")
{
    constexpr std::size_t kMessageBytes = std::size_t { 16 } * 1024;
    constexpr std::size_t kMessages = 100;
    auto server = makeServer();
    std::unique_ptr<LinkStream> writer;
    server->addStreamHandler("/run", [&](std::unique_ptr<LinkStream> stream, const HostId&) {
        writer = std::move(stream);
        for (std::size_t i = 0; i < kMessages; ++i)
            writer->send(Bytes(kMessageBytes, 1));
    });
    LinkPool pool(HostId("test"));
    auto reader = pool.openStream(server->address(), "/run");
    Recorder recorder;
    reader->setObserver(&recorder);
    REQUIRE(runUntil([&] { return recorder.messages.size() >= 8; }));
    Timer quiet([] {});
    for (int i = 0; i < 1000; ++i)
        g_main_context_iteration(nullptr, FALSE);
    CHECK(recorder.messages.size() < kMessages);
    CHECK(writer->unsentBytes() > 0);
    std::size_t consumed = 0;
    REQUIRE(runUntil([&] {
        for (; consumed < recorder.messages.size(); ++consumed)
            reader->consume(kMessageBytes);
        return recorder.messages.size() == kMessages;
    }));
}

TEST_CASE("a failure handler can open a stream on a new connection immediately [runtime][link]")
{
    struct Resumer : LinkStreamObserver {
        LinkPool* pool = nullptr;
        SocketAddress address;
        std::unique_ptr<LinkStream> next;

        void messageReceived(BytesView) override { }
        void streamFinished() override { }
        void streamFailed(const LinkError&) override { next = pool->openStream(address, "/run"); }
    };
    auto server = makeServer();
    std::size_t opened = 0;
    std::unique_ptr<LinkStream> held;
    const auto hold = [&](std::unique_ptr<LinkStream> stream, const HostId&) {
        ++opened;
        held = std::move(stream);
    };
    server->addStreamHandler("/run", hold);
    const auto address = server->address();
    LinkPool pool(HostId("test"));
    Resumer resumer;
    resumer.pool = &pool;
    resumer.address = address;
    auto stream = pool.openStream(address, "/run");
    stream->setObserver(&resumer);
    REQUIRE(runUntil([&] { return opened == 1; }));
    held.reset();
    server.reset();
    server = std::move(*LinkServer::create(address));
    server->addStreamHandler("/run", hold);
    CHECK(runUntil([&] { return opened == 2; }));
}

TEST_CASE("a stream opened as a connection attempt fails does not fail with that attempt [runtime][link]")
{
    struct Resumer : LinkStreamObserver {
        std::function<void()> resume;

        void messageReceived(BytesView) override { }
        void streamFinished() override { }
        void streamFailed(const LinkError&) override { resume(); }
    };
    auto server = makeServer();
    const auto address = server->address();
    server.reset();
    LinkPool pool(HostId("test"));
    std::unique_ptr<LinkStream> next;
    std::unique_ptr<LinkStream> held;
    Recorder recorder;
    Resumer resumer;
    resumer.resume = [&] {
        server = std::move(*LinkServer::create(address));
        server->addStreamHandler("/run", [&](std::unique_ptr<LinkStream> stream, const HostId&) { held = std::move(stream); });
        next = pool.openStream(address, "/run");
        next->setObserver(&recorder);
    };
    auto stream = pool.openStream(address, "/run");
    stream->setObserver(&resumer);
    REQUIRE(runUntil([&] { return held || recorder.error; }));
    CHECK(held);
    CHECK_FALSE(recorder.error);
}

TEST_CASE("streams on an unresponsive connection fail and the connection is removed [runtime][link]")
{
    // A listener that never accepts: the kernel completes the handshake, but no data is sent back.
    const GObjectPtr<GSocketListener> mute(g_socket_listener_new());
    const auto port = g_socket_listener_add_any_inet_port(mute.get(), nullptr, nullptr);
    LinkPool pool(HostId("test"));
    auto stream = pool.openStream({ "127.0.0.1", port }, "/run");
    Recorder recorder;
    stream->setObserver(&recorder);
    REQUIRE(runUntil([&] { return recorder.error.has_value(); }));
    CHECK(recorder.error->code == LinkErrorCode::TimedOut);
    CHECK(pool.connections() == 0);
}
