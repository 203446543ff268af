#include "hornbeamgate/runtime/http/http_server.hpp"

#include "runtime/loop_support.hpp"

#include <doctest/doctest.h>

#include <vector>

using namespace hornbeamgate;
using hornbeamgate::testing::runUntil;

namespace {

constexpr guint kHangLimitSeconds = 20;

GObjectPtr<GSocket> connectTo(const SocketAddress& address)
{
    GObjectPtr<GSocket> socket(g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr));
    g_socket_set_timeout(socket.get(), kHangLimitSeconds);
    const GObjectPtr<GSocketAddress> peer(g_inet_socket_address_new_from_string(address.ip.c_str(), address.port));
    if (!g_socket_connect(socket.get(), peer.get(), nullptr, nullptr))
        socket.reset();
    return socket;
}

} // namespace

TEST_CASE("the listen backlog holds a burst of connections while the server is busy [runtime][http]")
{
    auto server = HttpServer::create({ "127.0.0.1", 0 }, 1024, [](const auto&) {});
    REQUIRE(server);
    std::vector<GObjectPtr<GSocket>> callers;
    for (int i = 0; i < 200; ++i) {
        callers.push_back(connectTo((*server)->address()));
        REQUIRE(callers.back());
    }
}

TEST_CASE("a listen failure returns an error message [runtime][http]")
{
    CHECK(HttpServer::create({ "not an address", 0 }, 1024, [](const auto&) {}).error() == "not an IP address: not an address");
    auto first = HttpServer::create({ "127.0.0.1", 0 }, 1024, [](const auto&) {});
    REQUIRE(first);
    CHECK_FALSE(HttpServer::create((*first)->address(), 1024, [](const auto&) {}));
}

// Guards against a drain that resets connections which the kernel established after the server's last look.
TEST_CASE("requests on connections that wait in the listen backlog are answered after the server stops accepting [runtime][http]")
{
    constexpr int kWaiting = 20;
    auto server = HttpServer::create({ "127.0.0.1", 0 }, 1024, [](const std::unique_ptr<HttpExchange>& exchange) { exchange->answer(200, "text/plain", "ok"); });
    REQUIRE(server);
    const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    std::vector<GObjectPtr<GSocket>> callers;
    for (int i = 0; i < kWaiting; ++i) {
        callers.push_back(connectTo((*server)->address()));
        REQUIRE(callers.back());
        REQUIRE(g_socket_send(callers.back().get(), request.data(), request.size(), nullptr, nullptr) > 0);
    }
    (*server)->stopAccepting();
    CHECK_FALSE(connectTo((*server)->address()));
    for (const auto& caller : callers) {
        g_socket_set_blocking(caller.get(), FALSE);
        std::string received(4096, '\0');
        gssize count = -1;
        REQUIRE(runUntil([&] {
            GError* error = nullptr;
            count = g_socket_receive(caller.get(), received.data(), received.size(), nullptr, &error);
            const GErrorPtr owned(error);
            return count >= 0 || !g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
        }));
        REQUIRE(count > 0);
        CHECK(received.starts_with("HTTP/1.1 200 "));
        CHECK(received.find("Connection: close") != std::string::npos);
    }
}
