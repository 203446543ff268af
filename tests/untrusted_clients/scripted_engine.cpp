#include "untrusted_clients/scripted_engine.hpp"

#include "untrusted_clients/crowd.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace hornbeamgate::testing {

namespace {

    constexpr std::size_t kLargeResponse = 4194304;
    constexpr std::size_t kEndless = 64 * kLargeResponse;
    constexpr std::size_t kUnitSize = 65536;
    /// Lines of a head that stops just short of the 80 KB at which every version of the gateway gives up.
    constexpr std::size_t kLongHeadSize = 78000;

} // namespace

ScriptedEngine::ScriptedEngine()
{
    auto listener = gateway::TcpListener::create({ "127.0.0.1", 0 }, [this](std::unique_ptr<gateway::TcpStream> stream) { add(std::move(stream)); });
    REQUIRE(listener);
    m_listener = std::move(*listener);
}

void ScriptedEngine::add(std::unique_ptr<gateway::TcpStream> stream)
{
    auto owned = std::make_unique<Connection>();
    auto* connection = owned.get();
    connection->stream = std::move(stream);
    connection->parser = gateway::HttpParser::forRequests({},
        { [connection](gateway::HttpRequestHead head) { connection->request = std::move(head); }, {}, [](std::string_view) {}, [connection] { respond(*connection); } });
    const auto received = [connection](std::string_view octets) {
        while (!octets.empty()) {
            const auto taken = connection->parser->feed(octets);
            if (!taken)
                return;
            octets.remove_prefix(*taken);
        }
    };
    connection->stream->setHandlers({ {}, received, [this, connection](gateway::StreamEnd, const std::string&) { m_connections.erase(connection); },
        [connection] { sendMore(*connection); } });
    m_connections.emplace(connection, std::move(owned));
}

void ScriptedEngine::respond(Connection& connection)
{
    const auto id = connection.request.fields.find("X-Hornbeamgate-Request-Id");
    const auto start = "HTTP/1.1 200 OK\r\nX-Hornbeamgate-Server-Signature: s\r\nX-Hornbeamgate-Request-Id: " + std::string(id.value_or("")) + "\r\n";
    const auto& target = connection.request.target;
    connection.bytesLeft = 0;
    if (target.starts_with("/large/")) {
        connection.unit = std::string(kUnitSize, 'x');
        connection.bytesLeft = kLargeResponse;
        connection.stream->send(start + "Content-Length: " + std::to_string(kLargeResponse) + "\r\n\r\n");
    } else if (target.starts_with("/endless-head/")) {
        connection.stream->send(start + repeated("a:\r\n", kLongHeadSize));
    } else if (target.starts_with("/endless-body/") || target.starts_with("/stream/")) {
        connection.unit = std::string(kUnitSize, 'x');
        connection.bytesLeft = kEndless;
        connection.stream->send(start + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ");
    } else if (!target.starts_with("/silent/")) {
        connection.stream->send(start + "Content-Length: 2\r\n\r\nok");
    }
    sendMore(connection);
}

void ScriptedEngine::sendMore(Connection& connection)
{
    // The socket takes everything only as long as the gateway reads, so this ends when the gateway pauses or enough is sent.
    while (connection.bytesLeft > 0 && connection.stream->unsent() == 0) {
        const auto size = std::min(connection.unit.size(), connection.bytesLeft);
        connection.bytesLeft -= size;
        connection.stream->send(std::string_view(connection.unit).substr(0, size));
    }
}

} // namespace hornbeamgate::testing
