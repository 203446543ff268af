#include "hornbeamgate/runtime/link/link_server.hpp"

#include "runtime/loop_support.hpp"

#include <doctest/doctest.h>
#include <nghttp2/nghttp2.h>

#include <array>
#include <string>

using namespace hornbeamgate;
using hornbeamgate::testing::runUntil;

namespace {

nghttp2_nv header(const std::string& name, const std::string& value)
{
    const auto octets = [](const std::string& text) { return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data())); };
    return { octets(name), octets(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE };
}

/// HTTP/2 client that announces the link protocol version `version` and records the response status.
class VersionedPeer {
public:
    VersionedPeer(const SocketAddress& address, const std::string& version)
        : m_client(g_socket_client_new())
        , m_connection(g_socket_client_connect_to_host(m_client.get(), address.ip.c_str(), address.port, nullptr, nullptr))
    {
        nghttp2_session_callbacks* callbacks = nullptr;
        nghttp2_session_callbacks_new(&callbacks);
        nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader);
        nghttp2_session_client_new(&m_session, callbacks, this);
        nghttp2_session_callbacks_del(callbacks);
        nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, nullptr, 0);
        const std::array names { std::string(":method"), std::string(":scheme"), std::string(":authority"), std::string(":path"), std::string("hornbeamgate-link") };
        const std::array values { std::string("POST"), std::string("http"), std::string("x"), std::string("/control/echo"), version };
        std::array<nghttp2_nv, 5> headers {};
        for (std::size_t i = 0; i < headers.size(); ++i)
            headers[i] = header(names[i], values[i]);
        nghttp2_submit_request(m_session, nullptr, headers.data(), headers.size(), nullptr, nullptr);
        auto* socket = g_socket_connection_get_socket(m_connection.get());
        g_socket_set_blocking(socket, FALSE);
        m_readable = watchSocket(socket, G_IO_IN, [this, socket] { read(socket); });
        flush(socket);
    }
    ~VersionedPeer() { nghttp2_session_del(m_session); }
    VersionedPeer(const VersionedPeer&) = delete;
    VersionedPeer& operator=(const VersionedPeer&) = delete;

    const std::string& status() const { return m_status; }

private:
    static int onHeader(nghttp2_session*, const nghttp2_frame*, const std::uint8_t* name, std::size_t nameLength,
        const std::uint8_t* value, std::size_t valueLength, std::uint8_t, void* self)
    {
        if (std::string(reinterpret_cast<const char*>(name), nameLength) == ":status")
            static_cast<VersionedPeer*>(self)->m_status.assign(reinterpret_cast<const char*>(value), valueLength);
        return 0;
    }

    void read(GSocket* socket)
    {
        std::array<char, 4096> chunk;
        const auto count = g_socket_receive(socket, chunk.data(), chunk.size(), nullptr, nullptr);
        if (count > 0)
            nghttp2_session_mem_recv(m_session, reinterpret_cast<std::uint8_t*>(chunk.data()), static_cast<std::size_t>(count));
        else
            m_readable.reset();
    }

    void flush(GSocket* socket)
    {
        const std::uint8_t* data = nullptr;
        for (auto count = nghttp2_session_mem_send(m_session, &data); count > 0; count = nghttp2_session_mem_send(m_session, &data))
            g_socket_send(socket, reinterpret_cast<const char*>(data), static_cast<std::size_t>(count), nullptr, nullptr);
    }

    GObjectPtr<GSocketClient> m_client;
    GObjectPtr<GSocketConnection> m_connection;
    nghttp2_session* m_session = nullptr;
    EventSource m_readable;
    std::string m_status;
};

} // namespace

TEST_CASE("a peer with another link protocol version is rejected with status 505 [runtime][link]")
{
    auto server = LinkServer::create({ "127.0.0.1", 0 });
    REQUIRE(server);
    std::size_t asked = 0;
    (*server)->addControlHandler("echo", [&](const HostId&, BytesView, const auto& reply) {
        ++asked;
        reply({});
    });
    for (const auto* version : { "0", "2", "" }) {
        CAPTURE(version);
        const VersionedPeer peer((*server)->address(), version);
        REQUIRE(runUntil([&] { return !peer.status().empty(); }));
        CHECK(peer.status() == "505");
    }
    const VersionedPeer equal((*server)->address(), "1");
    REQUIRE(runUntil([&] { return !equal.status().empty(); }));
    CHECK(equal.status() == "200");
    CHECK(asked == 0);
}
