#include "hornbeamgate/runtime/http/http_server.hpp"

#include <doctest/doctest.h>

#include <vector>

using namespace hornbeamgate;

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
